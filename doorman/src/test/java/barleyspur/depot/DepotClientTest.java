package barleyspur.depot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.NodeListing;
import barleyspur.doorman.Request;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which connection a call uses while the node list changes. Six in ten boxes may be replaced within 7 s. */
class DepotClientTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7_001);
    private static final InetSocketAddress OTHER_ADDRESS = new InetSocketAddress("127.0.0.1", 7_002);

    private static final int MAX_STREAMS = 32;
    private static final int MAX_CONNECTIONS = 100;

    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final List<InetSocketAddress> connectAddresses = new ArrayList<>();
    private final List<Result> results = new ArrayList<>();
    private final List<Runnable> immediateTasks = new ArrayList<>();
    private final Clock clock = new Clock() {
        @Override
        public double nowMs() {
            return 1_000;
        }

        @Override
        public Timer schedule(double delayMs, Runnable task) {
            if (delayMs == 0) {
                immediateTasks.add(task);
            }
            return () -> {};
        }
    };
    private final DepotClient client = new DepotClient(
            (address, handlers) -> {
                EmbeddedChannel channel = new EmbeddedChannel(handlers);
                channels.add(channel);
                connectAddresses.add(address);
                return channel.newSucceededFuture();
            },
            clock,
            new DepotClient.Limits(MAX_STREAMS, 15_000, MAX_CONNECTIONS),
            List.of());

    /** Embedded channels keep what was written to them until they are released. */
    @AfterEach
    void releaseChannels() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }

    private static NodeListing box(int number, InetSocketAddress address, double bootMs) {
        return new NodeListing("s-" + number, address, 0, 0, 0, RoutingPolicy.State.READY, 1, bootMs);
    }

    private void send(long node, String id) {
        Request request = new Request(
                id, 0, "small", "7f3a9c21e0b4d655", 5, "0", 0, 0, 1_000, 0, null, null, Unpooled.EMPTY_BUFFER);
        client.send(
                node,
                new Depots.AttemptRequest(request, 500, null, 0, 0, false, false, false, false),
                answer -> results.add(answer.result()));
        channels.forEach(EmbeddedChannel::runPendingTasks);
    }

    /**
     * A new box at the address of a removed one gets its own connections. Otherwise its first calls would go out on a
     * connection to the previous process and be reset.
     */
    @Test
    void newBoxAtAReusedAddressGetsItsOwnConnections() {
        client.updateNode(1, box(1, ADDRESS, 0));
        send(1, "a1");
        client.updateNode(2, box(2, ADDRESS, 900));
        client.removeNode(1);
        send(2, "b1");
        assertEquals(List.of(ADDRESS, ADDRESS), connectAddresses);
        assertTrue(channels.get(0).isOpen(), "its call is still open");
        channels.get(0).writeInbound(Resp.array(channels.get(0).alloc(), "a1", "LACK", "-", ""));
        channels.get(0).runPendingTasks();
        assertFalse(channels.get(0).isOpen());
        assertEquals(List.of(Result.MISS), results);
    }

    /** A box that moves or restarts gets new connections; an unchanged listing has no effect. */
    @Test
    void movedOrRestartedBoxGetsNewConnectionsUnlikeAnUnchangedOne() {
        client.updateNode(1, box(1, ADDRESS, 0));
        send(1, "a1");
        channels.get(0).writeInbound(Resp.array(channels.get(0).alloc(), "a1", "LACK", "-", ""));
        client.updateNode(1, box(1, ADDRESS, 0));
        send(1, "a2");
        assertEquals(List.of(ADDRESS), connectAddresses);
        client.updateNode(1, box(1, ADDRESS, 900));
        send(1, "a3");
        assertEquals(List.of(ADDRESS, ADDRESS), connectAddresses);
        client.updateNode(1, box(1, OTHER_ADDRESS, 900));
        send(1, "a4");
        assertEquals(List.of(ADDRESS, ADDRESS, OTHER_ADDRESS), connectAddresses);
    }

    /**
     * Calls to one box are spread over eight connections. A quarter of all allowed connections is reserved for boxes
     * that have none.
     */
    @Test
    void callsToOneBoxShareFewConnections() {
        client.updateNode(1, box(1, ADDRESS, 0));
        for (int i = 0; i < 8 * MAX_STREAMS; i++) {
            send(1, "a" + i);
        }
        assertEquals(8, connectAddresses.size());
        send(1, "b");
        assertEquals(9, connectAddresses.size(), "all existing connections are full");
    }

    /**
     * When all connections are in use, idle ones to another box are closed. If none is idle, the call fails as one that
     * never ran.
     */
    @Test
    void idleConnectionsAreClosedAtTheConnectionLimit() {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            client.updateNode(i, box(i, ADDRESS, 0));
            send(i, "a" + i);
        }
        client.updateNode(1_000, box(1_000, OTHER_ADDRESS, 0));
        send(1_000, "b");
        immediateTasks.forEach(Runnable::run);
        assertEquals(List.of(Result.CONNECT_FAILED), results, "every connection has an open call");
        channels.get(7).writeInbound(Resp.array(channels.get(7).alloc(), "a7", "LACK", "-", ""));
        send(1_000, "c");
        assertEquals(MAX_CONNECTIONS + 1, connectAddresses.size());
        assertFalse(channels.get(7).isOpen());
        assertEquals(
                MAX_CONNECTIONS,
                channels.stream().filter(EmbeddedChannel::isOpen).count());
    }

    /** A box that was never listed, or was removed twice, is unknown: a call to it ends as one that never ran. */
    @Test
    void callToAnUnlistedBoxNeverRuns() {
        client.removeNode(9);
        client.removeNode(9);
        client.closeIdleConnections(9);
        send(9, "a1");
        assertEquals(List.of(), results, "the listener is never notified from within the call");
        immediateTasks.forEach(Runnable::run);
        assertEquals(List.of(Result.CONNECT_FAILED), results);
        assertEquals(List.of(), connectAddresses);
    }
}
