package barleyspur.fleet;

import java.util.HashSet;
import java.util.Set;

/** What is known of one other member, or of one that was. */
final class MemberEntry {

    /** A suspicion: who spoke it out, since when, and when it is over. */
    static final class Suspicion {
        final Set<String> accusers = new HashSet<>(4);
        double sinceMs;
        double endsMs;
    }

    final String name;
    final long nameHash;
    MembershipRecord record;
    /** Whether it is in the view; else it is remembered, to be told from older sayings and to be tried again. */
    boolean listed;
    /** Its place in the roster's order while it is listed. */
    int index;
    /** Its part in the digest while it is listed. */
    long recordHash;

    double stateSinceMs;
    double lastHeardMs = Double.NEGATIVE_INFINITY;
    ChangeReason reason;
    String source;
    /** While it is suspected. */
    Suspicion suspicion;
    /** Of what it said against others, how much they refuted lately, and since when that is counted. */
    int refutedAccusations;

    double refutedCountStartMs;
    /** When it was last sent what others say of it. */
    double lastNotifiedMs = Double.NEGATIVE_INFINITY;

    MemberEntry(String name, long nameHash, MembershipRecord record) {
        this.name = name;
        this.nameHash = nameHash;
        this.record = record;
    }
}
