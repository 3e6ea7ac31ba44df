package barleyspur.lab.soak;

import barleyspur.lab.stand.ThriftFrames;
import barleyspur.lab.stand.ThriftFrames.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that send requests at random times and keep using each connection until it ends, and bad clients beside them.
 * Each request has to get exactly one final answer in its time; what the pages allow instead is counted by name. All
 * state is confined to one event loop.
 */
final class SoakClients {

    /** The rules on sockets: each time limit is 50 ms longer. */
    private static final double SLACK_MS = 50;
    /** A request that crosses a close within this time is sent once more. */
    private static final double CROSSING_MS = 50;
    /** Later than this after its time an answer counts as none. */
    private static final double LOST_AFTER_MS = 500;
    /** A request that came no later than this after SIGTERM may be unanswered at SIGKILL. */
    private static final double EXCUSED_AFTER_TERM_MS = 700;
    /** The time within which the end of a connection is attributed to a SIGKILL. */
    private static final double KILL_ATTRIBUTION_MS = 500;

    /** Requests this recent must not be open 4 s after a quiesce. */
    private static final double RECENT_REQUEST_MS = 2_000;

    private static final int MAX_OPEN = 32;
    private static final int MAX_FRAME = 1 << 20;
    private static final int RECONNECT_MS = 60;
    private static final int OBJECTS = 300;
    private static final double UNSAFE_SHARE = 0.1;
    private static final double PARTS_SHARE = 0.45;
    private static final double ADDED_SHARE = 0.2;
    private static final int MIN_DEADLINE_MS = 500;
    private static final int PARTS_DEADLINE_MS = 6_000;
    private static final int FILES_DEADLINE_MS = 2_500;
    private static final int UNSAFE_DEADLINE_MS = 3_000;

    private static final class PendingRequest {
        final Map<String, String> fields;
        final double sentMs;
        final int deadlineMs;
        final boolean resent;

        PendingRequest(Map<String, String> fields, double sentMs, int deadlineMs, boolean resent) {
            this.fields = fields;
            this.sentMs = sentMs;
            this.deadlineMs = deadlineMs;
            this.resent = resent;
        }

        @Override
        public String toString() {
            return String.format("request %s sent at %.3f s", fields.get("i"), sentMs / 1e3);
        }
    }

    /** Remembers at the end of a connection whether part of an answer had come. */
    private static final class FrameDecoder extends LengthFieldBasedFrameDecoder {
        private boolean endedWithinFrame;

