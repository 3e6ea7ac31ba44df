package barleyspur.fleet.net;

import barleyspur.Subsystem;
import barleyspur.admin.Routes;
import barleyspur.config.FleetSettings;
import barleyspur.doorman.Clock;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.fleet.Action;
import barleyspur.fleet.Change;
import barleyspur.fleet.Datagram;
import barleyspur.fleet.DatagramSizes;
import barleyspur.fleet.MemberMetadata;
import barleyspur.fleet.Membership;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.ProtocolTimings;
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
 * Runs the {@link Membership} of a doorman: a datagram channel and a timer on the event loop that owns all its state.
 * If the address is still in use at the start, as during an upgrade next to an older process, binding is retried until
 * the address is free, and the doorman serves meanwhile.
 */
public final class FleetService implements Subsystem {

    private static final Logger LOG = LoggerFactory.getLogger("fleet");
    private static final double BIND_RETRY_MS = 500;
    /** How long a leaving member keeps announcing that it leaves: three gossip rounds. */
    private static final double LEAVE_ANNOUNCE_MS = 300;

    private static final int RECEIVE_BUFFER = 1 << 20;
    private static final double NANOS_PER_MS = 1e6;

    private final EventLoopGroup group;
    private final Clock clock;
    private final FleetSettings settings;
    private final Lifecycle lifecycle;
    private final DatagramCodec codec;
    private final Membership membership;
    private final RateLimitedLog cappedLog;
    private final FleetMetrics metrics = new FleetMetrics();
    private final Map<String, InetSocketAddress> socketAddresses = new HashMap<>();
    /** Receives the payloads of other members; null if there is none. */
    private PayloadListener payloadListener;

    private long notifiedVersion = -1;
    private long viewVersion;
    /** The counters in the metadata published last. */
    private MemberCounters publishedCounters = new MemberCounters(0, 0);

    private Channel channel;
    private Clock.Timer timer;
    private double timerDueMs = Double.POSITIVE_INFINITY;
    private boolean closed;

    /**
     * Creates the membership of a doorman; {@link #start} binds its socket.
     *
     * @param name           the name of this member
     * @param zone           the name of its zone
     * @param programVersion the version of the program
     * @param settingsDigest the digest of the platform's settings that it runs with
     * @param wallClockMs    the wall clock time, which becomes the generation of this process
     * @param randomSeed     the seed of the random number generator
     */
    public FleetService(
            EventLoopGroup group,
            Clock clock,
            FleetSettings settings,
            Lifecycle lifecycle,
            String name,
            String zone,
            String programVersion,
            long settingsDigest,
            long wallClockMs,
            long randomSeed) {
        this.group = group;
        this.clock = clock;
        this.settings = settings;
        this.lifecycle = lifecycle;
        codec = new DatagramCodec(settings.name(), settings.sharedKey());
        cappedLog = new RateLimitedLog(LOG, clock);
        membership = new Membership(
                name,
                Math.max(0, wallClockMs + (long) settings.clockOffsetMs()),
                new MemberMetadata(
                        settings.advertisedAddress(),
                        zone,
                        lifecycle.phase().label(),
                        programVersion,
                        settingsDigest,
                        settings.newestFormat(),
                        encodedExtensions()),
                new ProtocolTimings(settings.probePeriodMs(), settings.deadRetentionMs()),
                settings.seedAddresses(),
                randomSeed,
                this::execute);
        metrics.registerGauges(membership, clock);
    }

    /** Returns the encoded counters; null if the configured format has no extensions. */
    private byte[] encodedExtensions() {
        return settings.newestFormat() >= MemberCounters.MIN_FORMAT ? publishedCounters.encode() : null;
    }

    /** Sets the component whose payloads are exchanged over this fleet; must be called before {@link #start}. */
    public void setPayloadListener(PayloadListener listener) {
        payloadListener = listener;
    }

    /** Sends a payload to the member at an address; dropped while the socket is not bound. */
    public void sendPayload(String address, byte[] payload) {
        if (channel != null && !closed) {
            membership.sendPayload(clock.nowMs(), address, payload);
        }
    }

    /** The maximum size of a payload in bytes. */
    public int maxPayloadBytes() {
        return membership.maxPayloadBytes();
    }

    /** The address at which this member is advertised to others. */
    public String address() {
        return settings.advertisedAddress();
    }

    /** The random number that identifies this process among those with its name. */
    public long nonce() {
        return membership.self().nonce();
    }

    /** The registry that is exported with the metrics of the view, for meters of other components. */
    public MeterRegistry meterRegistry() {
        return metrics.registry();
    }

