package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import barleyspur.log.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the steps of each request through a doorman: its arrival, its attempts and their ends, and its answer. The
 * events go to the logger {@code trail} at level debug, so they are off by default ({@code
 * -Dorg.slf4j.simpleLogger.log.trail=debug} turns them on). Requests are logged under the client's request id, so one
 * request can be followed across several doormans.
 */
public final class RequestTrace {

    private static final Logger LOG = LoggerFactory.getLogger("trail");
    /** A timer that runs later than this indicates a busy event loop or process. */
    private static final double LATE_MS = 50;

    private RequestTrace() {}

    /** Returns whether tracing is on. Lets callers skip the work of tracing while it is off. */
    static boolean isOn() {
        return LOG.isDebugEnabled();
    }

    /** Logs an accepted request that may have waited {@code waitedMs} before it was read. */
    static void requestAccepted(Request request, double waitedMs) {
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

    /** Logs an attempt; {@code get} is null for an attempt without a fill. */
    static void attemptSent(RequestContext context, int number, long node, RoutingPolicy.Get get) {
        if (LOG.isDebugEnabled()) {
            boolean hasOtherSource = get != null && get.source() != node;
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
                    hasOtherSource ? get.source() : RoutingPolicy.NO_NODE,
                    "rank",
                    get == null ? 0 : get.rank(),
                    "age",
                    get == null ? 0 : Math.round(get.maxAgeMs()));
        }
    }

    /** Logs the end of an attempt. */
    static void attemptEnded(RequestContext context, int number, Depots.Answer answer, double durationMs) {
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
                    Math.round(durationMs));
        }
    }

    /** Logs the end of a request; {@code outcome} is served, refused, failed or gone. */
    static void requestFinished(RequestContext context, String outcome, double durationMs) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "request over",
                    "request",
                    context.request.id(),
                    "how",
                    outcome,
                    "attempts",
                    context.attempts.size(),
                    "ms",
                    Math.round(durationMs));
        }
    }

    /** Logs a timer that ran {@code lateMs} after its due time, if that is noticeably late. */
    static void timerRan(double lateMs) {
        if (lateMs > LATE_MS) {
            LogEvent.log(LOG.atDebug(), "event loop late", "ms", Math.round(lateMs));
        }
    }

    /**
     * Logs that the last byte of an answer was passed to the client's socket, or that the write failed with
     * {@code cause}. If this line is missing after the end of a request, its answer still waits in this process.
     */
    public static void answerWritten(String requestId, String outcome, int bytes, Throwable cause) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "answer written",
                    "request",
                    requestId,
                    "how",
                    outcome,
                    "bytes",
                    bytes,
                    "failure",
                    cause);
        }
    }

    /**
     * Logs that a request needs no answer any more; {@code reason} says whether the client cancelled it or its
     * connection has ended.
     */
    public static void clientLeft(String requestId, String reason) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(LOG.atDebug(), "client left", "request", requestId, "why", reason);
        }
    }

    /** Logs the end of a client's connection, its reason, and how many of its answers were still open or unwritten. */
    public static void connectionEnded(Object client, Object reason, int open, int unwritten) {
        if (LOG.isDebugEnabled()) {
            LogEvent.log(
                    LOG.atDebug(),
                    "connection ended",
                    "client",
                    client,
                    "why",
                    reason,
                    "open",
                    open,
                    "unwritten",
                    unwritten);
        }
    }
}
