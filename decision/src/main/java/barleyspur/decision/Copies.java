package barleyspur.decision;

import java.util.TreeMap;

/** What is believed of one part's copies: by cache, when a sign of it was last seen; and the open fill. */
final class Copies {

    final TreeMap<Long, Double> seen = new TreeMap<>();
    long fillAt = Director.NO_NODE;
    int fillsOpen;
}
