package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import io.netty.buffer.ByteBuf;
import java.util.List;

/**
 * The core's client interface to depots, parents and the origin. Implementations make no routing decisions and never
 * retry.
 */
public interface Depots {

    /** Adds the node, or replaces its listing if it is known already. */
    void updateNode(long node, NodeListing listing);

    /** Removes the node. Open attempts continue; no new ones are accepted. */
    void removeNode(long node);

    /**
     * Sends an attempt. {@code listener} is notified of its end exactly once unless the attempt is cancelled, and never
     * from within this call.
     */
    Call send(long node, AttemptRequest attemptRequest, AttemptListener listener);

    /** Requests the node's load report. {@code listener} is notified exactly once, never from within this call. */
    void probe(long node, double timeoutMs, AttemptListener listener);

    /** Closes the idle connections to a node. */
    void closeIdleConnections(long node);

    /**
     * The parameters of one attempt. The request's body is borrowed: an implementation that sends it retains its own
     * reference.
     *
     * @param timeoutMs how long the depot may take
     * @param source the uid of the node that a miss is filled from; null for no fill
     * @param copyRank the rank at which the depot keeps a filled copy; 0 passes it through without keeping it
     * @param maxAgeMs the maximum age of the copy; 0 for the limit of the request's class
     * @param join whether the attempt may join a fill that is already in progress
     * @param onlyHeld whether the source may serve only what it already holds
     * @param parentKeepsNone whether a parent passes the object through without keeping a copy
     * @param renew whether the depot has to refresh its copy
     */
    record AttemptRequest(
            Request request,
            double timeoutMs,
            String source,
            int copyRank,
            double maxAgeMs,
            boolean join,
            boolean onlyHeld,
            boolean parentKeepsNone,
            boolean renew) {}

    /** An attempt that has not ended yet. */
    interface Call {
        /** Cancels the attempt; its {@link AttemptListener} is not called any more. */
        void cancel();
    }

    /** Is notified about the progress and the end of an attempt or a probe. */
    interface AttemptListener {
        /** Called when the attempt has ended. */
        void onEnd(Answer answer);

        /**
         * Checks, directly before the first byte is written, whether the attempt may still be sent. Any result other
         * than OK prevents the write and becomes the result of the attempt; it has to be one that proves that the
         * attempt never ran.
         */
        default RoutingPolicy.Result beforeWrite() {
            return RoutingPolicy.Result.OK;
        }

        /** Called when the attempt has been written to its connection. */
        default void onSent() {}
    }

    /**
     * The end of an attempt or probe. {@code body} is owned by the listener. It is null for all results but OK, and for
     * an OK that confirms the client's own copy as current.
     */
    record Answer(RoutingPolicy.Result result, RoutingPolicy.Note note, List<Float> load, ByteBuf body, String tag) {

        /** Returns the end of an attempt that got no answer. */
        public static Answer of(RoutingPolicy.Result result) {
            return new Answer(result, RoutingPolicy.Note.NONE, List.of(), null, null);
        }
    }
}
