package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Times out a client connection whose first request doesn't arrive, or on which a request has been received only in
 * part. A request that continues to arrive may take as long as the longest deadline of any request class.
 */
final class RequestReadTimeout {

    /** How long a client may send nothing before its first request, or in the middle of a request. */
    static final int INACTIVITY_TIMEOUT_MS = 2_000;

    /** Receives the time-outs. */
    interface Listener {
        /** Called when a new connection has sent no request in time. */
        void firstRequestTimedOut();

        /** Called when the rest of a request hasn't arrived in time and no request is pending on the connection. */
        void partialRequestTimedOut();
    }

    private final Clock clock;
    private final ThriftFrameDecoder decoder;
    private final DoubleSupplier longestDeadlineMs;
    private final BooleanSupplier nothingPending;
    private final Listener listener;

    private Clock.Timer timer;
    private boolean receiving;
    /** When the first bytes of the incomplete request were noticed. */
    private double receivingSinceMs;
    /** How many complete frames had been received before it. */
    private long framesBefore;

    RequestReadTimeout(
            Clock clock,
            ThriftFrameDecoder decoder,
            DoubleSupplier longestDeadlineMs,
            BooleanSupplier nothingPending,
            Listener listener) {
        this.clock = clock;
        this.decoder = decoder;
        this.longestDeadlineMs = longestDeadlineMs;
        this.nothingPending = nothingPending;
        this.listener = listener;
    }

    /** Starts the time-out for the first request. */
    void startFirstRequestTimer() {
        stop();
        timer = clock.schedule(INACTIVITY_TIMEOUT_MS, listener::firstRequestTimedOut);
    }

    /** Whether part of a request had been received at the last update. */
    boolean receiving() {
        return receiving;
    }

    /**
     * Restarts or cancels the time-out after input has been read.
     *
     * @param used whether the client has sent a valid call before
     */
    void update(boolean connected, boolean used) {
        boolean partialFrame = connected && decoder.hasPartialFrame();
        if (used || partialFrame) {
            stop();
        }
        if (!partialFrame) {
            receiving = false;
            return;
        }
        double nowMs = clock.nowMs();
        if (!receiving || decoder.frameCount() != framesBefore) {
            receiving = true;
            receivingSinceMs = nowMs;
            framesBefore = decoder.frameCount();
        }
        startPartialRequestTimer(
                Math.min(INACTIVITY_TIMEOUT_MS, receivingSinceMs + longestDeadlineMs.getAsDouble() - nowMs));
    }

    private void startPartialRequestTimer(double delayMs) {
        stop();
        timer = clock.schedule(delayMs, () -> {
            if (nothingPending.getAsBoolean()) {
                listener.partialRequestTimedOut();
            } else {
                startPartialRequestTimer(INACTIVITY_TIMEOUT_MS);
            }
        });
    }

    /** Cancels the time-out. */
    void stop() {
        if (timer != null) {
            timer.cancel();
        }
    }
}
