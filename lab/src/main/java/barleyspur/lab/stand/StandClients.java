package barleyspur.lab.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * An open-loop load generator with the Thrift protocol: requests are sent at a constant rate independently of the
 * answers to earlier ones, each to a doorman that has declared itself ready on the connection, and their outcomes are
 * counted by class. All state is confined to one event loop.
 */
public final class StandClients {

    /** Counts of the outcomes of requests. */
    public static final class Counts {
        long asked;
        long served;
        long late;
        long refused;
        long failed;
        long lost;

        /** Returns the counts as a row of a table. */
        public String row() {
            return String.format(
                    "%6d asked %6d in time %5d late %5d refused %5d failed %5d lost",
                    asked, served, late, refused, failed, lost);
        }
    }

    /**
     * A class of requests.
     *
     * @param share its share of all requests, from 0 to 1
     * @param aimMs the time in which an answer counts as in time
     * @param deadlineMs the deadline that is sent with the request
     */
    public record Class(String name, double share, double aimMs, double deadlineMs) {}

    private static final int REPLY = 2;
    private static final int STRUCT = 12;
    private static final int MAX_FRAME = 1 << 20;
    private static final double NANOS_PER_MS = 1e6;
    private static final int OBJECTS = 300;

    private record Open(Class c, long sentNanos) {}

    private final class Doorman extends SimpleChannelInboundHandler<ByteBuf> {
        private final InetSocketAddress address;
        private final Map<Integer, Open> open = new HashMap<>();
        private Channel channel;
        private boolean taken;
        private int next = 1;

        Doorman(InetSocketAddress address) {
            this.address = address;
        }

        void connect() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 500)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connection) {
                            connection
                                    .pipeline()
                                    .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, 4, 0, 4), shared());
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            loop.schedule(this::connect, 300, TimeUnit.MILLISECONDS);
                        }
                    });
        }

        private Doorman shared() {
            return this;
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            open.clear();
            next = 1;
            ByteBuf frame = call("alive", next);
            ctx.writeAndFlush(close(frame.writeByte(0)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            taken = false;
            open.values().forEach(o -> counts(o.c).lost++);
            open.clear();
            loop.schedule(this::connect, 300, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            int type = in.readInt() & 0xFF;
            String method =
                    in.readCharSequence(in.readInt(), StandardCharsets.US_ASCII).toString();
            int number = in.readInt();
            if (method.equals("alive")) {
                taken = true;
                return;
            }
            Open o = open.remove(number);
            if (o == null) {
                return;
            }
            Counts counts = counts(o.c);
            int outcome = type == REPLY && in.readByte() == STRUCT ? in.readShort() : 2;
            if (outcome == 1) {
                counts.refused++;
            } else if (outcome == 2) {
                counts.failed++;
            } else if ((System.nanoTime() - o.sentNanos) / NANOS_PER_MS <= o.c.aimMs) {
                counts.served++;
            } else {
                counts.late++;
            }
        }

        void ask(Class c) {
            int number = ++next;
            open.put(number, new Open(c, System.nanoTime()));
            Map<String, String> fields = Map.of(
                    "c",
                    c.name,
                    "i",
                    hex(random.nextLong()),
                    "d",
                    Integer.toString((int) c.deadlineMs),
                    "o",
                    hex((long) (OBJECTS * Math.pow(random.nextDouble(), 3)) + 1),
                    "seg",
                    Integer.toString(random.nextInt(8)),
                    "bucket",
                    "1",
                    "m",
                    "100.5");
            ByteBuf frame = call("dispatch", number);
            frame.writeByte(13).writeShort(1).writeByte(11).writeByte(11).writeInt(fields.size());
            fields.forEach((name, value) -> text(text(frame, name), value));
            text(frame.writeByte(11).writeShort(2), "").writeByte(0);
            channel.writeAndFlush(close(frame));
            loop.schedule(
                    () -> {
                        if (open.remove(number) != null) {
                            counts(c).lost++;
                        }
                    },
                    (long) c.deadlineMs + 500,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<Class> classes;
    private final List<Doorman> doormans = new ArrayList<>();
    private final Map<String, Counts> byClass = new HashMap<>();
    private long unasked;

    /** Creates clients of the doormans at these addresses; the seed determines the sequence of requests. */
    public StandClients(EventLoopGroup group, List<Class> classes, List<InetSocketAddress> addresses, long seed) {
        this.loop = group.next();
        this.random = new SplittableRandom(seed);
        this.classes = classes;
        addresses.forEach(a -> doormans.add(new Doorman(a)));
    }

    /** Starts to connect, and to send requests at this rate, each to a random doorman that is ready. */
    public void start(double perSecond) {
        loop.execute(() -> doormans.forEach(Doorman::connect));
        long every = (long) (1e9 / perSecond);
        loop.scheduleAtFixedRate(this::ask, every, every, TimeUnit.NANOSECONDS);
    }

    /** Distributes the requests among the doormans, by slot and time. */
    public interface Parts {
        /** Returns the share of the requests that the doorman of a slot gets at a time since the start. */
        double of(int slot, double nowMs);
    }

    /**
     * Starts to connect, and to send requests at this total rate. The doorman of each slot gets its share; a request
     * for a doorman that is not ready is not sent to another one.
     */
    public void start(double perSecond, Parts parts) {
        loop.execute(() -> doormans.forEach(Doorman::connect));
        long from = System.nanoTime();
        long every = (long) (1e9 / perSecond);
        loop.scheduleAtFixedRate(
                () -> {
                    double draw = random.nextDouble();
                    double nowMs = (System.nanoTime() - from) / NANOS_PER_MS;
                    for (int slot = 0; slot < doormans.size(); slot++) {
                        draw -= parts.of(slot, nowMs);
                        if (draw <= 0) {
                            ask(doormans.get(slot).taken ? List.of(doormans.get(slot)) : List.of());
                            return;
                        }
                    }
                },
                every,
                every,
                TimeUnit.NANOSECONDS);
    }

    private void ask() {
        ask(doormans.stream().filter(d -> d.taken).toList());
    }

    private void ask(List<Doorman> up) {
        if (up.isEmpty()) {
            unasked++;
            return;
        }
        double draw = random.nextDouble();
        Class c = classes.get(0);
        for (Class k : classes) {
            if (draw < k.share) {
                c = k;
                break;
            }
            draw -= k.share;
        }
        counts(c).asked++;
        up.get(random.nextInt(up.size())).ask(c);
    }

    private Counts counts(Class c) {
        return byClass.computeIfAbsent(c.name, n -> new Counts());
    }

    /** Returns a row for each class with the counts since the last call, and resets the counts. */
    public List<String> rows() {
        return loop.submit(() -> {
                    List<String> rows = new ArrayList<>();
                    for (Class c : classes) {
                        rows.add(String.format("%-8s %s", c.name, counts(c).row()));
                    }
                    byClass.clear();
                    if (unasked > 0) {
                        rows.add(unasked + " not sent: no doorman was ready");
                        unasked = 0;
                    }
                    return rows;
                })
                .syncUninterruptibly()
                .getNow();
    }

    private static String hex(long number) {
        return String.format("%016x", number);
    }

    private static ByteBuf call(String method, int number) {
        return text(Unpooled.buffer().writeInt(0).writeInt(0x80010001), method).writeInt(number);
    }

    private static ByteBuf close(ByteBuf frame) {
        return frame.setInt(0, frame.readableBytes() - Integer.BYTES);
    }

    private static ByteBuf text(ByteBuf out, String text) {
        return out.writeInt(text.length()).writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }
}
