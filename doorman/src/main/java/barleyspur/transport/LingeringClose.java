package barleyspur.transport;

import barleyspur.doorman.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;

/**
 * How a connection that others opened to us ends: <em>open</em>; then <em>draining</em>, in which what was written goes
 * out and nothing more is taken; then <em>half-closed</em>, in which our side is shut and what still comes is read and
 * thrown away; then <em>closed</em>, once the peer has closed its side, or past a bound in bytes and time.
 *
 * <p>Guards the last answer: a close over input that was not read resets the connection, and a reset destroys what the
 * peer has not read yet. Guards the peer's next request too: one that crosses our shutdown is thrown away, never acted on,
 * so the peer may send it once more elsewhere.
 *
 * <p>Owed while draining: what was written before. Owed while half-closed: nothing but the time to read it.
 */
public final class LingeringClose {

    /** More than this is not even read: who sends without end must not have the event loop for itself. */
    static final long MOST_DISCARDED = 256 * 1024;

    private final Channel channel;
    private final Clock clock;
    private Clock.Timer bound;

    /** For a connection on {@code channel}, which stays open until {@link #begin}. */
    public LingeringClose(Channel channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
    }

    /** Begins to close, for {@code mostMs} at most; a second call changes nothing. */
    public void begin(double mostMs) {
        if (bound != null) {
            return;
        }
        bound = clock.after(mostMs, channel::close);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(out -> {
            if (channel instanceof DuplexChannel duplex && channel.isActive()) {
                duplex.shutdownOutput();
            }
        });
    }

    /** Whether it is no longer open. */
    public boolean begun() {
        return bound != null;
    }

    /** Told how many bytes have been thrown away since it began. */
    public void discarded(long bytes) {
        if (bytes > MOST_DISCARDED) {
            channel.config().setAutoRead(false);
        }
    }

    /** The connection has ended: nothing is to be waited for. */
    public void closed() {
        if (bound != null) {
            bound.cancel();
        }
    }
}
