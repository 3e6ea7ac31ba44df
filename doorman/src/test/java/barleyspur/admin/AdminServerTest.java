package barleyspur.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.doorman.Clock;
import barleyspur.lifecycle.Lifecycle;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The administration server in virtual time: routes, silent connections and the lifecycle. */
class AdminServerTest implements Clock {

    private record Task(double dueMs, Runnable action) {}

    private double now;
    private final List<Task> timers = new ArrayList<>();
    private final Lifecycle lifecycle = new Lifecycle();
    private int quiesced;
    private final AdminServer server = new AdminServer(
            null,
            this,
            new LifecycleRoutes(lifecycle, this, () -> quiesced++)
                    .addTo(Routes.builder())
                    .build());

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        Task timer = new Task(now + delayMs, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    private void advance(double ms) {
        now += ms;
        for (Task timer : List.copyOf(timers)) {
            if (timer.dueMs <= now && timers.remove(timer)) {
                timer.action.run();
            }
        }
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(server.channelInitializer());
    }

    private static String read(EmbeddedChannel client) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf buffer = client.readOutbound(); buffer != null; buffer = client.readOutbound()) {
            text.append(buffer.toString(StandardCharsets.UTF_8));
            buffer.release();
        }
        return text.toString();
    }

    private String call(String method, String path) {
        EmbeddedChannel client = connect();
        client.writeInbound(Unpooled.copiedBuffer(
                method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n", StandardCharsets.ISO_8859_1));
        String response = read(client);
        advance(AdminConnection.LINGER_MS);
        assertFalse(client.isOpen(), "one request per connection");
        return response;
    }

    /** Health returns 503 from a quiesce until the resume, so that load balancers send no clients. */
    @Test
    void quiesceAndResumeChangeHealth() {
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503"), "not yet serving");
        lifecycle.startServing(now);
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200"));
        String quiesce = call("PUT", "/admin/quiesce");
        assertTrue(quiesce.startsWith("HTTP/1.1 200") && quiesce.contains("\"phase\":\"quiesced\""), quiesce);
        assertEquals(1, quiesced, "idle connections were closed");
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503"));
        call("PUT", "/admin/quiesce");
        assertEquals(1, quiesced, "a second quiesce has no effect");
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 200"));
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200"));
        lifecycle.startLeaving(now, false, 3_700);
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 409"), "no resume while shutting down");
    }

    @Test
    void unknownRoutesAreRejected() {
        assertTrue(call("GET", "/admin/nothing").startsWith("HTTP/1.1 404"));
        String wrong = call("DELETE", "/admin/health");
        assertTrue(wrong.startsWith("HTTP/1.1 405") && wrong.contains("Allow: GET"), wrong);
    }

    /**
     * Connections that stay without a complete request for 4 s must not block the server: even if they use up the
     * limit, health is answered at once, because one of them is evicted, and the others receive status 408 after 2 s.
     */
    @Test
    void silentConnectionsNeitherBlockNorStay() {
        lifecycle.startServing(now);
        List<EmbeddedChannel> silent = new ArrayList<>();
        for (int i = 0; i < AdminServer.MAX_CONNECTIONS; i++) {
            EmbeddedChannel connection = connect();
            connection.writeInbound(Unpooled.copiedBuffer("GET /admin/hea", StandardCharsets.ISO_8859_1));
            silent.add(connection);
        }
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200"));
        silent.forEach(EmbeddedChannel::runPendingTasks);
        assertFalse(silent.get(0).isOpen(), "the oldest silent connection was evicted");
        assertTrue(silent.get(1).isOpen());
        advance(AdminConnection.REQUEST_TIMEOUT_MS);
        assertTrue(read(silent.get(1)).startsWith("HTTP/1.1 408"));
        advance(AdminConnection.LINGER_MS);
        assertFalse(silent.get(1).isOpen());
    }

    /** An invalid request receives a response with the status of its error. */
    @Test
    void invalidRequestReceivesItsStatus() {
        EmbeddedChannel client = connect();
        client.writeInbound(Unpooled.copiedBuffer("GET /admin/health HTTP/3.0\r\n\r\n", StandardCharsets.ISO_8859_1));
        assertTrue(read(client).startsWith("HTTP/1.1 505"));
    }
}
