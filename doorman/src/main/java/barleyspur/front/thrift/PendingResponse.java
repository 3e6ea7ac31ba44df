package barleyspur.front.thrift;

import barleyspur.doorman.Doorman;
import barleyspur.doorman.RequestTrace;
import barleyspur.doorman.ResponseHandler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Map;

/** One open request of a client connection: writes its final answer, once the connection has let it go. */
final class PendingResponse implements ResponseHandler {

    private final int seqid;
    private final String requestId;
    private final ResponseWriter responses;
    /** Takes it from the open requests of its connection. */
    private final Runnable letGo;

    private Doorman.Cancellable request;

    PendingResponse(int seqid, String requestId, ResponseWriter responses, Runnable letGo) {
        this.seqid = seqid;
        this.requestId = requestId;
        this.responses = responses;
        this.letGo = letGo;
    }

    /** The core has taken the request. */
    void taken(Doorman.Cancellable taken) {
        request = taken;
    }

    /** The client has left, or is made to: the core owes no answer any more. */
    void cancel(String why) {
        RequestTrace.clientLeft(requestId, why);
        request.cancel();
    }

    /** Writes that the request has failed, without the core. */
    void writeFailed() {
        responses.failed(seqid, requestId);
    }

    @Override
    public void served(ByteBuf body, String tag) {
        letGo.run();
        responses.served(seqid, requestId, body, tag == null ? Map.of() : Map.of("etag", tag));
    }

    @Override
    public void unchanged(String tag) {
        letGo.run();
        Map<String, String> fields = tag == null ? Map.of("notmod", "1") : Map.of("notmod", "1", "etag", tag);
        responses.served(seqid, requestId, Unpooled.EMPTY_BUFFER, fields);
    }

    @Override
    public void refused(double pauseMs) {
        letGo.run();
        Map<String, String> advice = pauseMs > 0 ? Map.of("w", Long.toString(Math.round(pauseMs))) : Map.of();
        responses.refused(seqid, requestId, advice);
    }

    @Override
    public void failed() {
        letGo.run();
        writeFailed();
    }
}
