package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ChunkedInput;
import barleyspur.DoormanTestBed;
import barleyspur.DoormanTestBed.FakePeer.Request;
import barleyspur.DoormanTestBed.TestConnection;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** How things end on real sockets, with every crossing forced: see {@code docs/design/endings.md}. */
@Timeout(60)
class EndingsTest {

    private static final String DONE = "how=h,digest=4be0c1927d55a6f3,dated=1000";
    private static final int SERVED = 0;
    private static final int REFUSED = 1;
    private static final int FAILED = 2;

    @TempDir
    Path folder;

    private DoormanTestBed start() throws Exception {
        DoormanTestBed doorman = new DoormanTestBed(folder, c -> {});
        doorman.box.serve();
        doorman.origin.serve();
        return doorman;
    }

    /** What is presumed to be lost at a request's end: a quarter of the 1,500 ms that it has after it is wanted. */
    private static final int MARGIN_MS = 375;

    private static byte[] dispatch(int seqid, String className, String id) {
        return ChunkedInput.readAndRelease(ThriftCalls.dispatch(
                seqid,
                Map.of("c", className, "i", id, "d", "2500", "o", "7f3a9c21e0b4d655", "seg", "3", "bucket", "17"),
                new byte[4]));
    }

    private static byte[] dispatch(int seqid, String id) {
        return dispatch(seqid, "segment", id);
    }

    private static String id(int number) {
        return String.format("%016x", number);
    }

    private static byte[] alive(int seqid) {
        ByteBuf out = Unpooled.buffer()
                .writeInt(0)
                .writeInt(Thrift.VERSION | Thrift.CALL)
                .writeInt(5);
        out.writeCharSequence("alive", StandardCharsets.US_ASCII);
        out.writeInt(seqid).writeByte(Thrift.STOP);
        return ChunkedInput.readAndRelease(out.setInt(0, out.readableBytes() - Integer.BYTES));
    }

    /** Which of a service's answers came: served, refused, failed, or as an application exception, -1. */
    private static int answer(TestConnection client, int seqid) throws IOException {
        byte[] frame = client.readFrame();
        assertNotNull(frame, "the connection has ended without an answer");
        ByteBuf in = Unpooled.wrappedBuffer(frame);
        int type = in.readInt() & 0xFF;
        in.skipBytes(in.readInt());
        assertEquals(seqid, in.readInt());
        return type == Thrift.EXCEPTION ? -1 : in.getShort(in.readerIndex() + 1);
    }

