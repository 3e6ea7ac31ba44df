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
 * Relays of UDP datagrams, one in front of each doorman. Doormans advertise the addresses of their relays instead of
 * their own, so that each datagram between two of them passes a relay, which knows the sender by its socket.
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

    /** Binds the relays; both lists of addresses are by slot. */
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
                            // The doorman behind the relay is down, as the schedule intends.
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

    /** Returns the event loop group of the relays, which other stand-ins may use. */
    EventLoopGroup eventLoopGroup() {
        return group;
    }

    /** Applies a fault of the links on the relays' event loop. */
    void apply(Fault fault) {
        loop.submit(() -> linkFaults.apply(fault)).syncUninterruptibly();
    }

    /** Returns the connected components of the given slots, by links that are open in both directions. */
    List<Set<Integer>> connectedComponents(Set<Integer> upSlots)
            throws InterruptedException, java.util.concurrent.ExecutionException {
        return loop.submit(() -> linkFaults.connectedComponents(upSlots)).get();
    }

    /** Returns the number of bytes that all members have sent so far. */
    long sentBytes() {
        return loop.submit(() -> relayedBytes).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