    @Override
    public void addTo(Routes.Builder routes) {
        new FleetAdminEndpoints(membership, clock, settings.name(), metrics).addTo(routes);
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
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(DatagramSizes.MAX_DATAGRAM_BYTES + 1))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        received(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // ICMP port unreachable: the failure detector notices the missing member anyway.
                        cappedLog.warn("datagram channel", "cause", cause);
                    }
                })
                .bind(settings.listenAddress());
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
                        settings.listenAddress(),
                        "advertised",
                        settings.advertisedAddress());
                membership.start(clock.nowMs());
                if (payloadListener != null) {
                    payloadListener.onStart();
                }
                tick();
            } else {
                cappedLog.warn(
                        "can't listen for its fleet yet",
                        "address",
                        settings.listenAddress(),
                        "cause",
                        bound.cause().getMessage());
                clock.schedule(BIND_RETRY_MS, this::bind);
            }
        });
    }

    private void received(DatagramPacket packet) {
        byte[] bytes = new byte[packet.content().readableBytes()];
        packet.content().readBytes(bytes);
        Datagram datagram;
        try {
            datagram = codec.decode(bytes);
        } catch (DatagramCodec.InvalidDatagramException e) {
            metrics.countRejected(e.getMessage());
            cappedLog.warn("datagram refused: " + e.getMessage(), "from", packet.sender(), "bytes", bytes.length);
            return;
        }
        metrics.countReceived(bytes.length);
        membership.receive(clock.nowMs(), datagram);
        schedule();
    }

    private void tick() {
        timerDueMs = Double.POSITIVE_INFINITY;
        if (closed) {
            return;
        }
        onLifecycleChange();
        membership.tick(clock.nowMs());
        if (payloadListener != null && viewVersion != notifiedVersion) {
            notifiedVersion = viewVersion;
            payloadListener.onPeersChanged(membership.peerAddresses());
        }
        schedule();
    }

    private void schedule() {
        double dueMs = membership.nextTickMs();
        if (dueMs < timerDueMs) {
            if (timer != null) {
                timer.cancel();
            }
            timerDueMs = dueMs;
            timer = clock.schedule(Math.max(0, dueMs - clock.nowMs()), this::tick);
        }
    }

    @Override
    public void onLifecycleChange() {
        if (channel == null) {
            return;
        }
        Membership.Counters counts = membership.counters();
        MemberCounters counters = new MemberCounters(counts.pauses(), counts.generationRaises());
        MemberMetadata metadata = membership.self().metadata();
        // Compared before encoding, since this runs on every tick and there is rarely a change.
        if (!counters.equals(publishedCounters) || !lifecycle.phase().label().equals(metadata.phase())) {
            publishedCounters = counters;
            if (payloadListener != null
                    && (lifecycle.phase() == Lifecycle.Phase.LEAVING
                            || lifecycle.phase() == Lifecycle.Phase.HANDING_OFF)
                    && !metadata.phase().equals(lifecycle.phase().label())) {
                payloadListener.onLeavePending();
            }
            membership.updateMetadata(
                    clock.nowMs(),
                    metadata.withPhaseAndExtensions(lifecycle.phase().label(), encodedExtensions()));
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
        if (payloadListener != null) {
            payloadListener.onLeave();
        }
        membership.leave(clock.nowMs());
        schedule();
        clock.schedule(LEAVE_ANNOUNCE_MS, () -> {
            closed = true;
            channel.close().addListener(done -> left.run());
        });
    }

    private void execute(Action action) {
        if (action instanceof Action.Send send) {
            InetSocketAddress target = socketAddress(send.address());
            if (target == null || channel == null) {
                return;
            }
            byte[] bytes = codec.encode(send.datagram());
            metrics.countSent(bytes.length);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target), channel.voidPromise());
        } else if (action instanceof Action.Deliver deliver) {
            if (payloadListener != null) {
                payloadListener.onPayload(deliver.sender(), deliver.payload());
            }
        } else if (action instanceof Action.Notify notification) {
            viewVersion = notification.change().version();
            log(notification.change());
        } else if (action instanceof Action.Warn warn) {
            cappedLog.warn(warn.event(), "member", warn.member(), "detail", warn.detail());
        }
    }

    /** Returns the socket address for a published address, or null if that is not valid. */
    private InetSocketAddress socketAddress(String text) {
        InetSocketAddress known = socketAddresses.get(text);
        if (known == null) {
            known = FleetSettings.parseAddress(text);
            if (known != null && socketAddresses.size() < 4 * Math.max(64, membership.memberCount())) {
                socketAddresses.put(text, known);
            }
        }
        return known;
    }

    private void log(Change change) {
        metrics.countChange(change);
        double mono = System.nanoTime() / NANOS_PER_MS;
        if (change instanceof Change.Joined joined) {
            log(LOG.atInfo(), "member joined", mono, joined);
        } else if (change instanceof Change.Lost lost) {
            log(
                    LOG.atInfo(),
                    "member lost",
                    mono,
                    lost,
                    "standing",
                    lost.member().state(),
                    "by",
                    lost.member().accuser());
        } else if (change instanceof Change.Updated updated) {
            log(
                    LOG.atDebug(),
                    "member updated",
                    mono,
                    updated,
                    "standing",
                    updated.member().state(),
                    "phase",
                    updated.member().metadata().phase(),
                    "by",
                    updated.member().accuser());
        } else if (change instanceof Change.Doubt doubt) {
            LogEvent.log(
                    LOG.atInfo(),
                    doubt.inDoubt() ? "view in doubt" : "view settled",
                    "mono",
                    mono,
                    "version",
                    doubt.version(),
                    "members",
                    membership.memberCount());
        } else if (change instanceof Change.Name name) {
            LogEvent.log(
                    LOG.atInfo(),
                    name.givenUp() ? "name given up" : "name taken back",
                    "mono",
                    mono,
                    "version",
                    name.version(),
                    "life",
                    name.otherProcess().generation());
        }
    }

    private static void log(
            LoggingEventBuilder builder, String event, double mono, Change.OfMember change, Object... extraKeys) {
        MembershipRecord record = change.member();
        List<Object> keysAndValues = new ArrayList<>(List.of(
                "mono",
                mono,
                "version",
                change.version(),
                "member",
                record.name(),
                "life",
                record.generation(),
                "nonce",
                record.nonce(),
                "incarnation",
                record.incarnation()));
        keysAndValues.addAll(List.of(extraKeys));
        keysAndValues.addAll(List.of("why", change.reason(), "from", change.source()));
        LogEvent.log(builder, event, keysAndValues.toArray());
    }
}
