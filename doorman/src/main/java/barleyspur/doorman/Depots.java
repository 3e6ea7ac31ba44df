package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import io.netty.buffer.ByteBuf;
import java.util.List;

/** The depots, parents and the origin, as the core uses them. Nothing here decides or tries again. */
public interface Depots {

    /** The node is known from here on, under its new listing where it was known before. */
    void list(long node, NodeListing listing);

    /** The node is gone: what is open goes on, nothing new comes. */
    void retire(long node);

    /** Sends an attempt; {@code listener} is told once, never from within this call, unless it is cancelled. */
    Call send(long node, Order order, AttemptListener listener);

    /** Asks for the node's report; {@code listener} is told once, never from within this call. */
    void probe(long node, double timeoutMs, AttemptListener listener);

    /** Closes the idle connections to a node. */
    void closeIdle(long node);

    /**
     * What an attempt asks for. {@code source} null: no fill; {@code tag} null: the client holds no copy.
     * {@code body} is lent: who sends it takes a reference of its own.
     */
    record Order(
            Request request,
            double waitMs,
            String source,
            int shelf,
            double maxAgeMs,
            boolean join,
            boolean onlyHeld,
            boolean parentKeepsNone,
            boolean renew) {}

    /** An attempt that is out. */
    interface Call {
        /** Gives the attempt up: {@link AttemptListener} is not called any more. */
        void cancel();
    }

    /** Told how an attempt or a probe ended. */
    interface AttemptListener {
        /** It has ended, with this. */
        void ended(Answer answer);

        /**
         * The admission check, last before the first byte goes out: OK, and it goes; else it doesn't, and the attempt ends
         * with this result, one that proves that it never ran.
         */
        default RoutingPolicy.Result beforeWrite() {
            return RoutingPolicy.Result.OK;
        }

        /** It is on its way. */
        default void sent() {}
    }

    /**
     * How it ended. {@code body}, where it isn't null, belongs to whom it is told; it is null for all but OK,
     * and for an OK that says that the client's copy is the one.
     */
    record Answer(RoutingPolicy.Result result, RoutingPolicy.Note note, List<Float> load, ByteBuf body, String tag) {

        /** An end without an answer. */
        public static Answer of(RoutingPolicy.Result result) {
            return new Answer(result, RoutingPolicy.Note.NONE, List.of(), null, null);
        }
    }
}
