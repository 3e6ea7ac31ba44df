package barleyspur.depot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Result;
import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.Depots.Answer;
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

    private static final int STREAMS = 2;

    private final List<Result> ends = new ArrayList<>();
    private int closed;
    private double now;
    private final Clock clock = new Clock() {
        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public Timer after(double delayMs, Runnable task) {
            later.add(task);
            return () -> later.remove(task);
        }
    };
    private final List<Runnable> later = new ArrayList<>();
    private final RespDecoder decoder = new RespDecoder();
    private final DepotConnection connection = new DepotConnection(
            "s-1",
            new DepotConnection.Shared(clock, List.of(), 32, new CappedLog(LoggerFactory.getLogger("depot"), clock)),
            decoder,
            () -> closed++);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, connection);
    private final ChannelPromise connect = channel.newPromise();

    private DepotConnection.Call open(String id) {
        return connection.open(id, waitedMs -> head(id), null, (Answer answer) -> {
            ends.add(answer.result());
            if (answer.body() != null) {
                answer.body().release();
            }
        });
    }

    private static ByteBuf head(String id) {
        return Unpooled.copiedBuffer("serve " + id, StandardCharsets.UTF_8);
    }

    private void up() {
        connection.connecting(connect);
        connect.setSuccess();
        channel.runPendingTasks();
    }

    private void answer(String id, String word) {
        channel.writeInbound(Resp.message(channel.alloc(), id, word, "-", ""));
    }

    /** A depot may write in chunks of any size, down to one byte: the answer is decoded completely and once. */
    @Test
    void anAnswerThatComesOneByteAtATimeIsReadWhole() {
        up();
        open("a");
        ByteBuf whole = Resp.message(channel.alloc(), "a", "DONE", "digest=4be0c1927d55a6f3", "bytes of the part");
        while (whole.isReadable()) {
            assertEquals(List.of(), ends, "no answer before the last byte");
            channel.writeInbound(whole.readRetainedSlice(1));
        }
        whole.release();
        assertEquals(List.of(Result.OK), ends);
    }

    /** Opens a call whose check before the write returns OK only while {@code admitted[0]} is true. */
    private DepotConnection.Call openIf(String id, boolean[] may) {
        return connection.open(id, waitedMs -> head(id), null, new Depots.AttemptListener() {
            @Override
            public void ended(Answer answer) {
                ends.add(answer.result());
            }

            @Override
            public Result beforeWrite() {
                return may[0] ? Result.OK : Result.FULL;
            }
        });
    }

    /** A call that is rejected once its connection is established is not written, and ends as one that never ran. */
    @Test
    void aCallThatMayNoLongerGoIsNotWritten() {
        boolean[] may = {true};
        openIf("a", may);
        may[0] = false;
        up();
        assertEquals(List.of(), ends, "the listener is never notified from within the call");
        assertTrue(channel.outboundMessages().isEmpty(), "nothing is written");
        later.forEach(Runnable::run);
        assertEquals(List.of(Result.FULL), ends);
        assertFalse(Result.FULL.mayHaveRun());
    }

    /** A call that is rejected and then cancelled before its end was reported is not reported. */
    @Test
    void aCallThatMayNotGoAndIsCancelledHasNoEnd() {
        up();
        DepotConnection.Call call = openIf("a", new boolean[] {false});
        call.cancel();
        later.forEach(Runnable::run);
        assertEquals(List.of(), ends);
        assertTrue(channel.outboundMessages().isEmpty());
    }

    /** A listener that cancels another call of the same connection must not cause a second end of that call. */
    @Test
    void aCallGivenUpByAnotherOnesEndHasNone() {
        up();
        DepotConnection.Call[] second = new DepotConnection.Call[1];
        connection.open("a", waitedMs -> head("a"), null, answer -> {
            ends.add(answer.result());
            second[0].cancel();
        });
        second[0] = open("b");
        open("c");
        channel.close();
        channel.runPendingTasks();
        assertEquals(List.of(Result.RESET, Result.CANCELLED), ends, "a and c; b was cancelled");
    }

    /** Guards the depot's own timeout: a call that waited for its connection has that much less time left. */
    @Test
    void theTimeThatACallWaitedIsToldToItsHead() {
        List<Double> waited = new ArrayList<>();
        connection.connecting(connect);
        connection.open(
                "a",
                ms -> {
                    waited.add(ms);
                    return head("a");
                },
                null,
                answer -> {});
        now += 300;
        connect.setSuccess();
        channel.runPendingTasks();
        assertEquals(List.of(300.0), waited);
    }

    /** An answer without a body must not be taken for an object, even if the message is complete. */
    @Test
    void anAnswerWithoutItsBytesIsNone() {
        up();
        open("a");
        open("b");
        channel.writeInbound(Resp.message(channel.alloc(), "a", "DONE"));
        channel.writeInbound(Resp.message(channel.alloc(), "b", "DONE", "digest=4be0c1927d55a6f3"));
        assertEquals(List.of(Result.ERROR, Result.ERROR), ends);
    }

    @Test
    void answersComeInAnyOrder() {
        up();
        open("a");
        open("b");
        assertFalse(connection.takes("c", STREAMS), "two streams are in use");
        answer("b", "LACK");
        answer("a", "DONE");
        assertEquals(List.of(Result.MISS, Result.OK), ends);
    }

    /**
     * The answer to a cancelled attempt may cross its cancel: it must not be taken for the answer to a later attempt.
     */
    @Test
    void anIdThatIsOutOrCancelledIsNotUsedAgain() {
        up();
        DepotConnection.Call call = open("a");
        assertFalse(connection.takes("a", STREAMS));
        call.cancel();
        assertFalse(connection.takes("a", STREAMS));
        assertTrue(connection.takes("b", STREAMS));
        answer("a", "DONE");
        assertEquals(List.of(), ends);
    }

    @Test
    void aResetFailsAllThatIsOpen() {
        up();
        open("a");
        open("b");
        channel.close();
        channel.runPendingTasks();
        assertEquals(List.of(Result.RESET, Result.CANCELLED), ends, "one fault, however many calls were open");
        assertFalse(connection.takes("c", STREAMS));
        assertEquals(1, closed);
    }

    /** While clients are slow, answers wait at the depot and are not lost. */
    @Test
    void whatIsNotReadIsNotLost() {
        up();
        open("a");
        connection.read(false);
        assertFalse(channel.config().isAutoRead());
        connection.read(true);
        answer("a", "DONE");
        assertEquals(List.of(Result.OK), ends);
    }

    /** Nothing was written before the connection was established, so the call never ran. */
    @Test
    void aConnectionThatNeverComesUpProvesThatNothingRan() {
        connection.connecting(connect);
        open("a");
        connect.setFailure(new ConnectException("refused"));
        channel.runPendingTasks();
        assertEquals(List.of(Result.CONNECT_FAILED), ends);
    }

    /** A duplicate answer must not be taken for the answer to a later attempt. */
    @Test
    void anAnswerThatComesTwiceCountsOnce() {
        up();
        open("a");
        answer("a", "LACK");
        answer("a", "LACK");
        answer("unknown", "DONE");
        assertEquals(List.of(Result.MISS), ends);
        assertFalse(connection.takes("a", STREAMS));
        assertTrue(connection.takes("b", STREAMS));
    }

    /** After a lost answer the connection may stay open without delivering anything more. */
    @Test
    void aConnectionThatHasFallenSilentIsNotUsedAgain() {
        up();
        DepotConnection.Call call = open("a");
        now += DepotConnection.SILENT_MS + 1;
        assertFalse(connection.takes("b", STREAMS));
        answer("unknown", "DONE");
        assertTrue(connection.takes("b", STREAMS), "the depot was only slow");
        now += DepotConnection.SILENT_MS + 1;
        call.cancel();
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }

    @Test
    void anAnswerThatStopsShortEndsTheConnection() {
        up();
        open("a");
        channel.writeInbound(Unpooled.copiedBuffer("*4\r\n$1\r\na\r\n$4\r\nDO", StandardCharsets.UTF_8));
        now += DepotConnection.STALLED_MS;
        connection.checkStalled();
        assertTrue(channel.isOpen());
        now += 1;
        connection.checkStalled();
        channel.runPendingTasks();
        assertEquals(List.of(Result.RESET), ends);
    }

    @Test
    void garbageEndsThisConnectionOnly() {
        up();
        open("a");
        channel.writeInbound(Unpooled.copiedBuffer("*x\r\n", StandardCharsets.UTF_8));
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
        assertEquals(List.of(Result.RESET), ends);
    }

    @Test
    void aRetiredConnectionClosesOnceItIsEmpty() {
        up();
        open("a");
        connection.retire();
        assertTrue(channel.isOpen());
        answer("a", "KEEP");
        assertFalse(channel.isOpen());
        assertEquals(List.of(Result.OK), ends);
    }
}
