package barleyspur.fleet;

import java.util.Comparator;

/**
 * The record of one member that gossip spreads. Records of the same name are totally ordered and the greatest one is
 * valid, so that merging is associative, commutative and idempotent. The order uses generation, nonce, incarnation and
 * state: the metadata is determined by the first three, since only the member itself issues a new incarnation, and the
 * accuser is informational.
 *
 * @param name        the name of the member, unique in the fleet
 * @param generation  the generation of its process: increases with each start under this name, from 0 to
 *                    {@link #MAX_COUNTER}; {@code life} in JSON and logs
 * @param nonce       a random number of its process, which distinguishes two processes of the same generation
 * @param incarnation raised by the member itself with each change and to refute accusations, from 0 to
 *                    {@link #MAX_COUNTER}
 * @param state       the state of the member; {@code standing} in JSON and logs
 * @param accuser     the name of the member that first claimed the state SUSPECT or DEAD, else empty; {@code by} in
 *                    JSON and logs
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

    /** The greatest valid generation and incarnation; a record beyond it comes from a malicious or faulty process. */
    public static final long MAX_COUNTER = 1L << 52;

    private static final Comparator<MembershipRecord> ORDER = Comparator.comparingLong(MembershipRecord::generation)
            .thenComparingLong(MembershipRecord::nonce)
            .thenComparingLong(MembershipRecord::incarnation)
            .thenComparing(MembershipRecord::state);

    /** Compares two records of the same name; the greater one is valid. */
    @Override
    public int compareTo(MembershipRecord other) {
        return ORDER.compare(this, other);
    }

    /** Whether both records belong to the same process. */
    public boolean isSameProcess(MembershipRecord other) {
        return generation == other.generation && nonce == other.nonce;
    }

    /** Returns a record of the same incarnation with another state, as claimed by {@code newAccuser}. */
    public MembershipRecord withState(MemberState newState, String newAccuser) {
        return new MembershipRecord(name, generation, nonce, incarnation, newState, newAccuser, metadata);
    }

    /** Returns an alive record of the same process, with the next incarnation after its own and {@code floor}. */
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

    /** Returns the valid record of two of the same name; if they compare equal, the one whose accuser sorts first. */
    public static MembershipRecord merge(MembershipRecord one, MembershipRecord other) {
        int order = one.compareTo(other);
        if (order == 0) {
            return one.accuser.compareTo(other.accuser) <= 0 ? one : other;
        }
        return order > 0 ? one : other;
    }
}
