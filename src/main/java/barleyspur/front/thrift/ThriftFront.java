package barleyspur.front.thrift;

import barleyspur.doorman.Doorman;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The clients' server: framed Thrift over TCP. */
public final class ThriftFront {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    /** A write carries up to 48,000 bytes, and its fields need far less than what is left. */
    private static final int MAX_FRAME = 128 * 1024;
    private static final int MOST_OPEN = 32;
    private static final int BACKLOG = 512;

    private final EventLoopGroup group;
    private final Doorman doorman;
    private final List<String> classes;
    private final int mostConnections;
    private final ChannelGroup connections;
    private Channel listener;

    public ThriftFront(EventLoopGroup group, Doorman doorman, List<String> classes, int mostConnections) {
        this.group = group;
        this.doorman = doorman;
        this.classes = classes;
        this.mostConnections = mostConnections;
        this.connections = new DefaultChannelGroup(group.next());
    }

    /** Starts to listen. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    accept(channel);
                }
            })
            .bind(address);
        listener = bound.channel();
        return bound;
    }

    private void accept(Channel channel) {
        if (connections.size() >= mostConnections) {
            // Guards the limit on descriptors: without it a crowd of clients would cut off the depots.
            LOG.warn("client {}: turned away, {} connections are open", channel.remoteAddress(), connections.size());
            channel.close();
            return;
        }
        connections.add(channel);
        channel.pipeline().addLast(new ThriftFrameDecoder(MAX_FRAME), new FrontConnection(doorman, classes, MOST_OPEN));
    }

    /** Stops listening and closes every connection once all that was written to it is out. */
    public void close(Runnable then) {
        listener.close();
        connections.writeAndFlush(Unpooled.EMPTY_BUFFER)
            .addListener(flushed -> connections.close().addListener(closed -> then.run()));
    }
}
