package barleyspur.decision;

import java.util.TreeMap;

/** Where copies of one object part are believed to be, and the fill of it that is in progress. */
final class CopyLocations {

    /** When the last sign of a copy was seen at each cache, by node id. */
    final TreeMap<Long, Double> lastSeenMsByCache = new TreeMap<>();

    /** The cache at which the newest fill was started. */
    long fillingCache = RoutingPolicy.NO_NODE;
    /** The number of this doorman's attempts in flight that fill the part or join its fill. */
    int openFills;
}
