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
public final class FakeCommandChannel {

    private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
    private volatile long lastCursor;

    private FakeCommandChannel(long lastCursor) {
        this.lastCursor = lastCursor;
    }

    /**
     * Sends the next event to all connected doormans.
     *
     * @param body the members of the event's JSON object besides its cursor, such as {@code "nodes":...}
     */
    public void sendEvent(String body) {
        lastCursor++;
        connections.writeAndFlush(
                Unpooled.copiedBuffer("{\"cursor\":" + lastCursor + "," + body + "}\n", StandardCharsets.UTF_8));
    }

    /**
     * Starts a channel.
     *
     * @param lastCursor the cursor of the last event that all doormans know from their configuration
     */
    public static FakeCommandChannel listen(EventLoopGroup group, InetSocketAddress address, long lastCursor)
            throws InterruptedException {
        FakeCommandChannel commandChannel = new FakeCommandChannel(lastCursor);
        commandChannel.listen(group, address);
        return commandChannel;
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
                                                                ByteBufUtil.writeAscii(ctx.alloc(), lastCursor + "\n"));
                                                    }
                                                },
                                                0,
                                                1,
                                                TimeUnit.SECONDS);
                            }

                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
                                // No doorman has missed an event, since events are sent only after all have connected.
                                request.skipBytes(request.readableBytes());
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
