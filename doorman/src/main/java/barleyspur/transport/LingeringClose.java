package barleyspur.transport;

import barleyspur.doorman.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.function.DoubleSupplier;

/**
 * Closes an accepted connection without losing data that the peer has not read yet.
 *
 * <p>Closing a socket with unread input resets the connection, and a reset discards data that the peer has not read
 * yet, such as the last answer. A request that crosses our shutdown is discarded and never processed, so the peer may
 * safely send it again elsewhere. Each state has a bound in time, and what is discarded one in bytes, so that a peer
 * that never reads or never closes holds nothing for good.
 */
public final class LingeringClose {

    /** The states of a connection on its way to its end. Only later ones follow. */
    public enum State {
        /** Input is processed and output is written. */
        OPEN,
        /** Pending output is written, which the peer is still owed; input is discarded. */
        DRAINING,
        /** Our output is shut down; the peer may be reading what was written, and input is discarded. */
        HALF_CLOSED,
        /** The peer has closed its side as well, or a limit was reached. */
        CLOSED
    }

    /** Beyond this amount reading stops, so that a peer that sends without end can't occupy the event loop. */
    static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private final Channel channel;
    private final Clock clock;
    private State state = State.OPEN;
    private Clock.Timer forcedCloseTimer;

    /** Creates the close procedure for {@code channel}, which stays open until {@link #begin}. */
    public LingeringClose(Channel channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
    }

    /**
     * Starts to close the connection. Further calls have no effect.
     *
     * @param maxDrainMs the longest time for which pending output is written
     * @param lingerMs   supplies, once that is written, how long the peer may take to read it and to close its side
     */
    public void begin(double maxDrainMs, DoubleSupplier lingerMs) {
        if (state != State.OPEN) {
            return;
        }
        state = State.DRAINING;
        forceCloseAfter(maxDrainMs);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> {
            if (state == State.DRAINING && channel.isActive()) {
                state = State.HALF_CLOSED;
                forceCloseAfter(lingerMs.getAsDouble());
                shutDownOutput();
            }
        });
    }

    private void shutDownOutput() {
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
    }

    private void forceCloseAfter(double delayMs) {
        if (forcedCloseTimer != null) {
            forcedCloseTimer.cancel();
        }
        forcedCloseTimer = clock.schedule(delayMs, channel::close);
    }

    /** Returns the current state. */
    public State state() {
        return state;
    }

    /** Returns whether closing has started. */
    public boolean hasBegun() {
        return state != State.OPEN;
    }

    /** Reports the total number of bytes discarded since closing started; stops the reading at the limit at once. */
    public void onDiscarded(long bytes) {
        if (bytes > MAX_DISCARDED_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Reports that the connection has ended, which cancels the forced close. */
    public void onClosed() {
        state = State.CLOSED;
        if (forcedCloseTimer != null) {
            forcedCloseTimer.cancel();
        }
    }
}
