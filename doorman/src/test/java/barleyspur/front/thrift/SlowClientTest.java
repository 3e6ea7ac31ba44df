package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ChunkedInput;
import barleyspur.DoormanTestBed;
import barleyspur.DoormanTestBed.FakePeer.Request;
import barleyspur.DoormanTestBed.TestConnection;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Clients that read slowly, on real sockets and beside others. */
@Timeout(60)
class SlowClientTest {

    /** A 24th of it is the limit on unread answers: less than one client may ask for, less what the sockets hold. */
    private static final int MEMORY_MB = 96;

    private static final int OPEN_REQUESTS = 32;
    private static final int LARGEST_BODY_BYTES = 240_000;
    private static final int SMALL_BODY_BYTES = 10_000;
    private static final int GOOD_CLIENTS = 9;
    /** The good clients ask for as long as the slow one reads. */
    private static final int ROUNDS = 100;

    private static final int ROUND_PAUSE_MS = 50;
    private static final long DEADLINE_MS = 2_500;
    /** The time within which answers of the class earn their full worth. */
    private static final long PROMISE_MS = 1_000;
    /** The slow client reads 1 MB in a second. */
    private static final int SLOW_READ_PAUSE_MS = 20;

    private static final int SLOW_READ_BYTES = 20_000;
    /** The field of a result that holds the answer; others hold exceptions. */
    private static final int SUCCESS_FIELD = 0;

    private static final String DONE = "how=h,digest=4be0c1927d55a6f3,dated=1000";
    private static final String LARGE_OBJECT = "7f3a9c21e0b4d655";
    private static final String SMALL_OBJECT = "1f3a9c21e0b4d655";

    @TempDir
    Path folder;

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private static byte[] dispatch(int seqid, int id, String object) {
        Map<String, String> fields = Map.of(
                "c",
                "segment",
                "i",
                String.format("%016x", id),
                "d",
                Long.toString(DEADLINE_MS),
                "o",
                object,
                "seg",
                "3",
                "bucket",
                "17");
        return ChunkedInput.readAndRelease(ThriftCalls.dispatch(seqid, fields, new byte[4]));
    }

    /** Answers each request at the box at once, each in a thread of its own, as a write may have to wait. */
    private void answerAll(DoormanTestBed doorman) {
        threads.submit(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                Request request = doorman.box.nextRequest();
                if (request.command().equals("serve")) {
                    boolean large = request.strings().get(2).contains(LARGE_OBJECT);
                    byte[] body = new byte[large ? LARGEST_BODY_BYTES : SMALL_BODY_BYTES];
                    threads.submit(() -> {
                        request.answer("DONE", DONE, body);
                        return null;
                    });
                }
            }
            return null;
        });
    }

    /** Reads all answers of the slow client and returns the sequence numbers that were answered. */
    private static Set<Integer> readSlowly(TestConnection client) throws IOException, InterruptedException {
        Set<Integer> answered = new HashSet<>();
        for (int i = 0; i < OPEN_REQUESTS; i++) {
            int length = Unpooled.wrappedBuffer(client.readBytes(Integer.BYTES)).readInt();
            ByteBuf frame = Unpooled.buffer(length);
            while (frame.readableBytes() < length) {
                frame.writeBytes(client.readBytes(Math.min(SLOW_READ_BYTES, length - frame.readableBytes())));
                TimeUnit.MILLISECONDS.sleep(SLOW_READ_PAUSE_MS);
            }
            frame.skipBytes(Integer.BYTES);
            frame.skipBytes(frame.readInt());
            assertTrue(answered.add(frame.readInt()), "answered twice");
        }
        return answered;
    }

    private static void assertServed(byte[] frame) {
        assertNotNull(frame, "the connection has ended without a response");
        ByteBuf in = Unpooled.wrappedBuffer(frame);
        assertEquals(ThriftProtocol.REPLY, in.readInt() & 0xFF);
        in.skipBytes(in.readInt() + Integer.BYTES);
        assertEquals(SUCCESS_FIELD, in.getShort(in.readerIndex() + 1), "the request was not served");
    }

    /** Sends one request after the other and returns the longest time to an answer, in milliseconds. */
    private static long longestAnswerMs(DoormanTestBed doorman, int firstId) throws IOException, InterruptedException {
        long longestNanos = 0;
        try (TestConnection client = doorman.client()) {
            for (int round = 1; round <= ROUNDS; round++) {
                long startNanos = System.nanoTime();
                client.write(dispatch(round, firstId + round, SMALL_OBJECT));
                assertServed(client.readFrame());
                longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
                TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MS);
            }
        }
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }

    /** Guards all other clients against one that opens 32 large requests and reads 1 MB a second. */
    @Test
    void oneSlowClientDoesNotDelayOthers() throws Exception {
        try (DoormanTestBed doorman =
                new DoormanTestBed(folder, c -> c.getJSONObject("limits").put("memory_mb", MEMORY_MB))) {
            doorman.box.serve();
            answerAll(doorman);
            try (TestConnection slow = doorman.clientWithSmallReceiveBuffer()) {
                for (int i = 1; i <= OPEN_REQUESTS; i++) {
                    slow.write(dispatch(i, i, LARGE_OBJECT));
                }
                Future<Set<Integer>> slowAnswers = threads.submit(() -> readSlowly(slow));
                List<Future<Long>> goodAnswers = new ArrayList<>();
                for (int i = 1; i <= GOOD_CLIENTS; i++) {
                    int firstId = 1_000 * i;
                    goodAnswers.add(threads.submit(() -> longestAnswerMs(doorman, firstId)));
                }
                for (Future<Long> good : goodAnswers) {
                    long longestMs = good.get();
                    assertTrue(longestMs <= PROMISE_MS, "a good client waited " + longestMs + " ms");
                }
                assertEquals(OPEN_REQUESTS, slowAnswers.get().size());
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
