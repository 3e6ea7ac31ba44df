package barleyspur.admin;

import barleyspur.admin.http.HttpRequestDecoder;
import barleyspur.doorman.Clock;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The second address: HTTP/1.1, one call per connection, on the doorman's event loop, where the state that calls read
 * and change is owned. Holds at most {@link #MOST_CALLERS} connections; a newcomer beyond that closes the oldest one
 * that has not sent a whole call, so that callers who say nothing can't keep an operator out.
 */
public final class AdminServer {

    /** Bounds the descriptors that the second address can take. */
    static final int MOST_CALLERS = 64;
    /** A call's head: the request line and a few header fields. */
    static final int MAX_HEAD = 8 * 1024;
    /** A call's body: settings of later parts of the API will come in it. */
    static final int MAX_BODY = 64 * 1024;

    private static final int BACKLOG = 64;

    private final EventLoopGroup group;
    private final Clock clock;
    private final Routes routes;
    /** Connections without a whole call yet, the oldest first. */
    private final Set<Channel> waiting = new LinkedHashSet<>();

    private int open;

    /** A server of these routes that does not listen yet. */
    public AdminServer(EventLoopGroup group, Clock clock, Routes routes) {
        this.group = group;
        this.clock = clock;
        this.routes = routes;
    }

    /** Starts to listen. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(acceptor())
                .bind(address);
    }

    /** Makes a newly accepted channel a caller's. */
    ChannelInitializer<Channel> acceptor() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        };
    }

    private void accept(Channel channel) {
        if (open >= MOST_CALLERS) {
            Iterator<Channel> oldest = waiting.iterator();
            if (!oldest.hasNext()) {
                channel.close();
                return;
            }
            Channel leaves = oldest.next();
            oldest.remove();
            leaves.close();
        }
        open++;
        waiting.add(channel);
        channel.closeFuture().addListener(closed -> open--);
        channel.pipeline()
                .addLast(new HttpRequestDecoder(MAX_HEAD, MAX_BODY), new AdminConnection(this, routes, clock));
    }

    /** The channel has its call, or is gone: it no longer waits. */
    void called(Channel channel) {
        waiting.remove(channel);
    }
}
