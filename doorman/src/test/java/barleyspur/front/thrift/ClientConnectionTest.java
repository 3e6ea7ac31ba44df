package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.SettingsReader;
import barleyspur.decision.RoutingPolicy;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.doorman.UnresponsiveDepots;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.reload.RequestClassRegistry;
import barleyspur.transport.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** A client connection in front of a doorman whose routing decisions are scripted by each test. */
class ClientConnectionTest implements Clock {

    static final String SETTINGS_LINES =
            """
        groupSize=1\nmyNumber=0\nmyZone=0\nresolutionMs=2\ngrades.count=1\ngrades.0.promiseMs=400
        grades.0.hardLimitMs=5000\ngrades.0.repeat=repeatable\nfamilyInfo.midKind=2\nfamilyInfo.masterKind=3
        familyInfo.paceKbPerS=7600\nlimits.sendCap=2\nrules.fallMs=1500\nrules.answerSlackMs=8
        rules.drainGraceMs=1000\nrules.coldFrom=0.24\nrules.coldMs=17000\nrules.tipMultiple=4
        limits.retryAfter=true\nlimits.maxRetryAfterMs=800
        """;
    static final RoutingPolicy.Settings SETTINGS = SettingsReader.read(SettingsReader.parseLines(SETTINGS_LINES));
    static final RequestClassRegistry CLASSES = RequestClassRegistry.of(List.of("small"), SETTINGS.classes());
    private static final int MAX_PENDING = 2;
    private static final int MAX_PARTIAL_BYTES = 40_000;
    private static final int MAX_BODY_BYTES = 20_000;
    private static final int CONNECTIONS = 4;

    private final List<RoutingPolicy.Event> events = new ArrayList<>();
    private Consumer<RoutingPolicy.Action> actionSink;
    private final Doorman doorman = new Doorman(
            SETTINGS,
            9,
            (now, event, sink) -> {
                events.add(event);
                actionSink = sink;
            },
            this,
            new UnresponsiveDepots());
    private final ConnectionRegistry<ClientConnection> registry =
            new ConnectionRegistry<>(ClientConnection::isSettled, ClientConnection::isDelivering);
    private final RequestTurns turns = new RequestTurns(this);
    private final Lifecycle lifecycle = new Lifecycle();
    private final List<Runnable> timers = new ArrayList<>();
    private final InputBudgets budgets = new InputBudgets(
            new ByteBudget(MAX_PARTIAL_BYTES, CONNECTIONS),
            new ByteBudget(MAX_BODY_BYTES, CONNECTIONS),
            new ByteBudget(10 * InputBudgets.REQUEST_STATE_BYTES, CONNECTIONS));
    private double now;
    private final EmbeddedChannel channel = connect();

