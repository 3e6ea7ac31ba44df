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
final class DatagramRelays implements AutoCloseable {

    private static final int MAX_DATAGRAM_BYTES = 2_048;
    private static final int RECEIVE_BUFFER_BYTES = 1 << 22;
    private static final double MICROS_PER_MS = 1_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LinkFaults linkFaults;
    private final Channel[] channelBySlot;
    private final InetSocketAddress[] doormanAddresses;
    private final Map<InetSocketAddress, Integer> slotByDoormanAddress = new HashMap<>();
    private long relayedBytes;

    DatagramRelays(
            LinkFaults linkFaults, List<InetSocketAddress> relayAddresses, List<InetSocketAddress> doormanAddresses)
            throws InterruptedException {
        this.linkFaults = linkFaults;
        this.doormanAddresses = doormanAddresses.toArray(InetSocketAddress[]::new);
        channelBySlot = new Channel[relayAddresses.size()];
        for (int i = 0; i < channelBySlot.length; i++) {
            int slot = i;
            slotByDoormanAddress.put(doormanAddresses.get(i), i);
            channelBySlot[i] = new Bootstrap()
                    .group(group)
                    .channel(NioDatagramChannel.class)
                    .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                            forward(slot, packet);
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                            // The doorman behind it is down: that is what the schedule wants.
                        }
                    })
                    .bind(relayAddresses.get(i))
                    .sync()
                    .channel();
        }
    }

    private void forward(int to, DatagramPacket packet) {
        Integer from = slotByDoormanAddress.get(packet.sender());
        if (from == null) {
            return;
        }
        byte[] payload = new byte[packet.content().readableBytes()];
        packet.content().readBytes(payload);
        relayedBytes += payload.length;
        for (double delayMs : linkFaults.deliveryDelaysMs(from, to)) {
            byte[] delivered = linkFaults.maybeCorrupt(from, to, payload);
            if (delayMs < 1) {
                send(from, to, delivered);
            } else {
                loop.schedule(() -> send(from, to, delivered), (long) (delayMs * MICROS_PER_MS), TimeUnit.MICROSECONDS);
            }
        }
    }

    private void send(int from, int to, byte[] payload) {
        channelBySlot[from].writeAndFlush(
                new DatagramPacket(Unpooled.wrappedBuffer(payload), doormanAddresses[to]),
                channelBySlot[from].voidPromise());
    }

    /** The loop's group, for what else stands in for others. */
    EventLoopGroup eventLoopGroup() {
        return group;
    }

    void apply(Fault fault) {
        loop.submit(() -> linkFaults.apply(fault)).syncUninterruptibly();
    }

    List<Set<Integer>> connectedComponents(Set<Integer> upSlots)
            throws InterruptedException, java.util.concurrent.ExecutionException {
        return loop.submit(() -> linkFaults.connectedComponents(upSlots)).get();
    }

    /** Bytes that all members have sent up to now. */
    long sentBytes() {
        return loop.submit(() -> relayedBytes).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
