package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.SettingsReader;
import barleyspur.decision.Director;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.Listing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** One client connection before a core whose director does as each test says. */
class FrontConnectionTest implements Depots, Clock {

    private static final Director.Settings SETTINGS = SettingsReader.read(SettingsReader.lines("""
        groupSize=1\nmyNumber=0\nmyZone=0\nresolutionMs=2\ngrades.count=1\ngrades.0.promiseMs=400
        grades.0.hardLimitMs=5000\ngrades.0.repeat=repeatable\nfamilyInfo.midKind=2\nfamilyInfo.masterKind=3
        familyInfo.paceKbPerS=7600\nlimits.sendCap=2\nrules.fallMs=1500\nrules.answerSlackMs=8
        rules.drainGraceMs=1000\nrules.coldFrom=0.24\nrules.coldMs=17000\nrules.tipMultiple=4
        """));
    private static final int MOST_OPEN = 2;

    private final List<Director.Event> events = new ArrayList<>();
    private Consumer<Director.Action> out;
    private final Doorman doorman = new Doorman(SETTINGS, 9, (now, event, sink) -> {
        events.add(event);
        out = sink;
    }, this, this);
    private final EmbeddedChannel channel = new EmbeddedChannel(new ThriftFrameDecoder(100_000),
        new FrontConnection(new UnreadAnswers(1_000, full -> { }), doorman, List.of("small"), MOST_OPEN));

    @Override
    public double nowMs() {
        return 0;
    }

    @Override
    public Timer after(double delayMs, Runnable task) {
        return () -> { };
    }

    @Override
    public void list(long node, Listing listing) { }

    @Override
    public void retire(long node) { }

    @Override
    public Call send(long node, Order order, End end) {
        return () -> { };
    }

    @Override
    public void probe(long node, double timeoutMs, End end) { }

    @Override
    public void hangUp(long node) { }

    private void dispatch(int seqid, String className) {
        Map<String, String> fields = new HashMap<>(Map.of("c", className, "i", "9b1f03aa5c7e2d41", "d", "1500", "o",
            "7f3a9c21e0b4d655", "seg", "3", "bucket", "17"));
        channel.writeInbound(ThriftPropertiesTest.dispatch(seqid, fields, new byte[4]));
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

    @Test
    void aRefusalSaysWhenToComeBack() {
        dispatch(1, "small");
        doorman.listed(true, List.of());
        assertNull(channel.readOutbound(), "held until the director answers");
        Director.Request request = (Director.Request) events.get(0);
        assertEquals(3, request.part());
        assertEquals(17, request.group());
        out.accept(new Director.Refuse(request.id(), 700));
        doorman.purgedGroup(1, 0);
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

    /** Two answers under one number could not be told apart. */
    @Test
    void aNumberThatIsInUseEndsTheConnection() {
        dispatch(1, "small");
        dispatch(1, "small");
        assertFalse(channel.isOpen());
    }
}
