package barleyspur.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.resolver.NoopAddressResolverGroup;
import java.net.InetSocketAddress;

/** Opens connections: over TCP in production, within the process in tests and during warm-up. */
public interface Connector {

    /** Starts to connect; the handlers are added to the pipeline of the new channel. */
    ChannelFuture connect(InetSocketAddress address, ChannelHandler... handlers);

    /** Returns a connector for TCP on the event loop of {@code group}. */
    static Connector tcp(EventLoopGroup group, int connectTimeoutMs) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .resolver(NoopAddressResolverGroup.INSTANCE)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
        return (address, handlers) -> bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlers);
                    }
                })
                .connect(address);
    }
}
