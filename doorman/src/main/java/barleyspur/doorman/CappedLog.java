package barleyspur.doorman;

import barleyspur.log.LogEvent;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;

/**
 * Warns a few times a cause and period, then only counts. Guards the loop and the disk against whoever sends the
 * same fault at full speed. A cause is its event's text, so there are no more of them than there are calls.
 */
public final class CappedLog {

    static final int MOST_LINES = 5;
    static final double PERIOD_MS = 10_000;

    private static final class Cause {
        private double since = Double.NEGATIVE_INFINITY;
        private int lines;
    }

    private final Logger log;
    private final Clock clock;
    private final Map<String, Cause> causes = new HashMap<>();

    /** A log that counts its periods by {@code clock}. */
    public CappedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Warns, unless this cause has had its lines; the next period's first line is preceded by how many it lacked. */
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
