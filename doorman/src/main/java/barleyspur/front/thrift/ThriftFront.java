package barleyspur.front.thrift;

import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.duty.Duty;
import barleyspur.retune.ClassTable;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelGroupFuture;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The clients' server: framed Thrift over TCP. */
public final class ThriftFront {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    /** A write carries up to 48,000 bytes, and its fields need far less than what is left. */
    private static final int MAX_FRAME = 128 * 1024;
    private static final int MOST_OPEN = 32;
    private static final int BACKLOG = 512;
    /** How long clients have to read the last answers before the process ends. */
    private static final long LAST_READ_MS = 1_000;

    private final EventLoopGroup group;
    private final Clock clock;
    private final int mostConnections;
    private final ChannelGroup connections;
    private final CappedLog log;
    private final Crowd<FrontConnection> crowd = new Crowd<>();
    private final FrontConnection.Shared shared;
    private final boolean sharePort;
    private ClassTable classes;
    private Channel listener;

    /**
     * {@code mostUnread} bytes of answers may wait in memory for clients to read them; {@code onFull} is told when they leave more
     * than that unread, so that no more can be taken in, and when that is over.
     */
    public ThriftFront(EventLoopGroup group, Doorman doorman, Clock clock, ClassTable classes, int mostConnections,
                       long mostUnread,
                       Consumer<Boolean> onFull, Duty duty, boolean sharePort) {
        this.group = group;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.log = new CappedLog(LOG, clock);
        this.connections = new DefaultChannelGroup(group.next());
        this.classes = classes;
        this.shared = new FrontConnection.Shared(doorman, clock, () -> this.classes,
            MOST_OPEN, new UnreadAnswers(mostUnread, onFull), crowd, log, duty);
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
        ChannelFuture bound = bootstrap.group(group).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
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
        if (connections.size() >= mostConnections) {
            // Guards the limit on descriptors: without it a crowd of clients would cut off the depots.
            FrontConnection leaves = crowd.makeRoom(clock.nowMs());
            if (leaves == null) {
                log.warn("turned away: all connections are in use", "client", channel.remoteAddress(), "open",
                    connections.size());
                channel.close();
                return;
            }
            log.warn("a connection that is not in use makes room", "client", channel.remoteAddress(), "open",
                connections.size());
            leaves.makeRoom();
        }
        connections.add(channel);
        ThriftFrameDecoder decoder = new ThriftFrameDecoder(MAX_FRAME);
        channel.pipeline().addLast(decoder, new FrontConnection(shared, decoder));
    }

    /** Requests name these classes from now on. */
    public void retune(ClassTable next) {
        classes = next;
    }

    /** Closes every connection that has nothing open, as the duty wants it now. */
    public void closeIdle() {
        for (Channel c : connections) {
            FrontConnection connection = c.pipeline().get(FrontConnection.class);
            if (connection != null) {
                connection.closeIfQuiet();
            }
        }
    }

    /** Stops listening: a successor has the address. Connections that are open stay. Done when the future is. */
    public ChannelFuture stopListening() {
        return listener.close();
    }

    /** Stops listening and closes every connection once what was written to it is out, or after a while. */
    public void close(Runnable then) {
        listener.close();
        ChannelGroupFuture closed = connections.newCloseFuture();
        connections.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(flushed -> connections.close());
        Future<?> enough = group.next().schedule(() -> connections.close(), LAST_READ_MS, TimeUnit.MILLISECONDS);
        closed.addListener(all -> {
            enough.cancel(false);
            then.run();
        });
    }
}
