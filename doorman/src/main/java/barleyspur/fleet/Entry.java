package barleyspur.fleet;

import java.util.HashSet;
import java.util.Set;

/** What is known of one other member, or of one that was. */
final class Entry {

    /** A suspicion: who spoke it out, since when, and when it is over. */
    static final class Suspicion {
        final Set<String> accusers = new HashSet<>(4);
        double sinceMs;
        double endsMs;
    }

    final String name;
    final long nameHash;
    Saying saying;
    /** Whether it is in the view; else it is remembered, to be told from older sayings and to be tried again. */
    boolean listed;
    /** Its place in the roster's order while it is listed. */
    int place;
    /** Its part in the digest while it is listed. */
    long hash;

    double sinceMs;
    double heardMs = Double.NEGATIVE_INFINITY;
    Why why;
    String from;
    /** While it is suspected. */
    Suspicion suspicion;
    /** Of what it said against others, how much they refuted lately, and since when that is counted. */
    int refuted;

    double refutedSinceMs;
    /** When it was last sent what others say of it. */
    double noticedMs = Double.NEGATIVE_INFINITY;

    Entry(String name, long nameHash, Saying saying) {
        this.name = name;
        this.nameHash = nameHash;
        this.saying = saying;
    }
}
