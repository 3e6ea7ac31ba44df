package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.SettingsReader;
import barleyspur.decision.Director;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.doorman.UnresponsiveDepots;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.reload.RequestClassRegistry;
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
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** One client connection before a core whose director does as each test says. */
class FrontConnectionTest implements Clock {

    static final Director.Settings SETTINGS = SettingsReader.read(
            SettingsReader.lines(
                    """
        groupSize=1\nmyNumber=0\nmyZone=0\nresolutionMs=2\ngrades.count=1\ngrades.0.promiseMs=400
        grades.0.hardLimitMs=5000\ngrades.0.repeat=repeatable\nfamilyInfo.midKind=2\nfamilyInfo.masterKind=3
        familyInfo.paceKbPerS=7600\nlimits.sendCap=2\nrules.fallMs=1500\nrules.answerSlackMs=8
        rules.drainGraceMs=1000\nrules.coldFrom=0.24\nrules.coldMs=17000\nrules.tipMultiple=4
        """));
    static final RequestClassRegistry CLASSES = RequestClassRegistry.of(List.of("small"), SETTINGS.classes());
    private static final int MOST_OPEN = 2;

    private final List<Director.Event> events = new ArrayList<>();
    private Consumer<Director.Action> out;
    private final Doorman doorman = new Doorman(
            SETTINGS,
            9,
            (now, event, sink) -> {
                events.add(event);
                out = sink;
            },
            this,
            new UnresponsiveDepots());
    private final ConnectionRegistry<FrontConnection> registry = new ConnectionRegistry<>();
    private final Lifecycle lifecycle = new Lifecycle();
    private final List<Runnable> timers = new ArrayList<>();
    private double now;
    private final EmbeddedChannel channel = connect();

    private EmbeddedChannel connect() {
        lifecycle.startServing(now);
        ThriftFrameDecoder decoder = new ThriftFrameDecoder(100_000);
        FrontConnection.Shared shared = new FrontConnection.Shared(
                doorman,
                this,
                () -> CLASSES,
                MOST_OPEN,
                new UnreadAnswers(1_000, full -> {}),
                registry,
                new RateLimitedLog(LoggerFactory.getLogger("front"), this),
                lifecycle);
        return new EmbeddedChannel(decoder, new FrontConnection(shared, decoder));
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

    /** Lets the time of all timers come that are set now. */
    private void pass(double ms) {
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

    /** Type and sequence number of the next message to the client, and whether {@code text} is in it. */
    private void assertAnswer(int type, int seqid, String text) {
        ByteBuf whole = Unpooled.buffer();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            whole.writeBytes(part);
            part.release();
        }
        assertEquals(whole.readableBytes() - Integer.BYTES, whole.readInt(), "one whole frame");
        assertEquals(Thrift.VERSION | type, whole.readInt());
        whole.skipBytes(whole.readInt());
        assertEquals(seqid, whole.readInt());
        assertTrue(whole.toString(StandardCharsets.ISO_8859_1).contains(text), text);
    }

    /** Guards a client that writes in pieces of any size, down to one byte: its request is taken once, when whole. */
    @Test
    void aRequestThatComesOneByteAtATimeIsTakenWhenWhole() {
        Map<String, String> fields = ThriftCalls.fields("small", "9b1f03aa5c7e2d41");
        ByteBuf whole = ThriftCalls.dispatch(1, fields, new byte[4]);
        while (whole.isReadable()) {
            assertEquals(List.of(), events, "nothing before the last byte");
            channel.writeInbound(whole.readRetainedSlice(1));
        }
        whole.release();
        assertEquals(1, events.size());
        assertTrue(channel.isOpen());
    }

    private void writable(boolean writable) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        channel.runPendingTasks();
    }

    /** Guards: while nothing goes out to a client it is read all the same, so that a cancel or its end is seen at once. */
    @Test
    void aSlowReaderIsHeardWhenItCancels() {
        dispatch(1, "small");
        dispatch(2, "small");
        writable(false);
        assertTrue(channel.config().isAutoRead());
        channel.writeInbound(ThriftCalls.cancelRequest(3, 1));
        assertEquals(new Director.Gone(((Director.Request) events.get(0)).id()), events.get(2));
        channel.close();
        channel.runPendingTasks();
        assertEquals(new Director.Gone(((Director.Request) events.get(1)).id()), events.get(3));
    }

    @Test
    void aReaderThatTakesNothingIsLetGo() {
        dispatch(1, "small");
        writable(false);
        pass(CLASSES.longestDeadlineMs() - 1);
        writable(true);
        writable(false);
        pass(CLASSES.longestDeadlineMs() - 1);
        assertTrue(channel.isOpen(), "it caught up in between");
        pass(1);
        assertFalse(channel.isOpen(), "nothing went out for as long as any client waits");
    }

