package barleyspur.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Estimates the mean time in which an answer of each class is sent, in milliseconds. An estimate starts at half the
 * latency target of its class. A retune adds classes and keeps the estimates of those before, since a class keeps its
 * number for as long as the policy runs.
 *
 * <p>Only served requests are samples: what a client names is a claim until a node has answered. The size that was named
 * gives the sample, but no more than the answer's latency, in which all of it was sent; without a size the latency does.
 * A single sample counts at most {@link #MAX_SAMPLE_MEANS} times the estimate. So requests whose sizes are out of range
 * move an estimate by no more than their share of the answers, and it recovers with the next ones.
 */
final class WorkEstimator {

    /** The weight of a sample whose size was named. */
    private static final double SIZED_WEIGHT = 0.005;
    /**
     * The most that one sample counts, in multiples of the estimate. The mean of sizes that vary widely loses a
     * twentieth by this.
     */
    static final double MAX_SAMPLE_MEANS = 8;
    /** The weight of a latency above the estimate. It is the lower one, as latencies include waiting. */
    private static final double LATENCY_INCREASE_WEIGHT = 0.001;
    /** The weight of a latency below the estimate. */
    private static final double LATENCY_DECREASE_WEIGHT = 0.02;

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

    /** Adds a served request of a class whose size would take {@code namedMs} to send. */
    void addSized(int classIndex, double namedMs, double latencyMs) {
        double mean = meansMs[classIndex];
        double sampleMs = Math.min(Math.min(namedMs, latencyMs), MAX_SAMPLE_MEANS * mean);
        meansMs[classIndex] += (sampleMs - mean) * SIZED_WEIGHT;
    }

    /** Adds a served request of a class that named no size. */
    void addUnsized(int classIndex, double latencyMs) {
        double mean = meansMs[classIndex];
        double weight = latencyMs > mean ? LATENCY_INCREASE_WEIGHT : LATENCY_DECREASE_WEIGHT;
        meansMs[classIndex] += (Math.min(latencyMs, MAX_SAMPLE_MEANS * mean) - mean) * weight;
    }

    /** Returns the work, in milliseconds, of requests of each class. */
    double workPerMs(double[] requestsByClass) {
        double work = 0;
        for (int i = 0; i < requestsByClass.length; i++) {
            work += requestsByClass[i] * meansMs[i];
        }
        return work;
    }

    /** Returns the highest estimate of all classes. */
    double longestMeanMs() {
        return Arrays.stream(meansMs).max().orElse(0);
    }
}
