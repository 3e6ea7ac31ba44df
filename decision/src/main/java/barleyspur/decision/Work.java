package barleyspur.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Estimates the mean time in which an answer of each class is sent, in milliseconds, from the sizes of requests where
 * they are known, else from the latency of answers. An estimate starts at half the latency target of its class. A
 * retune adds classes and keeps the estimates of those before, since a class keeps its number for as long as the
 * policy runs.
 */
final class Work {

    /** The weight of a sample above the mean. It is the lower one, as the latency of answers includes waiting. */
    private static final double UP = 0.001;
    /** The weight of a sample below the mean. */
    private static final double DOWN = 0.02;

    private double[] mean = new double[0];

    Work(List<Director.RequestClass> classes) {
        retune(classes);
    }

    /** Adds estimates for classes that were appended to those before. */
    void retune(List<Director.RequestClass> classes) {
        int before = mean.length;
        mean = Arrays.copyOf(mean, Math.max(before, classes.size()));
        for (int i = before; i < mean.length; i++) {
            mean[i] = classes.get(i).aimMs() / 2;
        }
    }

    /** Returns the estimate of a class. */
    double of(int category) {
        return mean[category];
    }

    /** Adds a sample of a class. */
    void learn(int category, double sample) {
        double rate = sample > mean[category] ? UP : DOWN;
        mean[category] += (sample - mean[category]) * rate;
    }

    /** Returns the highest estimate of all classes. */
    double most() {
        return Arrays.stream(mean).max().orElse(0);
    }
}
