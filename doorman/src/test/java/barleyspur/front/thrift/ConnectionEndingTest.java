package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ManualClock;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.transport.LingeringClose;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Stops the world in each state of a connection's end, and looks at what is still owed there. */
class ConnectionEndingTest implements ConnectionEnding.Connection {

    private static final double LONGEST_WAIT_MS = 6_000;

    private final ManualClock clock = new ManualClock(1_000);
    private final Lifecycle lifecycle = new Lifecycle();
    private final SlowSocket socket = new SlowSocket();
    private final EmbeddedChannel channel = new EmbeddedChannel(socket);
    private final ConnectionEnding ending = new ConnectionEnding(channel, clock, lifecycle, this);

    private boolean requestPending;
    private boolean requestReceived;
    private boolean partialRequest;
    private double readUntilMs;
    private LingeringClose closing;
    private int postponed;

    /** Holds back what is written while {@code takes} is false, as a socket whose peer doesn't read. */
    private static final class SlowSocket extends ChannelOutboundHandlerAdapter {
        private final List<Runnable> held = new ArrayList<>();
        private boolean takes = true;

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            Runnable take = () -> {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            };
            if (takes) {
                take.run();
            } else {
                held.add(take);
            }
        }

        void takeAll() {
            takes = true;
            List.copyOf(held).forEach(Runnable::run);
            held.clear();
        }
    }

    @AfterEach
    void closeChannel() {
        channel.close();
        ending.onClosed();
        assertEquals(0, clock.pendingTimers(), "a timer is left");
    }

    @Override
    public boolean hasRequests() {
        return requestPending || requestReceived;
    }

    @Override
    public boolean hasPendingRequests() {
        return requestPending;
    }

    @Override
    public boolean hasUnwrittenMessages() {
        return !socket.held.isEmpty();
    }

    @Override
    public double remainingReadMs() {
        return Math.max(0, readUntilMs - clock.nowMs());
    }

    @Override
    public boolean hasPartialRequest() {
        return partialRequest;
    }

    @Override
    public double longestWaitMs() {
        return LONGEST_WAIT_MS;
    }

    @Override
    public boolean wasUsed() {
        return true;
    }

    @Override
    public void onClosing(LingeringClose lingeringClose) {
        closing = lingeringClose;
    }

    @Override
    public void onEvictionPostponed() {
        postponed++;
    }

    private void advance(double ms) {
        clock.advance(ms, channel::runPendingTasks);
        channel.runPendingTasks();
    }

    private void evict() {
        ending.evict();
        channel.runPendingTasks();
    }

    private void queueAnswer() {
        socket.takes = false;
        channel.write(Unpooled.EMPTY_BUFFER);
    }

    @Test
    void connectionIsSettledOnlyWhenNothingIsOwed() {
        assertTrue(ending.isSettled());
        requestPending = true;
        assertFalse(ending.isSettled(), "a request is pending");
        requestPending = false;
        requestReceived = true;
        assertFalse(ending.isSettled(), "a request was received");
        requestReceived = false;
        queueAnswer();
        assertFalse(ending.isSettled(), "an answer is queued");
        socket.takeAll();
        readUntilMs = clock.nowMs() + 100;
        assertFalse(ending.isSettled(), "an answer is being read");
        advance(100);
        assertTrue(ending.isSettled());
    }

    /** Guards against answers that are cut off when idle clients fill the descriptors. */
    @Test
    void connectionThatOwesAnswersIsNotEvicted() {
        queueAnswer();
        evict();
        assertFalse(ending.hasBegun());
        assertEquals(1, postponed, "stays a candidate");
        socket.takeAll();
        readUntilMs = clock.nowMs() + 500;
        evict();
        assertFalse(ending.hasBegun(), "the client is still reading");
        advance(500);
        evict();
        assertTrue(ending.hasBegun());
        assertEquals(ConnectionEnding.Cause.EVICTED, ending.cause());
    }

    /** Guards against requests that are thrown away, as the client sees the end only behind the answers. */
    @Test
    void drainWaitsUntilTheClientMustHaveReadItsAnswers() {
        lifecycle.startServing(clock.nowMs());
        lifecycle.quiesce(clock.nowMs());
        readUntilMs = clock.nowMs() + 700;
        ending.closeIfIdle();
        ending.closeIfIdle();
        assertFalse(ending.hasBegun());
        assertEquals(1, clock.pendingTimers(), "one check is due");
        advance(650);
        assertFalse(ending.hasBegun());
        advance(50);
        assertTrue(ending.hasBegun());
    }

    /** A client that goes on asking, or reads nothing, must not hold a drain. */
    @Test
    void drainWaitsNoLongerThanTheLifecycleAllows() {
        lifecycle.startServing(clock.nowMs());
        lifecycle.quiesce(clock.nowMs());
        readUntilMs = clock.nowMs() + 60_000;
        ending.closeIfIdle();
        advance(2_900);
        assertFalse(ending.hasBegun());
        advance(100);
        assertTrue(ending.hasBegun(), "a second before the front looks");
    }

    /** No request comes later than 0.6 s after SIGTERM, so nothing that is sent can be lost. */
    @Test
    void processThatEndsWithoutASuccessorDoesNotWaitForReaders() {
        lifecycle.startServing(clock.nowMs());
        lifecycle.startLeaving(clock.nowMs(), false, 3_700);
        lifecycle.endGrace();
        readUntilMs = clock.nowMs() + 2_000;
        ending.closeIfIdle();
        assertTrue(ending.hasBegun());
        advance(2_000 + ConnectionEnding.LINGER_MS - 1);
        assertTrue(channel.isOpen(), "what is written meanwhile must not reset the connection");
        advance(1);
        assertFalse(channel.isOpen());
    }

    /** Guards against queued answers that are cut off half a second after the close began. */
    @Test
    void answersThatAreQueuedAreWrittenBeforeTheConnectionEnds() {
        queueAnswer();
        ending.close(ConnectionEnding.Cause.REJECTED);
        assertEquals(LingeringClose.State.DRAINING, closing.state());
        advance(3_000);
        assertTrue(channel.isOpen());
        readUntilMs = clock.nowMs() + 1_000;
        socket.takeAll();
        assertEquals(LingeringClose.State.HALF_CLOSED, closing.state());
        advance(1_000 + ConnectionEnding.LINGER_MS - 1);
        assertTrue(channel.isOpen(), "the client is still reading");
        advance(1);
        assertFalse(channel.isOpen());
    }

    /** A client that never reads holds its connection for a bounded time. */
    @Test
    void clientThatNeverReadsIsGivenUp() {
        queueAnswer();
        ending.close(ConnectionEnding.Cause.REJECTED);
        advance(LONGEST_WAIT_MS - 1);
        assertTrue(channel.isOpen());
        advance(1);
        assertFalse(channel.isOpen());
        socket.takeAll();
    }

    @Test
    void closedConnectionIsClosedOnce() {
        ending.close(ConnectionEnding.Cause.IDLE);
        channel.close();
        ending.onClosed();
        assertEquals(LingeringClose.State.CLOSED, closing.state());
        ending.close(ConnectionEnding.Cause.REJECTED);
        assertEquals(ConnectionEnding.Cause.IDLE, ending.cause());
    }
}
