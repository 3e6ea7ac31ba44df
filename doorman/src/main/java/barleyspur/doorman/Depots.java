package barleyspur.doorman;

import barleyspur.decision.Director;
import io.netty.buffer.ByteBuf;
import java.util.List;

/** The depots, parents and the origin, as the core uses them. Nothing here decides or tries again. */
public interface Depots {

    /** The node is known from here on, under its new listing where it was known before. */
    void list(long node, Listing listing);

    /** The node is gone: what is open goes on, nothing new comes. */
    void retire(long node);

    /** Sends an attempt; {@code end} is called once, never from within this call, unless it is cancelled. */
    Call send(long node, Order order, End end);

    /** Asks for the node's report; {@code end} is called once, never from within this call. */
    void probe(long node, double timeoutMs, End end);

    /** Closes the idle connections to a node. */
    void hangUp(long node);

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
        /** Gives the attempt up: {@link End} is not called any more. */
        void cancel();
    }

    /** Told how an attempt or a probe ended. */
    interface End {
        /** It has ended, with this. */
        void ended(Answer answer);

        /**
         * The admission check, last before the first byte goes out: OK, and it goes; else it doesn't, and the attempt ends
         * with this result, one that proves that it never ran.
         */
        default Director.Result admit() {
            return Director.Result.OK;
        }

        /** It is on its way. */
        default void sent() {}
    }

    /**
     * How it ended. {@code body}, where it isn't null, belongs to whom it is told; it is null for all but OK,
     * and for an OK that says that the client's copy is the one.
     */
    record Answer(Director.Result result, Director.Note note, List<Float> load, ByteBuf body, String tag) {

        /** An end without an answer. */
        public static Answer of(Director.Result result) {
            return new Answer(result, Director.Note.NONE, List.of(), null, null);
        }
    }
}
