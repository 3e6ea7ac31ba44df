package barleyspur.lab.stand;

import barleyspur.depot.RespDecoder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Fake caches, parents and the head office, which speak RESP. By default a hit takes 3 ms, a fill 30 ms more, and a
 * request at the head office 40 ms. Runs of requests that must not run twice are counted by request id, so that
 * duplicates are found.
 */
public final class FakeBoxes {

    /** The kind of a box, in the order in which the settings number the flavors. */
    public enum Kind {
        CACHE,
        PARENT,
        ORIGIN
    }

    private static final int BODY_BYTES = 2_000;
    private static final int CAPACITY_PARTS = 5_000;
    private static final int HIT_MS = 3;
    private static final int FILL_MS = 30;
    private static final int ORIGIN_MS = 40;

    private static final double NANOS_PER_MS = 1e6;
    private static final int STALL_CHECK_MS = 5;

    private final EventLoopGroup group;
    private final String nonIdempotentClass;
    private final int hitMs;
    private final double[] ratesPerS;
    private final Map<InetSocketAddress, ArrivalMeter> meters = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, ChannelGroup> connections = new ConcurrentHashMap<>();
    private final Set<InetSocketAddress> silentBoxes = ConcurrentHashMap.newKeySet();
    private double lastStallCheckMs = nowMs();
    private double stalledMs;
    private double stalledAtMs;
    private final Map<String, Integer> runsByRequest = new HashMap<>();
    private long attemptCount;

    /**
     * Creates a station without any box yet, which measures no rates.
     *
     * @param nonIdempotentClass the class whose requests must not run twice
     */
    public FakeBoxes(EventLoopGroup group, String nonIdempotentClass) {
        this(group, nonIdempotentClass, HIT_MS, new double[Kind.values().length]);
    }

