package barleyspur.tier;

/** Decides which parts a bounded store keeps. Sizes are in KB, at least 1; times in ms, never stepping back. */
public interface Keeper {

    /** Takes the parts that have to go. */
    interface Dropped {
        /** One part of an object. */
        void part(long object, int part);
    }

    /** A part is asked for: learns of it, and says whether it is kept. */
    boolean asked(long object, int part, int kb, double nowMs);

    /**
     * A part that was not kept has been fetched. Says whether it is kept from now on; those that make room for it go to
     * {@code dropped}.
     */
    boolean offered(long object, int part, int kb, double nowMs, Dropped dropped);

    /** A part has gone for another reason, such as a purge; says whether it was kept. */
    boolean removed(long object, int part);

    /** What all kept parts take. */
    long keptKb();
}
