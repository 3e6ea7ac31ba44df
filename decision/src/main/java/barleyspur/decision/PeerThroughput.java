package barleyspur.decision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * The requests that the nodes of one role serve for this doorman: their recent rate by class, and the highest rate for
 * one of them in the last minutes, which is still known when all are cold.
 *
 * <p>Rates are kept in requests of each class and turned into work by the estimates of the moment at which they are
 * asked for. So an estimate that was wrong for a while leaves nothing behind in a rate.
 *
 * <p>A doorman that has just started knows no rate: it counts from its first answer on. After a change of the list, the
 * new number of peers counts from the next answer on; peaks that were measured with another number stay until they are
 * {@link #PEAK_MEMORY_MS} old.
 */
final class PeerThroughput {

    /** How long a peak is remembered: far longer than any node takes to get warm. */
    static final double PEAK_MEMORY_MS = 600_000;
    /** Of the peaks within such a time only the highest is kept. */
    private static final double PEAK_INTERVAL_MS = 60_000;

    /** The rates, by class, at one time. */
    private record Peak(double atMs, double[] requestsPerMs) {}

    /** The time after which a request has decayed to 1/e in the rates. */
    private final double timeConstantMs;

    private double[] decayedRequests = new double[0];
    private double firstAnswerMs = Double.NaN;
    private double lastAnswerMs;
    /** The highest rates per peer of successive intervals, the latest last. */
    private final Deque<Peak> peaks = new ArrayDeque<>();

    PeerThroughput(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    /** Adds a request of a class that one of so many peers has served. */
    void add(int classIndex, int peers, WorkEstimator work, double nowMs) {
        decay(nowMs);
        if (classIndex >= decayedRequests.length) {
            decayedRequests = Arrays.copyOf(decayedRequests, classIndex + 1);
        }
        decayedRequests[classIndex]++;
        Peak current = new Peak(nowMs, ratesPerPeer(Math.max(1, peers), nowMs));
        Peak last = peaks.peekLast();
        if (last == null || nowMs - last.atMs() >= PEAK_INTERVAL_MS) {
            peaks.add(current);
        } else if (work.workPerMs(current.requestsPerMs()) >= work.workPerMs(last.requestsPerMs())) {
            // The peak keeps the time at which its interval began.
            peaks.removeLast();
            peaks.add(new Peak(last.atMs(), current.requestsPerMs()));
        }
    }

    private void decay(double nowMs) {
        if (Double.isNaN(firstAnswerMs)) {
            firstAnswerMs = nowMs;
        }
        double factor = Math.exp((lastAnswerMs - nowMs) / timeConstantMs);
        for (int i = 0; i < decayedRequests.length; i++) {
            decayedRequests[i] *= factor;
        }
        lastAnswerMs = nowMs;
    }

    /** Returns the rates: unbiased once a quarter of the time constant has passed, too low before. */
    private double[] ratesPerPeer(int peers, double nowMs) {
        double observedMs = Math.max(nowMs - firstAnswerMs, timeConstantMs / 4);
        double divisor = peers * timeConstantMs * (1 - Math.exp(-observedMs / timeConstantMs));
        return Arrays.stream(decayedRequests)
                .map(requests -> requests / divisor)
                .toArray();
    }

    /** Returns the highest work in a millisecond that one peer has served for this doorman in the last minutes. */
    double peakWorkPerPeer(WorkEstimator work, double nowMs) {
        while (!peaks.isEmpty() && nowMs - peaks.peekFirst().atMs() > PEAK_MEMORY_MS) {
            peaks.removeFirst();
        }
        return peaks.stream()
                .mapToDouble(peak -> work.workPerMs(peak.requestsPerMs()))
                .max()
                .orElse(0);
    }
}
