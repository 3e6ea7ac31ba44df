package barleyspur.lab.stand;

import java.util.ArrayList;
import java.util.List;

/**
 * What one box sees arrive, whatever the doormans say: at once, in all, and beyond a rate. On the boxes' event loop.
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
    /** The highest over the rate, less what may have bunched while this process itself stood still. */
    private double mostSurely;

    /** @param perS the rate whose excess is measured; 0: none */
    Tally(double perS) {
        this.perS = perS;
    }

    /** Counts apart what arrives between two Unix times, in ms. */
    public void watch(long from, long to) {
        watchedFrom = from;
        watchedTo = to;
    }

    /** How many came in the time that is watched. */
    public long watched() {
        return watched;
    }

    /** When each of these came, as Unix times in ms. */
    public List<Long> watchedTimes() {
        synchronized (times) {
            return List.copyOf(times);
        }
    }

    /** An attempt arrives; this process may have stood still for so long just before. */
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

    void done() {
        atOnce--;
    }

    /** The most that were in work at once. */
    public int mostAtOnce() {
        return mostAtOnce;
    }

    /** How many came. */
    public long arrived() {
        return arrived;
    }

    /** The most that came over the rate: what a burst would have to allow. */
    public double mostOverRate() {
        return mostLevel;
    }

    /** The same without what may have bunched while this process stood still. */
    public double mostSurelyOverRate() {
        return mostSurely;
    }
}
