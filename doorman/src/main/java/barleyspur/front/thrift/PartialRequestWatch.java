package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Watches one client connection for what never becomes whole: a first request that does not come, or a request of which
 * only a part has come. One that goes on coming may take as long as any request may.
 */
final class PartialRequestWatch {

    /** How long a client may say nothing before its first request, or within one that it began. */
    static final int SILENCE_MS = 2_000;

    /** What to do about a client that says nothing more. */
    interface Listener {
        /** No request has come on a new connection. */
        void noRequestCame();

        /** A request has begun and does not go on, and nothing is open on its connection. */
        void requestStoppedShort();
    }

    private final Clock clock;
    private final ThriftFrameDecoder decoder;
    private final DoubleSupplier longestDeadlineMs;
    private final BooleanSupplier nothingOpen;
    private final Listener listener;

    private Clock.Timer timer;
    private boolean arriving;
    /** When the request began of which only a part has come. */
    private double arrivingSinceMs;
    /** How many whole frames had come before it. */
    private long framesBefore;

    PartialRequestWatch(
            Clock clock,
            ThriftFrameDecoder decoder,
            DoubleSupplier longestDeadlineMs,
            BooleanSupplier nothingOpen,
            Listener listener) {
        this.clock = clock;
        this.decoder = decoder;
        this.longestDeadlineMs = longestDeadlineMs;
        this.nothingOpen = nothingOpen;
        this.listener = listener;
    }

    /** A client that has not asked for anything yet is to begin by and by. */
    void awaitFirst() {
        timer = clock.schedule(SILENCE_MS, listener::noRequestCame);
    }

    /** Whether part of a request had come when this last looked. */
    boolean arriving() {
        return arriving;
    }

    /** Looks at what has come; {@code asked}: the client has sent something of use before. */
    void look(boolean connected, boolean asked) {
        boolean midFrame = connected && decoder.midFrame();
        if (asked || midFrame) {
            timer.cancel();
        }
        if (!midFrame) {
            arriving = false;
            return;
        }
        double now = clock.nowMs();
        if (!arriving || decoder.frames() != framesBefore) {
            arriving = true;
            arrivingSinceMs = now;
            framesBefore = decoder.frames();
        }
        awaitRest(Math.min(SILENCE_MS, arrivingSinceMs + longestDeadlineMs.getAsDouble() - now));
    }

    private void awaitRest(double ms) {
        timer = clock.schedule(ms, () -> {
            if (nothingOpen.getAsBoolean()) {
                listener.requestStoppedShort();
            } else {
                awaitRest(SILENCE_MS);
            }
        });
    }

    /** Watches no more. */
    void stop() {
        timer.cancel();
    }
}
