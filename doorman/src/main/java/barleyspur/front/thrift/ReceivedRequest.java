package barleyspur.front.thrift;

import barleyspur.doorman.Request;
import barleyspur.reload.RequestClassRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * A request that has been read and waits for the end of the iteration of the event loop. It owns a copy of its body, so
 * that it doesn't keep the buffer that it was read into.
 *
 * @param request   the request; null if one of its fields is invalid
 * @param rejection why the request is invalid; null if it is valid
 * @param arrivedMs the earliest time at which the request may have reached this machine
 * @param memory    what the request holds of the input budgets
 */
record ReceivedRequest(
        int seqid, Request request, String rejection, double arrivedMs, RequestMemory.Reservation memory) {

    /** Returns the request of a call. */
    static ReceivedRequest of(
            ThriftCall.Dispatch call,
            RequestClassRegistry classes,
            ByteBufAllocator alloc,
            double arrivedMs,
            RequestMemory.Reservation memory) {
        ByteBuf body = copyBody(call.body(), alloc);
        try {
            Request request = RequestFields.parse(call.fields(), body, classes);
            return new ReceivedRequest(call.seqid(), request, null, arrivedMs, memory);
        } catch (IllegalArgumentException e) {
            body.release();
            return new ReceivedRequest(call.seqid(), null, e.getMessage(), arrivedMs, memory);
        }
    }

    private static ByteBuf copyBody(ByteBuf body, ByteBufAllocator alloc) {
        int bytes = body.readableBytes();
        return bytes == 0 ? Unpooled.EMPTY_BUFFER : alloc.buffer(bytes, bytes).writeBytes(body);
    }

    /** Returns the client's id of the request, or an empty text if the request is invalid. */
    String requestId() {
        return request == null ? "" : request.id();
    }

    /** Drops the request. */
    void release() {
        if (request != null) {
            request.body().release();
        }
        memory.release();
    }
}
