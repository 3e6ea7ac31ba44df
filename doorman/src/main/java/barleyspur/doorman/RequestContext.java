package barleyspur.doorman;

import java.util.ArrayList;
import java.util.List;

/** One request from its arrival until it is over and all its attempts are back. */
final class RequestContext {

    /** One attempt; its number is its place in the list. */
    static final class Attempt {
        final long node;
        /** Where a miss is filled from; the node itself where it is not. */
        final long source;

        final double sentAt;
        /** Null where the attempt was never sent. */
        Depots.Call call;

        Clock.Timer timeout;
        boolean ended;
        /** Its first byte has gone out, and when; until then nothing can have run. */
        boolean written;

        double writtenAt;
        /** It is back, and its end does not prove that it never ran. */
        boolean mayHaveRun;

        Attempt(long node, long source, double sentAt) {
            this.node = node;
            this.source = source;
            this.sentAt = sentAt;
        }
    }

    final long id;
    final Request request;
    final ResponseHandler handler;
    final double takenAt;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    Clock.Timer guard;
    int out;
    boolean over;

    /** The request came at {@code takenAt}, and is to end {@code marginMs} before its time is over. */
    RequestContext(long id, Request request, ResponseHandler handler, double takenAt, double marginMs) {
        this.id = id;
        this.request = request;
        this.handler = handler;
        this.takenAt = takenAt;
        this.deadline = takenAt + request.remainingMs() - marginMs;
    }

    /** Whether no byte of any attempt has gone out. */
    boolean neverSent() {
        return attempts.stream().noneMatch(attempt -> attempt.written);
    }
}
