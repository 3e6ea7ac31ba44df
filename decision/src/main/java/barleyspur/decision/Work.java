package barleyspur.decision;

import java.util.Arrays;
import java.util.List;

/**
 * The mean sending time of each class, in milliseconds, learned from sizes where they are told and else from answers.
 * It starts at half the class's aim; a class that a retune adds starts so too, and those before keep what they
 * learned, since a class keeps its number for as long as the director runs.
 */
final class Work {

    /** Weights of the newest sample; answers also wait, so it rises the slower. */
    private static final double UP = 0.001;

    private static final double DOWN = 0.02;

    private double[] mean = new double[0];

    Work(List<Director.RequestClass> classes) {
        retune(classes);
    }

    /** Classes have been added behind those before. */
    void retune(List<Director.RequestClass> classes) {
        int before = mean.length;
        mean = Arrays.copyOf(mean, Math.max(before, classes.size()));
        for (int i = before; i < mean.length; i++) {
            mean[i] = classes.get(i).aimMs() / 2;
        }
    }

    double of(int category) {
        return mean[category];
    }

    void learn(int category, double sample) {
        double rate = sample > mean[category] ? UP : DOWN;
        mean[category] += (sample - mean[category]) * rate;
    }

    /** The longest of all classes. */
    double most() {
        return Arrays.stream(mean).max().orElse(0);
    }
}
