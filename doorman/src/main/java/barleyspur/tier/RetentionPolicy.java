package barleyspur.tier;

/** Decides which parts a bounded store keeps. Sizes are in KB, at least 1; times are in ms and never decrease. */
public interface RetentionPolicy {

    /** Receives the parts that are evicted. */
    interface EvictionListener {
        /** Reports the eviction of one part of an object. */
        void onEviction(long object, int part);
    }

    /** Records a request for a part; returns whether the part is kept. */
    boolean recordRequest(long object, int part, int kb, double nowMs);

    /**
     * Offers a part that was not kept and has been fetched. Returns whether it is kept from now on; the parts evicted
     * to make room for it are passed to {@code evictions}.
     */
    boolean admit(long object, int part, int kb, double nowMs, EvictionListener evictions);

    /** Removes a part for another reason, such as a purge; returns whether it was kept. */
    boolean remove(long object, int part);

    /** Returns the total size of the kept parts. */
    long keptKb();
}
