package barleyspur.fleet.net;

import barleyspur.Subsystem;
import barleyspur.admin.Routes;
import barleyspur.config.FleetSettings;
import barleyspur.doorman.Clock;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.fleet.About;
import barleyspur.fleet.Action;
import barleyspur.fleet.Change;
import barleyspur.fleet.Datagram;
import barleyspur.fleet.Membership;
import barleyspur.fleet.Saying;
import barleyspur.fleet.Sizes;
import barleyspur.fleet.Times;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * One doorman's place in its fleet: a datagram channel on the event loop that owns all state, and the timer that the
 * membership asks for. The address may still be in use at a start beside an older process (an upgrade): then it is
 * tried again until it is free, and the doorman serves meanwhile.
 */
public final class FleetPort implements Subsystem {

    private static final Logger LOG = LoggerFactory.getLogger("fleet");
    private static final double BIND_AGAIN_MS = 500;
    /** How long a leaving member goes on saying so: three rounds. */
    private static final double FAREWELL_MS = 300;

    private static final int RECEIVE_BUFFER = 1 << 20;
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoopGroup group;
    private final Clock clock;
    private final FleetSettings settings;
    private final Lifecycle lifecycle;
    private final Codec codec;
    private final Membership membership;
    private final RateLimitedLog capped;
    private final FleetMetrics metrics = new FleetMetrics();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    /** What rides along; null: nothing. */
    private Passenger passenger;

    private long toldVersion = -1;
    private long version;
    /** What was last told of itself, besides its phase. */
    private Counters counters = new Counters(0, 0);

    private Channel channel;
    private Clock.Timer timer;
    private double timerAtMs = Double.POSITIVE_INFINITY;
    private boolean closed;

    /**
     * @param name    of this member
     * @param zone    the name of its zone
     * @param program the program's version
     * @param digest  of the platform's settings that it runs by
     * @param wallMs  the wall clock's time, by which this life is numbered
     */
    public FleetPort(
            EventLoopGroup group,
            Clock clock,
            FleetSettings settings,
            Lifecycle lifecycle,
            String name,
            String zone,
            String program,
            long digest,
            long wallMs,
            long seed) {
        this.group = group;
        this.clock = clock;
        this.settings = settings;
        this.lifecycle = lifecycle;
        codec = new Codec(settings.name(), settings.key());
        capped = new RateLimitedLog(LOG, clock);
        membership = new Membership(
                name,
                Math.max(0, wallMs + (long) settings.clockOffsetMs()),
                new About(
                        settings.advertise(),
                        zone,
                        lifecycle.phase().label(),
                        program,
                        digest,
                        settings.format(),
                        more()),
                new Times(settings.periodMs(), settings.rememberMs()),
                settings.seeds(),
                seed,
                this::carryOut);
        metrics.watch(membership, clock);
    }

    /** The counters as they ride along; nothing where an older format is spoken. */
    private byte[] more() {
        return settings.format() >= Counters.FORMAT ? counters.encode() : null;
    }

    /** Carries another part's words from now on; called before the start. */
    public void board(Passenger who) {
        passenger = who;
    }

    /** Sends a passenger's words to the member at an address. */
    public void carry(String address, byte[] body) {
        if (channel != null && !closed) {
            membership.carry(clock.nowMs(), address, body);
        }
    }

    /** How many bytes such words may have. */
    public int room() {
        return membership.room();
    }

    /** Where this member is, as others know it. */
    public String address() {
        return settings.advertise();
    }

    /** The number that this process's life has, and no other. */
    public long nonce() {
        return membership.self().nonce();
    }

    /** Where a passenger's figures are to stand, beside the view's own. */
    public MeterRegistry metrics() {
        return metrics.registry();
    }

    @Override
    public void addTo(Routes.Builder routes) {
        new FleetCalls(membership, clock, settings.name(), metrics).addTo(routes);
    }

    @Override
    public void start() {
        bind();
    }

