package barleyspur.decision;

import java.util.List;

/**
 * Computes rendezvous scores for a list of nodes. It keeps their hashes and weights in arrays, as each request scores
 * all parents, and of hundreds most are discarded after comparing two numbers each.
 */
final class RendezvousScorer {

    private long[] hashes = {};
    private double[] weights = {};

    /** Replaces the list of nodes. */
    void setNodes(List<TrackedNode> nodes) {
        hashes = new long[nodes.size()];
        weights = new double[nodes.size()];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = nodes.get(i).hash;
            weights[i] = nodes.get(i).weight;
        }
    }

    /** Returns the score for an object of the node at an index of the list; see {@link Rendezvous#score}. */
    double score(int index, long object, double threshold) {
        return Rendezvous.score(object, hashes[index], weights[index], threshold);
    }
}
