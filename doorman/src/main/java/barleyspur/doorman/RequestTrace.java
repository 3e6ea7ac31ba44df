package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import barleyspur.log.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The way of each request through a doorman as log events: taken, attempts and their ends, the answer. Logger
 * {@code trail}, level debug, so it is off unless asked for ({@code -Dorg.slf4j.simpleLogger.log.trail=debug}); a
 * request's id is the client's, so that one can be followed, and many counted, across the doormans that it came to.
 */
public final class RequestTrace {

    private static final Logger LOG = LoggerFactory.getLogger("trail");
    /** A timer that runs so late shows a busy event loop or process. */
    private static final double LATE_MS = 50;

    private RequestTrace() {}

    /** Whether requests are traced; costs nothing where they are not. */
    static boolean isOn() {
        return LOG.isDebugEnabled();
    }

    /** {@code waitedMs}: how long it may have waited to be read. */
    static void taken(Request request, double waitedMs) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "request taken",
                    "request",
                    request.id(),
                    "class",
                    request.className(),
                    "object",
                    request.key(),
                    "part",
                    request.part(),
                    "left",
                    Math.round(request.remainingMs()),
                    "kb",
                    Math.round(request.sizeKb()),
                    "waited",
                    Math.round(waitedMs));
        }
    }

    /** {@code get} is null for an attempt that fills nothing. */
    static void sent(RequestContext context, int number, long node, RoutingPolicy.Get get) {
        if (LOG.isDebugEnabled()) {
            boolean sourced = get != null && get.source() != node;
            LogEvent.log(
                    LOG.atDebug(),
                    "attempt sent",
                    "request",
                    context.request.id(),
                    "number",
                    number,
                    "node",
                    node,
                    "source",
                    sourced ? get.source() : RoutingPolicy.NO_NODE,
                    "rank",
                    get == null ? 0 : get.rank(),
                    "age",
                    get == null ? 0 : Math.round(get.maxAgeMs()));
        }
    }

    static void ended(RequestContext context, int number, Depots.Answer answer, double ms) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "attempt ended",
                    "request",
                    context.request.id(),
                    "number",
                    number,
                    "node",
                    context.attempts.get(number).node,
                    "result",
                    answer.result(),
                    "note",
                    answer.note(),
                    "ms",
                    Math.round(ms));
        }
    }

    /** {@code how}: served, refused, failed or gone. */
    static void over(RequestContext context, String how, double ms) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "request over",
                    "request",
                    context.request.id(),
                    "how",
                    how,
                    "attempts",
                    context.attempts.size(),
                    "ms",
                    Math.round(ms));
        }
    }

    /** A timer ran {@code lateMs} after its time. */
    static void timerRan(double lateMs) {
        if (lateMs > LATE_MS) {
            LogEvent.log(LOG.atDebug(), "event loop late", "ms", Math.round(lateMs));
        }
    }

    /**
     * The last byte of an answer was handed to the client's socket, or the write failed with {@code cause}; without
     * this line after a request is over, its answer still waits in this process.
     */
    public static void written(String requestId, String how, int bytes, Throwable cause) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "answer written",
                    "request",
                    requestId,
                    "how",
                    how,
                    "bytes",
                    bytes,
                    "failure",
                    cause);
        }
    }

    /** No answer is owed any more; {@code why}: the client cancelled, or its connection has ended. */
    public static void left(String requestId, String why) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(LOG.atDebug(), "client left", "request", requestId, "why", why);
        }
    }

    /** A client's connection has ended: why, and how many answers were still open or unwritten on it. */
    public static void connectionEnded(Object client, Object why, int open, int unwritten) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "connection ended",
                    "client",
                    client,
                    "why",
                    why,
                    "open",
                    open,
                    "unwritten",
                    unwritten);
        }
    }
}
