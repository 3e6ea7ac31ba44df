package barleyspur.fleet;

import java.util.Comparator;

/**
 * What is said of one member. Sayings of one name are in a total order, and the greatest one holds, so that merging is
 * associative, commutative and idempotent by its nature. {@code about} follows from name, life, nonce and
 * incarnation, since only the member itself makes a new one; {@code by} is a note that doesn't count.
 *
 * @param name        of the member, one in a fleet
 * @param generation        of its process: rises with each start under this name, 0 to {@link #MAX_COUNTER}
 * @param nonce       drawn by its process, so that two with the same life are told apart
 * @param incarnation raised by itself with each change and to refute what others say, 0 to {@link #MAX_COUNTER}
 * @param accuser          who said so first, where others speak: SUSPECT and DEAD
 */
public record MembershipRecord(
        String name,
        long generation,
        long nonce,
        long incarnation,
        MemberState state,
        String accuser,
        MemberMetadata metadata)
        implements Comparable<MembershipRecord> {

    /** No life or incarnation is beyond it: a saying that is comes from a liar or a faulty program. */
    public static final long MAX_COUNTER = 1L << 52;

    private static final Comparator<MembershipRecord> ORDER = Comparator.comparingLong(MembershipRecord::generation)
            .thenComparingLong(MembershipRecord::nonce)
            .thenComparingLong(MembershipRecord::incarnation)
            .thenComparing(MembershipRecord::state);

    /** The order of sayings of the same name. */
    @Override
    public int compareTo(MembershipRecord other) {
        return ORDER.compare(this, other);
    }

    /** Whether both are of the same process. */
    public boolean isSameProcess(MembershipRecord other) {
        return generation == other.generation && nonce == other.nonce;
    }

    /** The same incarnation with another standing, said by {@code who}. */
    public MembershipRecord withState(MemberState newState, String newAccuser) {
        return new MembershipRecord(name, generation, nonce, incarnation, newState, newAccuser, metadata);
    }

    /** The next incarnation after {@code than} of the same life, alive. */
    public MembershipRecord withIncarnationAbove(long floor, MemberMetadata newMetadata) {
        return new MembershipRecord(
                name,
                generation,
                nonce,
                Math.min(MAX_COUNTER, Math.max(incarnation, floor) + 1),
                MemberState.ALIVE,
                "",
                newMetadata);
    }

    /** The one that holds of two of the same name; of two that say the same, the one that was said by the lesser name. */
    public static MembershipRecord merge(MembershipRecord one, MembershipRecord other) {
        int order = one.compareTo(other);
        if (order == 0) {
            return one.accuser.compareTo(other.accuser) <= 0 ? one : other;
        }
        return order > 0 ? one : other;
    }
}
