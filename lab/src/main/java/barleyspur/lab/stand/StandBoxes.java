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
 * Boxes that keep parts, parents and the head office (RESP): a hit takes 3 ms, a fill 30 ms more, the head office 40 ms.
 * What runs at the head office is counted by id, so that one that ran twice is seen.
 */
public final class StandBoxes {

    /** What a box is, as the settings' flavors are numbered. */
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

    /** @param onceClass the class whose requests must not run twice */
    public StandBoxes(EventLoopGroup group, String onceClass) {
        this(group, onceClass, HIT_MS, new double[Kind.values().length]);
    }

    /**
     * Boxes that also count what comes.
     *
     * @param rates by kind: attempts a second beyond which what comes is counted as over the rate; 0: not looked at
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

    /** Notes how long these stand-ins stood still: what came meanwhile is read all at once. */
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

    /** How long what arrives now may have waited for these stand-ins. */
    private double waitedMs() {
        return Math.max(stalledMs, now() - lookedMs) + LOOK_MS;
    }

    /** What a box saw. */
    public Tally tally(InetSocketAddress address) {
        return tallies.get(address);
    }

    /** Listens as one box. */
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
            // A doorman that was killed resets its connections; anything else is a fault of these stand-ins.
            if (!(cause instanceof IOException)) {
                cause.printStackTrace();
            }
            ctx.close();
        }
    }

    /** Requests that must not run twice, and how many did. */
    public String runsTwice() {
        return runs.values().stream().filter(n -> n > 1).count() + " of " + runs.size();
    }

    /** Attempts that came to all boxes. */
    public long attempts() {
        return attempts;
    }
}
