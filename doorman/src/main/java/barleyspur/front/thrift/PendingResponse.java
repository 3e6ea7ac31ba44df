package barleyspur.front.thrift;

import barleyspur.doorman.Doorman;
import barleyspur.doorman.RequestTrace;
import barleyspur.doorman.ResponseHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Map;

/** The pending response of one request: writes it after removing the request from its connection's pending ones. */
final class PendingResponse implements ResponseHandler {

    private final int seqid;
    private final String requestId;
    private final ResponseWriter responses;
    /** The retry delay with which a response that can't be queued is refused; negative if it may not be refused. */
    private final double overloadRetryAfterMs;
    /** Removes this response from the pending ones of its connection. */
    private final Runnable removeFromPending;
    /** What the request holds of the input budgets. */
    private final RequestMemory.Reservation memory;

    private Doorman.Cancellable request;

    PendingResponse(
            int seqid,
            String requestId,
            ResponseWriter responses,
            double overloadRetryAfterMs,
            RequestMemory.Reservation memory,
            Runnable removeFromPending) {
        this.seqid = seqid;
        this.requestId = requestId;
        this.responses = responses;
        this.overloadRetryAfterMs = overloadRetryAfterMs;
        this.memory = memory;
        this.removeFromPending = removeFromPending;
    }

    /** Sets the handle by which the accepted request can be cancelled. */
    void setRequest(Doorman.Cancellable accepted) {
        request = accepted;
    }

    /** Cancels the request, because the client has disconnected, is being disconnected, or has cancelled it. */
    void cancel(String reason) {
        RequestTrace.clientLeft(requestId, reason);
        request.cancel();
    }

    /** Writes a failure without waiting for the doorman's own result. */
    void writeFailure() {
        responses.writeFailed(seqid, requestId);
    }

    @Override
    public void served(ByteBuf body, String tag) {
        if (overloadRetryAfterMs >= 0 && !responses.mayQueue(body)) {
            body.release();
            refused(overloadRetryAfterMs);
            return;
        }
        removeFromPending.run();
        responses.writeServed(seqid, requestId, body, tag == null ? Map.of() : Map.of("etag", tag));
    }

    @Override
    public void unchanged(String tag) {
        removeFromPending.run();
        Map<String, String> fields = tag == null ? Map.of("notmod", "1") : Map.of("notmod", "1", "etag", tag);
        responses.writeServed(seqid, requestId, Unpooled.EMPTY_BUFFER, fields);
    }

    @Override
    public void refused(double pauseMs) {
        removeFromPending.run();
        Map<String, String> retryFields = pauseMs > 0 ? Map.of("w", Long.toString(Math.round(pauseMs))) : Map.of();
        responses.writeRefused(seqid, requestId, retryFields);
    }

    @Override
    public void failed() {
        removeFromPending.run();
        writeFailure();
    }

    @Override
    public void released() {
        memory.release();
    }
}
