package barleyspur.lab.stand;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures the attempts that one box receives, independently of what the doormans report: how many at once, how many
 * in total, and how many in excess of a rate. It is updated on the event loop of the boxes.
 */
public final class ArrivalMeter {

    private static final double MS_PER_S = 1_000;

    private final double ratePerS;
    private int inProgress;
    private int maxInProgress;
    private long arrivalCount;
    private volatile long windowStartMs = Long.MAX_VALUE;
    private volatile long windowEndMs;
    private volatile long windowCount;
    private final List<Long> windowTimesMs = new ArrayList<>();
    /** Level of a leaky bucket that drains at the rate and to which each arrival adds 1. */
    private double level;

    private double levelUpdatedMs;
    private double maxLevel;
    /** The highest level, less the arrivals that may have queued up while this process was not scheduled. */
    private double maxLevelWithoutStalls;

    /**
     * Creates a meter.
     *
     * @param ratePerS the rate whose excess is measured, by a leaky bucket; 0 for none
     */
    ArrivalMeter(double ratePerS) {
        this.ratePerS = ratePerS;
    }

    /** Sets a window between two Unix times in ms; the arrivals in it are also counted separately. */
    public void setWindow(long startMs, long endMs) {
        windowStartMs = startMs;
        windowEndMs = endMs;
    }

    /** Returns how many attempts arrived in the window. */
    public long arrivalsInWindow() {
        return windowCount;
    }

    /** Returns the arrival times in the window, as Unix times in ms. */
    public List<Long> arrivalTimesInWindow() {
        synchronized (windowTimesMs) {
            return List.copyOf(windowTimesMs);
        }
    }

    /**
     * Records the arrival of an attempt.
     *
     * @param stalledMs for how long this process may not have been scheduled just before
     */
    void recordArrival(double nowMs, double stalledMs) {
        arrivalCount++;
        long wallClockMs = System.currentTimeMillis();
        if (wallClockMs >= windowStartMs && wallClockMs < windowEndMs) {
            windowCount++;
            synchronized (windowTimesMs) {
                windowTimesMs.add(wallClockMs);
            }
        }
        inProgress++;
        maxInProgress = Math.max(maxInProgress, inProgress);
        if (ratePerS > 0) {
            level = Math.max(0, level - ratePerS * (nowMs - levelUpdatedMs) / MS_PER_S) + 1;
            levelUpdatedMs = nowMs;
            maxLevel = Math.max(maxLevel, level);
            maxLevelWithoutStalls = Math.max(maxLevelWithoutStalls, level - ratePerS * stalledMs / MS_PER_S);
        }
    }

    /** Records that an attempt is completed. */
    void recordCompletion() {
        inProgress--;
    }

    /** Returns the maximum number of attempts that were in progress at once. */
    public int peakConcurrency() {
        return maxInProgress;
    }

    /** Returns how many attempts have arrived. */
    public long arrivals() {
        return arrivalCount;
    }

    /** Returns the maximum excess over the rate: the burst that would have to be allowed. */
    public double maxOverRate() {
        return maxLevel;
    }

    /** Returns the maximum excess over the rate, less what may have queued up while this process was not scheduled. */
    public double maxOverRateWithoutStalls() {
        return maxLevelWithoutStalls;
    }
}
