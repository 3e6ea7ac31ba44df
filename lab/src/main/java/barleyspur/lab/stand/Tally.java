package barleyspur.lab.stand;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures the attempts that one box receives, independently of what the doormans report: how many at once, how many
 * in total, and how many in excess of a rate. It is updated on the event loop of the boxes.
 */
public final class Tally {

    private static final double MS_PER_S = 1_000;

    private final double perS;
    private int atOnce;
    private int mostAtOnce;
    private long arrived;
    private volatile long watchedFrom = Long.MAX_VALUE;
    private volatile long watchedTo;
    private volatile long watched;
    private final List<Long> times = new ArrayList<>();
    private double level;
    private double levelMs;
    private double mostLevel;
    /** The highest level, less the arrivals that may have queued up while this process was not scheduled. */
    private double mostSurely;

    /**
     * Creates a meter.
     *
     * @param perS the rate whose excess is measured, by a leaky bucket; 0 for none
     */
    Tally(double perS) {
        this.perS = perS;
    }

    /** Sets a window between two Unix times in ms; the arrivals in it are also counted separately. */
    public void watch(long from, long to) {
        watchedFrom = from;
        watchedTo = to;
    }

    /** Returns how many attempts arrived in the window. */
    public long watched() {
        return watched;
    }

    /** Returns the arrival times in the window, as Unix times in ms. */
    public List<Long> watchedTimes() {
        synchronized (times) {
            return List.copyOf(times);
        }
    }

    /**
     * Records the arrival of an attempt.
     *
     * @param stalledMs for how long this process may not have been scheduled just before
     */
    void arrives(double nowMs, double stalledMs) {
        arrived++;
        long wall = System.currentTimeMillis();
        if (wall >= watchedFrom && wall < watchedTo) {
            watched++;
            synchronized (times) {
                times.add(wall);
            }
        }
        atOnce++;
        mostAtOnce = Math.max(mostAtOnce, atOnce);
        if (perS > 0) {
            level = Math.max(0, level - perS * (nowMs - levelMs) / MS_PER_S) + 1;
            levelMs = nowMs;
            mostLevel = Math.max(mostLevel, level);
            mostSurely = Math.max(mostSurely, level - perS * stalledMs / MS_PER_S);
        }
    }

    /** Records that an attempt is completed. */
    void done() {
        atOnce--;
    }

    /** Returns the maximum number of attempts that were in progress at once. */
    public int mostAtOnce() {
        return mostAtOnce;
    }

    /** Returns how many attempts have arrived. */
    public long arrived() {
        return arrived;
    }

    /** Returns the maximum excess over the rate: the burst that would have to be allowed. */
    public double mostOverRate() {
        return mostLevel;
    }

    /** Returns the maximum excess over the rate, less what may have queued up while this process was not scheduled. */
    public double mostSurelyOverRate() {
        return mostSurely;
    }
}
