package barleyspur.doorman;

import barleyspur.decision.Director;
import barleyspur.log.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The way of each request through a doorman as log events: taken, attempts and their ends, the answer. Logger
 * {@code trail}, level debug, so it is off unless asked for ({@code -Dorg.slf4j.simpleLogger.log.trail=debug}); a
 * request's id is the client's, so that one can be followed, and many counted, across the doormans that it came to.
 */
final class Trail {

    private static final Logger LOG = LoggerFactory.getLogger("trail");

    private Trail() { }

    static void taken(Request request) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(LOG.atDebug(), "request taken", "request", request.id(), "class", request.className(), "object",
                request.key(), "part", request.part(), "left", Math.round(request.remainingMs()), "kb", Math.round(request.sizeKb()));
        }
    }

    /** {@code get} is null for an attempt that fills nothing. */
    static void sent(Exchange x, int number, long node, Director.Get get) {
        if (LOG.isDebugEnabled()) {
            boolean sourced = get != null && get.source() != node;
            LogEvent.log(LOG.atDebug(), "attempt sent", "request", x.request.id(), "number", number, "node", node, "source",
                sourced ? get.source() : Director.NO_NODE, "rank", get == null ? 0 : get.rank(), "age",
                get == null ? 0 : Math.round(get.maxAgeMs()));
        }
    }

    static void ended(Exchange x, int number, Depots.Answer answer, double ms) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(LOG.atDebug(), "attempt ended", "request", x.request.id(), "number", number, "node",
                x.attempts.get(number).node, "result", answer.result(), "note", answer.note(), "ms", Math.round(ms));
        }
    }

    /** {@code how}: served, refused, failed or gone. */
    static void over(Exchange x, String how, double ms) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(LOG.atDebug(), "request over", "request", x.request.id(), "how", how, "attempts",
                x.attempts.size(), "ms", Math.round(ms));
        }
    }
}
