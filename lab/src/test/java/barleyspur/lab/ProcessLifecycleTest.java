package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.ArrivalMeter;
import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.FakeCommandChannel;
import barleyspur.lab.stand.LoadGenerator;
import barleyspur.lab.stand.NodeList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Tests the start, reload and shutdown of {@code serve} processes of the built jar, and their load on a box that has
 * just started. Runs isolated from other tests, since some of these start many processes at once.
 */
@Isolated
class ProcessLifecycleTest {

    /** The time from SIGTERM to SIGKILL that the protocol specifies for the longest deadline of the classes. */
    private static final int KILL_TIMEOUT_MS = 3_700;
    /** The exit code of a JVM that was terminated by SIGTERM, after its shutdown hooks have run. */
    private static final int SIGTERM_EXIT_CODE = 128 + 15;
    /** The time by which a signal has been handled. */
    private static final int SIGNAL_HANDLING_MS = 500;
    /** For how long after SIGTERM requests are sent on open connections. */
    private static final int SENDING_AFTER_SIGTERM_MS = 600;

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private DoormanProcesses processes;
    private final AtomicLong nextId = new AtomicLong(1);

    @BeforeEach
    void setUp() {
        processes = new DoormanProcesses(
                folder,
                group,
                new DoormanProcesses.ColdRule(WARM_AFTER_MS, OVERLOAD_SPAN_MS, FROM_SHARE, OVERLOAD_MULTIPLE));
    }

