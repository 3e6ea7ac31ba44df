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

/**
 * Closes, cancels, time-outs and failures on real sockets, with each race forced by the test: see
 * {@code docs/design/endings.md}.
 */
@Timeout(60)
class ConnectionFailureTest {

    private static final String DONE = "how=h,digest=4be0c1927d55a6f3,dated=1000";
    private static final int LARGEST_BODY_BYTES = 240_000;
    /** More answers than the buffers of a socket hold, and fewer bytes than may be unread. */
    private static final int SLOW_READER_REQUESTS = 30;

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
        ByteBuf buffer = Unpooled.buffer()
                .writeInt(0)
                .writeInt(ThriftProtocol.VERSION | ThriftProtocol.CALL)
                .writeInt(5);
        buffer.writeCharSequence("alive", StandardCharsets.US_ASCII);
        buffer.writeInt(seqid).writeByte(ThriftProtocol.STOP);
        return ChunkedInput.readAndRelease(buffer.setInt(0, buffer.readableBytes() - Integer.BYTES));
    }

    /** Returns which response was received: served, refused or failed, or -1 for an application exception. */
    private static int readOutcome(TestConnection client, int seqid) throws IOException {
        byte[] frame = client.readFrame();
        assertNotNull(frame, "the connection has ended without a response");
        ByteBuf in = Unpooled.wrappedBuffer(frame);
        int type = in.readInt() & 0xFF;
        in.skipBytes(in.readInt());
        assertEquals(seqid, in.readInt());
        return type == ThriftProtocol.EXCEPTION ? -1 : in.getShort(in.readerIndex() + 1);
    }

    private static byte[] slice(byte[] bytes, int from, int to) {
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** Asserts that the box receives this request next, so nothing else was sent before it, and responds to it. */
    private static void assertNextAndServe(DoormanTestBed doorman, String id) throws Exception {
        Request next = doorman.box.nextRequest();
        assertEquals(List.of("serve", id), next.strings().subList(0, 2));
        next.answer("DONE", DONE, new byte[10]);
    }

    private static void assertStillServes(DoormanTestBed doorman, String id) throws Exception {
        try (TestConnection client = doorman.client()) {
            client.write(dispatch(1, id));
            assertNextAndServe(doorman, id);
            assertEquals(SERVED, readOutcome(client, 1));
        }
    }

    // ---- requests that are read late or received slowly ------------------------------------------------

    /**
     * A busy event loop may read a request late. Its time must count from its earliest possible arrival, so that the
     * final response is still sent before the deadline.
     */
    @Test
    void requestReadLateIsAnsweredBeforeItsDeadline() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(alive(1));
            assertEquals(SERVED, readOutcome(client, 1));
            Runnable release = doorman.holdEventLoop();
            client.write(dispatch(2, id(1)));
            doorman.advanceClockOnly(1_500);
            release.run();
            assertEquals(id(1), doorman.box.nextRequest().id());
            doorman.advanceClock(999);
            assertEquals(REFUSED, readOutcome(client, 2), "2,499 of its 2,500 ms are over");
        }
    }

    /** A request that is read on arrival has all its time: an answer in the last moments is still passed on. */
    @Test
    void requestReadAtOnceHasAllItsTime() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(alive(1));
            assertEquals(SERVED, readOutcome(client, 1));
            doorman.advanceClock(1_500);
            client.write(dispatch(2, id(1)));
            Request request = doorman.box.nextRequest();
            doorman.advanceClock(2_490);
            request.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(client, 2));
        }
    }

    /** A request whose depot never answers gets its final response before its time is over. */
    @Test
    void requestThatIsNeverServedIsAnsweredBeforeItsDeadline() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            doorman.box.nextRequest();
            doorman.advanceClock(2_499);
            assertEquals(REFUSED, readOutcome(client, 1));
        }
    }

    /** A first request that arrives slowly in parts is served, as long as further parts keep arriving. */
    @Test
    void slowFirstRequestIsServed() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            byte[] request = dispatch(1, id(1));
            for (int i = 0; i < 4; i++) {
                client.write(slice(request, request.length * i / 4, request.length * (i + 1) / 4));
                doorman.awaitRead(client);
                doorman.advanceClock(i < 3 ? 1_500 : 0);
            }
            assertNextAndServe(doorman, id(1));
            assertEquals(SERVED, readOutcome(client, 1));
        }
    }

    /** A request that isn't complete within the longest deadline of any class is given up. */
    @Test
    void incompleteRequestTimesOut() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            byte[] request = dispatch(1, id(1));
            for (int i = 0; i < 4; i++) {
                client.write(slice(request, i, i + 1));
                doorman.awaitRead(client);
                doorman.advanceClock(1_500);
            }
            assertEquals(-1, readOutcome(client, 0), "6 s are more than the longest deadline, 5 s");
            assertNull(client.readFrame());
        }
    }

    // ---- clients that have disconnected ----------------------------------------------------------------

    /**
     * A request that must not run twice is refused, not failed, if its connect hangs until the deadline: it was never
     * sent, and must not be sent later.
     */
    @Test
    void unsafeRequestWithHungConnectIsRefused() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {}, 1);
                TestConnection client = doorman.client()) {
            List<TestConnection> queueFillers = doorman.box.fillAcceptQueue();
            client.write(dispatch(1, "order", id(1)));
            assertAlive(client, 2);
            doorman.advanceClock(2_500);
            assertEquals(REFUSED, readOutcome(client, 1));
            for (TestConnection filler : queueFillers) {
                filler.close();
            }
        }
    }

    /** No attempt starts for requests that are read together with a FIN, an RST or a cancel of their client. */
    @Test
    void noAttemptStartsAfterCloseInTheSameIteration() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection cancellingClient = doorman.client()) {
            List<TestConnection> burst = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, readOutcome(client, 1));
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
            cancellingClient.write(dispatch(1, id(9_001)));
            cancellingClient.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(2, 1)));
            cancellingClient.write(dispatch(3, id(9_002)));
            release.run();
            assertNextAndServe(doorman, id(9_002));
            assertEquals(SERVED, readOutcome(cancellingClient, 3));
            assertStillServes(doorman, id(9_003));
        }
    }

    /** The same for requests that wait for a slow connect to the box when their client disconnects or cancels. */
    @Test
    void noAttemptStartsAfterCloseDuringConnect() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {}, 1);
                TestConnection closedClient = doorman.client();
                TestConnection resetClient = doorman.client();
                TestConnection cancellingClient = doorman.client();
                TestConnection probe = doorman.client()) {
            // The box's accept queue is full, so the doorman's connects complete only when it is emptied.
            List<TestConnection> queueFillers = doorman.box.fillAcceptQueue();
            closedClient.write(dispatch(1, id(1)));
            resetClient.write(dispatch(1, id(2)));
            cancellingClient.write(dispatch(1, id(3)));
            assertAlive(probe, 1);
            closedClient.end();
            resetClient.reset();
            doorman.awaitCloseReceived(closedClient);
            doorman.awaitCloseReceived(resetClient);
            cancellingClient.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(2, 1)));
            cancellingClient.write(dispatch(3, id(4)));
            assertAlive(probe, 2);
            doorman.box.serve();
            assertNextAndServe(doorman, id(4));
            assertEquals(SERVED, readOutcome(cancellingClient, 3));
            for (TestConnection filler : queueFillers) {
                filler.close();
            }
        }
    }

    /** Asserts that the doorman responds, which means that it has read all data that was written before. */
    private static void assertAlive(TestConnection probe, int seqid) throws IOException {
        probe.write(alive(seqid));
        assertEquals(SERVED, readOutcome(probe, seqid));
    }

    /** Lets the event loop iterate often enough to read and write as much as possible. */
    private static void iterateEventLoop(TestConnection probe) throws IOException {
        for (int i = 1; i <= 500; i++) {
            assertAlive(probe, i);
        }
    }

    /**
     * A cancel must be processed even if the client doesn't read its responses: the attempt is cancelled and not
     * retried.
     */
    @Test
    void cancelIsProcessedWhileResponsesAreUnread() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(
                        folder, c -> c.getJSONObject("limits").put("memory_mb", 2_000));
                TestConnection client = doorman.clientWithSmallReceiveBuffer();
                TestConnection probe = doorman.client()) {
            doorman.box.serve();
            client.write(dispatch(1, id(1)));
            Request waiting = doorman.box.nextRequest();
            // More than the socket buffers hold, so that the doorman can't write any more.
            for (int i = 2; i < 32; i++) {
                client.write(dispatch(i, id(i)));
                doorman.box.nextRequest().answer("DONE", DONE, new byte[240_000]);
            }
            iterateEventLoop(probe);
            client.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(40, 1)));
            assertEquals(List.of("cancel", id(1)), doorman.box.nextRequest().strings());
            waiting.answer("WAIT", "-", null);
            assertStillServes(doorman, id(50));
        }
    }

    /** A client that shuts down its sending side counts as disconnected: the protocol has no half-closed clients. */
    @Test
    void halfClosedClientCountsAsDisconnected() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            Request sent = doorman.box.nextRequest();
            client.shutdownOutput();
            assertEquals(List.of("cancel", id(1)), doorman.box.nextRequest().strings());
            sent.answer("WAIT", "-", null);
            assertNull(client.readFrame());
            assertStillServes(doorman, id(2));
        }
    }

    // ---- connections that the doorman closes -----------------------------------------------------------

    /**
     * When idle clients use all connections and discovery is unreachable, a new client must still be accepted, and the
     * doorman must have file descriptors left for the command channel and the box.
     */
    @Test
    void idleClientsAreEvictedWhileDiscoveryIsDown() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            doorman.channel.accept().close();
            List<TestConnection> idle = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, readOutcome(client, 1));
                idle.add(client);
            }
            assertNull(idle.get(0).readFrame(), "the longest idle connection was evicted without a reset");
            assertStillServes(doorman, id(1));
            doorman.advanceClock(300);
            TestConnection retried = doorman.channel.accept();
            assertEquals("resume 1", retried.readLine());
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    /**
     * Guards against answers that are cut off: a client that reads slowly has no pending request while its answers are
     * queued, and was closed in favour of idle clients that filled the descriptors.
     */
    @Test
    void answersOfASlowReaderAreNotCutOffByIdleClients() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            TestConnection slow = doorman.clientWithSmallReceiveBuffer();
            for (int i = 1; i <= SLOW_READER_REQUESTS; i++) {
                slow.write(dispatch(i, id(i)));
            }
            byte[] largest = new byte[LARGEST_BODY_BYTES];
            for (int i = 1; i <= SLOW_READER_REQUESTS; i++) {
                doorman.box.nextRequest().answer("DONE", DONE, largest);
            }
            List<TestConnection> idle = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, readOutcome(client, 1));
                idle.add(client);
            }
            doorman.advanceClock(2 * ConnectionEnding.LINGER_MS);
            for (int i = 1; i <= SLOW_READER_REQUESTS; i++) {
                byte[] answer = slow.readFrame();
                assertNotNull(answer, "the connection has ended after " + (i - 1) + " answers");
                assertTrue(answer.length > LARGEST_BODY_BYTES);
            }
            slow.close();
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    /**
     * Part of a request may arrive in the same event loop iteration in which its idle connection is evicted. It must be
     * discarded without resetting the connection, so that the client still receives the previous response.
     */
    @Test
    void inputDuringAnEvictionDoesNotResetTheConnection() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            List<TestConnection> idle = new ArrayList<>();
            TestConnection oldest = doorman.client();
            // Its response is left unread.
            oldest.write(alive(1));
            for (int i = 0; i < 32; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, readOutcome(client, 1));
                idle.add(client);
            }
            byte[] request = dispatch(2, id(1));
            doorman.onNextClockRead(() -> {
                try {
                    oldest.write(slice(request, 0, 50));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            TestConnection newClient = doorman.client();
            newClient.write(alive(1));
            assertEquals(SERVED, readOutcome(newClient, 1));
            idle.add(newClient);
            oldest.write(slice(request, 50, request.length));
            assertEquals(SERVED, readOutcome(oldest, 1));
            assertNull(oldest.readFrame(), "closed without a reset");
            assertStillServes(doorman, id(2));
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    /**
     * Clients that send garbage, endless frames, part of a request, part of a frame length or nothing, more of them
     * than connections are allowed, are disconnected within 2.5 s of virtual time, and other requests are served
     * meanwhile.
     */
    @Test
    void invalidClientsAreDisconnectedWithoutAffectingOthers() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(
                        folder, c -> c.getJSONObject("limits").put("sockets", 160));
                TestConnection validClient = doorman.client()) {
            doorman.box.serve();
            validClient.write(dispatch(1, id(1)));
            Request sent = doorman.box.nextRequest();
            List<TestConnection> invalidClients = new ArrayList<>();
            byte[] request = dispatch(1, id(2));
            byte[] flood = new byte[400_000];
            for (int i = 0; i < 200; i++) {
                TestConnection client = doorman.client();
                invalidClients.add(client);
                switch (i % 5) {
                    case 0 -> client.write("GET / HTTP/1.1\r\n\r\n");
                    case 1 -> client.write(slice(request, 0, request.length - 1));
                    case 2 -> client.write(slice(request, 0, 3));
                    case 3 -> client.writeIgnoringErrors(flood);
                    default -> {}
                }
            }
            try (TestConnection last = doorman.client()) {
                // Connections are accepted in order and read in the next iteration of the event loop.
                assertAlive(last, 1);
                assertAlive(last, 2);
            }
            doorman.advanceClock(300);
            sent.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(validClient, 1));
            doorman.advanceClock(2_500);
            for (TestConnection client : invalidClients) {
                client.awaitEnd();
            }
            validClient.write(dispatch(2, id(3)));
            assertNextAndServe(doorman, id(3));
            assertEquals(SERVED, readOutcome(validClient, 2));
        }
    }

    /**
     * A request may lie unread for longer than a crossing of a close is excused, because the event loop is late just as
     * its idle connection is to be closed. It must be read and answered first.
     */
    @Test
    void requestThatWaitedForALateLoopIsAnsweredBeforeItsIdleConnectionIsClosed() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            Request first = doorman.box.nextRequest();
            doorman.server.drain();
            doorman.advanceClock(800);
            byte[] second = dispatch(2, id(2));
            doorman.onNextClockRead(() -> {
                try {
                    client.write(second);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                doorman.advanceClockOnly(60);
            });
            first.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(client, 1));
            assertNextAndServe(doorman, id(2));
            assertEquals(SERVED, readOutcome(client, 2));
        }
    }

    /** A complete request in the event loop iteration of its connection's eviction prevents the eviction. */
    @Test
    void requestInTheIterationOfItsEvictionIsServed() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("sockets", 96))) {
            doorman.box.serve();
            List<TestConnection> idle = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                TestConnection client = doorman.client();
                client.write(alive(1));
                assertEquals(SERVED, readOutcome(client, 1));
                idle.add(client);
            }
            Runnable release = doorman.holdEventLoop();
            idle.get(0).write(dispatch(2, id(1)));
            for (int i = 0; i < 4; i++) {
                idle.add(doorman.client());
            }
            release.run();
            assertNextAndServe(doorman, id(1));
            assertEquals(SERVED, readOutcome(idle.get(0), 2));
            for (TestConnection client : idle) {
                client.close();
            }
        }
    }

    // ---- SIGTERM ---------------------------------------------------------------------------------------

    /** A request that is partly received at SIGTERM is served, and idle connections close without a reset. */
    @Test
    void partlyReceivedRequestIsServedAfterSigterm() throws Exception {
        DoormanTestBed doorman = start();
        TestConnection client = doorman.client();
        TestConnection idle = doorman.client();
        idle.write(alive(1));
        byte[] request = dispatch(1, id(1));
        client.write(slice(request, 0, 60));
        assertEquals(SERVED, readOutcome(idle, 1));
        doorman.server.drain();
        doorman.server.drain();
        doorman.advanceClock(700);
        assertAlive(idle, 2);
        client.write(slice(request, 60, request.length));
        Request sent = doorman.box.nextRequest();
        doorman.advanceClock(1_000);
        assertNull(idle.readFrame(), "idle connections are closed at the end of the grace period");
        sent.answer("DONE", DONE, new byte[10]);
        assertEquals(SERVED, readOutcome(client, 1));
        assertNull(client.readFrame());
        doorman.close();
    }

    /** A request whose depot doesn't respond is failed before SIGKILL may end the process. */
    @Test
    void requestAtAHungDepotFailsBeforeSigkill() throws Exception {
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
        assertEquals(FAILED, readOutcome(client, 1), "SIGKILL may come after 3.7 s");
        assertNull(client.readFrame());
        doorman.close();
    }

    /** A client that reads slowly receives complete responses until SIGKILL may end the process. */
    @Test
    void slowReaderReceivesResponsesUntilSigkill() throws Exception {
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
            iterateEventLoop(probe);
        }
        doorman.server.drain();
        doorman.advanceClock(3_400);
        for (int i = 1; i <= 30; i++) {
            ByteBuf in = Unpooled.wrappedBuffer(client.readFrame());
            in.skipBytes(4).skipBytes(in.readInt()).skipBytes(4 + 3 + 3);
            byte[] got = new byte[in.readInt()];
            in.readBytes(got);
            assertArrayEquals(bytes, got, "response " + i);
        }
        assertNull(client.readFrame());
        doorman.close();
    }

    // ---- requests that must not run twice --------------------------------------------------------------

    /**
     * A box may reset the connection after reading any part of a request that must not run twice. The request is then
     * failed and never sent again, whatever the name of its class.
     */
    @Test
    void unsafeRequestIsNeverSentTwice() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {});
                TestConnection client = doorman.client()) {
            for (int read = 1; read < 110; read++) {
                client.write(dispatch(read, "order", id(read)));
                TestConnection boxConnection = doorman.box.accept();
                boxConnection.readBytes(read);
                boxConnection.reset();
                assertEquals(FAILED, readOutcome(client, read), "reset after " + read + " bytes");
            }
            doorman.box.serve();
            assertStillServes(doorman, id(200));
        }
    }

    /**
     * Depots detect repeated requests by the client's idempotency key, so each attempt of such a request carries it,
     * and a request without a key has none.
     */
    @Test
    void eachAttemptCarriesTheIdempotencyKey() throws Exception {
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
            Request retried = doorman.box.nextRequest();
            for (Request attempt : List.of(first, retried)) {
                assertEquals(id(1), attempt.id());
                assertTrue(
                        attempt.strings().get(2).contains(",once=645b707de91bf3071eae83015509ede1"),
                        attempt.strings().get(2));
            }
            retried.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(client, 1));
            client.write(dispatch(2, "stamp", id(2)));
            Request without = doorman.box.nextRequest();
            assertFalse(
                    without.strings().get(2).contains("once="),
                    without.strings().get(2));
            without.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(client, 2));
        }
    }

    /** A pending request keeps its class's rule on repeats even if a reload changes the rule. */
    @Test
    void pendingRequestKeepsItsRepeatRuleDuringAReload() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            TestConnection channel = doorman.channel.accept();
            assertEquals("resume 1", channel.readLine());
            client.write(dispatch(1, "order", id(1)));
            Request sent = doorman.box.nextRequest();
            doorman.reload(c -> {
                JSONArray grades = c.getJSONObject("settings").getJSONArray("grades");
                grades.getJSONObject(1).put("repeat", "repeatable");
                // The reload also moves the command channel, which shows when it has been applied.
                c.put("channel", c.getString("channel").replace("127.0.0.1", "127.0.0.2"));
            });
            assertNull(channel.readLine(), "the channel has moved");
            sent.connection().reset();
            assertEquals(FAILED, readOutcome(client, 1));
            client.write(dispatch(2, "order", id(2)));
            doorman.box.nextRequest().connection().reset();
            Request retried = doorman.box.nextRequest();
            assertEquals(id(2), retried.id(), "a request accepted under the new rule is retried");
            retried.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(client, 2));
        }
    }

    // ---- the command channel ---------------------------------------------------------------------------

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

    /**
     * A command channel that sends nothing from the start, after a reconnect or after part of a line is closed and
     * connected again.
     */
    @Test
    void silentChannelIsReconnected() throws Exception {
        try (DoormanTestBed doorman = start()) {
            for (String last :
                    List.of("", "1\n", state(doorman, 2, "terminating").substring(0, 40))) {
                TestConnection silent = doorman.channel.accept();
                assertEquals("resume 1", silent.readLine());
                silent.write(last);
                TestConnection probe = doorman.client();
                assertAlive(probe, 1);
                probe.close();
                doorman.advanceClock(2_000);
                assertNull(silent.readLine(), "closed after: " + last);
                doorman.advanceClock(300);
            }
            TestConnection healthy = doorman.channel.accept();
            assertEquals("resume 1", healthy.readLine());
            healthy.write(state(doorman, 2, "terminating") + "2\n");
            try (TestConnection client = doorman.client()) {
                assertAlive(client, 1);
                client.write(dispatch(2, id(2)));
                Request elsewhere = doorman.origin.nextRequest();
                assertEquals(id(2), elsewhere.id(), "the box drains");
                elsewhere.answer("DONE", DONE, new byte[10]);
                assertEquals(SERVED, readOutcome(client, 2));
                assertNull(doorman.box.pollRequest());
            }
        }
    }

    /** A request that waits for a connect to a box goes elsewhere when the box starts to drain. */
    @Test
    void drainRedirectsRequestsThatWaitForAConnect() throws Exception {
        try (DoormanTestBed doorman = new DoormanTestBed(folder, c -> {}, 1);
                TestConnection client = doorman.client();
                TestConnection probe = doorman.client()) {
            doorman.origin.serve();
            List<TestConnection> queueFillers = doorman.box.fillAcceptQueue();
            TestConnection channel = doorman.channel.accept();
            client.write(dispatch(1, id(1)));
            assertAlive(probe, 1);
            channel.write(state(doorman, 2, "terminating"));
            Request elsewhere = doorman.origin.nextRequest();
            assertEquals(id(1), elsewhere.id());
            elsewhere.answer("DONE", DONE, new byte[10]);
            assertEquals(SERVED, readOutcome(client, 1));
            for (TestConnection filler : queueFillers) {
                filler.close();
            }
        }
    }

    // ---- invalid responses -----------------------------------------------------------------------------

    /**
     * Invalid responses of a box affect neither their own request nor others: a second response, one after a cancel,
     * one without a body, one that is cut off by a close, and one that is too long.
     */
    @Test
    void invalidResponsesDoNotAffectOtherRequests() throws Exception {
        try (DoormanTestBed doorman = start();
                TestConnection client = doorman.client()) {
            client.write(dispatch(1, id(1)));
            Request first = doorman.box.nextRequest();
            first.answer("DONE", DONE, new byte[10]);
            first.answer("DONE", DONE, new byte[11]);
            assertEquals(SERVED, readOutcome(client, 1));
            client.write(dispatch(2, id(2)));
            Request second = doorman.box.nextRequest();
            second.answer("DONE", DONE, null);
            Request retried = doorman.box.nextRequest();
            assertEquals(id(2), retried.id());
            retried.answer("KEEP", DONE, null);
            Request third = doorman.box.nextRequest();
            assertEquals(id(2), third.id(), "the client holds no copy that could be confirmed as current");
            third.answer("DONE", DONE, new byte[12]);
            assertEquals(SERVED, readOutcome(client, 2));
            client.write(dispatch(3, id(3)));
            Request cancelled = doorman.box.nextRequest();
            client.write(ChunkedInput.readAndRelease(ThriftCalls.cancelRequest(4, 3)));
            assertEquals("cancel", doorman.box.nextRequest().command());
            cancelled.answer("DONE", DONE, new byte[13]);
            client.write(dispatch(5, id(5)));
            Request cut = doorman.box.nextRequest();
            cut.connection().write("*4\r\n$16\r\n" + id(5) + "\r\n$4\r\nDONE\r\n$5\r\nhow=h\r\n$10\r\nhalf");
            cut.connection().end();
            assertNextAndServe(doorman, id(5));
            assertEquals(SERVED, readOutcome(client, 5));
            client.write(dispatch(6, id(6)));
            Request endless = doorman.box.nextRequest();
            endless.connection().write("*4\r\n$16\r\n" + id(6) + "\r\n$4\r\nDONE\r\n$5\r\nhow=h\r\n$99999999\r\n");
            endless.connection().writeIgnoringErrors(new byte[400_000]);
            assertNextAndServe(doorman, id(6));
            assertEquals(SERVED, readOutcome(client, 6));
            assertStillServes(doorman, id(7));
        }
    }
}
