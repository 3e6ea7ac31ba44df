package barleyspur.channel;

import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.log.LogEvent;
import barleyspur.transport.Connector;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the command channel. A doorman is expected to know each command a few seconds after it was issued, even
 * if the channel was interrupted. So a connection that misses its heartbeats or shows a gap is closed at once, and a
 * new one resumes after the last command received.
 */
public final class CommandChannel {

    private static final Logger LOG = LoggerFactory.getLogger("channel");
    private static final int MAX_LINE = 4 << 20;
    /** The connect timeout, short enough that another attempt is made in time. */
    public static final int CONNECT_TIMEOUT_MS = 500;

    static final double AGAIN_MS = 200;
    /**
     * Heartbeats arrive every second. Commands on a channel that has stopped are expected to be known 4 s after it
     * stopped.
     */
    static final double SILENCE_MS = 2_000;

    private final Connector connector;
    private final Clock clock;
    private final CommandReader reader;
    private final CappedLog log;
    private InetSocketAddress address;
    /** The current connection; events on any other are ignored. */
    private Connection current;

    private boolean closed;

    /** Creates a channel to {@code address}, not yet connected; its lines are passed to {@code reader}. */
    public CommandChannel(Connector connector, InetSocketAddress address, Clock clock, CommandReader reader) {
        this.connector = connector;
        this.address = address;
        this.clock = clock;
        this.reader = reader;
        this.log = new CappedLog(LOG, clock);
    }

    /** Connects, and reconnects whenever the connection is lost. */
    public void start() {
        Connection connection = new Connection();
        current = connection;
        connector.connect(address, new LineDecoder(MAX_LINE), connection).addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                again(connection, done.cause().getMessage());
            }
        });
    }

    /**
     * Switches to another address and resumes there after the last command received. The previous connection is closed
     * at once: it may deliver nothing more before its end, and the next commands have to be known within a few seconds.
     */
    public void moveTo(InetSocketAddress next) {
        if (closed || next.equals(address)) {
            return;
        }
        LogEvent.log(LOG.atInfo(), "moves", "from", address, "to", next, "after", reader.cursor());
        address = next;
        Connection before = current;
        if (before != null) {
            start();
            before.drop();
        }
    }

    /** Closes the channel permanently. */
    public void close() {
        closed = true;
        if (current != null) {
            current.drop();
        }
    }

    private void again(Connection lost, String why) {
        if (lost == current && !closed) {
            log.warn("cut", "after", reader.cursor(), "cause", why);
            clock.after(AGAIN_MS, () -> {
                if (lost == current && !closed) {
                    start();
                }
            });
        }
    }

    /** The handler of one connection. */
    private final class Connection extends SimpleChannelInboundHandler<String> {
        private Channel channel;
        private Clock.Timer silence;

        void drop() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            silence = clock.after(SILENCE_MS, this::silent);
            if (this != current || closed) {
                // The connection was established after the channel had switched to another one.
                drop();
                return;
            }
            LogEvent.log(LOG.atInfo(), "connected", "address", address, "after", reader.cursor());
            ctx.writeAndFlush(ByteBufUtil.writeUtf8(ctx.alloc(), "resume " + reader.cursor() + "\n"));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (this != current || closed) {
                return;
            }
            silence.cancel();
            silence = clock.after(SILENCE_MS, this::silent);
            if (!reader.line(line)) {
                log.warn("gap: resuming", "after", reader.cursor());
                ctx.close();
            }
        }

        private void silent() {
            log.warn("silent", "after", reader.cursor());
            drop();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            silence.cancel();
            again(this, "the connection has ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.warn("connection closed", "cause", cause);
            ctx.close();
        }
    }
}