    /**
     * Creates a station without any box yet.
     *
     * @param nonIdempotentClass the class whose requests must not run twice
     * @param hitMs how long a hit takes
     * @param ratesPerS the rate in attempts a second, by kind, whose excess is measured; 0 where none is
     */
    public FakeBoxes(EventLoopGroup group, String nonIdempotentClass, int hitMs, double[] ratesPerS) {
        this.group = group;
        this.nonIdempotentClass = nonIdempotentClass;
        this.hitMs = hitMs;
        this.ratesPerS = ratesPerS.clone();
        group.next().scheduleAtFixedRate(this::checkForStall, STALL_CHECK_MS, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Records for how long this process was not scheduled: attempts that arrived in the meantime are read all at once
     * and look like a burst.
     */
    private void checkForStall() {
        double nowMs = nowMs();
        double delayMs = nowMs - lastStallCheckMs - STALL_CHECK_MS;
        if (delayMs > STALL_CHECK_MS && (delayMs > stalledMs || nowMs - stalledAtMs > 1_000)) {
            stalledMs = delayMs;
            stalledAtMs = nowMs;
        } else if (nowMs - stalledAtMs > 1_000) {
            stalledMs = 0;
        }
        lastStallCheckMs = nowMs;
    }

    /** Returns for how long at most an attempt that is read now may have waited for this process. */
    private double maxDelayMs() {
        return Math.max(stalledMs, nowMs() - lastStallCheckMs) + STALL_CHECK_MS;
    }

    /** Closes all connections to one box. */
    public void closeConnections(InetSocketAddress address) {
        connections.get(address).close();
    }

    /** Resets all connections to one box. */
    public void resetConnections(InetSocketAddress address) {
        for (Channel connection : connections.get(address)) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
        }
    }

    /** Makes one box accept requests without answering them, or ends this. */
    public void setSilent(InetSocketAddress address, boolean silent) {
        if (silent) {
            silentBoxes.add(address);
        } else {
            silentBoxes.remove(address);
        }
    }

    /** Returns the meter of one box. */
    public ArrivalMeter meter(InetSocketAddress address) {
        return meters.get(address);
    }

    /** Starts a box that listens at this address. */
    public void listen(InetSocketAddress address, Kind kind) throws InterruptedException {
        ArrivalMeter meter = new ArrivalMeter(ratesPerS[kind.ordinal()]);
        meters.put(address, meter);
        ChannelGroup boxConnections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);
        connections.put(address, boxConnections);
        Map<String, Boolean> keptParts = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > CAPACITY_PARTS;
            }
        };
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        boxConnections.add(channel);
                        channel.pipeline().addLast(new RespDecoder(), new BoxHandler(address, kind, keptParts, meter));
                    }
                })
                .bind(address)
                .sync();
    }

    private final class BoxHandler extends SimpleChannelInboundHandler<RespDecoder.Message> {
        private final InetSocketAddress address;
        private final Kind kind;
        private final Map<String, Boolean> keptParts;
        private final ArrivalMeter meter;
        private final Set<String> cancelled = new HashSet<>();

        BoxHandler(InetSocketAddress address, Kind kind, Map<String, Boolean> keptParts, ArrivalMeter meter) {
            this.address = address;
            this.meter = meter;
            this.kind = kind;
            this.keptParts = keptParts;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RespDecoder.Message message) {
            if (message.body() != null) {
                message.body().release();
            }
            String command = message.strings().get(0);
            if (command.equals("cancel")) {
                cancelled.add(message.strings().get(1));
            } else if (command.equals("serve") && !silentBoxes.contains(address)) {
                serve(ctx, message.strings().get(1), message.strings().get(2));
            }
        }

        private void serve(ChannelHandlerContext ctx, String id, String fields) {
            Map<String, String> fieldByName = new HashMap<>();
            for (String field : fields.split(",")) {
                int separator = field.indexOf('=');
                fieldByName.put(field.substring(0, Math.max(0, separator)), field.substring(separator + 1));
            }
            attemptCount++;
            meter.recordArrival(nowMs(), maxDelayMs());
            boolean nonIdempotent = nonIdempotentClass.equals(fieldByName.get("class"));
            String part = fieldByName.get("key") + "/" + fieldByName.get("part");
            boolean hit = kind != Kind.ORIGIN && !nonIdempotent && keptParts.get(part) != null;
            if (kind == Kind.CACHE && !hit && fieldByName.get("parent") == null) {
                sendAnswer(ctx, id, "LACK", "-", 0, hitMs);
                return;
            }
            if (nonIdempotent) {
                runsByRequest.merge(id, 1, Integer::sum);
            } else if (kind != Kind.ORIGIN) {
                keptParts.put(part, true);
            }
            sendAnswer(
                    ctx,
                    id,
                    "DONE",
                    "how=" + (hit ? "h" : "f") + ",digest=4be0c1927d55a6f3,dated=" + System.currentTimeMillis(),
                    BODY_BYTES,
                    hit ? hitMs : kind == Kind.ORIGIN || nonIdempotent ? ORIGIN_MS : hitMs + FILL_MS);
        }

        private void sendAnswer(
                ChannelHandlerContext ctx, String id, String status, String fields, int bodyBytes, int delayMs) {
            ctx.executor()
                    .schedule(
                            () -> {
                                meter.recordCompletion();
                                if (!cancelled.remove(id) && ctx.channel().isActive()) {
                                    ByteBuf out = ctx.alloc().buffer();
                                    ByteBufUtil.writeAscii(
                                            out,
                                            "*4\r\n$" + id.length() + "\r\n" + id + "\r\n$" + status.length() + "\r\n"
                                                    + status + "\r\n$" + fields.length() + "\r\n" + fields + "\r\n$"
                                                    + bodyBytes + "\r\n");
                                    ctx.writeAndFlush(out.writeZero(bodyBytes)
                                            .writeByte('\r')
                                            .writeByte('\n'));
                                }
                            },
                            delayMs,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A doorman that is killed resets its connections; any other exception is a fault of the fake boxes.
            if (!(cause instanceof IOException)) {
                cause.printStackTrace();
            }
            ctx.close();
        }
    }

    /** Returns how many of the requests that must not run twice did so, as {@code "0 of 12"}. */
    public String duplicateRuns() {
        return runsByRequest.values().stream().filter(n -> n > 1).count() + " of " + runsByRequest.size();
    }

    /** Returns how many attempts all boxes have received. */
    public long attempts() {
        return attemptCount;
    }
}
