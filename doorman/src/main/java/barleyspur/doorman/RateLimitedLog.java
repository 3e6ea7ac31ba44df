package barleyspur.doorman;

import barleyspur.log.LogEvent;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/**
 * Limits how many warnings with the same event text are logged per period; further ones are only counted. Protects the
 * event loop and the disk from a peer that triggers the same fault at full speed. Events are identified by their text,
 * so there are no more counters than call sites.
 */
public final class RateLimitedLog {

    static final int MAX_LINES_PER_PERIOD = 5;
    static final double PERIOD_MS = 10_000;

    /** The state of one kind of event in the current period. */
    private static final class EventCounter {
        private double periodStartMs = Double.NEGATIVE_INFINITY;
        private int lineCount;
    }

    private final Logger log;
    private final Clock clock;
    private final Map<String, EventCounter> counters = new HashMap<>();

    /** Creates a log whose periods are measured on {@code clock}. */
    public RateLimitedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Logs a warning unless this event has reached its limit for the current period. The first line of a later period
     * is preceded by the number of lines that were left out.
     */
    public void warn(String event, Object... keysAndValues) {
        EventCounter counter = counters.computeIfAbsent(event, k -> new EventCounter());
        double nowMs = clock.nowMs();
        if (nowMs - counter.periodStartMs >= PERIOD_MS) {
            if (counter.lineCount > MAX_LINES_PER_PERIOD) {
                LogEvent.log(
                        log.atWarn(),
                        "more lines like the next were left out",
                        "lines",
                        counter.lineCount - MAX_LINES_PER_PERIOD);
            }
            counter.periodStartMs = nowMs;
            counter.lineCount = 0;
        }
        if (++counter.lineCount <= MAX_LINES_PER_PERIOD) {
            LogEvent.log(log.atWarn(), event, keysAndValues);
        }
    }
}
