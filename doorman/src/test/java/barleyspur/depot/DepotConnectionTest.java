package barleyspur.depot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.Depots.Answer;
import barleyspur.doorman.RateLimitedLog;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests the calls on one connection. */
class DepotConnectionTest {

    private static final int MAX_STREAMS = 2;

    private final List<Result> results = new ArrayList<>();
    private int closedCount;
    private double nowMs;
    private final Clock clock = new Clock() {
        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public Timer schedule(double delayMs, Runnable task) {
            scheduledTasks.add(task);
            return () -> scheduledTasks.remove(task);
        }
    };
    private final List<Runnable> scheduledTasks = new ArrayList<>();
    private final RespDecoder decoder = new RespDecoder();
    private final DepotConnection connection = new DepotConnection(
            "s-1",
            new DepotConnection.Shared(
                    clock, List.of(), 32, new RateLimitedLog(LoggerFactory.getLogger("depot"), clock)),
            decoder,
            () -> closedCount++);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, connection);
    private final ChannelPromise connect = channel.newPromise();

    private DepotConnection.Call open(String id) {
        return connection.openCall(id, waitedMs -> header(id), null, (Answer answer) -> {
            results.add(answer.result());
            if (answer.body() != null) {
                answer.body().release();
            }
        });
    }

    private static ByteBuf header(String id) {
        return Unpooled.copiedBuffer("serve " + id, StandardCharsets.UTF_8);
    }

    private void completeConnect() {
        connection.trackConnect(connect);
        connect.setSuccess();
        channel.runPendingTasks();
    }

    /** Opens a call, answers it with this note and returns the note that the caller received. */
    private Note noteOf(String id, String status, String how) {
        List<Note> notes = new ArrayList<>();
        connection.openCall(id, waitedMs -> header(id), null, (Answer answer) -> {
            notes.add(answer.note());
            if (answer.body() != null) {
                answer.body().release();
            }
        });
        channel.writeInbound(Resp.array(channel.alloc(), id, status, "how=" + how, ""));
        assertEquals(1, notes.size());
        return notes.get(0);
    }

    /**
     * Guards deployments whose depots tell all: a note that is dropped makes the cache answer for a source that
     * refused or failed.
     */
    @Test
    void everyNoteOfTheProtocolReachesTheCaller() {
        completeConnect();
        assertEquals(Note.HIT, noteOf("h1", "DONE", "h"));
        assertEquals(Note.FILLED, noteOf("f1", "DONE", "f"));
        assertEquals(Note.FILLED_FROM_ORIGIN, noteOf("o1", "DONE", "o"));
        assertEquals(Note.JOINED, noteOf("j1", "DONE", "j"));
        assertEquals(Note.STALE, noteOf("s1", "DONE", "s"));
        assertEquals(Note.SOURCE_REFUSED, noteOf("r1", "WAIT", "r"));
        assertEquals(Note.SOURCE_FAILED, noteOf("b1", "BROKE", "b"));
        assertEquals(Note.SOURCE_LACKS, noteOf("l1", "LACK", "l"));
        assertEquals(Note.NO_FILL_PLACE, noteOf("n1", "WAIT", "n"));
        assertEquals(Note.ORIGIN_FAILED, noteOf("x1", "BROKE", "x"));
        assertEquals(Note.NONE, noteOf("q1", "WAIT", "q"));
    }

    private void answer(String id, String status) {
        channel.writeInbound(Resp.array(channel.alloc(), id, status, "-", ""));
    }

    /** A depot may write in chunks of any size, down to one byte: the answer is decoded completely and once. */
    @Test
    void answerInSingleBytesIsDecodedOnce() {
        completeConnect();
        open("a");
        ByteBuf whole = Resp.array(channel.alloc(), "a", "DONE", "digest=4be0c1927d55a6f3", "bytes of the part");
        while (whole.isReadable()) {
            assertEquals(List.of(), results, "no answer before the last byte");
            channel.writeInbound(whole.readRetainedSlice(1));
        }
        whole.release();
        assertEquals(List.of(Result.OK), results);
    }

    /** Opens a call whose check before the write returns OK only while {@code admitted[0]} is true. */
    private DepotConnection.Call openConditionally(String id, boolean[] admitted) {
        return connection.openCall(id, waitedMs -> header(id), null, new Depots.AttemptListener() {
            @Override
            public void onEnd(Answer answer) {
                results.add(answer.result());
            }

            @Override
            public Result beforeWrite() {
                return admitted[0] ? Result.OK : Result.FULL;
            }
        });
    }

    /** A call that is rejected once its connection is established is not written, and ends as one that never ran. */
    @Test
    void rejectedCallIsNotWritten() {
        boolean[] admitted = {true};
        openConditionally("a", admitted);
        admitted[0] = false;
        completeConnect();
        assertEquals(List.of(), results, "the listener is never notified from within the call");
        assertTrue(channel.outboundMessages().isEmpty(), "nothing is written");
        scheduledTasks.forEach(Runnable::run);
        assertEquals(List.of(Result.FULL), results);
        assertFalse(Result.FULL.mayHaveRun());
    }

    /** A call that is rejected and then cancelled before its end was reported is not reported. */
    @Test
    void rejectedAndCancelledCallIsNotReported() {
        completeConnect();
        DepotConnection.Call call = openConditionally("a", new boolean[] {false});
        call.cancel();
        scheduledTasks.forEach(Runnable::run);
        assertEquals(List.of(), results);
        assertTrue(channel.outboundMessages().isEmpty());
    }

    /** A listener that cancels another call of the same connection must not cause a second end of that call. */
    @Test
    void callCancelledByAnotherCallsListenerIsNotReported() {
        completeConnect();
        DepotConnection.Call[] second = new DepotConnection.Call[1];
        connection.openCall("a", waitedMs -> header("a"), null, answer -> {
            results.add(answer.result());
            second[0].cancel();
        });
        second[0] = open("b");
        open("c");
        channel.close();
        channel.runPendingTasks();
        assertEquals(List.of(Result.RESET, Result.CANCELLED), results, "a and c; b was cancelled");
    }

    /** Guards the depot's own timeout: a call that waited for its connection has that much less time left. */
    @Test
    void waitingTimeIsPassedToTheHeader() {
        List<Double> waited = new ArrayList<>();
        connection.trackConnect(connect);
        connection.openCall(
                "a",
                ms -> {
                    waited.add(ms);
                    return header("a");
                },
                null,
                answer -> {});
        nowMs += 300;
        connect.setSuccess();
        channel.runPendingTasks();
        assertEquals(List.of(300.0), waited);
    }

    /** An answer without a body must not be taken for an object, even if the message is complete. */
    @Test
    void answerWithoutItsBodyIsAnError() {
        completeConnect();
        open("a");
        open("b");
        channel.writeInbound(Resp.array(channel.alloc(), "a", "DONE"));
        channel.writeInbound(Resp.array(channel.alloc(), "b", "DONE", "digest=4be0c1927d55a6f3"));
        assertEquals(List.of(Result.ERROR, Result.ERROR), results);
    }

    @Test
    void answersComeInAnyOrder() {
        completeConnect();
        open("a");
        open("b");
        assertFalse(connection.canOpen("c", MAX_STREAMS), "two streams are in use");
        answer("b", "LACK");
        answer("a", "DONE");
        assertEquals(List.of(Result.MISS, Result.OK), results);
    }

    /**
     * The answer to a cancelled attempt may cross its cancel: it must not be taken for the answer to a later attempt.
     */
    @Test
    void openOrCancelledIdIsNotReused() {
        completeConnect();
        DepotConnection.Call call = open("a");
        assertFalse(connection.canOpen("a", MAX_STREAMS));
        call.cancel();
        assertFalse(connection.canOpen("a", MAX_STREAMS));
        assertTrue(connection.canOpen("b", MAX_STREAMS));
        answer("a", "DONE");
        assertEquals(List.of(), results);
    }

    @Test
    void resetFailsAllOpenCalls() {
        completeConnect();
        open("a");
        open("b");
        channel.close();
        channel.runPendingTasks();
        assertEquals(List.of(Result.RESET, Result.CANCELLED), results, "one fault, however many calls were open");
        assertFalse(connection.canOpen("c", MAX_STREAMS));
        assertEquals(1, closedCount);
    }

    /** While clients are slow, answers wait at the depot and are not lost. */
    @Test
    void answersAreKeptWhileReadingIsPaused() {
        completeConnect();
        open("a");
        connection.setReading(false);
        assertFalse(channel.config().isAutoRead());
        connection.setReading(true);
        answer("a", "DONE");
        assertEquals(List.of(Result.OK), results);
    }

    /** Nothing was written before the connection was established, so the call never ran. */
    @Test
    void failedConnectProvesThatNothingRan() {
        connection.trackConnect(connect);
        open("a");
        connect.setFailure(new ConnectException("refused"));
        channel.runPendingTasks();
        assertEquals(List.of(Result.CONNECT_FAILED), results);
    }

    /** A duplicate answer must not be taken for the answer to a later attempt. */
    @Test
    void duplicateAnswerIsIgnored() {
        completeConnect();
        open("a");
        answer("a", "LACK");
        answer("a", "LACK");
        answer("unknown", "DONE");
        assertEquals(List.of(Result.MISS), results);
        assertFalse(connection.canOpen("a", MAX_STREAMS));
        assertTrue(connection.canOpen("b", MAX_STREAMS));
    }

    /** After a lost answer the connection may stay open without delivering anything more. */
    @Test
    void unresponsiveConnectionIsNotReused() {
        completeConnect();
        DepotConnection.Call call = open("a");
        nowMs += DepotConnection.UNRESPONSIVE_MS + 1;
        assertFalse(connection.canOpen("b", MAX_STREAMS));
        answer("unknown", "DONE");
        assertTrue(connection.canOpen("b", MAX_STREAMS), "the depot was only slow");
        nowMs += DepotConnection.UNRESPONSIVE_MS + 1;
        call.cancel();
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }

    @Test
    void stalledAnswerClosesTheConnection() {
        completeConnect();
        open("a");
        channel.writeInbound(Unpooled.copiedBuffer("*4\r\n$1\r\na\r\n$4\r\nDO", StandardCharsets.UTF_8));
        nowMs += DepotConnection.STALLED_MS;
        connection.checkStalled();
        assertTrue(channel.isOpen());
        nowMs += 1;
        connection.checkStalled();
        channel.runPendingTasks();
        assertEquals(List.of(Result.RESET), results);
    }

    @Test
    void garbageClosesTheConnection() {
        completeConnect();
        open("a");
        channel.writeInbound(Unpooled.copiedBuffer("*x\r\n", StandardCharsets.UTF_8));
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
        assertEquals(List.of(Result.RESET), results);
    }

    @Test
    void drainingConnectionClosesOnceIdle() {
        completeConnect();
        open("a");
        connection.drain();
        assertTrue(channel.isOpen());
        answer("a", "KEEP");
        assertFalse(channel.isOpen());
        assertEquals(List.of(Result.OK), results);
    }
}
