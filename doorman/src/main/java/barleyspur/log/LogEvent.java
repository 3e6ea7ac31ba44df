package barleyspur.log;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * Log events: a text that stays the same for all of a kind, and what each is about as keys with values, by SLF4J's
 * fluent interface. On-call staff search for the text and filter by the keys; the provider says how both are written.
 */
public final class LogEvent {

    private LogEvent() {}

    /** Logs an event; keys and values come by turns, and a level that is off costs nothing. */
    public static void log(LoggingEventBuilder at, String event, Object... keysAndValues) {
        LoggingEventBuilder builder = at;
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            builder = builder.addKeyValue((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        builder.log(event);
    }
}
