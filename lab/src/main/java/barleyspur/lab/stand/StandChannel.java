package barleyspur.lab.stand;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The command channel, with nothing to tell beyond the start: each second the number of the last event. */
public final class StandChannel {

    private StandChannel() { }

    /** Listens; {@code last} is the number of the last event, which all have from their start. */
    public static void listen(EventLoopGroup group, InetSocketAddress address, long last) throws InterruptedException {
        new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                        @Override
                        public void channelActive(ChannelHandlerContext ctx) {
                            ctx.executor().scheduleAtFixedRate(() -> {
                                if (ctx.channel().isActive()) {
                                    ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), last + "\n"));
                                }
                            }, 0, 1, TimeUnit.SECONDS);
                        }

                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf resume) {
                            // Nobody lacks anything.
                            resume.skipBytes(resume.readableBytes());
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                            ctx.close();
                        }
                    });
                }
            }).bind(address).sync();
    }
}
