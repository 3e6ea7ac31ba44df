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
public final class CappedLog {

    static final int MOST_LINES = 5;
    static final double PERIOD_MS = 10_000;

    /** The state of one kind of event in the current period. */
    private static final class Cause {
        private double since = Double.NEGATIVE_INFINITY;
        private int lines;
    }

    private final Logger log;
    private final Clock clock;
    private final Map<String, Cause> causes = new HashMap<>();

    /** Creates a log whose periods are measured on {@code clock}. */
    public CappedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Logs a warning unless this event has reached its limit for the current period. The first line of a later period
     * is preceded by the number of lines that were left out.
     */
    public void warn(String event, Object... keysAndValues) {
        Cause cause = causes.computeIfAbsent(event, k -> new Cause());
        double now = clock.nowMs();
        if (now - cause.since >= PERIOD_MS) {
            if (cause.lines > MOST_LINES) {
                LogEvent.log(log.atWarn(), "more lines like the next were left out", "lines", cause.lines - MOST_LINES);
            }
            cause.since = now;
            cause.lines = 0;
        }
        if (++cause.lines <= MOST_LINES) {
            LogEvent.log(log.atWarn(), event, keysAndValues);
        }
    }
}
