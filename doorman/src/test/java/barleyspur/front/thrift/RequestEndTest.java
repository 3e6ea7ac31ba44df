package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ManualClock;
import barleyspur.config.SettingsReader;
import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import barleyspur.depot.DepotClient;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.NodeListing;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.reload.RequestClassRegistry;
import barleyspur.transport.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Walks every way in which a request can end, with the real decisions, and compares what the process holds with what it
 * held before. Guards against timers that outlive their requests: withdrawn requests whose size was out of range left
 * alarms on the heap until it was used up.
 */
class RequestEndTest {

    private static final RoutingPolicy.Settings SETTINGS = SettingsReader.read(
            SettingsReader.parseLines(
                    """
        groupSize=1\nmyNumber=0\nmyZone=0\nresolutionMs=2\ngrades.count=2\ngrades.0.promiseMs=400
        grades.0.aimStretch=2\ngrades.0.hardLimitMs=5000\ngrades.0.repeat=repeatable\ngrades.1.promiseMs=400
        grades.1.hardLimitMs=5000\ngrades.1.repeat=once\nfamilyInfo.midKind=2\nfamilyInfo.masterKind=3
        familyInfo.inParts=false,true\nfamilyInfo.paceKbPerS=7600\nfamilyInfo.passThroughOk=true\nlimits.sendCap=6
        rules.fallMs=1500\nrules.answerSlackMs=8\nrules.drainGraceMs=1000\nrules.coldFrom=0.24\nrules.coldMs=17000
        rules.tipMultiple=4\nlimits.retryAfter=true\nlimits.maxRetryAfterMs=800\nlimits.cancel=true
        limits.mayDuplicate=true
        """));
    private static final RequestClassRegistry CLASSES =
            RequestClassRegistry.of(List.of("small", "record"), SETTINGS.classes());
    private static final int CACHES = 3;
    private static final int REQUESTS = 20;
    /** The time that {@link ThriftCalls#fields} gives a request. */
    private static final double REQUEST_MS = 1_500;
    /** The largest size that a request may name. */
    private static final String LARGEST_SIZE_KB = "1048576";

    private static final Pattern SERVE = Pattern.compile("serve\r\n\\$16\r\n([0-9a-f]{16})\r\n");

    /** How the requests of a client end. */
    private enum End {
        SERVED,
        /** After a reset, which ends the first attempts. */
        SERVED_BY_A_FURTHER_ATTEMPT,
        /** All depots are full. */
        REFUSED,
        /** The depots answer with errors, of a class that must not be repeated. */
        FAILED,
        /** No depot answers in time. */
        TIMED_OUT,
        /** The depots answer after the client has withdrawn its requests. */
        WITHDRAWN,
        CLIENT_GONE,
        /** The client sends what can't be read. */
        CONNECTION_REJECTED,
        /** The process ends before any depot answers. */
        FAILED_BY_THE_DRAIN,
        /** The node list no longer names any node. */
        NODES_GONE
    }

    /** What exists because of requests, in numbers. */
    private record Held(
            int timers, int requests, int attempts, int policyRequests, long requestBytes, long bodyBytes) {}

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ManualClock clock = new ManualClock(1_000_000);
    private final List<EmbeddedChannel> depotChannels = new ArrayList<>();
    private final LeastRecentlyLostPolicy policy = new LeastRecentlyLostPolicy(SETTINGS, 1);
    private final Doorman doorman = new Doorman(
            SETTINGS,
            Integer.MAX_VALUE,
            policy,
            clock,
            new DepotClient(this::connect, clock, new DepotClient.Limits(32, Integer.MAX_VALUE, 100), List.of()));
    private final InputBudgets budgets =
            new InputBudgets(new ByteBudget(1 << 20, 2), new ByteBudget(1 << 20, 2), new ByteBudget(1 << 20, 2));
    private final Lifecycle lifecycle = new Lifecycle();
    private final ThriftServer server =
            new ThriftServer(group, doorman, clock, CLASSES, 2, 1 << 20, budgets, overLimit -> {}, lifecycle, false);
    private EmbeddedChannel client;

    private ChannelFuture connect(InetSocketAddress address, ChannelHandler... handlers) {
        EmbeddedChannel depot = new EmbeddedChannel(handlers);
        depotChannels.add(depot);
        return depot.newSucceededFuture();
    }

    @BeforeEach
    void start() {
        lifecycle.startServing(clock.nowMs());
        doorman.onNodeList(true, nodes());
    }

