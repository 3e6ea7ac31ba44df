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
 * The HTTP/1.1 server of the administration address, with one request per connection. It runs on the doorman's event
 * loop, which owns the state that the requests read and change. At most {@link #MAX_CONNECTIONS} connections are open;
 * a new one beyond that replaces the oldest one without a complete request, so that silent connections can't lock out
 * operators.
 */
public final class AdminServer {

    /** Limits the file descriptors that the administration address can use. */
    static final int MAX_CONNECTIONS = 64;
    /** Maximum size of the request line and the header fields, of which a few are expected. */
    static final int MAX_HEAD_BYTES = 8 * 1024;
    /** Maximum size of a body; leaves room for API calls that send settings. */
    static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int BACKLOG = 64;

    private final EventLoopGroup group;
    private final Clock clock;
    private final Routes routes;
    /** Connections without a complete request so far, the oldest first. */
    private final Set<Channel> awaitingRequest = new LinkedHashSet<>();

    private int openConnections;

    /** Creates a server of these routes that doesn't listen yet. */
    public AdminServer(EventLoopGroup group, Clock clock, Routes routes) {
        this.group = group;
        this.clock = clock;
        this.routes = routes;
    }

    /** Starts to listen on the address. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(channelInitializer())
                .bind(address);
    }

    /** Returns the initializer for accepted channels. */
    ChannelInitializer<Channel> channelInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        };
    }

    private void accept(Channel channel) {
        if (openConnections >= MAX_CONNECTIONS) {
            Iterator<Channel> oldest = awaitingRequest.iterator();
            if (!oldest.hasNext()) {
                channel.close();
                return;
            }
            Channel evicted = oldest.next();
            oldest.remove();
            evicted.close();
        }
        openConnections++;
        awaitingRequest.add(channel);
        channel.closeFuture().addListener(closed -> openConnections--);
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(MAX_HEAD_BYTES, MAX_BODY_BYTES),
                        new AdminConnection(this, routes, clock));
    }

    /** Called when the channel's request is complete or the channel is closed. */
    void requestEnded(Channel channel) {
        awaitingRequest.remove(channel);
    }
}
