package barleyspur.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects violations and counts what the pages allow, by the name of the allowance. It also measures for how long this
 * process was not scheduled, since its own lateness must not be taken for the doorman's.
 */
final class SoakJudge {

    private static final double NANOS_PER_MS = 1e6;
    /** The time for which a measured lateness counts. */
    private static final double LATENESS_VALIDITY_MS = 3_000;

    private final long startNanos = System.nanoTime();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private double latenessMs;
    private double latenessAtMs;

    /** Returns the time since the start of the run. */
    double nowMs() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    synchronized void violation(String text) {
        violations.add(String.format("%.3f s: %s", nowMs() / 1e3, text));
    }

    /** Counts an outcome, or something that a page allows. */
    synchronized void count(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized Map<String, Integer> counts() {
        return Map.copyOf(counts);
    }

    /** Records by how much a timer of this process was late. */
    synchronized void recordLateness(double ms) {
        if (ms > latenessMs || nowMs() - latenessAtMs > LATENESS_VALIDITY_MS) {
            latenessMs = ms;
            latenessAtMs = nowMs();
        }
    }

    /** Returns by how much this process was late recently. */
    synchronized double latenessMs() {
        return nowMs() - latenessAtMs > LATENESS_VALIDITY_MS ? 0 : latenessMs;
    }
}
