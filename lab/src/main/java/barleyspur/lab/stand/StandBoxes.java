package barleyspur.lab.stand;

import barleyspur.depot.RespDecoder;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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
public final class StandBoxes {

    /** The kind of a box, in the order in which the settings number the flavors. */
    public enum Kind {
        CACHE,
        PARENT,
        ORIGIN
    }

    private static final int BODY = 2_000;
    private static final int KEEPS = 5_000;
    private static final int HIT_MS = 3;
    private static final int FILL_MS = 30;
    private static final int ORIGIN_MS = 40;

    private static final double NANOS_PER_MS = 1e6;
    private static final int LOOK_MS = 5;

    private final EventLoopGroup group;
    private final String onceClass;
    private final int hitMs;
    private final double[] rates;
    private final Map<InetSocketAddress, Tally> tallies = new ConcurrentHashMap<>();
    private double lookedMs = now();
    private double stalledMs;
    private double stalledAtMs;
    private final Map<String, Integer> runs = new HashMap<>();
    private long attempts;

    /**
     * Creates a station without any box yet, which measures no rates.
     *
     * @param onceClass the class whose requests must not run twice
     */
    public StandBoxes(EventLoopGroup group, String onceClass) {
        this(group, onceClass, HIT_MS, new double[Kind.values().length]);
    }

    /**
     * Creates a station without any box yet.
     *
     * @param onceClass the class whose requests must not run twice
     * @param hitMs how long a hit takes
     * @param rates the rate in attempts a second, by kind, whose excess is measured; 0 where none is
     */
    public StandBoxes(EventLoopGroup group, String onceClass, int hitMs, double[] rates) {
        this.group = group;
        this.onceClass = onceClass;
        this.hitMs = hitMs;
        this.rates = rates.clone();
        group.next().scheduleAtFixedRate(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private static double now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Records for how long this process was not scheduled: attempts that arrived in the meantime are read all at once
     * and look like a burst.
     */
    private void look() {
        double now = now();
        double late = now - lookedMs - LOOK_MS;
        if (late > LOOK_MS && (late > stalledMs || now - stalledAtMs > 1_000)) {
            stalledMs = late;
            stalledAtMs = now;
        } else if (now - stalledAtMs > 1_000) {
            stalledMs = 0;
        }
        lookedMs = now;
    }

    /** Returns for how long at most an attempt that is read now may have waited for this process. */
    private double waitedMs() {
        return Math.max(stalledMs, now() - lookedMs) + LOOK_MS;
    }

    /** Returns the meter of one box. */
    public Tally tally(InetSocketAddress address) {
        return tallies.get(address);
    }

    /** Starts a box that listens at this address. */
    public void listen(InetSocketAddress address, Kind kind) throws InterruptedException {
        Tally tally = new Tally(rates[kind.ordinal()]);
        tallies.put(address, tally);
        Map<String, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > KEEPS;
            }
        };
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new RespDecoder(), new Box(kind, kept, tally));
                    }
                })
                .bind(address)
                .sync();
    }

    private final class Box extends SimpleChannelInboundHandler<RespDecoder.Message> {
        private final Kind kind;
        private final Map<String, Boolean> kept;
        private final Tally tally;
        private final Set<String> cancelled = new HashSet<>();

        Box(Kind kind, Map<String, Boolean> kept, Tally tally) {
            this.tally = tally;
            this.kind = kind;
            this.kept = kept;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RespDecoder.Message message) {
            if (message.body() != null) {
                message.body().release();
            }
            String word = message.strings().get(0);
            if (word.equals("cancel")) {
                cancelled.add(message.strings().get(1));
            } else if (word.equals("serve")) {
                serve(ctx, message.strings().get(1), message.strings().get(2));
            }
        }

        private void serve(ChannelHandlerContext ctx, String id, String fields) {
            Map<String, String> f = new HashMap<>();
            for (String field : fields.split(",")) {
                int at = field.indexOf('=');
                f.put(field.substring(0, Math.max(0, at)), field.substring(at + 1));
            }
            attempts++;
            tally.arrives(now(), waitedMs());
            boolean once = onceClass.equals(f.get("class"));
            String part = f.get("key") + "/" + f.get("part");
            boolean held = kind != Kind.ORIGIN && !once && kept.get(part) != null;
            if (kind == Kind.CACHE && !held && f.get("parent") == null) {
                answer(ctx, id, "LACK", "-", 0, hitMs);
                return;
            }
            if (once) {
                runs.merge(id, 1, Integer::sum);
            } else if (kind != Kind.ORIGIN) {
                kept.put(part, true);
            }
            answer(
                    ctx,
                    id,
                    "DONE",
                    "how=" + (held ? "h" : "f") + ",digest=4be0c1927d55a6f3,dated=" + System.currentTimeMillis(),
                    BODY,
                    held ? hitMs : kind == Kind.ORIGIN || once ? ORIGIN_MS : hitMs + FILL_MS);
        }

        private void answer(ChannelHandlerContext ctx, String id, String word, String fields, int body, int afterMs) {
            ctx.executor()
                    .schedule(
                            () -> {
                                tally.done();
                                if (!cancelled.remove(id) && ctx.channel().isActive()) {
                                    ByteBuf out = ctx.alloc().buffer();
                                    ByteBufUtil.writeAscii(
                                            out,
                                            "*4\r\n$" + id.length() + "\r\n" + id + "\r\n$" + word.length() + "\r\n"
                                                    + word + "\r\n$" + fields.length() + "\r\n" + fields + "\r\n$"
                                                    + body + "\r\n");
                                    ctx.writeAndFlush(
                                            out.writeZero(body).writeByte('\r').writeByte('\n'));
                                }
                            },
                            afterMs,
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
    public String runsTwice() {
        return runs.values().stream().filter(n -> n > 1).count() + " of " + runs.size();
    }

    /** Returns how many attempts all boxes have received. */
    public long attempts() {
        return attempts;
    }
}