    @AfterEach
    void tearDown() {
        processes.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Keeps three requests pending until the given time, then waits for the outstanding answers and for the end of the
     * connection.
     *
     * @return the number of requests, each of which was answered exactly once
     */
    private int sendRequests(InetSocketAddress address, long sendUntilNanos) throws IOException {
        try (ThriftClient client = new ThriftClient(address)) {
            int sent = 0;
            int answered = 0;
            while (true) {
                while (sent - answered < 3 && System.nanoTime() < sendUntilNanos) {
                    long id = nextId.getAndIncrement();
                    client.send(
                            "dispatch",
                            ++sent,
                            Map.of(
                                    "c",
                                    id % 10 == 0 ? "record" : "files",
                                    "i",
                                    String.format("%016x", id),
                                    "d",
                                    "2400",
                                    "o",
                                    String.format("%016x", id % 97),
                                    "seg",
                                    "0",
                                    "bucket",
                                    "1",
                                    "m",
                                    "100.5"));
                }
                Integer sequenceNumber = client.readSequenceNumber();
                if (sequenceNumber == null) {
                    assertEquals(sent, answered, "number of answers before the end of the connection");
                    return sent;
                }
                answered++;
                assertTrue(sequenceNumber <= sent, "answer to a request that was not sent");
            }
        }
    }

    /**
     * Guards restarts: a doorman becomes ready while discovery and all 200 boxes of its list are unreachable. The
     * processor time that this took is printed: with a fifth of a core, the 10 s that a doorman has for its start are
     * 2 s of processor time.
     */
    @Test
    void becomesReadyWithoutChannelAndBoxes() throws Exception {
        processes.startDoormans(1, 200, processes.channelAddress(3), CAPACITY_HINT);
        System.out.printf(
                "ready with 200 boxes and no channel after %.1f s of a core%n",
                processes.process(0).info().totalCpuDuration().orElseThrow().toMillis() / 1e3);
    }

    /** Guards reloads: a doorman whose parent process ignores SIGHUP, as under nohup, reloads all the same. */
    @Test
    void reloadsWhereItsParentIgnoresSighup() throws Exception {
        processes.setShellPrefix("trap '' HUP; ");
        processes.startDoormans(1, NODE_COUNT, processes.channelAddress(4), CAPACITY_HINT);
        ProcessSignal.send(processes.process(0), "HUP");
        await(
                "the process reloads its configuration",
                () -> processes.readLog(0).contains("reload: done"));
    }

    /**
     * Guards reloads right after a start: a series of SIGHUP from the moment in which the JVM has been started does not
     * end the process, before its own handler is installed or after.
     */
    @Test
    void sighupFromTheFirstMomentDoesNotEndTheProcess() throws Exception {
        Process process = processes.launch(
                0, processes.configuration(0, 1, NODE_COUNT, processes.channelAddress(7), CAPACITY_HINT));
        await("the shell has been replaced by the JVM", () -> isJava(process));
        while (!processes.readLog(0).contains("serves")) {
            ProcessSignal.send(process, "HUP");
            assertTrue(process.isAlive(), "SIGHUP terminated the process");
        }
        ProcessSignal.send(process, "HUP");
        await(
                "the process reloads its configuration",
                () -> processes.readLog(0).contains("reload: done"));
    }

    private static boolean isJava(Process process) {
        return process.info()
                .command()
                .filter(command -> command.endsWith("java"))
                .isPresent();
    }

    /**
     * Guards overlapping restarts: SIGTERM during the start terminates the process in time and as a planned shutdown.
     */
    @Test
    void sigtermDuringStartTerminatesProcess() throws Exception {
        Process process = processes.launch(
                0, processes.configuration(0, 1, NODE_COUNT, processes.channelAddress(5), CAPACITY_HINT));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        // The warm-up before the start has begun once the log has its synthetic nodes.
        while (processes.readLog(0).isEmpty() && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertFalse(processes.readLog(0).contains("serves"), "the process serves before it got SIGTERM");
        process.destroy();
        assertTrue(
                process.waitFor(KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                "the process is still running at the time of SIGKILL");
        assertEquals(SIGTERM_EXIT_CODE, process.exitValue(), processes.readLog(0));
    }

    /**
     * Guards reloads during a start: SIGHUP while the configuration is being read does not terminate the process, and
     * the configuration is reloaded as soon as possible. A named pipe as the configuration file blocks the process
     * meanwhile.
     */
    @Test
    void sighupDuringStartCausesReload() throws Exception {
        Path pipe = folder.resolve("pipe.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), "mkfifo " + pipe);
        byte[] configuration = processes
                .configuration(0, 1, NODE_COUNT, processes.channelAddress(6), CAPACITY_HINT)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        Process process;
        // Opened for reading as well, since opening a pipe only for writing blocks until it has a reader.
        try (RandomAccessFile writer = new RandomAccessFile(pipe.toFile(), "rw")) {
            process = processes.launch(0, pipe);
            await("the process reads the configuration", () -> hasFileOpen(process, pipe));
            ProcessSignal.send(process, "HUP");
            TimeUnit.MILLISECONDS.sleep(SIGNAL_HANDLING_MS);
            assertTrue(process.isAlive(), "SIGHUP terminated the process");
            // The reload reads a regular file of the same name.
            Path replacement = Files.write(folder.resolve("next.json"), configuration);
            Files.move(replacement, pipe, StandardCopyOption.REPLACE_EXISTING);
            writer.write(configuration);
        }
        processes.awaitReady(0);
        await(
                "the process reloads its configuration",
                () -> processes.readLog(0).contains("reload: done"));
    }

    private static boolean hasFileOpen(Process process, Path file) throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            for (Path descriptor : descriptors.toList()) {
                if (Files.isSymbolicLink(descriptor)
                        && Files.readSymbolicLink(descriptor).equals(file)) {
                    return true;
                }
            }
            return false;
        } catch (NoSuchFileException e) {
            // A descriptor was closed while they were listed.
            return false;
        }
    }

    private static void await(String what, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadlineNanos, "timeout waiting for: " + what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /**
     * Guards planned restarts: all requests sent until 0.6 s after SIGTERM are answered, and no connection is reset.
     */
    @Test
    void sigtermLeavesNoRequestUnanswered() throws Exception {
        FakeBoxes boxes = processes.startBoxes(NODE_COUNT, 150);
        InetSocketAddress channel = processes.channelAddress(1);
        FakeCommandChannel.listen(group, channel, 1);
        processes.startDoormans(3, NODE_COUNT, channel, CAPACITY_HINT);
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            long sigtermNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            List<Future<Integer>> requestCounts = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                InetSocketAddress front = processes.frontAddress(i);
                Callable<Integer> client = () ->
                        sendRequests(front, sigtermNanos + TimeUnit.MILLISECONDS.toNanos(SENDING_AFTER_SIGTERM_MS));
                for (int j = 0; j < 8; j++) {
                    requestCounts.add(clients.submit(client));
                }
            }
            TimeUnit.NANOSECONDS.sleep(sigtermNanos - System.nanoTime());
            processes.allProcesses().forEach(Process::destroy);
            TimeUnit.MILLISECONDS.sleep(300);
            processes.allProcesses().forEach(Process::destroy);
            int totalRequests = 0;
            for (Future<Integer> count : requestCounts) {
                totalRequests += count.get(30, TimeUnit.SECONDS);
            }
            for (Process process : processes.allProcesses()) {
                assertTrue(
                        process.waitFor(
                                sigtermNanos + TimeUnit.MILLISECONDS.toNanos(KILL_TIMEOUT_MS) - System.nanoTime(),
                                TimeUnit.NANOSECONDS),
                        "the process is still running at the time of SIGKILL");
            }
            assertTrue(totalRequests > 200, "requests: " + totalRequests);
            assertTrue(boxes.duplicateRuns().startsWith("0 "), boxes.duplicateRuns());
        } finally {
            clients.shutdownNow();
        }
    }

    /** Number of nodes: four caches, a parent and an origin. */
    private static final int NODE_COUNT = 6;

    private static final int DOORMAN_COUNT = 30;
    private static final double CAPACITY_HINT = 2;
    private static final double WARM_AFTER_MS = 8_000;
    private static final double OVERLOAD_SPAN_MS = 3_000;
    private static final double FROM_SHARE = 0.24;
    private static final double OVERLOAD_MULTIPLE = 1;
    private static final double REQUESTS_PER_S = 300;
    /** Work of a request: 100.5 KB at 5 KB/ms, the pace in the settings. */
    private static final double WORK_MS = 100.5 / 5;

    /**
     * Guards boxes that have just started against overload by thirty processes that do not coordinate: in every window
     * of 3 s such a box gets at most N + 2 sqrt(N) + 2 calls, where N is what the settings allow at that time and the
     * rest allows for random variation. It must still get some calls.
     */
    @Test
    void thirtyProcessesDoNotOverloadColdBox() throws Exception {
        FakeBoxes boxes = processes.startBoxes(NODE_COUNT, 3);
        InetSocketAddress channel = processes.channelAddress(2);
        FakeCommandChannel commandChannel = FakeCommandChannel.listen(group, channel, 1);
        processes.startDoormans(DOORMAN_COUNT, NODE_COUNT, channel, CAPACITY_HINT);
        List<InetSocketAddress> fronts = new ArrayList<>();
        for (int i = 0; i < DOORMAN_COUNT; i++) {
            fronts.add(processes.frontAddress(i));
        }
        new LoadGenerator(group, List.of(new LoadGenerator.RequestClass("files", 1, 300, 2_500)), fronts, 1)
                .start(REQUESTS_PER_S);
        TimeUnit.SECONDS.sleep(4);
        long bootMs = System.currentTimeMillis();
        ArrivalMeter coldBoxMeter = boxes.meter(processes.boxAddress(0));
        // After 250 ms all calls have arrived that were sent before the doormans learned of the restart.
        coldBoxMeter.setWindow(bootMs + 250, bootMs + (long) WARM_AFTER_MS);
        NodeList restarted = new NodeList();
        restarted.add(processes.describeNode(0, NODE_COUNT, CAPACITY_HINT, bootMs));
        commandChannel.sendEvent("\"nodes\":" + restarted.toEvent(2, false));
        TimeUnit.MILLISECONDS.sleep((long) WARM_AFTER_MS + 100);
        List<Long> arrivalTimes = coldBoxMeter.arrivalTimesInWindow();
        double maxLimitMultiple = 0;
        for (int first = 0, last = 0; last < arrivalTimes.size(); last++) {
            while (arrivalTimes.get(last) - arrivalTimes.get(first) >= OVERLOAD_SPAN_MS) {
                first++;
            }
            double capacityShare = FROM_SHARE + (1 - FROM_SHARE) * (arrivalTimes.get(last) - bootMs) / WARM_AFTER_MS;
            double expectedCalls = OVERLOAD_MULTIPLE * capacityShare * CAPACITY_HINT / WORK_MS * OVERLOAD_SPAN_MS;
            maxLimitMultiple =
                    Math.max(maxLimitMultiple, (last - first + 1) / (expectedCalls + 2 * Math.sqrt(expectedCalls) + 2));
        }
        System.out.printf(
                "30 processes: %d calls at the cold box, at most %.2f of its limit in a window%n",
                arrivalTimes.size(), maxLimitMultiple);
        assertTrue(maxLimitMultiple <= 1, "calls in a window, as a multiple of the limit: " + maxLimitMultiple);
        assertTrue(arrivalTimes.size() > 20, "too few calls at the cold box: " + arrivalTimes.size());
    }
}
