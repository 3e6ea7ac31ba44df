package barleyspur.lab.soak;

import barleyspur.lab.stand.ThriftFrames;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Many clients at once that each write far more than a client may have open, and leave; again every few seconds. */
final class SoakFlood {

    private static final int CLIENTS = 60;
    private static final int INTERVAL_MS = 2_000;
    private static final int MAX_REQUESTS = 4_000;
    private static final int BODY_BYTES = 48_000;
    private static final int LARGE_REQUESTS = 17;
    private static final int DEADLINE_MS = 2_000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final SplittableRandom random;
    private final BooleanSupplier stopped;

    SoakFlood(EventLoop loop, InetSocketAddress address, SplittableRandom random, BooleanSupplier stopped) {
        this.loop = loop;
        this.address = address;
        this.random = random;
        this.stopped = stopped;
    }

    /** Begins the floods; they end once they are stopped. */
    void start() {
        loop.schedule(this::flood, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void flood() {
        if (stopped.getAsBoolean()) {
            return;
        }
        ByteBuf input = random.nextBoolean() ? manyRequests() : largeRequests();
        for (int i = 0; i < CLIENTS; i++) {
            connect(input.retainedDuplicate());
        }
        input.release();
        loop.schedule(this::flood, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private ByteBuf manyRequests() {
        ByteBuf all = Unpooled.buffer();
        int count = 1 + random.nextInt(MAX_REQUESTS);
        for (int i = 1; i <= count; i++) {
            ByteBuf call = ThriftFrames.dispatch(i, SoakClients.fields("files", random.nextLong(), DEADLINE_MS, 1));
            all.writeBytes(call);
            call.release();
        }
        return all;
    }

    /** Returns requests with large bodies, and half of one more. */
    private ByteBuf largeRequests() {
        ByteBuf all = Unpooled.buffer();
        for (int i = 1; i <= LARGE_REQUESTS; i++) {
            ByteBuf call = ThriftFrames.dispatch(
                    i, SoakClients.fields("files", random.nextLong(), DEADLINE_MS, 1), BODY_BYTES);
            all.writeBytes(call, i < LARGE_REQUESTS ? call.readableBytes() : call.readableBytes() / 2);
            call.release();
        }
        return all;
    }

    private void connect(ByteBuf input) {
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address);
        connected.addListener(done -> {
            if (done.isSuccess()) {
                connected.channel().writeAndFlush(input).addListener(ChannelFutureListener.CLOSE);
            } else {
                input.release();
            }
        });
    }
}
