package barleyspur.lab.stand;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
public final class LoadGenerator {

    /** Counts of the outcomes of requests. */
    public static final class OutcomeCounts {
        long sent;
        long inTime;
        long late;
        long refused;
        long failed;
        long lost;

        /** Returns the counts as a row of a table. */
        public String toRow() {
            return String.format(
                    "%6d asked %6d in time %5d late %5d refused %5d failed %5d lost",
                    sent, inTime, late, refused, failed, lost);
        }
    }

    /**
     * A class of requests.
     *
     * @param share its share of all requests, from 0 to 1
     * @param latencyTargetMs the time in which an answer counts as in time
     * @param deadlineMs the deadline that is sent with the request
     */
    public record RequestClass(String name, double share, double latencyTargetMs, double deadlineMs) {}

    private static final int MAX_FRAME = 1 << 20;
    private static final double NANOS_PER_MS = 1e6;
    private static final int OBJECT_COUNT = 300;

    private record PendingRequest(RequestClass requestClass, long sentNanos) {}

    private final class DoormanConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private final InetSocketAddress address;
        private final Map<Integer, PendingRequest> pending = new HashMap<>();
        private Channel channel;
        private boolean ready;
        private int lastSequenceNumber = 1;

        DoormanConnection(InetSocketAddress address) {
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
                                    .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME, 0, 4, 0, 4), handler());
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            loop.schedule(this::connect, 300, TimeUnit.MILLISECONDS);
                        }
                    });
        }

        private DoormanConnection handler() {
            return this;
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            pending.clear();
            lastSequenceNumber = 1;
            ctx.writeAndFlush(ThriftFrames.alive(lastSequenceNumber));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ready = false;
            pending.values().forEach(o -> counts(o.requestClass).lost++);
            pending.clear();
            loop.schedule(this::connect, 300, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf in) {
            ThriftFrames.Answer answer = ThriftFrames.readAnswer(in);
            if (answer.method().equals("alive")) {
                ready = true;
                return;
            }
            PendingRequest request = pending.remove(answer.sequenceNumber());
            if (request == null) {
                return;
            }
            OutcomeCounts counts = counts(request.requestClass);
            if (answer.outcome() == ThriftFrames.Outcome.REFUSED) {
                counts.refused++;
            } else if (answer.outcome() != ThriftFrames.Outcome.SERVED) {
                counts.failed++;
            } else if ((System.nanoTime() - request.sentNanos) / NANOS_PER_MS <= request.requestClass.latencyTargetMs) {
                counts.inTime++;
            } else {
                counts.late++;
            }
        }

        void send(RequestClass requestClass) {
            int sequenceNumber = ++lastSequenceNumber;
            pending.put(sequenceNumber, new PendingRequest(requestClass, System.nanoTime()));
            Map<String, String> fields = Map.of(
                    "c",
                    requestClass.name,
                    "i",
                    toHex(random.nextLong()),
                    "d",
                    Integer.toString((int) requestClass.deadlineMs),
                    "o",
                    toHex((long) (OBJECT_COUNT * Math.pow(random.nextDouble(), 3)) + 1),
                    "seg",
                    Integer.toString(random.nextInt(8)),
                    "bucket",
                    "1",
                    "m",
                    "100.5");
            channel.writeAndFlush(ThriftFrames.dispatch(sequenceNumber, fields));
            loop.schedule(
                    () -> {
                        if (pending.remove(sequenceNumber) != null) {
                            counts(requestClass).lost++;
                        }
                    },
                    (long) requestClass.deadlineMs + 500,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<RequestClass> classes;
    private final List<DoormanConnection> doormans = new ArrayList<>();
    private final Map<String, OutcomeCounts> countsByClass = new HashMap<>();
    private long notSent;

    /** Creates clients of the doormans at these addresses; the seed determines the sequence of requests. */
    public LoadGenerator(
            EventLoopGroup group, List<RequestClass> classes, List<InetSocketAddress> addresses, long seed) {
        this.loop = group.next();
        this.random = new SplittableRandom(seed);
        this.classes = classes;
        addresses.forEach(a -> doormans.add(new DoormanConnection(a)));
    }

    /** Starts to connect, and to send requests at this rate, each to a random doorman that is ready. */
    public void start(double requestsPerS) {
        loop.execute(() -> doormans.forEach(DoormanConnection::connect));
        long intervalNanos = (long) (1e9 / requestsPerS);
        loop.scheduleAtFixedRate(this::sendRequest, intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
    }

    /** Distributes the requests among the doormans, by slot and time. */
    public interface TrafficShares {
        /** Returns the share of the requests that the doorman of a slot gets at a time since the start. */
        double shareOf(int slot, double nowMs);
    }

    /**
     * Starts to connect, and to send requests at this total rate. The doorman of each slot gets its share; a request
     * for a doorman that is not ready is not sent to another one.
     */
    public void start(double requestsPerS, TrafficShares shares) {
        loop.execute(() -> doormans.forEach(DoormanConnection::connect));
        long startNanos = System.nanoTime();
        long intervalNanos = (long) (1e9 / requestsPerS);
        loop.scheduleAtFixedRate(
                () -> {
                    double remaining = random.nextDouble();
                    double nowMs = (System.nanoTime() - startNanos) / NANOS_PER_MS;
                    for (int slot = 0; slot < doormans.size(); slot++) {
                        remaining -= shares.shareOf(slot, nowMs);
                        if (remaining <= 0) {
                            sendRequest(doormans.get(slot).ready ? List.of(doormans.get(slot)) : List.of());
                            return;
                        }
                    }
                },
                intervalNanos,
                intervalNanos,
                TimeUnit.NANOSECONDS);
    }

    private void sendRequest() {
        sendRequest(doormans.stream().filter(d -> d.ready).toList());
    }

    private void sendRequest(List<DoormanConnection> readyDoormans) {
        if (readyDoormans.isEmpty()) {
            notSent++;
            return;
        }
        double remaining = random.nextDouble();
        RequestClass requestClass = classes.get(0);
        for (RequestClass candidate : classes) {
            if (remaining < candidate.share) {
                requestClass = candidate;
                break;
            }
            remaining -= candidate.share;
        }
        counts(requestClass).sent++;
        readyDoormans.get(random.nextInt(readyDoormans.size())).send(requestClass);
    }

    private OutcomeCounts counts(RequestClass requestClass) {
        return countsByClass.computeIfAbsent(requestClass.name, n -> new OutcomeCounts());
    }

    /** Returns a row for each class with the counts since the last call, and resets the counts. */
    public List<String> takeRows() {
        return loop.submit(() -> {
                    List<String> rows = new ArrayList<>();
                    for (RequestClass requestClass : classes) {
                        rows.add(String.format(
                                "%-8s %s",
                                requestClass.name, counts(requestClass).toRow()));
                    }
                    countsByClass.clear();
                    if (notSent > 0) {
                        rows.add(notSent + " not sent: no doorman was ready");
                        notSent = 0;
                    }
                    return rows;
                })
                .syncUninterruptibly()
                .getNow();
    }

    private static String toHex(long number) {
        return String.format("%016x", number);
    }
}
