package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Sends a process that runs as deployed much more than it can hold. Every request of a sound client gets its answer in
 * time meanwhile and afterwards.
 */
@Isolated
class FloodTest {

    private static final int NODES = 6;
    private static final int HIT_MS = 20;
    private static final int DEADLINE_MS = 2_400;
    /** An answer that comes later than this after the deadline counts as lost. */
    private static final int LOST_AFTER_MS = 500;

    private static final int MAX_OPEN = 32;
    private static final int WRITE_BYTES = 48_000;
    private static final int SOUND_CLIENTS = 8;
    private static final int SOUND_REQUEST_INTERVAL_MS = 50;
    private static final int SECONDS = 6;
    /** The version of the strict binary protocol and the type of a call without an answer. */
    private static final int ONEWAY_CALL = 0x80010004;

    private static final int I32 = 8;

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicLong nextId = new AtomicLong(1);
    private DoormanProcesses processes;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        processes = new DoormanProcesses(folder, group, new DoormanProcesses.ColdRule(16_000, 1_500, 0.25, 4));
        processes.setSocketLimit(1_024);
        processes.startBoxes(NODES, HIT_MS);
        processes.startDoormans(1, NODES, processes.channelAddress(1), 4);
    }

    @AfterEach
    void stop() {
        processes.close();
        threads.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Map<String, String> fields(String className) {
        long id = nextId.getAndIncrement();
        return Map.of(
                "c",
                className,
                "i",
                String.format("%016x", id),
                "d",
                Integer.toString(DEADLINE_MS),
                "o",
                String.format("%016x", id % 97),
                "seg",
                "0",
                "bucket",
                "1",
                "m",
                "2");
    }

    private byte[] requests(int count) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 1; i <= count; i++) {
            all.write(ThriftClient.frame("dispatch", i, fields("files"), null));
        }
        return all.toByteArray();
    }

    /** Sends one request at a time and returns how many were sent; each is answered in time. */
    private int sendSoundRequests() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        int sent = 0;
        try (ThriftClient client = new ThriftClient(processes.frontAddress(0))) {
            while (System.nanoTime() < endNanos) {
                long startNanos = System.nanoTime();
                client.send("dispatch", ++sent, fields("files"));
                assertEquals(sent, client.readSequenceNumber(), "the answer to request " + sent);
                long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                assertTrue(ms <= DEADLINE_MS + LOST_AFTER_MS, "request " + sent + " was answered after " + ms + " ms");
                TimeUnit.MILLISECONDS.sleep(SOUND_REQUEST_INTERVAL_MS);
            }
        }
        return sent;
    }

    /** Runs a task in each of {@code clients} threads twice, while sound clients send requests, and waits for all. */
    private void floodWith(int clients, Callable<Integer> task) throws Exception {
        List<Future<Integer>> sound = new ArrayList<>();
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            sound.add(threads.submit(this::sendSoundRequests));
        }
        for (int round = 0; round < 2; round++) {
            TimeUnit.SECONDS.sleep(1);
            List<Future<Integer>> flood = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                flood.add(threads.submit(task));
            }
            for (Future<Integer> client : flood) {
                client.get();
            }
        }
        for (Future<Integer> client : sound) {
            assertTrue(client.get() > 1, "sent more than one request");
        }
        assertTrue(processes.process(0).isAlive());
    }

    /** Connects, writes, and goes; the doorman may end the connection first. */
    private int writeAndGo(byte[] bytes, long stayMs) throws IOException, InterruptedException {
        try (ThriftClient client = new ThriftClient(processes.frontAddress(0))) {
            client.send(bytes);
            TimeUnit.MILLISECONDS.sleep(stayMs);
        } catch (java.net.SocketException e) {
            // Ended by the doorman.
        }
        return bytes.length;
    }

    /** Guards against a doorman that stays without its event loop, as parsed requests have used up the heap. */
    @Test
    void clientsThatSendThousandsOfRequestsAndGoDisturbNobody() throws Exception {
        byte[] flood = requests(4_000);
        floodWith(60, () -> writeAndGo(flood, 0));
    }

    /** Guards against answers that come late, as half frames have used up the direct memory. */
    @Test
    void clientsThatSendHalfOfALongRequestDisturbNobody() throws Exception {
        byte[] frame = ThriftClient.frame("dispatch", 1, fields("record"), new byte[130_000]);
        byte[] half = Arrays.copyOf(frame, frame.length - 1_000);
        floodWith(500, () -> writeAndGo(half, 1_000));
    }

    /** Returns framed cancels of what is not open. */
    private static byte[] cancels(int count) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(all);
        byte[] method = "cancelRequest".getBytes(StandardCharsets.US_ASCII);
        for (int i = 1; i <= count; i++) {
            out.writeInt(4 * Integer.BYTES + method.length + Short.BYTES + 2);
            out.writeInt(ONEWAY_CALL);
            out.writeInt(method.length);
            out.write(method);
            out.writeInt(i);
            out.writeByte(I32);
            out.writeShort(1);
            out.writeInt(i);
            out.writeByte(0);
        }
        return all.toByteArray();
    }

    /**
     * Guards against answers that come late or never while clients send small calls without effect at full speed: each
     * iteration of the event loop read and parsed up to 1 MB of them from each connection.
     */
    @Test
    void clientsThatCancelAtFullSpeedDisturbNobody() throws Exception {
        byte[] cancels = cancels(200);
        floodWith(60, () -> {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            int sent = 0;
            while (System.nanoTime() < endNanos) {
                try (ThriftClient client = new ThriftClient(processes.frontAddress(0))) {
                    for (; System.nanoTime() < endNanos; sent++) {
                        client.send(cancels);
                    }
                } catch (IOException e) {
                    // Ended by the doorman.
                }
            }
            return sent;
        });
    }

    /** Guards against connections that end without an answer, as bodies of requests have used up the direct memory. */
    @Test
    void largeWritesAtOnceAreAllAnswered() throws Exception {
        floodWith(64, () -> {
            try (ThriftClient client = new ThriftClient(processes.frontAddress(0))) {
                for (int i = 1; i <= MAX_OPEN; i++) {
                    client.send(ThriftClient.frame("dispatch", i, fields("record"), new byte[WRITE_BYTES]));
                }
                for (int i = 1; i <= MAX_OPEN; i++) {
                    assertTrue(client.readSequenceNumber() != null, "answer " + i + " of " + MAX_OPEN);
                }
                return MAX_OPEN;
            }
        });
    }
}
