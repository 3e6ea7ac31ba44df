package barleyspur.doorman;

import barleyspur.decision.RepeatRule;
import java.util.ArrayList;
import java.util.List;

/** The state of one request, from its arrival until it is answered and all its attempts have ended. */
final class RequestContext {

    /** One attempt; its number is its index in {@link #attempts}. */
    static final class Attempt implements RepeatRule.OtherAttempt {
        final long node;
        /** The node that a miss is filled from; equal to {@link #node} for no fill. */
        final long source;

        final double startedAtMs;
        /** Null if the attempt was never passed to the depot client. */
        Depots.Call call;

        Clock.Timer timeoutTimer;
        boolean ended;
        /** Whether the first byte has been written. Until then the attempt cannot have run. */
        boolean written;

        double writtenAtMs;
        /** The group that the node belonged to when the attempt was written; null before. */
        RepeatRule.Group group;
        /** Whether the attempt has ended with a result that does not prove that it never ran. */
        boolean mayHaveRun;

        Attempt(long node, long source, double startedAtMs) {
            this.node = node;
            this.source = source;
            this.startedAtMs = startedAtMs;
        }

        @Override
        public RepeatRule.Execution execution() {
            if (!written || ended && !mayHaveRun) {
                return RepeatRule.Execution.NEVER_RAN;
            }
            return ended ? RepeatRule.Execution.MAY_HAVE_RUN : RepeatRule.Execution.OUTSTANDING;
        }

        @Override
        public double sentAtMs() {
            return writtenAtMs;
        }

        @Override
        public RepeatRule.Group group() {
            return group;
        }
    }

    final long id;
    final Request request;
    final ResponseHandler handler;
    final double arrivedAtMs;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The timers of this request, but for those of its attempts, which may end later. */
    final RequestTimers timers;
    /** When the request is failed if it has not ended before. */
    double latestEndMs;

    int openAttempts;
    boolean finished;

    /**
     * Creates the context of a request that arrived at {@code arrivedAtMs}. Its deadline is {@code marginMs} before its
     * time limit.
     */
    RequestContext(
            long id,
            Request request,
            ResponseHandler handler,
            double arrivedAtMs,
            double marginMs,
            RequestTimers timers) {
        this.id = id;
        this.request = request;
        this.handler = handler;
        this.arrivedAtMs = arrivedAtMs;
        this.deadlineMs = arrivedAtMs + request.remainingMs() - marginMs;
        this.timers = timers;
    }

    /** Returns all attempts but {@code attempt}. */
    List<Attempt> attemptsBesides(Attempt attempt) {
        if (attempts.size() == 1) {
            return List.of();
        }
        return attempts.stream().filter(other -> other != attempt).toList();
    }

    /** Returns whether no byte of any attempt has been written. */
    boolean nothingWritten() {
        return attempts.stream().noneMatch(attempt -> attempt.written);
    }
}
