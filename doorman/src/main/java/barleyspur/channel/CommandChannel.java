package barleyspur.channel;

import barleyspur.doorman.Clock;
import barleyspur.doorman.RateLimitedLog;
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
    private static final int MAX_LINE_BYTES = 4 << 20;
    /** The connect timeout, short enough that another attempt is made in time. */
    public static final int CONNECT_TIMEOUT_MS = 500;

    static final double RECONNECT_DELAY_MS = 200;
    /**
     * Heartbeats arrive every second. Commands on a channel that has stopped are expected to be known 4 s after it
     * stopped.
     */
    static final double HEARTBEAT_TIMEOUT_MS = 2_000;

    private final Connector connector;
    private final Clock clock;
    private final CommandReader reader;
    private final RateLimitedLog log;
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
        this.log = new RateLimitedLog(LOG, clock);
    }

    /** Connects, and reconnects whenever the connection is lost. */
    public void connect() {
        Connection connection = new Connection();
        current = connection;
        connector.connect(address, new LineDecoder(MAX_LINE_BYTES), connection).addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                scheduleReconnect(connection, done.cause().getMessage());
            }
        });
    }

    /**
     * Switches to another address and resumes there after the last command received. The previous connection is closed
     * at once: it may deliver nothing more before its end, and the next commands have to be known within a few seconds.
     */
    public void reconnectTo(InetSocketAddress next) {
        if (closed || next.equals(address)) {
            return;
        }
        LogEvent.log(LOG.atInfo(), "moves", "from", address, "to", next, "after", reader.cursor());
        address = next;
        Connection previous = current;
        if (previous != null) {
            connect();
            previous.closeChannel();
        }
    }

    /** Closes the channel permanently. */
    public void close() {
        closed = true;
        if (current != null) {
            current.closeChannel();
        }
    }

    private void scheduleReconnect(Connection lost, String cause) {
        if (lost == current && !closed) {
            log.warn("cut", "after", reader.cursor(), "cause", cause);
            clock.schedule(RECONNECT_DELAY_MS, () -> {
                if (lost == current && !closed) {
                    connect();
                }
            });
        }
    }

    /** The handler of one connection. */
    private final class Connection extends SimpleChannelInboundHandler<String> {
        private Channel channel;
        private Clock.Timer heartbeatTimer;

        void closeChannel() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            heartbeatTimer = clock.schedule(HEARTBEAT_TIMEOUT_MS, this::onHeartbeatTimeout);
            if (this != current || closed) {
                // The connection was established after the channel had switched to another one.
                closeChannel();
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
            heartbeatTimer.cancel();
            heartbeatTimer = clock.schedule(HEARTBEAT_TIMEOUT_MS, this::onHeartbeatTimeout);
            if (!reader.readLine(line)) {
                log.warn("gap: resuming", "after", reader.cursor());
                ctx.close();
            }
        }

        private void onHeartbeatTimeout() {
            log.warn("silent", "after", reader.cursor());
            closeChannel();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            heartbeatTimer.cancel();
            scheduleReconnect(this, "the connection has ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.warn("connection closed", "cause", cause);
            ctx.close();
        }
    }
}