    private EmbeddedChannel connect() {
        lifecycle.startServing(now);
        ThriftFrameDecoder decoder =
                new ThriftFrameDecoder(100_000, budgets.partialFrames().newShare());
        ClientConnection.ServerContext context = new ClientConnection.ServerContext(
                doorman,
                this,
                () -> CLASSES,
                MAX_PENDING,
                new ResponseBackpressure(1_000, overLimit -> {}),
                budgets,
                registry,
                turns,
                new RateLimitedLog(LoggerFactory.getLogger("front"), this),
                lifecycle);
        return new EmbeddedChannel(decoder, new ClientConnection(context, decoder));
    }

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        Runnable due = () -> task.run();
        timers.add(due);
        return () -> timers.remove(due);
    }

    /** Advances the clock and runs all timers that are currently set. */
    private void advance(double ms) {
        now += ms;
        List<Runnable> due = new ArrayList<>(timers);
        timers.clear();
        due.forEach(Runnable::run);
        channel.runPendingTasks();
    }

    private void dispatch(int seqid, String className) {
        dispatch(seqid, className, "9b1f03aa5c7e2d4" + seqid);
    }

    private void dispatch(int seqid, String className, String id) {
        channel.writeInbound(ThriftCalls.dispatch(seqid, ThriftCalls.fields(className, id), new byte[4]));
    }

    /** Asserts the type and sequence number of the next message to the client, and that it contains {@code text}. */
    private void assertAnswer(int type, int seqid, String text) {
        ByteBuf complete = Unpooled.buffer();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            complete.writeBytes(part);
            part.release();
        }
        assertEquals(complete.readableBytes() - Integer.BYTES, complete.readInt(), "exactly one complete frame");
        assertEquals(ThriftProtocol.VERSION | type, complete.readInt());
        complete.skipBytes(complete.readInt());
        assertEquals(seqid, complete.readInt());
        assertTrue(complete.toString(StandardCharsets.ISO_8859_1).contains(text), text);
    }

    /** A request that arrives byte by byte is accepted once, when it is complete. */
    @Test
    void requestReceivedByteByByteIsAcceptedOnce() {
        Map<String, String> fields = ThriftCalls.fields("small", "9b1f03aa5c7e2d41");
        ByteBuf complete = ThriftCalls.dispatch(1, fields, new byte[4]);
        while (complete.isReadable()) {
            assertEquals(List.of(), events, "no request before the last byte");
            channel.writeInbound(complete.readRetainedSlice(1));
        }
        complete.release();
        assertEquals(1, events.size());
        assertTrue(channel.isOpen());
    }

    private void writable(boolean writable) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        channel.runPendingTasks();
    }

    /** A client to which nothing can be written is still read, so that a cancel or close is noticed at once. */
    @Test
    void cancelOfASlowReaderIsProcessed() {
        dispatch(1, "small");
        dispatch(2, "small");
        writable(false);
        assertTrue(channel.config().isAutoRead());
        channel.writeInbound(ThriftCalls.cancelRequest(3, 1));
        assertEquals(new RoutingPolicy.Gone(((RoutingPolicy.Request) events.get(0)).id()), events.get(2));
        channel.close();
        channel.runPendingTasks();
        assertEquals(new RoutingPolicy.Gone(((RoutingPolicy.Request) events.get(1)).id()), events.get(3));
    }

    @Test
    void clientThatReadsNothingIsDisconnected() {
        dispatch(1, "small");
        writable(false);
        advance(CLASSES.longestDeadlineMs() - 1);
        writable(true);
        writable(false);
        advance(CLASSES.longestDeadlineMs() - 1);
        assertTrue(channel.isOpen(), "writes succeeded in between");
        advance(1);
        assertFalse(channel.isOpen(), "nothing was written for the longest deadline");
    }

    /**
     * Unwritten responses count towards the limit on pending requests, so that a slow reader can't use up the memory. A
     * client that keeps sending requests regardless is disconnected.
     */
    @Test
    void unwrittenResponsesCountTowardsTheLimit() {
        WriteBlocker blocker = new WriteBlocker();
        channel.pipeline().addFirst(blocker);
        for (int i = 1; i <= MAX_PENDING; i++) {
            dispatch(i, "small");
            actionSink.accept(new RoutingPolicy.Refuse(((RoutingPolicy.Request) events.get(i - 1)).id(), 0));
            doorman.onGroupPurged(1, 0);
            events.remove(events.size() - 1);
        }
        dispatch(3, "small");
        assertEquals(MAX_PENDING, events.size(), "two responses are unwritten, so no third request is accepted");
        assertTrue(channel.isOpen());
        dispatch(4, "small");
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen(), "four responses are unwritten");
        blocker.release();
    }

    /** Holds back all written messages, like a socket whose peer does not read. */
    private static final class WriteBlocker extends ChannelOutboundHandlerAdapter {
        private final List<Object> messages = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            messages.add(message);
        }

        void release() {
            messages.forEach(ReferenceCountUtil::release);
        }
    }

    /** A request is never started if its cancel or close is read in the same iteration of the event loop. */
    @Test
    void requestCancelledInTheSameIterationIsNotStarted() {
        Map<String, String> fields = ThriftCalls.fields("small", "9b1f03aa5c7e2d41");
        channel.writeInbound(
                Unpooled.wrappedBuffer(ThriftCalls.dispatch(1, fields, new byte[4]), ThriftCalls.cancelRequest(2, 1)));
        assertEquals(List.of(), events);
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelReadComplete(ChannelHandlerContext ctx) {
                ctx.close();
            }
        });
        channel.writeInbound(ThriftCalls.dispatch(3, fields, new byte[4]));
        assertEquals(List.of(), events, "the client disconnected before the request could be accepted");
    }

    /** A complete request that is followed by invalid input gets a response, although it is not accepted any more. */
    @Test
    void requestBeforeInvalidInputIsAnswered() {
        Map<String, String> fields = ThriftCalls.fields("small", "9b1f03aa5c7e2d41");
        channel.writeInbound(Unpooled.wrappedBuffer(
                ThriftCalls.dispatch(1, fields, new byte[4]), Unpooled.wrappedBuffer(new byte[] {-1, -1, -1, -1})));
        assertEquals(List.of(), events);
        ByteBuf first = channel.readOutbound();
        assertEquals(ThriftProtocol.VERSION | ThriftProtocol.REPLY, first.getInt(Integer.BYTES));
        first.release();
        assertTrue(Unpooled.wrappedBuffer(channel.<ByteBuf>readOutbound()).readableBytes() > 0);
        assertTrue(channel.isOpen());
    }

    @Test
    void refusalCarriesTheRetryDelay() {
        dispatch(1, "small");
        doorman.onNodeList(true, List.of());
        assertNull(channel.readOutbound(), "held until the routing decision");
        RoutingPolicy.Request request = (RoutingPolicy.Request) events.get(0);
        assertEquals(3, request.part());
        assertEquals(17, request.group());
        actionSink.accept(new RoutingPolicy.Refuse(request.id(), 700));
        doorman.onGroupPurged(1, 0);
        assertAnswer(ThriftProtocol.REPLY, 1, "700");
    }

    @Test
    void invalidRequestReceivesAnExceptionAndTheConnectionStays() {
        dispatch(1, "unheard-of");
        assertAnswer(ThriftProtocol.EXCEPTION, 1, "field c");
        dispatch(2, "small");
        assertEquals(1, events.size());
        assertTrue(channel.isOpen());
    }

    @Test
    void requestsOverTheLimitAreRefused() {
        dispatch(1, "small");
        dispatch(2, "small");
        dispatch(3, "small");
        assertAnswer(ThriftProtocol.REPLY, 3, "");
        assertEquals(MAX_PENDING, events.size());
    }

    private static ByteBuf requests(int from, int to, int bodyBytes) {
        ByteBuf all = Unpooled.buffer();
        for (int i = from; i <= to; i++) {
            Map<String, String> fields = ThriftCalls.fields("small", String.format("%016x", i));
            ByteBuf frame = ThriftCalls.dispatch(i, fields, new byte[bodyBytes]);
            all.writeBytes(frame);
            frame.release();
        }
        return all;
    }

    /** Releases the messages that were written to the client and returns their number. */
    private int releaseAnswers() {
        int answers = 0;
        for (ByteBuf message = channel.readOutbound(); message != null; message = channel.readOutbound()) {
            message.release();
            answers++;
        }
        return answers;
    }

    private void assertNothingIsHeld() {
        assertEquals(0, budgets.partialFrames().heldBytes());
        assertEquals(0, budgets.bodies().heldBytes());
        assertEquals(0, budgets.requests().heldBytes());
    }

    /**
     * Guards against the hang after a flood: all requests that one iteration of the event loop read were kept, parsed,
     * without a bound. Now those over the limit are refused as they are read, and a client that sends far more ends.
     */
    @Test
    void requestsOverTheLimitAreNotKeptWhileInputIsRead() {
        channel.pipeline().fireChannelRead(requests(1, 1_000, 0));
        assertNothingIsHeld();
        assertEquals(
                MAX_PENDING * InputBudgets.REQUEST_STATE_BYTES,
                budgets.requests().peakBytes());
        assertEquals(
                MAX_PENDING + (MAX_PENDING + 1) + 2,
                releaseAnswers(),
                "the requests kept, those refused until the end, the exception, and the flush of the close");
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
        assertEquals(List.of(), events, "no request of a disconnected client is accepted");
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** Requests over the limit by a few are refused one by one, and the connection stays. */
    @Test
    void fewRequestsOverTheLimitInOneReadAreRefused() {
        channel.writeInbound(requests(1, 2 * MAX_PENDING, 0));
        assertEquals(MAX_PENDING, events.size());
        assertEquals(MAX_PENDING, releaseAnswers());
        dispatch(9, "small");
        assertEquals(1, releaseAnswers(), "the connection is still read");
        assertTrue(channel.isOpen());
    }

    /** Calls that need no routing are bounded by their unwritten answers while input is read, not only after it. */
    @Test
    void clientThatReadsNothingIsRejectedWhileItsInputIsRead() {
        WriteBlocker blocker = new WriteBlocker();
        channel.pipeline().addFirst(blocker);
        ByteBuf calls = Unpooled.buffer();
        for (int i = 0; i < 1_000; i++) {
            int start = calls.writerIndex();
            calls.writeInt(0).writeInt(ThriftProtocol.VERSION | ThriftProtocol.CALL);
            ThriftCalls.string(calls, "alive".getBytes(StandardCharsets.UTF_8));
            calls.writeInt(i).writeByte(ThriftProtocol.STOP);
            calls.setInt(start, calls.writerIndex() - start - Integer.BYTES);
        }
        channel.pipeline().fireChannelRead(calls);
        int queued = blocker.messages.size();
        assertTrue(queued >= 2 * MAX_PENDING && queued <= 2 * MAX_PENDING + 2, queued + " messages are queued");
        blocker.release();
    }

    /** A body for which no memory is left is refused with a delay; the connection and its other requests stay. */
    @Test
    void requestWhoseBodyCannotBeHeldIsRefused() {
        channel.writeInbound(requests(1, 1, 12_000));
        assertEquals(12_000, budgets.bodies().heldBytes());
        channel.writeInbound(requests(2, 2, 12_000));
        assertEquals(1, events.size());
        assertAnswer(ThriftProtocol.REPLY, 2, "800");
        channel.writeInbound(requests(3, 3, 100));
        assertEquals(2, events.size(), "a small body is held");
        channel.writeInbound(ThriftCalls.cancelRequest(4, 1));
        assertEquals(100, budgets.bodies().heldBytes(), "returned by the end of the request");
        channel.close();
        channel.runPendingTasks();
        assertNothingIsHeld();
    }

    /**
     * A frame for which no memory is left is skipped as it arrives and refused at its end; what follows it on the
     * connection is read as always.
     */
    @Test
    void frameThatCannotBeHeldIsSkippedAndRefused() {
        ByteBuf frame = requests(1, 1, 60_000);
        channel.writeInbound(frame.readRetainedSlice(45_000));
        assertEquals(0, budgets.partialFrames().heldBytes(), "too much for the budget");
        assertNull(channel.readOutbound(), "refused once it is complete");
        channel.writeInbound(Unpooled.wrappedBuffer(frame, requests(2, 2, 0)));
        assertAnswer(ThriftProtocol.REPLY, 1, "800");
        assertEquals(1, events.size(), "the request behind it is accepted");
        assertEquals(InputBudgets.REQUEST_STATE_BYTES, budgets.requests().heldBytes());
    }

    /** Half a frame is counted by the buffer that holds it, and is returned when its connection ends. */
    @Test
    void partialFrameIsCountedUntilItsConnectionEnds() {
        ByteBuf frame = requests(1, 1, 20_000);
        channel.writeInbound(frame.readRetainedSlice(10_000));
        assertTrue(budgets.partialFrames().heldBytes() >= 10_000);
        frame.release();
        channel.close();
        channel.runPendingTasks();
        assertNothingIsHeld();
    }

    @Test
    void closeCancelsPendingRequests() {
        dispatch(1, "small");
        channel.close();
        channel.runPendingTasks();
        assertEquals(new RoutingPolicy.Gone(((RoutingPolicy.Request) events.get(0)).id()), events.get(1));
    }

    /** Runs the tasks that wait for the next iteration of the event loop, and what these order. */
    private void runNextIteration() {
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        channel.runPendingTasks();
    }

    /** Reads input as one iteration of the event loop does that leaves more in the socket if {@code moreIsUnread}. */
    private void read(ByteBuf input, boolean moreIsUnread) {
        channel.unsafe().recvBufAllocHandle().lastBytesRead(moreIsUnread ? input.readableBytes() : 0);
        channel.pipeline().fireChannelRead(input);
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
    }

    /**
     * Guards against requests that are sent on for a client that has gone: its close, or cancels, may lie behind more
     * input than one iteration of the event loop reads.
     */
    @Test
    void requestsAreProcessedOnceAllInputHasBeenRead() {
        channel.freezeTime();
        read(requests(1, 1, 0), true);
        assertEquals(List.of(), events, "more input is unread");
        runNextIteration();
        assertEquals(List.of(), events, "it is still unread");
        read(ThriftCalls.cancelRequest(2, 1), true);
        read(requests(3, 3, 0), false);
        runNextIteration();
        assertEquals(1, events.size(), "the cancelled request is never processed");
        read(requests(4, 4, 0), true);
        now += 50;
        runNextIteration();
        assertEquals(2, events.size(), "a client that sends without end does not put off its requests for good");
        read(requests(5, 5, 0), true);
        channel.close();
        runNextIteration();
        assertEquals(
                2,
                events.stream().filter(RoutingPolicy.Request.class::isInstance).count());
        assertNothingIsHeld();
    }

    /**
     * Guards against clients that keep others waiting with calls that have no effect: one client that sent cancels at full
     * speed delayed all others' answers, and sixty of them had answers lost.
     */
    @Test
    void clientThatCancelsWhatIsNotOpenIsRejected() {
        ByteBuf cancels = Unpooled.buffer();
        for (int i = 0; i < 1_000; i++) {
            cancels.writeBytes(ThriftCalls.cancelRequest(i, i));
        }
        channel.pipeline().fireChannelRead(cancels);
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** Cancels that cross their answers have no effect either; a sound client sends no more than it had open. */
    @Test
    void cancelsThatCrossTheirAnswersAreIgnored() {
        for (int i = 0; i < 1_000; i++) {
            channel.writeInbound(ThriftCalls.cancelRequest(i, i));
        }
        dispatch(1, "small");
        assertEquals(1, events.size());
    }

    /** A client can't distinguish two responses with the same sequence number, so the connection is rejected. */
    @Test
    void duplicateSequenceNumberClosesTheConnection() {
        dispatch(1, "small");
        dispatch(1, "small", "9b1f03aa5c7e2d42");
        assertEquals(new RoutingPolicy.Gone(((RoutingPolicy.Request) events.get(0)).id()), events.get(1));
        assertTrue(channel.isOpen(), "the error could be lost if a reset followed");
        assertTrue(Unpooled.wrappedBuffer(channel.<ByteBuf>readOutbound()).readableBytes() > 0);
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[300_000]));
        assertFalse(channel.config().isAutoRead(), "reading stops at the limit of discarded bytes");
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** A depot could respond to one of two requests with the same id with the other's body. */
    @Test
    void idOfAnEarlierRequestIsRejected() {
        dispatch(1, "small", "9b1f03aa5c7e2d41");
        dispatch(2, "small", "9b1f03aa5c7e2d41");
        assertAnswer(ThriftProtocol.EXCEPTION, 2, "field i");
        actionSink.accept(new RoutingPolicy.Refuse(((RoutingPolicy.Request) events.get(0)).id(), 0));
        doorman.onGroupPurged(1, 0);
        assertAnswer(ThriftProtocol.REPLY, 1, "");
        dispatch(3, "small", "9b1f03aa5c7e2d41");
        assertAnswer(ThriftProtocol.EXCEPTION, 3, "field i");
    }

    @Test
    void unusedConnectionTimesOutAndUsedOneStays() {
        EmbeddedChannel other = connect();
        dispatch(1, "small");
        actionSink.accept(new RoutingPolicy.Refuse(((RoutingPolicy.Request) events.get(0)).id(), 0));
        doorman.onGroupPurged(1, 0);
        advance(RequestReadTimeout.INACTIVITY_TIMEOUT_MS);
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(other.isOpen());
        assertTrue(channel.isOpen());
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {0, 0, 0}));
        advance(RequestReadTimeout.INACTIVITY_TIMEOUT_MS);
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen(), "incomplete request");
    }

    @Test
    void repeatedInvalidRequestsCloseTheConnection() {
        for (int i = 0; i < 8; i++) {
            assertTrue(channel.config().isAutoRead());
            dispatch(i, "unheard-of", "9b1f03aa5c7e2d41");
        }
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** The least active connections are evicted first, and connections with pending requests never. */
    @Test
    void leastActiveConnectionsAreEvictedFirst() {
        ConnectionRegistry<String> connections = new ConnectionRegistry<>(settled -> true, delivering -> false);
        List.of("silent", "idle", "busy", "left").forEach(c -> connections.addNew(c, 0));
        connections.markBusy("busy");
        connections.markIdle("idle", 100);
        connections.remove("left");
        connections.addNew("recent", ConnectionRegistry.NEW_CONNECTION_GRACE_MS);
        connections.markClosing("closing");
        assertEquals("silent", connections.evictLeastActive(ConnectionRegistry.NEW_CONNECTION_GRACE_MS));
        assertEquals("idle", connections.evictLeastActive(ConnectionRegistry.NEW_CONNECTION_GRACE_MS));
        assertEquals("recent", connections.evictLeastActive(ConnectionRegistry.NEW_CONNECTION_GRACE_MS));
        assertNull(connections.evictLeastActive(ConnectionRegistry.NEW_CONNECTION_GRACE_MS));
        for (String next : List.of("closing", "silent", "idle", "recent")) {
            assertEquals(next, connections.longestClosing());
            connections.remove(next);
        }
        assertNull(connections.longestClosing());
        registry.evictLeastActive(0).evict();
        dispatch(1, "small");
        channel.runPendingTasks();
        assertTrue(channel.isOpen(), "a request in the same event loop iteration prevents the eviction");
    }

    /**
     * A connection that wasn't evicted because of a request that proved to be invalid doesn't count as closing and can
     * be evicted later; otherwise it would keep its file descriptor.
     */
    @Test
    void connectionKeptByAnInvalidRequestCanBeEvictedLater() {
        registry.evictLeastActive(0).evict();
        dispatch(1, "unheard-of");
        assertTrue(channel.isOpen());
        assertEquals(0, registry.closingCount());
        registry.evictLeastActive(0).evict();
        channel.runPendingTasks();
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** When quiesced, a connection is closed after its last response has been written, and not before. */
    @Test
    void quiescedConnectionIsClosedAfterItsResponses() {
        dispatch(1, "small");
        dispatch(2, "small");
        lifecycle.quiesce(now);
        actionSink.accept(new RoutingPolicy.Refuse(((RoutingPolicy.Request) events.get(0)).id(), 0));
        doorman.onGroupPurged(1, 0);
        channel.runPendingTasks();
        assertTrue(channel.isOpen(), "request 2 is pending");
        assertAnswer(ThriftProtocol.REPLY, 1, "");
        actionSink.accept(new RoutingPolicy.Refuse(((RoutingPolicy.Request) events.get(1)).id(), 0));
        doorman.onGroupPurged(1, 0);
        channel.runPendingTasks();
        assertAnswer(ThriftProtocol.REPLY, 2, "");
        dispatch(3, "small");
        assertEquals(
                2,
                events.stream().filter(RoutingPolicy.Request.class::isInstance).count(),
                "no third request is accepted");
        advance(ConnectionEnding.LINGER_MS);
        assertFalse(channel.isOpen(), "no request is pending any more");
    }
}
