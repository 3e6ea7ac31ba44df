package barleyspur.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.doorman.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the command channel on disconnects, missing heartbeats and address changes, with a manual clock. */
class CommandChannelTest implements Clock {

    /** A scheduled task. */
    private record Task(double dueMs, Runnable action) {}

    private final List<Task> timers = new ArrayList<>();
    private final List<EmbeddedChannel> connections = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final LinePropertiesTest listener = new LinePropertiesTest();
    private final CommandReader reader = new CommandReader(List.of(), List.of(), listener);
    private final CommandChannel channel = new CommandChannel(
            (address, handlers) -> {
                ports.add(address.getPort());
                connections.add(new EmbeddedChannel(handlers));
                return last().newSucceededFuture();
            },
            address(1),
            this,
            reader);
    private double nowMs;

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private EmbeddedChannel last() {
        return connections.get(connections.size() - 1);
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public Timer schedule(double delayMs, Runnable run) {
        Task task = new Task(nowMs + delayMs, run);
        timers.add(task);
        return () -> timers.remove(task);
    }

    private void advanceClock(double durationMs) {
        nowMs += durationMs;
        List<Task> due = timers.stream().filter(t -> t.dueMs() <= nowMs).toList();
        timers.removeAll(due);
        due.forEach(t -> t.action().run());
    }

    private static void receive(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private void assertResumes(int connectionCount, int cursor) {
        assertEquals(connectionCount, connections.size());
        ByteBuf line = last().readOutbound();
        assertEquals("resume " + cursor + "\n", line.toString(StandardCharsets.UTF_8));
        line.release();
    }

    @BeforeEach
    void start() {
        reader.readInitial(new JSONObject("{\"cursor\":4,\"cmds\":[]}"));
        channel.connect();
        assertResumes(1, 4);
    }

    @Test
    void disconnectInsideACommandResumesBeforeIt() {
        receive(last(), "{\"cursor\":5,\"drop\":{\"fam");
        last().close();
        advanceClock(CommandChannel.RECONNECT_DELAY_MS);
        assertResumes(2, 4);
    }

    @Test
    void missingHeartbeatClosesTheConnection() {
        advanceClock(CommandChannel.HEARTBEAT_TIMEOUT_MS - 1);
        receive(last(), "4\n");
        advanceClock(CommandChannel.HEARTBEAT_TIMEOUT_MS - 1);
        assertTrue(last().isOpen());
        advanceClock(1);
        assertFalse(last().isOpen());
        advanceClock(CommandChannel.RECONNECT_DELAY_MS);
        assertResumes(2, 4);
    }

    /**
     * A heartbeat may carry an older command number. Treating that as an error made a healthy channel reconnect every
     * 2 s.
     */
    @Test
    void heartbeatWithAnOlderNumberCounts() {
        advanceClock(CommandChannel.HEARTBEAT_TIMEOUT_MS - 1);
        receive(last(), "3\n");
        advanceClock(CommandChannel.HEARTBEAT_TIMEOUT_MS - 1);
        assertTrue(last().isOpen());
    }

    /** Guards drains and purges: a partial line must not count as a heartbeat, since its rest may never arrive. */
    @Test
    void partialLineIsNoHeartbeat() {
        receive(last(), "{\"cursor\":5,");
        advanceClock(CommandChannel.HEARTBEAT_TIMEOUT_MS - 1);
        receive(last(), "\"drop\":{");
        advanceClock(1);
        assertFalse(last().isOpen());
        advanceClock(CommandChannel.RECONNECT_DELAY_MS);
        assertResumes(2, 4);
    }

    /** The old address delivers nothing more, so waiting there for the end of the connection would delay commands. */
    @Test
    void newAddressResumesAtOnceAndClosesTheOldConnection() {
        EmbeddedChannel previous = last();
        for (int port = 2; port <= 4; port++) {
            channel.reconnectTo(address(port));
            assertResumes(port, 4);
        }
        channel.reconnectTo(address(4));
        assertEquals(List.of(1, 2, 3, 4), ports);
        assertFalse(previous.isOpen());
        advanceClock(CommandChannel.RECONNECT_DELAY_MS);
        assertEquals(4, connections.size(), "the end of a replaced connection causes no reconnect");
        receive(last(), "{\"cursor\":5,\"drop\":{\"family\":17,\"when\":1764576000480}}\n");
        assertEquals(5, reader.cursor());
        channel.close();
        channel.reconnectTo(address(5));
        assertEquals(4, connections.size(), "no connection is opened after close");
    }
}
