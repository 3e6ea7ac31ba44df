package barleyspur.lab.stand;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A fake command channel. It sends the events that it is given, and every second the cursor of the last one. */
public final class StandChannel {

    private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
    private volatile long last;

    private StandChannel(long last) {
        this.last = last;
    }

    /**
     * Sends the next event to all connected doormans.
     *
     * @param body the members of the event's JSON object besides its cursor, such as {@code "nodes":...}
     */
    public void tell(String body) {
        last++;
        connections.writeAndFlush(
                Unpooled.copiedBuffer("{\"cursor\":" + last + "," + body + "}\n", StandardCharsets.UTF_8));
    }

    /**
     * Starts a channel.
     *
     * @param last the cursor of the last event that all doormans know from their configuration
     */
    public static StandChannel listen(EventLoopGroup group, InetSocketAddress address, long last)
            throws InterruptedException {
        StandChannel told = new StandChannel(last);
        told.listen(group, address);
        return told;
    }

    private void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            public void channelActive(ChannelHandlerContext ctx) {
                                connections.add(ctx.channel());
                                ctx.executor()
                                        .scheduleAtFixedRate(
                                                () -> {
                                                    if (ctx.channel().isActive()) {
                                                        ctx.writeAndFlush(
                                                                ByteBufUtil.writeAscii(ctx.alloc(), last + "\n"));
                                                    }
                                                },
                                                0,
                                                1,
                                                TimeUnit.SECONDS);
                            }

                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf resume) {
                                // No doorman has missed an event, since events are sent only after all have connected.
                                resume.skipBytes(resume.readableBytes());
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        });
                    }
                })
                .bind(address)
                .sync();
    }
}
