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

/** The clients' server: framed Thrift over TCP. */
public final class ThriftFront {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    /** A write carries up to 48,000 bytes, and its fields need far less than what is left. */
    private static final int MAX_FRAME = 128 * 1024;

    private static final int MOST_OPEN = 32;
    /** Connections that the system holds until they are accepted: as many as the largest limit on descriptors. */
    private static final int BACKLOG = 1_024;
    /**
     * A connection is read until there is no more, but so often at most before others have their turn: an end of the
     * connection is seen with the last request before it.
     */
    private static final int MOST_READS = 16;
    /** Beside those in use one in so many may be closing ones, which linger until their client has read the last answer. */
    private static final int LINGERING = 16;

    private final EventLoopGroup group;
    private final Clock clock;
    private final int mostConnections;
    private final ChannelGroup connections;
    private final RateLimitedLog log;
    private final ConnectionRegistry<FrontConnection> registry = new ConnectionRegistry<>();
    private final FrontConnection.Shared shared;
    private final boolean sharePort;
    private RequestClassRegistry classes;
    private Channel listener;

    /**
     * {@code mostUnread} bytes of answers may wait in memory for clients to read them; {@code onFull} is told when they leave more
     * than that unread, so that no more can be taken in, and when that is over.
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
        this.log = new RateLimitedLog(LOG, clock);
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
     * Starts to listen. Where the port is shared, with SO_REUSEPORT, an upgrade's new process can listen beside the old
     * one, and the kernel spreads new connections over both.
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
                // Finds out clients that have vanished without a word.
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(acceptor())
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Makes a newly accepted channel one of a client's. */
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
            // Guards the limit on descriptors: without it a crowd of clients would cut off the depots.
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

    /** Requests name these classes from now on. */
    public void retune(RequestClassRegistry next) {
        classes = next;
    }

    /** Closes every connection that has nothing open, as the lifecycle wants it now, once this turn of the loop has been read. */
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
     * Stops listening: a successor has the address. Connections that are open stay. Done when the future is, but for
     * the kernel's socket, which is given back when the loop next selects.
     */
    public ChannelFuture stopListening() {
        return listener.close();
    }

    /**
     * Stops listening and ends every connection as it falls quiet, all of them after {@code mostMs}; then runs
     * {@code then}. The lifecycle wants idle ones gone from before this call on.
     */
    public void close(double mostMs, Runnable then) {
        if (listener != null) {
            listener.close();
        }
        closeIdle();
        Clock.Timer enough = clock.schedule(mostMs, connections::close);
        connections.newCloseFuture().addListener(all -> {
            enough.cancel();
            then.run();
        });
    }
}
