package barleyspur;

import barleyspur.config.Configuration;
import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import barleyspur.depot.DepotClient;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.NodeListing;
import barleyspur.front.thrift.InputBudgets;
import barleyspur.front.thrift.ThriftServer;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.reload.RequestClassRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Runs synthetic requests through a doorman's parsers, core and routing policy, within the process and on a simulated
 * clock, and discards all resulting state. Without this, loading and compiling code held up the first clients after a
 * start for a second on part of a core. The build runs it as well, to record which classes have to be loaded.
 */
final class WarmUp implements Clock {

    private static final int CACHE_COUNT = 8;
    private static final int PART_COUNT = 16;
    private static final int CLIENT_COUNT = 4;
    static final int BODY_BYTES = 8_000;
    private static final double STEP_MS = 3;

    /** A scheduled task; {@code action} holds null once the task is cancelled. */
    private record Task(double dueMs, long sequence, AtomicReference<Runnable> action) {}

    private final PriorityQueue<Task> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Task::dueMs).thenComparingLong(Task::sequence));
    private final EventLoopGroup eventLoops;
    private final Configuration configuration;
    private final List<EmbeddedChannel> depots = new ArrayList<>();
    private double nowMs = 1_000_000;
    private long taskCount;

    WarmUp(EventLoopGroup eventLoops, Configuration configuration) {
        this.eventLoops = eventLoops;
        this.configuration = configuration;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public Timer schedule(double delayMs, Runnable run) {
        AtomicReference<Runnable> due = new AtomicReference<>(run);
        timers.add(new Task(nowMs + delayMs, taskCount++, due));
        return () -> due.set(null);
    }

    /** Runs this many requests and returns the number of answer bytes that the clients received. */
    long run(int requests) {
        long answerBytes = 0;
        RoutingPolicy.Settings settings = configuration.settings();
        DepotClient client = new DepotClient(
                (address, handlers) -> {
                    EmbeddedChannel depot = new EmbeddedChannel(handlers);
                    depots.add(depot);
                    return depot.newSucceededFuture();
                },
                this,
                new DepotClient.Limits(
                        configuration.limits().maxStreamsPerConnection(), Integer.MAX_VALUE, CACHE_COUNT * 8),
                settings.reportFields());
        Doorman doorman = new Doorman(settings, requests, new LeastRecentlyLostPolicy(settings, 1), this, client);
        doorman.onNodeList(true, listings(settings));
        Lifecycle lifecycle = new Lifecycle();
        lifecycle.startServing(nowMs);
        ThriftServer thriftServer = new ThriftServer(
                eventLoops,
                doorman,
                this,
                RequestClassRegistry.of(configuration.names().classes(), settings.classes()),
                CLIENT_COUNT,
                Long.MAX_VALUE,
                InputBudgets.of(Long.MAX_VALUE, Long.MAX_VALUE, CLIENT_COUNT),
                full -> {},
                lifecycle,
                false);
        List<EmbeddedChannel> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.add(new EmbeddedChannel(thriftServer.channelInitializer()));
        }
        for (int i = 0; i < requests; i++) {
            clients.get(i % CLIENT_COUNT).writeInbound(requestFrame(i));
            for (EmbeddedChannel depot : List.copyOf(depots)) {
                answer(depot, i);
            }
            advance();
            for (ByteBuf part = clients.get(i % CLIENT_COUNT).readOutbound();
                    part != null;
                    part = clients.get(i % CLIENT_COUNT).readOutbound()) {
                answerBytes += part.readableBytes();
                part.release();
            }
        }
        clients.forEach(EmbeddedChannel::finishAndReleaseAll);
        depots.forEach(EmbeddedChannel::finishAndReleaseAll);
        return answerBytes;
    }

    private void advance() {
        nowMs += STEP_MS;
        while (!timers.isEmpty() && timers.peek().dueMs() <= nowMs) {
            Runnable due = timers.poll().action().get();
            if (due != null) {
                due.run();
            }
        }
    }

    private static List<NodeListing> listings(RoutingPolicy.Settings settings) {
        List<NodeListing> listings = new ArrayList<>();
        for (int i = 0; i < CACHE_COUNT + 2; i++) {
            int kind = i < CACHE_COUNT ? 0 : i == CACHE_COUNT ? settings.parentKind() : settings.originKind();
            listings.add(new NodeListing(
                    "s-" + i, new InetSocketAddress(1), settings.zone(), kind, 0, RoutingPolicy.State.READY, 1, 0));
        }
        return listings;
    }

    /** Returns the frame of a request; most requests repeat earlier parts, as clients do. */
    private ByteBuf requestFrame(int number) {
        int category = number % configuration.names().classes().size();
        String object = hex(number * number % 97);
        Map<String, String> fields = Map.of(
                "c",
                configuration.names().classes().get(category),
                "i",
                hex(number),
                "d",
                Integer.toString(
                        (int) configuration.settings().classes().get(category).deadlineMs()),
                "o",
                object,
                "seg",
                Integer.toString(number % PART_COUNT),
                "bucket",
                "1",
                "m",
                "100.5");
        ByteBuf frame = Unpooled.buffer().writeInt(0).writeInt(0x80010001);
        writeText(frame, "dispatch").writeInt(number / CLIENT_COUNT + 1);
        frame.writeByte(13).writeShort(1).writeByte(11).writeByte(11).writeInt(fields.size());
        fields.forEach((name, value) -> writeText(writeText(frame, name), value));
        writeText(frame.writeByte(11).writeShort(2), "").writeByte(0);
        return frame.setInt(0, frame.readableBytes() - Integer.BYTES);
    }

    private static String hex(int number) {
        return Long.toHexString(1L << 60 | number);
    }

    private static ByteBuf writeText(ByteBuf buffer, String text) {
        return buffer.writeInt(text.length()).writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Answers everything that was sent to a depot, in most cases with a body. */
    private static void answer(EmbeddedChannel depot, int number) {
        for (ByteBuf sent = depot.readOutbound(); sent != null; sent = depot.readOutbound()) {
            String header = sent.toString(StandardCharsets.US_ASCII);
            sent.release();
            if (header.startsWith("*4\r\n$5\r\nserve\r\n$16\r\n")) {
                String id = header.substring(20, 36);
                boolean isMiss = number % 50 == 0;
                ByteBuf answer = Unpooled.buffer();
                ByteBufUtil.writeAscii(
                        answer,
                        "*4\r\n$16\r\n" + id + "\r\n$4\r\n" + (isMiss ? "LACK" : "DONE")
                                + "\r\n$40\r\nhow=h,digest=4be0c1927d55a6f3,dated=1000\r\n$" + (isMiss ? 0 : BODY_BYTES)
                                + "\r\n");
                depot.writeInbound(answer.writeZero(isMiss ? 0 : BODY_BYTES)
                        .writeByte('\r')
                        .writeByte('\n'));
            }
        }
    }
}