        FrameDecoder() {
            super(MAX_FRAME, 0, Integer.BYTES, 0, Integer.BYTES);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            endedWithinFrame = actualReadableBytes() > 0;
            super.channelInactive(ctx);
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final SoakJudge judge;
    private final SplittableRandom random;
    private final int meanIntervalMs;
    private final List<Connection> connections = new ArrayList<>();
    private final List<PendingRequest> toResend = new ArrayList<>();
    private volatile boolean mayConnect;
    private volatile boolean addedClassUsed;
    private volatile boolean stopped;
    private volatile double lastTermMs = Double.NEGATIVE_INFINITY;
    private volatile double lastKillMs = Double.NEGATIVE_INFINITY;
    private volatile int pendingCount;

    SoakClients(EventLoop loop, InetSocketAddress address, SoakJudge judge, long seed, int meanIntervalMs) {
        this.loop = loop;
        this.address = address;
        this.judge = judge;
        this.random = new SplittableRandom(seed);
        this.meanIntervalMs = meanIntervalMs;
    }

    EventLoop loop() {
        return loop;
    }

    /** Starts clients, and bad ones beside them. */
    void start(int clients, int badClients) {
        mayConnect = true;
        loop.execute(() -> {
            for (int i = 0; i < clients; i++) {
                Connection connection = new Connection();
                connections.add(connection);
                connection.connect();
            }
            for (int i = 0; i < badClients; i++) {
                new SoakBadClient(loop, address, random.split(), () -> stopped).connect();
            }
        });
    }

    /** Sets whether the front sends new connections to the doorman. */
    void setMayConnect(boolean allowed) {
        mayConnect = allowed;
    }

    /** Sets whether requests may name the class that a reload has added. */
    void setAddedClassUsed(boolean used) {
        addedClassUsed = used;
    }

    void recordTerm() {
        lastTermMs = judge.nowMs();
    }

    void recordKill() {
        lastKillMs = judge.nowMs();
    }

    boolean isStopped() {
        return stopped;
    }

    /** Stops sending; open requests are still judged. */
    void stopSending() {
        stopped = true;
    }

    /**
     * Returns how many connections are held against the operators' page after a quiesce: idle, or with a request from
     * the last 2 s. One that is held with an older request only is allowed.
     */
    int connectionsHeldAfterQuiesce() {
        return loop.submit(() -> (int) connections.stream()
                        .filter(Connection::isHeldAfterQuiesce)
                        .count())
                .syncUninterruptibly()
                .getNow();
    }

    int pendingRequests() {
        return pendingCount;
    }

    /** Closes all connections. */
    void close() {
        stopped = true;
        mayConnect = false;
        loop.submit(() -> connections.forEach(Connection::close)).syncUninterruptibly();
    }

    private Bootstrap bootstrap(ChannelHandler... handlers) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlers);
                    }
                });
    }

    private Map<String, String> drawFields() {
        double draw = random.nextDouble();
        String className;
        int longestMs;
        if (draw < UNSAFE_SHARE) {
            className = SoakConfiguration.UNSAFE_CLASS;
            longestMs = UNSAFE_DEADLINE_MS;
        } else if (addedClassUsed && draw < UNSAFE_SHARE + ADDED_SHARE) {
            className = SoakConfiguration.ADDED_CLASS;
            longestMs = FILES_DEADLINE_MS;
        } else if (draw < 1 - PARTS_SHARE) {
            className = "files";
            longestMs = FILES_DEADLINE_MS;
        } else {
            className = "parts";
            longestMs = PARTS_DEADLINE_MS;
        }
        int deadlineMs = MIN_DEADLINE_MS + random.nextInt(longestMs - MIN_DEADLINE_MS + 1);
        return fields(className, random.nextLong(), deadlineMs, random.nextInt(OBJECTS) + 1);
    }

    static Map<String, String> fields(String className, long id, int deadlineMs, long object) {
        return Map.of(
                "c",
                className,
                "i",
                String.format("%016x", id),
                "d",
                Integer.toString(deadlineMs),
                "o",
                String.format("%016x", object),
                "seg",
                "0",
                "bucket",
                "1",
                "m",
                "100.5");
    }

    /** One client, with one connection at a time. */
    private final class Connection extends SimpleChannelInboundHandler<ByteBuf> {
        private final Map<Integer, PendingRequest> pending = new HashMap<>();
        private FrameDecoder decoder;
        private Channel channel;
        private int lastSequenceNumber;

        @Override
        public boolean isSharable() {
            return true;
        }

        void connect() {
            if (stopped) {
                return;
            }
            if (!mayConnect) {
                reconnectLater();
                return;
            }
            decoder = new FrameDecoder();
            bootstrap(decoder, this).connect(address).addListener(done -> {
                if (!done.isSuccess()) {
                    judge.count(mayConnect ? "connect refused" : "connect refused while leaving");
                    reconnectLater();
                }
            });
        }

        private void reconnectLater() {
            loop.schedule(this::connect, RECONNECT_MS, TimeUnit.MILLISECONDS);
        }

        boolean isHeldAfterQuiesce() {
            boolean open = channel != null && channel.isActive();
            double oldMs = judge.nowMs() - RECENT_REQUEST_MS - judge.latenessMs();
            return open && (pending.isEmpty() || pending.values().stream().anyMatch(request -> request.sentMs > oldMs));
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            lastSequenceNumber = 0;
            while (!toResend.isEmpty()) {
                send(toResend.remove(toResend.size() - 1), true);
            }
            sendLater(channel);
        }

        /** Sends requests at random times for as long as this connection is open. */
        private void sendLater(Channel current) {
            long delayMs = Math.round(-meanIntervalMs * Math.log(1 - random.nextDouble()));
            loop.schedule(
                    () -> {
                        if (stopped || current != channel || !current.isActive()) {
                            return;
                        }
                        if (pending.size() < MAX_OPEN) {
                            Map<String, String> fields = drawFields();
                            send(
                                    new PendingRequest(fields, judge.nowMs(), Integer.parseInt(fields.get("d")), false),
                                    false);
                        }
                        sendLater(current);
                    },
                    delayMs,
                    TimeUnit.MILLISECONDS);
        }

        private void send(PendingRequest request, boolean again) {
            int sequenceNumber = ++lastSequenceNumber;
            PendingRequest sent =
                    again ? new PendingRequest(request.fields, judge.nowMs(), request.deadlineMs, true) : request;
            pending.put(sequenceNumber, sent);
            pendingCount++;
            judge.count("sent");
            channel.writeAndFlush(ThriftFrames.dispatch(sequenceNumber, sent.fields));
            Channel current = channel;
            long timeoutMs = Math.round(sent.deadlineMs + LOST_AFTER_MS);
            loop.schedule(() -> judgeOverdue(current, sequenceNumber, sent), timeoutMs, TimeUnit.MILLISECONDS);
        }

        private void judgeOverdue(Channel current, int sequenceNumber, PendingRequest request) {
            if (current != channel || pending.get(sequenceNumber) != request) {
                return;
            }
            double overdueMs = judge.nowMs() - request.sentMs - request.deadlineMs;
            double toleranceMs = LOST_AFTER_MS + judge.latenessMs();
            if (overdueMs < toleranceMs) {
                loop.schedule(
                        () -> judgeOverdue(current, sequenceNumber, request),
                        Math.round(toleranceMs - overdueMs) + 1,
                        TimeUnit.MILLISECONDS);
                return;
            }
            removePending(sequenceNumber);
            judge.violation("no final answer in its time: " + request);
        }

        private PendingRequest removePending(int sequenceNumber) {
            PendingRequest request = pending.remove(sequenceNumber);
            pendingCount -= request == null ? 0 : 1;
            return request;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            ThriftFrames.Answer answer = ThriftFrames.readAnswer(frame);
            PendingRequest request = removePending(answer.sequenceNumber());
            if (request == null) {
                judge.violation("an answer to no open request: " + answer);
                return;
            }
            double lateMs = judge.nowMs() - request.sentMs - request.deadlineMs;
            if (answer.outcome() == Outcome.EXCEPTION) {
                judge.violation("an application exception for a valid " + request);
            } else if (lateMs > SLACK_MS + judge.latenessMs()) {
                judge.count("late by up to half a second, earns nothing (STANDING)");
            } else {
                judge.count(answer.outcome().name().toLowerCase(Locale.ROOT));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            judgeEnd();
            pending.clear();
            reconnectLater();
        }

        private void judgeEnd() {
            pendingCount -= pending.size();
            double nowMs = judge.nowMs();
            boolean killed = nowMs - lastKillMs < KILL_ATTRIBUTION_MS + judge.latenessMs();
            if (decoder.endedWithinFrame && !killed) {
                judge.violation("the connection ended within an answer; open: " + pending.values());
            }
            if (stopped) {
                return;
            }
            for (PendingRequest request : pending.values()) {
                if (killed) {
                    judgeUnansweredAtKill(request);
                } else if (nowMs - request.sentMs <= CROSSING_MS + judge.latenessMs()) {
                    judge.count("crossed a close, sent once more (PROTOCOL)");
                    if (!request.resent) {
                        toResend.add(request);
                    }
                } else {
                    judge.violation(String.format(
                            "the connection was closed without an answer, %.0f ms after the %s",
                            nowMs - request.sentMs, request));
                }
            }
        }

        private void judgeUnansweredAtKill(PendingRequest request) {
            if (request.sentMs >= lastKillMs - judge.latenessMs()) {
                judge.count("sent to a process that was killed just then");
            } else if (request.sentMs <= lastTermMs + EXCUSED_AFTER_TERM_MS) {
                judge.count("unanswered at SIGKILL, came within 0.7 s of SIGTERM (PROTOCOL)");
            } else {
                judge.violation(String.format(
                        "unanswered at SIGKILL, though it came %.3f s after SIGTERM: %s",
                        (request.sentMs - lastTermMs) / 1e3, request));
            }
        }
    }
}
