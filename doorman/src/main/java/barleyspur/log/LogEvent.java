package barleyspur.log;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes structured log events: a constant message for each kind of event, and its details as key-value pairs, through
 * SLF4J's fluent API. On-call staff search by message and filter by key; the logging provider determines the format.
 */
public final class LogEvent {

    private LogEvent() {}

    /** Logs an event. Keys and values alternate; a level that is disabled costs nothing. */
    public static void log(LoggingEventBuilder level, String event, Object... keysAndValues) {
        LoggingEventBuilder builder = level;
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            builder = builder.addKeyValue((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        builder.log(event);
    }
}
