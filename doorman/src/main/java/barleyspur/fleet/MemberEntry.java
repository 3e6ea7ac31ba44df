package barleyspur.fleet;

import java.util.HashSet;
import java.util.Set;

/** The entry of the {@link MemberTable} for one other member, current or former. */
final class MemberEntry {

    /** A running suspicion: the members that raised or confirmed it, when it started and when it expires. */
    static final class Suspicion {
        final Set<String> accusers = new HashSet<>(4);
        double sinceMs;
        double endsMs;
    }

    final String name;
    final long nameHash;
    MembershipRecord record;
    /**
     * Whether the member is in the view. An entry that is not listed is kept to recognize outdated records of the
     * member and to contact it again.
     */
    boolean listed;
    /** The position in the probe order; valid while the member is listed. */
    int index;
    /** The hash that this entry adds to the view digest; valid while the member is listed. */
    long recordHash;

    double stateSinceMs;
    double lastHeardMs = Double.NEGATIVE_INFINITY;
    ChangeReason reason;
    String source;
    /** Null unless the member is suspected. */
    Suspicion suspicion;
    /** How many accusations by this member were refuted since {@code refutedCountStartMs}. */
    int refutedAccusations;

    double refutedCountStartMs;
    /** When the member was last sent a record that others spread about it. */
    double lastNotifiedMs = Double.NEGATIVE_INFINITY;

    MemberEntry(String name, long nameHash, MembershipRecord record) {
        this.name = name;
        this.nameHash = nameHash;
        this.record = record;
    }
}
