package barleyspur.lab.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A relay before each doorman: all are told its address instead of the doorman's own, so that every datagram between
 * two of them comes by here, known by the socket that it was sent from.
 */
final class Relays implements AutoCloseable {

    private static final int LONGEST = 2_048;
    private static final int BUFFER = 1 << 22;
    private static final double MICROS_PER_MS = 1_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Links links;
    private final Channel[] channels;
    private final InetSocketAddress[] doormans;
    private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
    private long bytes;

    Relays(Links links, List<InetSocketAddress> relays, List<InetSocketAddress> doormans) throws InterruptedException {
        this.links = links;
        this.doormans = doormans.toArray(InetSocketAddress[]::new);
        channels = new Channel[relays.size()];
        for (int i = 0; i < channels.length; i++) {
            int slot = i;
            senders.put(doormans.get(i), i);
            channels[i] = new Bootstrap()
                    .group(group)
                    .channel(NioDatagramChannel.class)
                    .option(ChannelOption.SO_RCVBUF, BUFFER)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LONGEST))
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                            pass(slot, packet);
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                            // The doorman behind it is down: that is what the schedule wants.
                        }
                    })
                    .bind(relays.get(i))
                    .sync()
                    .channel();
        }
    }

    private void pass(int to, DatagramPacket packet) {
        Integer from = senders.get(packet.sender());
        if (from == null) {
            return;
        }
        byte[] whole = new byte[packet.content().readableBytes()];
        packet.content().readBytes(whole);
        bytes += whole.length;
        for (double delay : links.pass(from, to)) {
            byte[] arrives = links.spoilt(from, to, whole);
            if (delay < 1) {
                send(from, to, arrives);
            } else {
                loop.schedule(() -> send(from, to, arrives), (long) (delay * MICROS_PER_MS), TimeUnit.MICROSECONDS);
            }
        }
    }

    private void send(int from, int to, byte[] arrives) {
        channels[from].writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(arrives), doormans[to]), channels[from].voidPromise());
    }

    /** The loop's group, for what else stands in for others. */
    EventLoopGroup group() {
        return group;
    }

    void apply(Fault fault) {
        loop.submit(() -> links.apply(fault)).syncUninterruptibly();
    }

    List<Set<Integer>> components(Set<Integer> up)
            throws InterruptedException, java.util.concurrent.ExecutionException {
        return loop.submit(() -> links.components(up)).get();
    }

    /** Bytes that all members have sent up to now. */
    long sent() {
        return loop.submit(() -> bytes).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
