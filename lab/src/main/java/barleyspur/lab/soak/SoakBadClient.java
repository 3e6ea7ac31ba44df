package barleyspur.lab.soak;

import barleyspur.lab.stand.ThriftFrames;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A client that connects, sends what no good client sends, stays for a while and leaves; again and again. */
final class SoakBadClient {

    private static final int INPUTS = 4;
    private static final int MAX_STAY_MS = 1_500;
    private static final int RECONNECT_MS = 60;
    private static final int FLOOD_BYTES = 100_000;
    private static final int DEADLINE_MS = 500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private final BooleanSupplier stopped;

    SoakBadClient(EventLoop loop, InetSocketAddress address, SplittableRandom random, BooleanSupplier stopped) {
        this.loop = loop;
        this.address = address;
        this.random = random;
        this.stopped = stopped;
    }

    /** Begins to connect; ends once the client is stopped. */
    void connect() {
        if (stopped.getAsBoolean()) {
            return;
        }
        int stayMs = random.nextInt(MAX_STAY_MS);
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address);
        connected.addListener(done -> {
            if (done.isSuccess()) {
                writeBadInput(connected.channel());
                loop.schedule(() -> connected.channel().close(), stayMs, TimeUnit.MILLISECONDS);
            }
            loop.schedule(this::connect, stayMs + RECONNECT_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** Writes another protocol, half a call, a flood of zeros, or a call whose answer is never read as such. */
    private void writeBadInput(Channel channel) {
        ByteBuf call = ThriftFrames.dispatch(1, SoakClients.fields("files", random.nextLong(), DEADLINE_MS, 1));
        switch (random.nextInt(INPUTS)) {
            case 0 -> channel.writeAndFlush(Unpooled.copiedBuffer("GET / HTTP/1.1\r\n\r\n", StandardCharsets.US_ASCII));
            case 1 -> channel.writeAndFlush(call.retainedSlice(0, call.readableBytes() / 2));
            case 2 -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[FLOOD_BYTES]));
            default -> channel.writeAndFlush(call.retainedDuplicate());
        }
        call.release();
    }
}
