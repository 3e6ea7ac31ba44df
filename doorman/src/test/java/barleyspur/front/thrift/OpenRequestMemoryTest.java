package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.SettingsReader;
import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import barleyspur.depot.DepotClient;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.EventLoopClock;
import barleyspur.doorman.NodeListing;
import barleyspur.doorman.SocketPollTimes;
import barleyspur.lifecycle.Lifecycle;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks the figure by which open requests are counted against the heap. */
class OpenRequestMemoryTest implements Clock {

    private static final int CLIENTS = 125;
    private static final int REQUESTS_PER_CLIENT = 32;
    private static final int CACHES = 16;
    private static final int MAX_TOKEN_BYTES = 256;
    private static final int MAX_DEPOT_CONNECTIONS = 341;

    /** A request orders the most timers where a backup attempt is allowed. */
    private static final RoutingPolicy.Settings SETTINGS = SettingsReader.read(
            SettingsReader.parseLines(ClientConnectionTest.SETTINGS_LINES + "\nlimits.mayDuplicate=true"));

    private static final double HOUR_MS = 3_600_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopClock loopClock = new EventLoopClock(group.next(), new SocketPollTimes());

    @Override
    public double nowMs() {
        return 1_000_000;
    }

    /** Keeps each timer in the queue of an event loop, as the process does, and lets none become due. */
    @Override
    public Timer schedule(double delayMs, Runnable task) {
        return loopClock.schedule(delayMs + HOUR_MS, task);
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

    /** Returns the fields of a request whose optional fields are as long as they may be. */
    private static Map<String, String> longestFields(int number) {
        Map<String, String> fields = ThriftCalls.fields("small", String.format("%016x", number));
        fields.put("o", String.format("%016x", -1L - number));
        fields.put("etag", "e".repeat(MAX_TOKEN_BYTES));
        fields.put("k", "k".repeat(MAX_TOKEN_BYTES));
        return fields;
    }

    private long usedHeapBytes() {
        group.next().submit(() -> {}).syncUninterruptibly();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** The bound on open requests is one in bytes only if none takes more than it is counted for. */
    @Test
    void openRequestTakesNoMoreThanItIsCountedFor() {
        List<EmbeddedChannel> depotChannels = new ArrayList<>();
        DepotClient depots = new DepotClient(
                (address, handlers) -> {
                    EmbeddedChannel depot = new EmbeddedChannel(handlers);
                    depotChannels.add(depot);
                    return depot.newSucceededFuture();
                },
                this,
                new DepotClient.Limits(REQUESTS_PER_CLIENT, Integer.MAX_VALUE, MAX_DEPOT_CONNECTIONS),
                List.of());
        Doorman doorman =
                new Doorman(SETTINGS, Integer.MAX_VALUE, new LeastRecentlyLostPolicy(SETTINGS, 1), this, depots);
        doorman.onNodeList(true, nodes());
        Lifecycle lifecycle = new Lifecycle();
        lifecycle.startServing(nowMs());
        InputBudgets budgets = InputBudgets.of(1 << 30, 1 << 30, CLIENTS);
        ThriftServer server = new ThriftServer(
                group,
                doorman,
                this,
                ClientConnectionTest.CLASSES,
                CLIENTS,
                1 << 20,
                budgets,
                full -> {},
                lifecycle,
                false);
        List<EmbeddedChannel> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new EmbeddedChannel(server.channelInitializer()));
        }
        long before = usedHeapBytes();
        for (int i = 0; i < CLIENTS * REQUESTS_PER_CLIENT; i++) {
            clients.get(i % CLIENTS).writeInbound(ThriftCalls.dispatch(i, longestFields(i), new byte[0]));
            depotChannels.forEach(EmbeddedChannel::releaseOutbound);
        }
        long held = usedHeapBytes() - before;
        long open = budgets.requests().heldBytes() / InputBudgets.REQUEST_STATE_BYTES;
        assertEquals(CLIENTS * REQUESTS_PER_CLIENT, open, "all are open");
        assertTrue(held <= budgets.requests().heldBytes(), "an open request takes " + held / open + " bytes");
        clients.forEach(EmbeddedChannel::finishAndReleaseAll);
        depotChannels.forEach(EmbeddedChannel::finishAndReleaseAll);
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