    /**
     * Guards memory against a client that reads slowly: what is not yet out to it counts as open, so it can ask for no
     * more than may be open; who goes on asking all the same is let go.
     */
    @Test
    void aSlowReaderCanAskForNoMoreThanMayBeOpen() {
        FlushHeld held = new FlushHeld();
        channel.pipeline().addFirst(held);
        for (int i = 1; i <= MOST_OPEN; i++) {
            dispatch(i, "small");
            out.accept(new Director.Refuse(((Director.Request) events.get(i - 1)).id(), 0));
            doorman.onGroupPurged(1, 0);
            events.remove(events.size() - 1);
        }
        dispatch(3, "small");
        assertEquals(MOST_OPEN, events.size(), "two answers are not out: no third is taken");
        assertTrue(channel.isOpen());
        dispatch(4, "small");
        pass(FrontConnection.LINGER_MS);
        assertFalse(channel.isOpen(), "four answers are not out");
        held.release();
    }

    /** Keeps all that is written, as a socket does whose peer does not read. */
    private static final class FlushHeld extends ChannelOutboundHandlerAdapter {
        private final List<Object> kept = new ArrayList<>();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            kept.add(message);
        }

        void release() {
            kept.forEach(ReferenceCountUtil::release);
        }
    }

    /** Guards: what a client has cancelled, or closed on, in the turn in which it asked is never begun. */
    @Test
    void aRequestThatComesWithItsCancelIsNotBegun() {
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
        assertEquals(List.of(), events, "its client was gone before it could be taken");
    }

    /** Guards requests before a fault: what was whole gets its answer, though it can't be taken any more. */
    @Test
    void aRequestBeforeAFaultIsAnswered() {
        Map<String, String> fields = ThriftCalls.fields("small", "9b1f03aa5c7e2d41");
        channel.writeInbound(Unpooled.wrappedBuffer(
                ThriftCalls.dispatch(1, fields, new byte[4]), Unpooled.wrappedBuffer(new byte[] {-1, -1, -1, -1})));
        assertEquals(List.of(), events);
        ByteBuf first = channel.readOutbound();
        assertEquals(Thrift.VERSION | Thrift.REPLY, first.getInt(Integer.BYTES));
        first.release();
        assertTrue(Unpooled.wrappedBuffer(channel.<ByteBuf>readOutbound()).readableBytes() > 0);
        assertTrue(channel.isOpen());
    }

    @Test
    void aRefusalSaysWhenToComeBack() {
        dispatch(1, "small");
        doorman.onNodeList(true, List.of());
        assertNull(channel.readOutbound(), "held until the director answers");
        Director.Request request = (Director.Request) events.get(0);
        assertEquals(3, request.part());
        assertEquals(17, request.group());
        out.accept(new Director.Refuse(request.id(), 700));
        doorman.onGroupPurged(1, 0);
        assertAnswer(Thrift.REPLY, 1, "700");
    }

    @Test
    void aBadRequestIsAnApplicationExceptionAndTheConnectionGoesOn() {
        dispatch(1, "unheard-of");
        assertAnswer(Thrift.EXCEPTION, 1, "field c");
        dispatch(2, "small");
        assertEquals(1, events.size());
        assertTrue(channel.isOpen());
    }

    @Test
    void moreThanMayBeOpenIsRefused() {
        dispatch(1, "small");
        dispatch(2, "small");
        dispatch(3, "small");
        assertAnswer(Thrift.REPLY, 3, "");
        assertEquals(MOST_OPEN, events.size());
    }

    @Test
    void aClientThatEndsItsConnectionHasLeft() {
        dispatch(1, "small");
        channel.close();
        channel.runPendingTasks();
        assertEquals(new Director.Gone(((Director.Request) events.get(0)).id()), events.get(1));
    }

    /** Two answers under one number could not be told apart: all are told so, once, before the connection ends. */
    @Test
    void aNumberThatIsInUseEndsTheConnection() {
        dispatch(1, "small");
        dispatch(1, "small", "9b1f03aa5c7e2d42");
        assertEquals(new Director.Gone(((Director.Request) events.get(0)).id()), events.get(1));
        assertTrue(channel.isOpen(), "an error that is followed by a reset may be lost");
        assertTrue(Unpooled.wrappedBuffer(channel.<ByteBuf>readOutbound()).readableBytes() > 0);
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[300_000]));
        assertFalse(channel.config().isAutoRead(), "endless messages are not read for ever");
        pass(FrontConnection.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** Of two requests under one id a depot would answer one with the other's bytes, or each needs a connection. */
    @Test
    void theIdOfAnEarlierRequestIsTurnedDown() {
        dispatch(1, "small", "9b1f03aa5c7e2d41");
        dispatch(2, "small", "9b1f03aa5c7e2d41");
        assertAnswer(Thrift.EXCEPTION, 2, "field i");
        out.accept(new Director.Refuse(((Director.Request) events.get(0)).id(), 0));
        doorman.onGroupPurged(1, 0);
        assertAnswer(Thrift.REPLY, 1, "");
        dispatch(3, "small", "9b1f03aa5c7e2d41");
        assertAnswer(Thrift.EXCEPTION, 3, "field i");
    }

    @Test
    void whoNeverAsksIsClosedAndWhoAskedOnceStays() {
        EmbeddedChannel other = connect();
        dispatch(1, "small");
        out.accept(new Director.Refuse(((Director.Request) events.get(0)).id(), 0));
        doorman.onGroupPurged(1, 0);
        pass(PartialRequestWatch.SILENCE_MS);
        pass(FrontConnection.LINGER_MS);
        assertFalse(other.isOpen());
        assertTrue(channel.isOpen());
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {0, 0, 0}));
        pass(PartialRequestWatch.SILENCE_MS);
        pass(FrontConnection.LINGER_MS);
        assertFalse(channel.isOpen(), "half a request");
    }

    @Test
    void whoSendsNothingUsefulIsLetGo() {
        for (int i = 0; i < 8; i++) {
            assertTrue(channel.config().isAutoRead());
            dispatch(i, "unheard-of", "9b1f03aa5c7e2d41");
        }
        pass(FrontConnection.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** Guards newcomers: those that are of no use go first, those with something open never. */
    @Test
    void theLeastUsefulMakeRoom() {
        ConnectionRegistry<String> guests = new ConnectionRegistry<>();
        List.of("silent", "idle", "busy", "left").forEach(c -> guests.came(c, 0));
        guests.busy("busy");
        guests.idle("idle", 100);
        guests.left("left");
        guests.came("newcomer", ConnectionRegistry.NEW_MS);
        guests.leaving("told");
        assertEquals("silent", guests.evictIdle(ConnectionRegistry.NEW_MS));
        assertEquals("idle", guests.evictIdle(ConnectionRegistry.NEW_MS));
        assertEquals("newcomer", guests.evictIdle(ConnectionRegistry.NEW_MS));
        assertNull(guests.evictIdle(ConnectionRegistry.NEW_MS));
        for (String next : List.of("told", "silent", "idle", "newcomer")) {
            assertEquals(next, guests.closingLongest());
            guests.left(next);
        }
        assertNull(guests.closingLongest());
        registry.evictIdle(0).evict();
        dispatch(1, "small");
        channel.runPendingTasks();
        assertTrue(channel.isOpen(), "what asked in the same moment stays");
    }

    /** Guards descriptors: a connection that a bad request has kept from eviction is not counted as closing, and can go later. */
    @Test
    void whatABadRequestKeptCanBeEvictedLater() {
        registry.evictIdle(0).evict();
        dispatch(1, "unheard-of");
        assertTrue(channel.isOpen());
        assertEquals(0, registry.leaving());
        registry.evictIdle(0).evict();
        channel.runPendingTasks();
        pass(FrontConnection.LINGER_MS);
        assertFalse(channel.isOpen());
    }

    /** Guards the drain's rule: quiesced, a connection goes once its last answer is out, and not before. */
    @Test
    void quiescedAConnectionIsClosedOnceItsAnswersAreOut() {
        dispatch(1, "small");
        dispatch(2, "small");
        lifecycle.quiesce(now);
        out.accept(new Director.Refuse(((Director.Request) events.get(0)).id(), 0));
        doorman.onGroupPurged(1, 0);
        channel.runPendingTasks();
        assertTrue(channel.isOpen(), "request 2 is open");
        assertAnswer(Thrift.REPLY, 1, "");
        out.accept(new Director.Refuse(((Director.Request) events.get(1)).id(), 0));
        doorman.onGroupPurged(1, 0);
        channel.runPendingTasks();
        assertAnswer(Thrift.REPLY, 2, "");
        dispatch(3, "small");
        assertEquals(
                2, events.stream().filter(Director.Request.class::isInstance).count(), "nothing is taken any more");
        pass(FrontConnection.LINGER_MS);
        assertFalse(channel.isOpen(), "nothing is open any more");
    }
}
