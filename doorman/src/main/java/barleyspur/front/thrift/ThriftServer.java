package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.reload.RequestClassRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The server for clients: framed Thrift over TCP. */
public final class ThriftServer {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    /** A write request has a body of up to 48,000 bytes; its fields need far less than the rest. */
    private static final int MAX_FRAME_BYTES = 128 * 1024;

    private static final int MAX_PENDING = 32;
    /** Length of the kernel's accept queue: as many as the largest limit on file descriptors. */
    private static final int BACKLOG = 1_024;
    /**
     * Reads from one connection per iteration of the event loop. A connection is read until its socket is empty, so
     * that a close is noticed together with the last request before it; the limit keeps other connections from
     * starving.
     */
    private static final int MAX_READS = 16;
    /**
     * Divides the connection limit to give the number of closing connections that are allowed in addition; they linger
     * until their client has read the last response.
     */
    private static final int CLOSING_DIVISOR = 16;

    private final EventLoopGroup group;
    private final Clock clock;
    private final int maxConnections;
    private final ChannelGroup connections;
    private final RateLimitedLog log;
    private final ConnectionRegistry<ClientConnection> registry =
            new ConnectionRegistry<>(ClientConnection::isSettled, ClientConnection::isDelivering);
    private final ClientConnection.ServerContext context;
    private final boolean sharePort;
    private RequestClassRegistry classes;
    private Channel listener;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param maxUnreadBytes how many bytes of response bodies may be queued for clients that read slowly
     * @param inputBudgets   what may be held of what clients send
     * @param onOverLimit    called with true when more are queued, so that depots must not be read, and with false when
     *                       that has ended
     */
    public ThriftServer(
            EventLoopGroup group,
            Doorman doorman,
            Clock clock,
            RequestClassRegistry classes,
            int maxConnections,
            long maxUnreadBytes,
            InputBudgets inputBudgets,
            Consumer<Boolean> onOverLimit,
            Lifecycle lifecycle,
            boolean sharePort) {
        this.group = group;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.log = new RateLimitedLog(LOG, clock);
        this.connections = new DefaultChannelGroup(group.next());
        this.classes = classes;
        this.context = new ClientConnection.ServerContext(
                doorman,
                clock,
                () -> this.classes,
                MAX_PENDING,
                new ResponseBackpressure(maxUnreadBytes, onOverLimit),
                inputBudgets,
                registry,
                new RequestTurns(clock),
                log,
                lifecycle);
        this.sharePort = sharePort;
    }

    /**
     * Starts to listen. If the port is shared (SO_REUSEPORT), the new process of an upgrade can listen at the same time
     * as the old one, and the kernel distributes new connections over both.
     */
    public ChannelFuture listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap();
        if (sharePort) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture bindFuture = bootstrap
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
                // Detects clients that have disappeared without closing the connection.
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(channelInitializer())
                .bind(address);
        listener = bindFuture.channel();
        return bindFuture;
    }

    /** Returns the initializer for accepted client channels. */
    public ChannelInitializer<Channel> channelInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        };
    }

    private void accept(Channel channel) {
        if (connections.size() - registry.closingCount() >= maxConnections) {
            // Too many clients would use up the file descriptors that connections to depots need.
            ClientConnection evicted = registry.evictLeastActive(clock.nowMs());
            if (evicted == null) {
                log.warn(
                        "turned away: all connections are in use",
                        "client",
                        channel.remoteAddress(),
                        "open",
                        connections.size());
                channel.close();
                return;
            }
            log.warn(
                    "a connection that is not in use makes room",
                    "client",
                    channel.remoteAddress(),
                    "open",
                    connections.size());
            evicted.evict();
        }
        if (registry.closingCount() > maxConnections / CLOSING_DIVISOR) {
            registry.longestClosing().closeWithoutLinger();
        }
        connections.add(channel);
        ThriftFrameDecoder decoder = new ThriftFrameDecoder(
                MAX_FRAME_BYTES, context.inputBudgets().partialFrames().newShare());
        channel.pipeline().addLast(decoder, new ClientConnection(context, decoder));
    }

    /** Replaces the request classes for all requests from now on. */
    public void updateClasses(RequestClassRegistry updated) {
        classes = updated;
    }

    /** Closes the idle connections as the lifecycle requires, after the current iteration of the event loop. */
    public void closeIdle() {
        group.next().execute(() -> {
            for (Channel clientChannel : connections) {
                ClientConnection connection = clientChannel.pipeline().get(ClientConnection.class);
                if (connection != null) {
                    connection.closeIfIdle();
                }
            }
        });
    }

    /**
     * Stops listening, because a successor process has taken over the address; open connections are kept. After the
     * future completes, the kernel releases the socket only when the event loop selects the next time.
     */
    public ChannelFuture stopListening() {
        return listener.close();
    }

    /**
     * Stops listening and closes each connection when it becomes idle, all of them after {@code maxMs}; then runs
     * {@code onClosed}. Before this call the lifecycle has to be in a state in which idle connections are closed.
     */
    public void close(double maxMs, Runnable onClosed) {
        if (listener != null) {
            listener.close();
        }
        closeIdle();
        Clock.Timer timeout = clock.schedule(maxMs, connections::close);
        connections.newCloseFuture().addListener(closed -> {
            timeout.cancel();
            onClosed.run();
        });
    }
}
