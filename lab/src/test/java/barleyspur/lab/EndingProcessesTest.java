package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.NodeList;
import barleyspur.lab.stand.StandBoxes;
import barleyspur.lab.stand.StandChannel;
import barleyspur.lab.stand.StandClients;
import barleyspur.lab.stand.Tally;
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
class EndingProcessesTest {

    /** The time from SIGTERM to SIGKILL that the protocol specifies for the longest deadline of the classes. */
    private static final int KILL_MS = 3_700;
    /** The exit code of a JVM that was terminated by SIGTERM, after its shutdown hooks have run. */
    private static final int ENDED_BY_SIGTERM = 128 + 15;
    /** The time by which a signal has been handled. */
    private static final int SIGNALLED_MS = 500;
    /** For how long after SIGTERM requests are sent on open connections. */
    private static final int ASKED_MS = 600;

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServeProcesses processes;
    private final AtomicLong ids = new AtomicLong(1);

    @BeforeEach
    void begin() {
        processes = new ServeProcesses(
                folder, group, new ServeProcesses.ColdRule(COLD_MS, FALL_MS, COLD_FROM, FALL_MULTIPLE));
    }

    @AfterEach
    void end() {
        processes.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Keeps three requests pending until the given time, then waits for the outstanding answers and for the end of the
     * connection.
     *
     * @return the number of requests, each of which was answered exactly once
     */
    private int ask(InetSocketAddress address, long untilNanos) throws IOException {
        try (ThriftClient client = new ThriftClient(address)) {
            int asked = 0;
            int answered = 0;
            while (true) {
                while (asked - answered < 3 && System.nanoTime() < untilNanos) {
                    long id = ids.getAndIncrement();
                    client.send(
                            "dispatch",
                            ++asked,
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
                Integer answer = client.answer();
                if (answer == null) {
                    assertEquals(asked, answered, "number of answers before the end of the connection");
                    return asked;
                }
                answered++;
                assertTrue(answer <= asked, "answer to a request that was not sent");
            }
        }
    }

    /**
     * Guards restarts: a doorman becomes ready while discovery and all 200 boxes of its list are unreachable. The
     * processor time that this took is printed: with a fifth of a core, the 10 s that a doorman has for its start are
     * 2 s of processor time.
     */
    @Test
    void aDoormanIsReadyWithoutAnybodyElse() throws Exception {
        processes.start(1, 200, processes.channel(3), SIZE);
        System.out.printf(
                "ready with 200 boxes and no channel after %.1f s of a core%n",
                processes.process(0).info().totalCpuDuration().orElseThrow().toMillis() / 1e3);
    }

    /**
     * Guards reloads: a JVM that is started with SIGHUP ignored cannot handle it, so the log says that reloads are
     * disabled.
     */
    @Test
    void anIgnoredHangUpIsSaid() throws Exception {
        processes.startedBy("trap '' HUP; ");
        processes.start(1, FEW, processes.channel(4), SIZE);
        assertTrue(processes.log(0).contains("SIGHUP is ignored"));
    }

    /**
     * Guards overlapping restarts: SIGTERM during the start terminates the process in time and as a planned shutdown.
     */
    @Test
    void sigtermBeforeItListensEndsIt() throws Exception {
        Process process = processes.launch(0, processes.configuration(0, 1, FEW, processes.channel(5), SIZE));
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        // The warm-up before the start has begun once the log has its synthetic nodes.
        while (processes.log(0).isEmpty() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertFalse(processes.log(0).contains("serves"), "the process serves before it got SIGTERM");
        process.destroy();
        assertTrue(
                process.waitFor(KILL_MS, TimeUnit.MILLISECONDS),
                "the process is still running at the time of SIGKILL");
        assertEquals(ENDED_BY_SIGTERM, process.exitValue(), processes.log(0));
    }

    /**
     * Guards reloads during a start: SIGHUP while the configuration is being read does not terminate the process, and
     * the configuration is reloaded as soon as possible. A named pipe as the configuration file blocks the process
     * meanwhile.
     */
    @Test
    void hangUpWhileItStartsIsCarriedOut() throws Exception {
        Path pipe = folder.resolve("pipe.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), "mkfifo " + pipe);
        byte[] configuration = processes
                .configuration(0, 1, FEW, processes.channel(6), SIZE)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        Process process;
        // Opened for reading as well, since opening a pipe only for writing blocks until it has a reader.
        try (RandomAccessFile writer = new RandomAccessFile(pipe.toFile(), "rw")) {
            process = processes.launch(0, pipe);
            await("the process reads the configuration", () -> hasOpen(process, pipe));
            ProcessSignal.send(process, "HUP");
            TimeUnit.MILLISECONDS.sleep(SIGNALLED_MS);
            assertTrue(process.isAlive(), "SIGHUP terminated the process");
            // The reload reads a regular file of the same name.
            Path next = Files.write(folder.resolve("next.json"), configuration);
            Files.move(next, pipe, StandardCopyOption.REPLACE_EXISTING);
            writer.write(configuration);
        }
        processes.awaitReady(0);
        await("the process reloads its configuration", () -> processes.log(0).contains("reload: done"));
    }

    private static boolean hasOpen(Process process, Path file) throws IOException {
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
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < until, "timeout waiting for: " + what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /**
     * Guards planned restarts: all requests sent until 0.6 s after SIGTERM are answered, and no connection is reset.
     */
    @Test
    void aWaveOfSigtermsLeavesNothingUnanswered() throws Exception {
        StandBoxes boxes = processes.boxes(FEW, 150);
        InetSocketAddress channel = processes.channel(1);
        StandChannel.listen(group, channel, 1);
        processes.start(3, FEW, channel, SIZE);
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            long term = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            List<Future<Integer>> asked = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                InetSocketAddress front = processes.front(i);
                Callable<Integer> one = () -> ask(front, term + TimeUnit.MILLISECONDS.toNanos(ASKED_MS));
                for (int j = 0; j < 8; j++) {
                    asked.add(clients.submit(one));
                }
            }
            TimeUnit.NANOSECONDS.sleep(term - System.nanoTime());
            processes.all().forEach(Process::destroy);
            TimeUnit.MILLISECONDS.sleep(300);
            processes.all().forEach(Process::destroy);
            int all = 0;
            for (Future<Integer> count : asked) {
                all += count.get(30, TimeUnit.SECONDS);
            }
            for (Process process : processes.all()) {
                assertTrue(
                        process.waitFor(
                                term + TimeUnit.MILLISECONDS.toNanos(KILL_MS) - System.nanoTime(),
                                TimeUnit.NANOSECONDS),
                        "the process is still running at the time of SIGKILL");
            }
            assertTrue(all > 200, "requests: " + all);
            assertTrue(boxes.runsTwice().startsWith("0 "), boxes.runsTwice());
        } finally {
            clients.shutdownNow();
        }
    }

    /** Number of nodes: four caches, a parent and an origin. */
    private static final int FEW = 6;

    private static final int DOORMANS = 30;
    private static final double SIZE = 2;
    private static final double COLD_MS = 8_000;
    private static final double FALL_MS = 3_000;
    private static final double COLD_FROM = 0.24;
    private static final double FALL_MULTIPLE = 1;
    private static final double PER_S = 300;
    /** Work of a request: 100.5 KB at 5 KB/ms, the pace in the settings. */
    private static final double WORK_MS = 100.5 / 5;

    /**
     * Guards boxes that have just started against overload by thirty processes that do not coordinate: in every window
     * of 3 s such a box gets at most N + 2 sqrt(N) + 2 calls, where N is what the settings allow at that time and the
     * rest allows for random variation. It must still get some calls.
     */
    @Test
    void thirtyProcessesStayWithinWhatAColdBoxBears() throws Exception {
        StandBoxes boxes = processes.boxes(FEW, 3);
        InetSocketAddress channel = processes.channel(2);
        StandChannel told = StandChannel.listen(group, channel, 1);
        processes.start(DOORMANS, FEW, channel, SIZE);
        List<InetSocketAddress> fronts = new ArrayList<>();
        for (int i = 0; i < DOORMANS; i++) {
            fronts.add(processes.front(i));
        }
        new StandClients(group, List.of(new StandClients.Class("files", 1, 300, 2_500)), fronts, 1).start(PER_S);
        TimeUnit.SECONDS.sleep(4);
        long boot = System.currentTimeMillis();
        Tally cold = boxes.tally(processes.box(0));
        // After 250 ms all calls have arrived that were sent before the doormans learned of the restart.
        cold.watch(boot + 250, boot + (long) COLD_MS);
        NodeList restarted = new NodeList();
        restarted.add(processes.target(0, FEW, SIZE, boot));
        told.tell("\"nodes\":" + restarted.event(2, false));
        TimeUnit.MILLISECONDS.sleep((long) COLD_MS + 100);
        List<Long> times = cold.watchedTimes();
        double worst = 0;
        for (int first = 0, last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= FALL_MS) {
                first++;
            }
            double share = COLD_FROM + (1 - COLD_FROM) * (times.get(last) - boot) / COLD_MS;
            double n = FALL_MULTIPLE * share * SIZE / WORK_MS * FALL_MS;
            worst = Math.max(worst, (last - first + 1) / (n + 2 * Math.sqrt(n) + 2));
        }
        System.out.printf(
                "30 processes: %d calls at the cold box, at most %.2f of its limit in a window%n",
                times.size(), worst);
        assertTrue(worst <= 1, "calls in a window, as a multiple of the limit: " + worst);
        assertTrue(times.size() > 20, "too few calls at the cold box: " + times.size());
    }
}
