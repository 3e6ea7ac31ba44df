package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Times out a client connection whose first request doesn't arrive, or on which a request has been received only in
 * part. A request that continues to arrive may take as long as the longest deadline of any request class.
 */
final class PartialRequestWatch {

    /** How long a client may send nothing before its first request, or in the middle of a request. */
    static final int SILENCE_MS = 2_000;

    /** Receives the time-outs. */
    interface Listener {
        /** Called when a new connection has sent no request in time. */
        void noRequestCame();

        /** Called when the rest of a request hasn't arrived in time and no request is pending on the connection. */
        void requestStoppedShort();
    }

    private final Clock clock;
    private final ThriftFrameDecoder decoder;
    private final DoubleSupplier longestDeadlineMs;
    private final BooleanSupplier nothingOpen;
    private final Listener listener;

    private Clock.Timer timer;
    private boolean arriving;
    /** When the first bytes of the incomplete request were noticed. */
    private double arrivingSinceMs;
    /** How many complete frames had been received before it. */
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

    /** Starts the time-out for the first request. */
    void awaitFirst() {
        timer = clock.after(SILENCE_MS, listener::noRequestCame);
    }

    /** Whether part of a request had been received at the last update. */
    boolean arriving() {
        return arriving;
    }

    /**
     * Restarts or cancels the time-out after input has been read.
     *
     * @param asked whether the client has sent a valid call before
     */
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
        timer = clock.after(ms, () -> {
            if (nothingOpen.getAsBoolean()) {
                listener.requestStoppedShort();
            } else {
                awaitRest(SILENCE_MS);
            }
        });
    }

    /** Cancels the time-out. */
    void stop() {
        timer.cancel();
    }
}
