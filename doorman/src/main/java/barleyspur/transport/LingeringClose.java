package barleyspur.transport;

import barleyspur.doorman.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;

/**
 * Closes an accepted connection without losing data that the peer has not read yet. The states are <em>open</em>;
 * <em>draining</em>, in which pending output is written and no input is processed; <em>half-closed</em>, in which our
 * output is shut down and input is read and discarded; and <em>closed</em>, once the peer has closed its side or a
 * limit in bytes or time is reached.
 *
 * <p>Closing a socket with unread input resets the connection, and a reset discards data that the peer has not read
 * yet, such as the last answer. A request that crosses our shutdown is discarded and never processed, so the peer may
 * safely send it again elsewhere.
 */
public final class LingeringClose {

    /** Beyond this amount reading stops, so that a peer that sends without end can't occupy the event loop. */
    static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private final Channel channel;
    private final Clock clock;
    private Clock.Timer forcedCloseTimer;

    /** Creates the close procedure for {@code channel}, which stays open until {@link #begin}. */
    public LingeringClose(Channel channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
    }

    /** Starts to close the connection, and forces the close after {@code maxMs}. Further calls have no effect. */
    public void begin(double maxMs) {
        if (forcedCloseTimer != null) {
            return;
        }
        forcedCloseTimer = clock.schedule(maxMs, channel::close);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(out -> {
            if (channel instanceof DuplexChannel duplex && channel.isActive()) {
                duplex.shutdownOutput();
            }
        });
    }

    /** Returns whether closing has started. */
    public boolean hasBegun() {
        return forcedCloseTimer != null;
    }

    /** Reports the total number of bytes discarded since closing started; stops the reading at the limit at once. */
    public void onDiscarded(long bytes) {
        if (bytes > MAX_DISCARDED_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Reports that the connection has ended, which cancels the forced close. */
    public void onClosed() {
        if (forcedCloseTimer != null) {
            forcedCloseTimer.cancel();
        }
    }
}