    private void bind() {
        ChannelFuture bound = new Bootstrap()
                .group(group)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Sizes.MOST + 1))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        received(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // A port that nobody has answers by ICMP: that member's silence tells as much.
                        capped.warn("datagram channel", "cause", cause);
                    }
                })
                .bind(settings.listen());
        bound.addListener(done -> {
            if (closed) {
                bound.channel().close();
            } else if (bound.isSuccess()) {
                channel = bound.channel();
                LogEvent.log(
                        LOG.atInfo(),
                        "listens for its fleet",
                        "fleet",
                        settings.name(),
                        "address",
                        settings.listen(),
                        "advertised",
                        settings.advertise());
                membership.start(clock.nowMs());
                if (passenger != null) {
                    passenger.start();
                }
                tick();
            } else {
                capped.warn(
                        "can't listen for its fleet yet",
                        "address",
                        settings.listen(),
                        "cause",
                        bound.cause().getMessage());
                clock.schedule(BIND_AGAIN_MS, this::bind);
            }
        });
    }

    private void received(DatagramPacket packet) {
        byte[] bytes = new byte[packet.content().readableBytes()];
        packet.content().readBytes(bytes);
        Datagram datagram;
        try {
            datagram = codec.decode(bytes);
        } catch (Codec.Refused e) {
            metrics.refused(e.getMessage());
            capped.warn("datagram refused: " + e.getMessage(), "from", packet.sender(), "bytes", bytes.length);
            return;
        }
        metrics.received(bytes.length);
        membership.receive(clock.nowMs(), datagram);
        schedule();
    }

    private void tick() {
        timerAtMs = Double.POSITIVE_INFINITY;
        if (closed) {
            return;
        }
        onLifecycleChange();
        membership.tick(clock.nowMs());
        if (passenger != null && version != toldVersion) {
            toldVersion = version;
            passenger.there(membership.addresses());
        }
        schedule();
    }

    private void schedule() {
        double due = membership.dueMs();
        if (due < timerAtMs) {
            if (timer != null) {
                timer.cancel();
            }
            timerAtMs = due;
            timer = clock.schedule(Math.max(0, due - clock.nowMs()), this::tick);
        }
    }

    @Override
    public void onLifecycleChange() {
        if (channel == null) {
            return;
        }
        int[] counted = membership.counters();
        Counters now = new Counters(counted[0], counted[1]);
        About told = membership.self().about();
        // Compared before it is encoded: this is looked at with each tick and seldom new.
        if (!now.equals(counters) || !lifecycle.phase().label().equals(told.phase())) {
            counters = now;
            if (passenger != null
                    && (lifecycle.phase() == Lifecycle.Phase.LEAVING
                            || lifecycle.phase() == Lifecycle.Phase.HANDING_OFF)
                    && !told.phase().equals(lifecycle.phase().label())) {
                passenger.leaving();
            }
            membership.about(clock.nowMs(), told.with(lifecycle.phase().label(), more()));
            schedule();
        }
    }

    @Override
    public void stop(Runnable left) {
        if (channel == null || closed) {
            closed = true;
            left.run();
            return;
        }
        if (passenger != null) {
            passenger.leave();
        }
        membership.leave(clock.nowMs());
        schedule();
        clock.schedule(FAREWELL_MS, () -> {
            closed = true;
            channel.close().addListener(done -> left.run());
        });
    }

    private void carryOut(Action action) {
        if (action instanceof Action.Send send) {
            InetSocketAddress to = address(send.address());
            if (to == null || channel == null) {
                return;
            }
            byte[] bytes = codec.encode(send.datagram());
            metrics.sent(bytes.length);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), channel.voidPromise());
        } else if (action instanceof Action.Deliver d) {
            if (passenger != null) {
                passenger.received(d.sender(), d.body());
            }
        } else if (action instanceof Action.Tell tell) {
            version = tell.change().version();
            log(tell.change());
        } else if (action instanceof Action.Warn warn) {
            capped.warn(warn.event(), "member", warn.member(), "detail", warn.detail());
        }
    }

    /** The socket address of a member's; null where it tells none that can be one. */
    private InetSocketAddress address(String text) {
        InetSocketAddress known = addresses.get(text);
        if (known == null) {
            known = FleetSettings.address(text);
            if (known != null && addresses.size() < 4 * Math.max(64, membership.members())) {
                addresses.put(text, known);
            }
        }
        return known;
    }

    private void log(Change change) {
        metrics.changed(change);
        double mono = System.nanoTime() / NANOS_PER_MS;
        if (change instanceof Change.Joined c) {
            log(LOG.atInfo(), "member joined", mono, c);
        } else if (change instanceof Change.Lost c) {
            log(
                    LOG.atInfo(),
                    "member lost",
                    mono,
                    c,
                    "standing",
                    c.member().standing(),
                    "by",
                    c.member().by());
        } else if (change instanceof Change.Updated c) {
            log(
                    LOG.atDebug(),
                    "member updated",
                    mono,
                    c,
                    "standing",
                    c.member().standing(),
                    "phase",
                    c.member().about().phase(),
                    "by",
                    c.member().by());
        } else if (change instanceof Change.Doubt c) {
            LogEvent.log(
                    LOG.atInfo(),
                    c.inDoubt() ? "view in doubt" : "view settled",
                    "mono",
                    mono,
                    "version",
                    c.version(),
                    "members",
                    membership.members());
        } else if (change instanceof Change.Name c) {
            LogEvent.log(
                    LOG.atInfo(),
                    c.givenUp() ? "name given up" : "name taken back",
                    "mono",
                    mono,
                    "version",
                    c.version(),
                    "life",
                    c.other().life());
        }
    }

    private static void log(LoggingEventBuilder at, String event, double mono, Change.OfMember c, Object... more) {
        Saying m = c.member();
        List<Object> keys = new ArrayList<>(List.of(
                "mono",
                mono,
                "version",
                c.version(),
                "member",
                m.name(),
                "life",
                m.life(),
                "nonce",
                m.nonce(),
                "incarnation",
                m.incarnation()));
        keys.addAll(List.of(more));
        keys.addAll(List.of("why", c.why(), "from", c.from()));
        LogEvent.log(at, event, keys.toArray());
    }
}
