package barleyspur.fleet;

import java.util.Comparator;

/**
 * What is said of one member. Sayings of one name are in a total order, and the greatest one holds, so that merging is
 * associative, commutative and idempotent by its nature. {@code about} follows from name, life, nonce and
 * incarnation, since only the member itself makes a new one; {@code by} is a note that doesn't count.
 *
 * @param name        of the member, one in a fleet
 * @param life        of its process: rises with each start under this name, 0 to {@link #MOST}
 * @param nonce       drawn by its process, so that two with the same life are told apart
 * @param incarnation raised by itself with each change and to refute what others say, 0 to {@link #MOST}
 * @param by          who said so first, where others speak: SUSPECT and DEAD
 */
public record Saying(String name, long life, long nonce, long incarnation, Standing standing, String by, About about)
        implements Comparable<Saying> {

    /** No life or incarnation is beyond it: a saying that is comes from a liar or a faulty program. */
    public static final long MOST = 1L << 52;

    private static final Comparator<Saying> ORDER = Comparator.comparingLong(Saying::life)
            .thenComparingLong(Saying::nonce)
            .thenComparingLong(Saying::incarnation)
            .thenComparing(Saying::standing);

    /** The order of sayings of the same name. */
    @Override
    public int compareTo(Saying other) {
        return ORDER.compare(this, other);
    }

    /** Whether both are of the same process. */
    public boolean sameLife(Saying other) {
        return life == other.life && nonce == other.nonce;
    }

    /** The same incarnation with another standing, said by {@code who}. */
    public Saying standing(Standing other, String who) {
        return new Saying(name, life, nonce, incarnation, other, who, about);
    }

    /** The next incarnation after {@code than} of the same life, alive. */
    public Saying above(long than, About told) {
        return new Saying(name, life, nonce, Math.min(MOST, Math.max(incarnation, than) + 1), Standing.ALIVE, "", told);
    }

    /** The one that holds of two of the same name; of two that say the same, the one that was said by the lesser name. */
    public static Saying join(Saying one, Saying other) {
        int order = one.compareTo(other);
        if (order == 0) {
            return one.by.compareTo(other.by) <= 0 ? one : other;
        }
        return order > 0 ? one : other;
    }
}