    @AfterEach
    void close() {
        client.finishAndReleaseAll();
        depotChannels.forEach(EmbeddedChannel::finishAndReleaseAll);
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static List<NodeListing> nodes() {
        List<NodeListing> nodes = new ArrayList<>();
        for (int i = 1; i <= CACHES + 2; i++) {
            int kind = i <= CACHES ? 0 : i - CACHES + 1;
            nodes.add(new NodeListing(
                    "s-" + i, new InetSocketAddress("127.0.0.1", i), 0, kind, 0, RoutingPolicy.State.READY, 1, 0));
        }
        return nodes;
    }

    private Held held() {
        return new Held(
                clock.pendingTimers(),
                doorman.openRequests(),
                doorman.openAttempts(),
                policy.openRequestCount(),
                budgets.requests().heldBytes(),
                budgets.bodies().heldBytes());
    }

    private void runTasks() {
        client.runPendingTasks();
        depotChannels.forEach(EmbeddedChannel::runPendingTasks);
        client.releaseOutbound();
    }

    private void advance(double ms) {
        clock.advance(ms, this::runTasks);
        runTasks();
    }

    /** Answers the calls that the depots have received, and returns how many these were. */
    private int answer(String status) {
        int calls = 0;
        for (EmbeddedChannel depot : List.copyOf(depotChannels)) {
            StringBuilder received = new StringBuilder();
            for (ByteBuf part = depot.readOutbound(); part != null; part = depot.readOutbound()) {
                received.append(part.toString(StandardCharsets.ISO_8859_1));
                part.release();
            }
            for (Matcher serve = SERVE.matcher(received); serve.find(); calls++) {
                String body = status.equals("DONE") ? "$3\r\nabc\r\n" : "";
                depot.writeInbound(Unpooled.copiedBuffer(
                        "*" + (body.isEmpty() ? 3 : 4) + "\r\n$16\r\n" + serve.group(1) + "\r\n$" + status.length()
                                + "\r\n" + status + "\r\n$1\r\n-\r\n" + body,
                        StandardCharsets.ISO_8859_1));
            }
        }
        runTasks();
        return calls;
    }

    private void answerAll(String status) {
        // A timer of 0 ms may report an attempt that was not sent.
        do {
            advance(0);
        } while (answer(status) > 0);
    }

    private void sendRequests(End end) {
        for (int i = 1; i <= REQUESTS; i++) {
            Map<String, String> fields =
                    ThriftCalls.fields(end == End.FAILED ? "record" : "small", String.format("%016x", 0xabc000 + i));
            fields.put("o", String.format("%016x", i));
            fields.put("m", i % 2 == 0 ? LARGEST_SIZE_KB : "300");
            client.writeInbound(ThriftCalls.dispatch(i, fields, new byte[10]));
        }
        runTasks();
    }

    private void end(End end) {
        switch (end) {
            case SERVED -> answerAll("DONE");
            case SERVED_BY_A_FURTHER_ATTEMPT -> {
                List.copyOf(depotChannels).forEach(depot -> {
                    depot.releaseOutbound();
                    depot.close();
                });
                answerAll("DONE");
            }
            case REFUSED -> answerAll("WAIT");
            case FAILED -> answerAll("BROKE");
            case TIMED_OUT -> advance(REQUEST_MS);
            case WITHDRAWN -> {
                for (int i = 1; i <= REQUESTS; i++) {
                    client.writeInbound(ThriftCalls.cancelRequest(REQUESTS + i, i));
                }
            }
            case CLIENT_GONE -> client.close();
            case CONNECTION_REJECTED -> {
                client.writeInbound(Unpooled.copiedBuffer("\0\0\0\4nope", StandardCharsets.ISO_8859_1));
                runTasks();
                client.close();
            }
            case FAILED_BY_THE_DRAIN -> {
                doorman.drain(0, 100, () -> {});
                advance(100);
            }
            case NODES_GONE -> {
                doorman.onNodeList(true, List.of());
                advance(REQUEST_MS);
            }
            default -> throw new IllegalArgumentException(end.name());
        }
        runTasks();
        advance(0);
    }

    @ParameterizedTest
    @EnumSource
    void nothingOfARequestIsLeftAfterItsEnd(End end) {
        Held before = held();
        client = new EmbeddedChannel(server.channelInitializer());
        double sentAtMs = clock.nowMs();
        sendRequests(end);
        assertEquals(REQUESTS, doorman.openRequests(), "all are open");
        assertTrue(
                clock.lastDueMs() <= sentAtMs + REQUEST_MS + SETTINGS.answerSlackMs(),
                "a timer is due " + (clock.lastDueMs() - sentAtMs) + " ms after a request that has " + REQUEST_MS);
        end(end);
        assertEquals(before, held());
    }
}
