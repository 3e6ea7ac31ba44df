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

/** The second address on virtual time: calls, callers that say nothing, and the lifecycle behind. */
class AdminServerTest implements Clock {

    private record Task(double at, Runnable run) {}

    private double now;
    private final List<Task> timers = new ArrayList<>();
    private final Lifecycle lifecycle = new Lifecycle();
    private int quiesced;
    private final AdminServer server = new AdminServer(
            null,
            this,
            new LifecycleCalls(lifecycle, this, () -> quiesced++)
                    .addTo(Routes.builder())
                    .build());

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        Task t = new Task(now + delayMs, task);
        timers.add(t);
        return () -> timers.remove(t);
    }

    private void pass(double ms) {
        now += ms;
        for (Task t : List.copyOf(timers)) {
            if (t.at <= now && timers.remove(t)) {
                t.run.run();
            }
        }
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(server.acceptor());
    }

    private static String read(EmbeddedChannel caller) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf b = caller.readOutbound(); b != null; b = caller.readOutbound()) {
            text.append(b.toString(StandardCharsets.UTF_8));
            b.release();
        }
        return text.toString();
    }

    private String call(String method, String path) {
        EmbeddedChannel caller = connect();
        caller.writeInbound(Unpooled.copiedBuffer(
                method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n", StandardCharsets.ISO_8859_1));
        String answer = read(caller);
        pass(AdminConnection.LAST_READ_MS);
        assertFalse(caller.isOpen(), "one call per connection");
        return answer;
    }

    /** Guards the drain as the front sees it: health says no from the quiesce until the resume. */
    @Test
    void quiesceAndResumeTurnHealth() {
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503"), "not yet serving");
        lifecycle.startServing(now);
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200"));
        String quiesce = call("PUT", "/admin/quiesce");
        assertTrue(quiesce.startsWith("HTTP/1.1 200") && quiesce.contains("\"phase\":\"quiesced\""), quiesce);
        assertEquals(1, quiesced, "idle connections were closed");
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503"));
        call("PUT", "/admin/quiesce");
        assertEquals(1, quiesced, "a second quiesce is nothing new");
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 200"));
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200"));
        lifecycle.startLeaving(now, false, 3_700);
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 409"), "a leaving process is not taken back");
    }

    @Test
    void unknownCallsAreTurnedDown() {
        assertTrue(call("GET", "/admin/nothing").startsWith("HTTP/1.1 404"));
        String wrong = call("DELETE", "/admin/health");
        assertTrue(wrong.startsWith("HTTP/1.1 405") && wrong.contains("Allow: GET"), wrong);
    }

    /**
     * Guards the page's term on callers that hold a connection for 4 s without a whole call: health is answered at once
     * beside a full house of them, which makes room, and each of them is answered 408 after 2 s.
     */
    @Test
    void callersWhoSayNothingNeitherBlockNorStay() {
        lifecycle.startServing(now);
        List<EmbeddedChannel> silent = new ArrayList<>();
        for (int i = 0; i < AdminServer.MOST_CALLERS; i++) {
            EmbeddedChannel c = connect();
            c.writeInbound(Unpooled.copiedBuffer("GET /admin/hea", StandardCharsets.ISO_8859_1));
            silent.add(c);
        }
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200"));
        silent.forEach(EmbeddedChannel::runPendingTasks);
        assertFalse(silent.get(0).isOpen(), "the oldest silent caller made room");
        assertTrue(silent.get(1).isOpen());
        pass(AdminConnection.CALL_MS);
        assertTrue(read(silent.get(1)).startsWith("HTTP/1.1 408"));
        pass(AdminConnection.LAST_READ_MS);
        assertFalse(silent.get(1).isOpen());
    }

    /** Guards the answer: a call that is not HTTP is told why, with the status of its fault. */
    @Test
    void aFaultIsAnsweredWithItsStatus() {
        EmbeddedChannel caller = connect();
        caller.writeInbound(Unpooled.copiedBuffer("GET /admin/health HTTP/3.0\r\n\r\n", StandardCharsets.ISO_8859_1));
        assertTrue(read(caller).startsWith("HTTP/1.1 505"));
    }
}