    private static byte[] part(byte[] bytes, int from, int to) {
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** A request that must be the next at the box: nothing else has been sent on before it. */
    private static void assertNextIs(DoormanTestBed doorman, String id) throws Exception {
        Request next = doorman.box.nextRequest();
        assertEquals(List.of("serve", id), next.strings().subList(0, 2));
        next.answer("DONE", DONE, new byte[10]);
    }

    private static void assertStillServes(DoormanTestBed doorman, String id) throws Exception {
        try (TestConnection client = doorman.client()) {
            client.write(dispatch(1, id));
            assertNextIs(doorman, id);
            assertEquals(SERVED, answer(client, 1));
        }
    }

    // ---- a request that is late, or comes slowly -----------------------------------------------------------

    /** A busy loop reads a request late: its time counts from before that, so its final answer comes in time all the same. */
    @Test
    void aRequestThatWaitedToBeReadEndsInItsOwnTime() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(alive(1));
            assertEquals(SERVED, answer(client, 1));
            Runnable release = doorman.holdEventLoop();
            client.write(dispatch(2, id(1)));
            doorman.advanceClockOnly(1_500);
            release.run();
            assertEquals(id(1), doorman.box.nextRequest().id());
            doorman.advanceClock(999);
            assertEquals(REFUSED, answer(client, 2), "2,499 of its 2,500 ms are over");
        }
    }

    /** One that comes as soon as the loop looks has all its time but what is presumed to be lost at its end. */
    @Test
    void aRequestThatIsReadAtOnceHasAllItsTimeButTheMargin() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(alive(1));
            assertEquals(SERVED, answer(client, 1));
            doorman.advanceClock(1_500);
            client.write(dispatch(2, id(1)));
            Request request = doorman.box.nextRequest();
            doorman.advanceClock(2_500 - MARGIN_MS - 10);
            request.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, answer(client, 2));
        }
    }

    /** Guards against the first standstill, which nothing announces: the final answer goes out while time is left for one. */
    @Test
    void theFinalAnswerLeavesTimeForAStandstill() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            doorman.box.nextRequest();
            doorman.advanceClock(2_500 - MARGIN_MS);
            assertEquals(REFUSED, answer(client, 1));
        }
    }

    /** A first request in pieces is taken when it is whole, however slowly it comes, while it goes on coming. */
    @Test
    void aFirstRequestThatComesSlowlyIsServed() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            byte[] request = dispatch(1, id(1));
            for (int i = 0; i < 4; i++) {
                client.write(part(request, request.length * i / 4, request.length * (i + 1) / 4));
                doorman.awaitRead(client);
                doorman.advanceClock(i < 3 ? 1_500 : 0);
            }
            assertNextIs(doorman, id(1));
            assertEquals(SERVED, answer(client, 1));
        }
    }

    /** But no longer than any request may take. */
    @Test
    void aRequestThatNeverBecomesWholeIsGivenUp() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            byte[] request = dispatch(1, id(1));
            for (int i = 0; i < 4; i++) {
                client.write(part(request, i, i + 1));
                doorman.awaitRead(client);
                doorman.advanceClock(1_500);
            }
            assertEquals(-1, answer(client, 0), "6 s are more than the longest deadline, 5 s");
            assertNull(client.readFrame());
        }
    }

    // ---- a client that has gone ---------------------------------------------------------------------------

    /** The connect hangs to the end of its time: the request has never gone out, so it is refused, and never run later. */
    @Test
    void anUnsafeRequestWhoseConnectHungIsRefused() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {}, 1);
                TestConnection client = doorman.client()) {
            List<TestConnection> crowd = doorman.box.fillAcceptQueue();
            client.write(dispatch(1, "order", id(1)));
            assertAlive(client, 2);
            doorman.advanceClock(2_500);
            assertEquals(REFUSED, answer(client, 1));
            for (TestConnection one : crowd) {
                one.close();
            }
        }
    }

    /** FIN, RST and a cancel that have come by the time in which their requests are read: no first attempt begins. */
    @Test
    void noAttemptBeginsForWhoHasGoneInTheSameTurn() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection cancels = doorman.client()) {
            List<TestConnection> burst = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, answer(client, 1));
                burst.add(client);
            }
            Runnable release = doorman.holdEventLoop();
            for (int i = 0; i < 40; i++) {
                for (int j = 2; j < 10; j++) {
                    burst.get(i).write(dispatch(j, id(100 * i + j)));
                }
                if (i % 2 == 0) {
                    burst.get(i).close();
                } else {
                    burst.get(i).reset();
                }
                doorman.awaitCloseReceived(burst.get(i));
            }
            cancels.write(dispatch(1, id(9_001)));
            cancels.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(2, 1)));
            cancels.write(dispatch(3, id(9_002)));
            release.run();
            assertNextIs(doorman, id(9_002));
            assertEquals(SERVED, answer(cancels, 3));
            assertStillServes(doorman, id(9_003));
        }
    }

    /** The same while the request waits for a connection to the box that comes up late. */
    @Test
    void noAttemptBeginsForWhoHasGoneWhileItWaitedForAConnect() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {}, 1);
                TestConnection fin = doorman.client();
                TestConnection rst = doorman.client();
                TestConnection cancels = doorman.client();
                TestConnection probe = doorman.client()) {
            // The listener's queue is full, so that the doorman's connects come up only once it is emptied.
            List<TestConnection> crowd = doorman.box.fillAcceptQueue();
            fin.write(dispatch(1, id(1)));
            rst.write(dispatch(1, id(2)));
            cancels.write(dispatch(1, id(3)));
            assertAlive(probe, 1);
            fin.end();
            rst.reset();
            doorman.awaitCloseReceived(fin);
            doorman.awaitCloseReceived(rst);
            cancels.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(2, 1)));
            cancels.write(dispatch(3, id(4)));
            assertAlive(probe, 2);
            doorman.box.serve();
            assertNextIs(doorman, id(4));
            assertEquals(SERVED, answer(cancels, 3));
            for (TestConnection one : crowd) {
                one.close();
            }
        }
    }

    /** By now the doorman has read all that was written to it before. */
    private static void assertAlive(TestConnection probe, int seqid) throws IOException {
        probe.write(alive(seqid));
        assertEquals(SERVED, answer(probe, seqid));
    }

    /** Lets the loop turn often enough to read and write all that it can. */
    private static void turn(TestConnection probe) throws IOException {
        for (int i = 1; i <= 500; i++) {
            assertAlive(probe, i);
        }
    }

    /** A client that takes no answers is heard all the same: its cancel gives up what is out, and nothing is tried again. */
    @Test
    void aCancelBehindUnreadAnswersIsHeard() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(
                        folder, c -> c.getJSONObject("limits").put("memory_mb", 2_000));
                TestConnection client = doorman.clientWithSmallReceiveBuffer();
                TestConnection probe = doorman.client()) {
            doorman.box.serve();
            client.write(dispatch(1, id(1)));
            Request waits = doorman.box.nextRequest();
            // More than the sockets hold between them, so that the doorman can't write on.
            for (int i = 2; i < 32; i++) {
                client.write(dispatch(i, id(i)));
                doorman.box.nextRequest().answer("DONE", DONE, new byte[240_000]);
            }
            turn(probe);
            client.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(40, 1)));
            assertEquals(List.of("cancel", id(1)), doorman.box.nextRequest().strings());
            waits.answer("WAIT", "-", null);
            assertStillServes(doorman, id(50));
        }
    }

    /** A client that shuts its side has gone: the protocol knows no half-closed clients. */
    @Test
    void whoShutsItsSideHasGone() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            Request out = doorman.box.nextRequest();
            client.shutdownOutput();
            assertEquals(List.of("cancel", id(1)), doorman.box.nextRequest().strings());
            out.answer("WAIT", "-", null);
            assertNull(client.readFrame());
            assertStillServes(doorman, id(2));
        }
    }

    // ---- connections that the doorman ends ----------------------------------------------------------------

    /** All places taken by idle clients, discovery down: a newcomer is let in, and the channel and the box are reached. */
    @Test
    void idleClientsMakeRoomWhileDiscoveryIsDown() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            doorman.channel.accept().close();
            List<TestConnection> idle = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, answer(client, 1));
                idle.add(client);
            }
            assertNull(idle.get(0).readFrame(), "the longest idle one has made room, and was not reset");
            assertStillServes(doorman, id(1));
            doorman.advanceClock(300);
            TestConnection again = doorman.channel.accept();
            assertEquals("resume 1", again.readLine());
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    /**
     * Bytes that arrive in the very turn in which an idle connection is shut for a newcomer: half a request is thrown away
     * and the connection ends without a reset, so that the answer before it survives.
     */
    @Test
    void bytesThatCrossAnEvictionDoNotResetTheConnection() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            List<TestConnection> idle = new ArrayList<>();
            TestConnection oldest = doorman.client();
            // Its answer is left unread.
            oldest.write(alive(1));
            for (int i = 0; i < 32; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, answer(client, 1));
                idle.add(client);
            }
            byte[] request = dispatch(2, id(1));
            doorman.onNextClockRead(() -> {
                try {
                    oldest.write(part(request, 0, 50));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            TestConnection newcomer = doorman.client();
            newcomer.write(alive(1));
            assertEquals(SERVED, answer(newcomer, 1));
            idle.add(newcomer);
            oldest.write(part(request, 50, request.length));
            assertEquals(SERVED, answer(oldest, 1));
            assertNull(oldest.readFrame(), "shut, and not reset");
            assertStillServes(doorman, id(2));
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    /**
     * Crowds that send garbage, endless frames, half a request, half a frame's length or nothing are let go within 2.5 s of
     * the doorman's time, more of them than there are places; somebody else's request is answered meanwhile.
     */
    @Test
    void badClientsAreLetGoAndHarmNobody() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(
                        folder, c -> c.getJSONObject("limits").put("sockets", 160));
                TestConnection good = doorman.client()) {
            doorman.box.serve();
            good.write(dispatch(1, id(1)));
            Request out = doorman.box.nextRequest();
            List<TestConnection> bad = new ArrayList<>();
            byte[] request = dispatch(1, id(2));
            byte[] flood = new byte[400_000];
            for (int i = 0; i < 200; i++) {
                TestConnection client = doorman.client();
                bad.add(client);
                switch (i % 5) {
                    case 0 -> client.write("GET / HTTP/1.1\r\n\r\n");
                    case 1 -> client.write(part(request, 0, request.length - 1));
                    case 2 -> client.write(part(request, 0, 3));
                    case 3 -> client.writeIgnoringErrors(flood);
                    default -> {}
                }
            }
            try (TestConnection last = doorman.client()) {
                // Connections are accepted in their order, and read in the next turn.
                assertAlive(last, 1);
                assertAlive(last, 2);
            }
            doorman.advanceClock(300);
            out.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, answer(good, 1));
            doorman.advanceClock(2_500);
            for (TestConnection client : bad) {
                client.awaitEnd();
            }
            good.write(dispatch(2, id(3)));
            assertNextIs(doorman, id(3));
            assertEquals(SERVED, answer(good, 2));
        }
    }

    /** A whole request in the very turn in which its idle connection would be shut keeps the connection. */
    @Test
    void aRequestInTheTurnOfItsEvictionIsServed() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            List<TestConnection> idle = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, answer(client, 1));
                idle.add(client);
            }
            Runnable release = doorman.holdEventLoop();
            idle.get(0).write(dispatch(2, id(1)));
            for (int i = 0; i < 4; i++) {
                idle.add(doorman.client());
            }
            release.run();
            assertNextIs(doorman, id(1));
            assertEquals(SERVED, answer(idle.get(0), 2));
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    // ---- SIGTERM ------------------------------------------------------------------------------------------

    /** Whatever is between its first and last byte at SIGTERM is served, and idle clients end without a reset. */
    @Test
    void aRequestCutBySigtermIsServed() throws Exception {
        DoormanTestBed doorman = start();
        TestConnection client = doorman.client();
        TestConnection idle = doorman.client();
        idle.write(alive(1));
        byte[] request = dispatch(1, id(1));
        client.write(part(request, 0, 60));
        assertEquals(SERVED, answer(idle, 1));
        doorman.server.drain();
        doorman.server.drain();
        doorman.advanceClock(700);
        assertAlive(idle, 2);
        client.write(part(request, 60, request.length));
        Request out = doorman.box.nextRequest();
        doorman.advanceClock(1_000);
        assertNull(idle.readFrame(), "idle, and nothing more is to come");
        out.answer("DONE", DONE, new byte[10]);
        assertEquals(SERVED, answer(client, 1));
        assertNull(client.readFrame());
        doorman.close();
    }

    /** A depot that hangs past the last moment before SIGKILL: its request is failed while there is time. */
    @Test
    void aHungDepotIsHeldNoLongerThanSigkillLeaves() throws Exception {
        DoormanTestBed doorman = new DoormanTestBed(folder, c -> ((JSONObject)
                        c.getJSONObject("settings").getJSONArray("grades").get(0))
                .put("hardLimitMs", 60_000));
        doorman.box.serve();
        TestConnection client = doorman.client();
        client.write(ChunkedInput.readAndRelease(ThriftCalls.dispatch(
                1,
                Map.of("c", "segment", "i", id(1), "d", "50000", "o", "7f3a9c21e0b4d655", "seg", "3", "bucket", "17"),
                new byte[4])));
        doorman.box.nextRequest();
        doorman.server.drain();
        doorman.advanceClock(3_499);
        doorman.advanceClock(2);
        assertEquals(FAILED, answer(client, 1), "SIGKILL may come after 3.7 s");
        assertNull(client.readFrame());
        doorman.close();
    }

    /** A client that reads slowly gets its answers whole for as long as SIGKILL can't come. */
    @Test
    void aSlowReaderGetsItsAnswersUntilSigkillMayCome() throws Exception {
        DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("memory_mb", 2_000));
        doorman.box.serve();
        TestConnection client = doorman.clientWithSmallReceiveBuffer();
        byte[] bytes = new byte[240_000];
        Arrays.fill(bytes, (byte) 7);
        for (int i = 1; i <= 30; i++) {
            client.write(dispatch(i, id(i)));
            doorman.box.nextRequest().answer("DONE", DONE, bytes);
        }
        try (TestConnection probe = doorman.client()) {
            turn(probe);
        }
        doorman.server.drain();
        doorman.advanceClock(3_400);
        for (int i = 1; i <= 30; i++) {
            ByteBuf in = Unpooled.wrappedBuffer(client.readFrame());
            in.skipBytes(4).skipBytes(in.readInt()).skipBytes(4 + 3 + 3);
            byte[] got = new byte[in.readInt()];
            in.readBytes(got);
            assertArrayEquals(bytes, got, "answer " + i);
        }
        assertNull(client.readFrame());
        doorman.close();
    }

    // ---- what must not run twice ----------------------------------------------------------------------------

    /** A box that reads so much of an unsafe request and resets: it is failed, and never sent again, whatever its class is called. */
    @Test
    void anUnsafeRequestNeverGoesOutTwice() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {});
                TestConnection client = doorman.client()) {
            for (int read = 1; read < 110; read++) {
                client.write(dispatch(read, "order", id(read)));
                TestConnection at = doorman.box.accept();
                at.readBytes(read);
                at.reset();
                assertEquals(FAILED, answer(client, read), "reset after " + read + " bytes");
            }
            doorman.box.serve();
            assertStillServes(doorman, id(200));
        }
    }

    /** Guards keyed requests: depots drop repeats by the key that the client gave, so each attempt carries it, and no other does. */
    @Test
    void aKeyedRequestCarriesItsKeyWithEachAttempt() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(ChunkedInput.readAndRelease(ThriftCalls.dispatch(
                    1,
                    Map.of(
                            "c",
                            "stamp",
                            "i",
                            id(1),
                            "d",
                            "2500",
                            "o",
                            "7f3a9c21e0b4d655",
                            "seg",
                            "0",
                            "bucket",
                            "17",
                            "k",
                            "645b707de91bf3071eae83015509ede1"),
                    new byte[4])));
            Request first = doorman.box.nextRequest();
            first.answer("BROKE", "-", null);
            Request again = doorman.box.nextRequest();
            for (Request attempt : List.of(first, again)) {
                assertEquals(id(1), attempt.id());
                assertTrue(
                        attempt.strings().get(2).contains(",once=645b707de91bf3071eae83015509ede1"),
                        attempt.strings().get(2));
            }
            again.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, answer(client, 1));
            client.write(dispatch(2, "stamp", id(2)));
            Request without = doorman.box.nextRequest();
            assertFalse(
                    without.strings().get(2).contains("once="),
                    without.strings().get(2));
            without.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, answer(client, 2));
        }
    }

    /** A request keeps the effect of the class that it was taken under, also where a reload changes it meanwhile. */
    @Test
    void anOpenRequestKeepsItsEffectThroughAReload() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            TestConnection channel = doorman.channel.accept();
            assertEquals("resume 1", channel.readLine());
            client.write(dispatch(1, "order", id(1)));
            Request out = doorman.box.nextRequest();
            doorman.reload(c -> {
                JSONArray grades = c.getJSONObject("settings").getJSONArray("grades");
                grades.getJSONObject(1).put("repeat", "repeatable");
                // It moves the channel too, which shows when it has been read.
                c.put("channel", c.getString("channel").replace("127.0.0.1", "127.0.0.2"));
            });
            assertNull(channel.readLine(), "the channel has moved");
            out.connection().reset();
            assertEquals(FAILED, answer(client, 1));
            client.write(dispatch(2, "order", id(2)));
            doorman.box.nextRequest().connection().reset();
            Request again = doorman.box.nextRequest();
            assertEquals(id(2), again.id(), "taken under the new effect it is tried again");
            again.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, answer(client, 2));
        }
    }

    // ---- the command channel ---------------------------------------------------------------------------------

    private static String state(DoormanTestBed doorman, int cursor, String state) {
        return new JSONObject()
                        .put("cursor", cursor)
                        .put(
                                "nodes",
                                new JSONObject()
                                        .put("rev", cursor)
                                        .put("all", false)
                                        .put(
                                                "targets",
                                                new JSONArray()
                                                        .put(DoormanTestBed.target("s-1", doorman.box, "cache")
                                                                .put("state", state))))
                        .toString()
                + "\n";
    }

    /** Mute from its first second, mute after a reconnect, and mute after half a line: each time it is given up and asked anew. */
    @Test
    void aChannelThatSaysNothingIsGivenUp() throws Exception {
        try (DoormanTestBed doorman = start()) {
            for (String last :
                    List.of("", "1\n", state(doorman, 2, "terminating").substring(0, 40))) {
                TestConnection mute = doorman.channel.accept();
                assertEquals("resume 1", mute.readLine());
                mute.write(last);
                TestConnection probe = doorman.client();
                assertAlive(probe, 1);
                probe.close();
                doorman.advanceClock(2_000);
                assertNull(mute.readLine(), "given up after: " + last);
                doorman.advanceClock(300);
            }
            TestConnection well = doorman.channel.accept();
            assertEquals("resume 1", well.readLine());
            well.write(state(doorman, 2, "terminating") + "2\n");
            try (TestConnection client = doorman.client()) {
                assertAlive(client, 1);
                client.write(dispatch(2, id(2)));
                Request elsewhere = doorman.origin.nextRequest();
                assertEquals(id(2), elsewhere.id(), "the box drains");
                elsewhere.answer("DONE", DONE, new byte[10]);
                assertEquals(SERVED, answer(client, 2));
                assertNull(doorman.box.pollRequest());
            }
        }
    }

    /** What waits for a connection to a box that is told to drain meanwhile goes elsewhere. */
    @Test
    void aDrainOvertakesWhatWaitsForAConnect() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {}, 1);
                TestConnection client = doorman.client();
                TestConnection probe = doorman.client()) {
            doorman.origin.serve();
            List<TestConnection> crowd = doorman.box.fillAcceptQueue();
            TestConnection channel = doorman.channel.accept();
            client.write(dispatch(1, id(1)));
            assertAlive(probe, 1);
            channel.write(state(doorman, 2, "terminating"));
            Request elsewhere = doorman.origin.nextRequest();
            assertEquals(id(1), elsewhere.id());
            elsewhere.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, answer(client, 1));
            for (TestConnection one : crowd) {
                one.close();
            }
        }
    }

    // ---- spoilt answers ------------------------------------------------------------------------------------------

    /**
     * A second answer, one after the cancel, one without bytes, one cut off by the connection's end and one without end
     * harm neither their request nor another.
     */
    @Test
    void aSpoiltAnswerHarmsNobody() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            Request first = doorman.box.nextRequest();
            first.answer("DONE", DONE, new byte[10]);
            first.answer("DONE", DONE, new byte[11]);
            assertEquals(SERVED, answer(client, 1));
            client.write(dispatch(2, id(2)));
            Request second = doorman.box.nextRequest();
            second.answer("DONE", DONE, null);
            Request again = doorman.box.nextRequest();
            assertEquals(id(2), again.id());
            again.answer("KEEP", DONE, null);
            Request third = doorman.box.nextRequest();
            assertEquals(id(2), third.id(), "no copy may be called current that the client does not hold");
            third.answer("DONE", DONE, new byte[12]);
            assertEquals(SERVED, answer(client, 2));
            client.write(dispatch(3, id(3)));
            Request cancelled = doorman.box.nextRequest();
            client.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(4, 3)));
            assertEquals("cancel", doorman.box.nextRequest().command());
            cancelled.answer("DONE", DONE, new byte[13]);
            client.write(dispatch(5, id(5)));
            Request cut = doorman.box.nextRequest();
            cut.connection().write("*4\r\n$16\r\n" + id(5) + "\r\n$4\r\nDONE\r\n$5\r\nhow=h\r\n$10\r\nhalf");
            cut.connection().end();
            assertNextIs(doorman, id(5));
            assertEquals(SERVED, answer(client, 5));
            client.write(dispatch(6, id(6)));
            Request endless = doorman.box.nextRequest();
            endless.connection().write("*4\r\n$16\r\n" + id(6) + "\r\n$4\r\nDONE\r\n$5\r\nhow=h\r\n$99999999\r\n");
            endless.connection().writeIgnoringErrors(new byte[400_000]);
            assertNextIs(doorman, id(6));
            assertEquals(SERVED, answer(client, 6));
            assertStillServes(doorman, id(7));
        }
    }
}
