package barleyspur.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens in one soak run, drawn from a seed: the actions in their order, and the traffic.
 *
 * @param steps the actions, each of which is completed before the next one begins
 * @param crowd whether ten times as many requests arrive, and a third of the clients are bad
 * @param floods whether many clients send far more than they may and leave, again and again; never with a crowd
 */
record SoakPlan(long seed, List<Step> steps, boolean crowd, boolean floods) {

    private static final int MIN_SIGNALS = 2;
    private static final int MAX_SIGNALS = 6;
    private static final int MAX_PAUSE_MS = 600;
    private static final int MAX_SIGNAL_PAUSE_MS = 300;
    private static final double CROWD_SHARE = 0.3;
    private static final double FLOOD_SHARE = 0.4;
    /** The typical duration of an action with its pause, by which their number follows from that of the run. */
    private static final int MS_PER_STEP = 3_000;

    /**
     * One action.
     *
     * @param pauseMs the time before it
     * @param depot the index of the depot that it concerns
     * @param signalPausesMs the times before the signals that it sends in a series
     * @param validFiles whether the file that each reload of the series reads is valid
     */
    record Step(SoakAction action, int pauseMs, int depot, List<Integer> signalPausesMs, List<Boolean> validFiles) {}

    /** Draws a run that takes about so long. */
    static SoakPlan draw(long seed, int seconds, int depots) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean crowd = random.nextDouble() < CROWD_SHARE;
        List<Step> steps = new ArrayList<>();
        int count = Math.max(1, seconds * 1_000 / MS_PER_STEP);
        for (int i = 0; i < count; i++) {
            SoakAction action = SoakAction.values()[random.nextInt(SoakAction.values().length)];
            steps.add(drawStep(action, random, depots));
        }
        // Every run ends at least one process.
        steps.add(drawStep(random.nextBoolean() ? SoakAction.RESTART : SoakAction.UPGRADE, random, depots));
        // Drawn apart from the rest, so that the actions of a seed don't depend on it.
        boolean floods = !crowd && new SplittableRandom(~seed).nextDouble() < FLOOD_SHARE;
        return new SoakPlan(seed, List.copyOf(steps), crowd, floods);
    }

    private static Step drawStep(SoakAction action, SplittableRandom random, int depots) {
        int signals = MIN_SIGNALS + random.nextInt(MAX_SIGNALS - MIN_SIGNALS + 1);
        List<Integer> pausesMs = new ArrayList<>();
        List<Boolean> validFiles = new ArrayList<>();
        for (int i = 0; i < signals; i++) {
            // Half of the signals follow within milliseconds.
            pausesMs.add(random.nextBoolean() ? random.nextInt(5) : random.nextInt(MAX_SIGNAL_PAUSE_MS));
            validFiles.add(random.nextBoolean());
        }
        return new Step(
                action,
                random.nextInt(MAX_PAUSE_MS),
                random.nextInt(depots),
                List.copyOf(pausesMs),
                List.copyOf(validFiles));
    }
}
