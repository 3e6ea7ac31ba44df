package barleyspur.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Estimates the mean time in which an answer of each class is sent, in milliseconds, from the sizes of requests where
 * they are known, else from the latency of answers. An estimate starts at half the latency target of its class. A
 * retune adds classes and keeps the estimates of those before, since a class keeps its number for as long as the
 * policy runs.
 */
final class WorkEstimator {

    /** The weight of a sample above the mean. It is the lower one, as the latency of answers includes waiting. */
    private static final double INCREASE_WEIGHT = 0.001;
    /** The weight of a sample below the mean. */
    private static final double DECREASE_WEIGHT = 0.02;

    private double[] meansMs = new double[0];

    WorkEstimator(List<RoutingPolicy.RequestClass> classes) {
        addClasses(classes);
    }

    /** Adds estimates for classes that were appended to those before. */
    void addClasses(List<RoutingPolicy.RequestClass> classes) {
        int before = meansMs.length;
        meansMs = Arrays.copyOf(meansMs, Math.max(before, classes.size()));
        for (int i = before; i < meansMs.length; i++) {
            meansMs[i] = classes.get(i).aimMs() / 2;
        }
    }

    /** Returns the estimate of a class. */
    double meanMs(int classIndex) {
        return meansMs[classIndex];
    }

    /** Adds a sample of a class. */
    void addSample(int classIndex, double sampleMs) {
        double weight = sampleMs > meansMs[classIndex] ? INCREASE_WEIGHT : DECREASE_WEIGHT;
        meansMs[classIndex] += (sampleMs - meansMs[classIndex]) * weight;
    }

    /** Returns the highest estimate of all classes. */
    double longestMeanMs() {
        return Arrays.stream(meansMs).max().orElse(0);
    }
}
