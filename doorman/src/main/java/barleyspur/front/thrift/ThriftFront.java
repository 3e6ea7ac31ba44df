package barleyspur.front.thrift;

import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
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
public final class ThriftFront {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    /** A write request has a body of up to 48,000 bytes; its fields need far less than the rest. */
    private static final int MAX_FRAME = 128 * 1024;

    private static final int MOST_OPEN = 32;
    /** Length of the kernel's accept queue: as many as the largest limit on file descriptors. */
    private static final int BACKLOG = 1_024;
    /**
     * Reads from one connection per iteration of the event loop. A connection is read until its socket is empty, so
     * that a close is noticed together with the last request before it; the limit keeps other connections from
     * starving.
     */
    private static final int MOST_READS = 16;
    /**
     * Divides the connection limit to give the number of closing connections that are allowed in addition; they linger
     * until their client has read the last response.
     */
    private static final int LINGERING = 16;

    private final EventLoopGroup group;
    private final Clock clock;
    private final int mostConnections;
    private final ChannelGroup connections;
    private final CappedLog log;
    private final ConnectionRegistry<FrontConnection> registry = new ConnectionRegistry<>();
    private final FrontConnection.Shared shared;
    private final boolean sharePort;
    private RequestClassRegistry classes;
    private Channel listener;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param mostUnread how many bytes of response bodies may be queued for clients that read slowly
     * @param onFull     called with true when more are queued, so that depots must not be read, and with false when
     *                   that has ended
     */
    public ThriftFront(
            EventLoopGroup group,
            Doorman doorman,
            Clock clock,
            RequestClassRegistry classes,
            int mostConnections,
            long mostUnread,
            Consumer<Boolean> onFull,
            Lifecycle lifecycle,
            boolean sharePort) {
        this.group = group;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.log = new CappedLog(LOG, clock);
        this.connections = new DefaultChannelGroup(group.next());
        this.classes = classes;
        this.shared = new FrontConnection.Shared(
                doorman,
                clock,
                () -> this.classes,
                MOST_OPEN,
                new UnreadAnswers(mostUnread, onFull),
                registry,
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
        ChannelFuture bound = bootstrap
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MOST_READS))
                // Detects clients that have disappeared without closing the connection.
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(acceptor())
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Returns the initializer for accepted client channels. */
    public ChannelInitializer<Channel> acceptor() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        };
    }

    private void accept(Channel channel) {
        if (connections.size() - registry.leaving() >= mostConnections) {
            // Too many clients would use up the file descriptors that connections to depots need.
            FrontConnection leaves = registry.evictIdle(clock.nowMs());
            if (leaves == null) {
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
            leaves.evict();
        }
        if (registry.leaving() > mostConnections / LINGERING) {
            registry.closingLongest().endClosing();
        }
        connections.add(channel);
        ThriftFrameDecoder decoder = new ThriftFrameDecoder(MAX_FRAME);
        channel.pipeline().addLast(decoder, new FrontConnection(shared, decoder));
    }

    /** Replaces the request classes for all requests from now on. */
    public void retune(RequestClassRegistry next) {
        classes = next;
    }

    /** Closes the idle connections as the lifecycle requires, after the current iteration of the event loop. */
    public void closeIdle() {
        group.next().execute(() -> {
            for (Channel c : connections) {
                FrontConnection connection = c.pipeline().get(FrontConnection.class);
                if (connection != null) {
                    connection.closeIfQuiet();
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
     * Stops listening and closes each connection when it becomes idle, all of them after {@code mostMs}; then runs
     * {@code then}. Before this call the lifecycle has to be in a state in which idle connections are closed.
     */
    public void close(double mostMs, Runnable then) {
        if (listener != null) {
            listener.close();
        }
        closeIdle();
        Clock.Timer enough = clock.after(mostMs, connections::close);
        connections.newCloseFuture().addListener(all -> {
            enough.cancel();
            then.run();
        });
    }
}
