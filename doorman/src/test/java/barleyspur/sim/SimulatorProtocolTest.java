package barleyspur.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.SettingsReader;
import barleyspur.decision.RoutingPolicy;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the protocol's encoding by hand-made frames, and the text of settings. */
class SimulatorProtocolTest {

    static final String SETUP =
            """
        groupSize=3
        myNumber=0
        myZone=1
        resolutionMs=2.0
        grades.count=1
        grades.0.promiseMs=400.0
        grades.0.hardLimitMs=5000.0
        grades.0.repeat=repeatable
        familyInfo.zoneBalancers=0,3
        familyInfo.midKind=2
        familyInfo.masterKind=3
        familyInfo.paceKbPerS=7600.0
        familyInfo.goodForMs=8000.0
        familyInfo.joins=true
        familyInfo.passThroughOk=true
        familyInfo.tells=all
        limits.sendCap=8
        rules.fallMs=1500.0
        rules.answerSlackMs=8.0
        rules.drainGraceMs=1000.0
        rules.coldFrom=0.24
        rules.coldMs=17000.0
        rules.tipMultiple=4.0
        some.key.of.tomorrow=7
        """;

    private static byte[] batch(long records, String hex) {
        byte[] body = HexFormat.of().parseHex(hex.replace(" ", ""));
        return ByteBuffer.allocate(20 + body.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt((int) records)
                .putInt(body.length)
                .putDouble(62_000)
                .putInt(12)
                .put(body)
                .array();
    }

    private static RoutingPolicy.Event event(String hex) throws Exception {
        SimulatorProtocol.Batch batch = SimulatorProtocol.read(new ByteArrayInputStream(batch(1, hex)));
        RoutingPolicy.Event event = batch.next().event();
        assertFalse(batch.hasNext());
        return event;
    }

    private static String hex(RoutingPolicy.Action action) throws IOException {
        SimulatorProtocol.Reply reply = new SimulatorProtocol.Reply(12);
        reply.add(3, action);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.writeTo(out);
        return HexFormat.of().formatHex(out.toByteArray(), 12, out.size());
    }

    // ---- events ------------------------------------------------------------------------------------------

    @Test
    void readsARequest() throws Exception {
        assertEquals(
                new RoutingPolicy.Request(1563070916, 0, 0, 42, 4, 11, 240, 640, true, false),
                event("03 0300 c4912a5d 00 00000000 2a00000000000000 0000000000006e40 00002044 00003041 00008040 02"));
    }

    @Test
    void readsAnOutcomeWithItsLoad() throws Exception {
        assertEquals(
                new RoutingPolicy.Outcome(
                        1564119492,
                        0,
                        9,
                        RoutingPolicy.Result.OK,
                        18.5,
                        true,
                        RoutingPolicy.Note.FILLED,
                        9.25,
                        List.of(0.5f, 7f)),
                event(
                        "05 0300 c4913a5d 6400 0000000000803240 01 00 09000000 02000000 0000000000802240 02 0000003f 0000e040"));
    }

    @Test
    void readsTheSmallEvents() throws Exception {
        assertEquals(new RoutingPolicy.Gone(7), event("06 0300 07000000"));
        assertEquals(new RoutingPolicy.Alarm(77), event("07 0300 4d00000000000000"));
        assertEquals(new RoutingPolicy.FirstByte(7, 1, 9), event("04 0300 07000000 0000000000802240 09000000 01"));
        assertEquals(
                new RoutingPolicy.Probed(9, RoutingPolicy.Result.TIMEOUT, 1, List.of()),
                event("08 0300 2f01 000000000000f03f 09000000 00"));
        assertEquals(new RoutingPolicy.Purged(11, 0, 85), event("0b 0300 0b00 0000000000405540 0000000000000000"));
        assertArrayEquals(
                "hi".getBytes(StandardCharsets.UTF_8), ((RoutingPolicy.Told) event("09 0300 0200 0200 6869")).body());
    }

    @Test
    void readsAList() throws Exception {
        assertEquals(
                new RoutingPolicy.Members(
                        RoutingPolicy.ListKind.DELTA,
                        List.of(new RoutingPolicy.Node(9, 1, 2, 4, RoutingPolicy.State.DRAINING, 1.5, 85))),
                event("02 0300 03 2900000000000000 01000000 09000000 0100 0200 0400 00 0000c03f 0000000000405540"));
    }

    @Test
    void readsAStop() throws Exception {
        SimulatorProtocol.Entry record = SimulatorProtocol.read(new ByteArrayInputStream(batch(1, "0a 0300")))
                .next();
        assertNull(record.start());
        assertNull(record.event());
    }

    // ---- actions --------------------------------------------------------------------------------------------

    @Test
    void writesEveryAction() throws IOException {
        assertEquals("01030007000000090000000000000000005440", hex(new RoutingPolicy.Send(7, 9, 80)));
        assertEquals(
                "070300070000000900000000000000000054400b00000002000000000040554009",
                hex(new RoutingPolicy.Get(7, 9, 80, 11, 2, 85, true, false, false, true)));
        assertEquals("0803000700000001", hex(new RoutingPolicy.Cancel(7, 1)));
        assertEquals("090300070000000000000000406f40", hex(new RoutingPolicy.Refuse(7, 250)));
        assertEquals("0b030007000000", hex(new RoutingPolicy.Fail(7)));
        assertEquals("04030000000000004055404d00000000000000", hex(new RoutingPolicy.WakeAt(85, 77)));
        assertEquals("0d030009000000", hex(new RoutingPolicy.Probe(9)));
        assertEquals("06030009000000", hex(new RoutingPolicy.HangUp(9)));
        assertEquals("030300ffff02006869", hex(new RoutingPolicy.Tell(-1, "hi".getBytes(StandardCharsets.UTF_8))));
        assertEquals("0c030002006869", hex(new RoutingPolicy.Log("hi")));
        assertEquals("0a030001", hex(new RoutingPolicy.Watch(true)));
        assertEquals("050300", hex(new RoutingPolicy.Fetch()));
    }

    // ---- complete runs ------------------------------------------------------------------------------------------

    private static String startRecord() {
        byte[] text = SETUP.getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer = ByteBuffer.allocate(15 + text.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .put((byte) 1)
                .putShort((short) 3)
                .putLong(5)
                .putInt(text.length)
                .put(text);
        return HexFormat.of().formatHex(buffer.array());
    }

    private static int run(byte[] input, ByteArrayOutputStream out) {
        return SimulatorHost.run(new ByteArrayInputStream(input), out);
    }

    @Test
    void answersBatchesUntilTheInputEnds() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(0, run(batch(0, ""), out));
        assertEquals("00000000000000000c000000", HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void aStopAndANewStartMayShareABatch() {
        assertEquals(
                0,
                run(
                        batch(4, startRecord() + "0a0300" + startRecord() + "06030007000000"),
                        new ByteArrayOutputStream()));
    }

    @Test
    void malformedInputEndsWithAnError() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(1, run(new byte[] {1, 2, 3}, out));
        assertEquals(1, run(batch(1, "63 0300"), out));
        assertEquals(1, run(batch(1, "06 0300 07"), out));
        assertEquals(1, run(batch(0, "00"), out));
        assertEquals(1, run(batch(1, "06 0300 07000000"), out), "an event for an instance that was not started");
    }

    @Test
    void aCutListIsMalformedHoweverManyRowsItClaims() {
        SimulatorProtocol.MalformedInputException e = assertThrows(
                SimulatorProtocol.MalformedInputException.class, () -> event("02 0300 03 2900000000000000 ffffffff"));
        assertTrue(e.getMessage().contains("batch 12"), e.getMessage());
    }

    // ---- settings --------------------------------------------------------------------------------------------

    @Test
    void readsTheSettingsAndIgnoresUnknownKeys() {
        RoutingPolicy.Settings settings = SettingsReader.read(SettingsReader.parseLines(SETUP));
        assertEquals(3, settings.doormanCount());
        assertEquals(List.of(0, 3), settings.doormansPerZone());
        assertEquals(8_000, settings.classes().get(0).freshMs());
        assertEquals(7.6, settings.paceKbPerMs());
        assertEquals(
                4, settings.coldParent().overloadMultiple(), "a parent's multiple is the caches' where none is given");
    }

    @Test
    void namesAMissingOrWrongSetting() {
        assertEquals(
                "setting limits.sendCap is missing",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> SettingsReader.read(
                                        SettingsReader.parseLines(SETUP.replace("limits.sendCap=8", ""))))
                        .getMessage());
        assertEquals(
                "setting limits.sendCap is not a number",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> SettingsReader.read(SettingsReader.parseLines(
                                        SETUP.replace("limits.sendCap=8", "limits.sendCap=many"))))
                        .getMessage());
    }
}
