package barleyspur.decision;

import java.util.List;

/**
 * What rendezvous scores need of a list of nodes, side by side: every request scores all parents, and of hundreds most
 * are done with after a look at two numbers each.
 */
final class Ring {

    private long[] hashes = {};
    private double[] weights = {};

    /** Takes the place of the list before. */
    void set(List<Server> nodes) {
        hashes = new long[nodes.size()];
        weights = new double[nodes.size()];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = nodes.get(i).hash;
            weights[i] = nodes.get(i).weight;
        }
    }

    /** The score for an object of the node at a place of the list, as {@link Rendezvous#score} says. */
    double score(int place, long object, double beyond) {
        return Rendezvous.score(object, hashes[place], weights[place], beyond);
    }
}
