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
 * Several {@code serve} processes of the built jar that end, or meet a box that has just started. Alone on the machine, since
 * each starts many processes at once.
 */
@Isolated
class EndingProcessesTest {

    /** What the protocol page gives a process after SIGTERM, at the classes' longest deadline. */
    private static final int KILL_MS = 3_700;
    /** How a JVM tells that SIGTERM has ended it, once its hooks have run. */
    private static final int ENDED_BY_SIGTERM = 128 + 15;
    /** By then a signal has been handled. */
    private static final int SIGNALLED_MS = 500;
    /** Requests on open connections come for so long after SIGTERM. */
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
     * Asks three at a time for as long as it may, then waits for what is open and for the end of the connection.
     *
     * @return how many were asked, all of which got an answer, once
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
                    assertEquals(asked, answered, "answers before the end of the connection");
                    return asked;
                }
                answered++;
                assertTrue(answer <= asked, "an answer to what was asked");
            }
        }
    }

    /**
     * Guards restarts: a doorman is ready without anybody else, that is with discovery and all boxes out of reach, and with
     * 200 boxes on its list. What that took of a core is printed: at a fifth of one, 2 s of it are the 10 s that it has.
     */
    @Test
    void aDoormanIsReadyWithoutAnybodyElse() throws Exception {
        processes.start(1, 200, processes.channel(3), SIZE);
        System.out.printf(
                "ready with 200 boxes and no channel after %.1f s of a core%n",
                processes.process(0).info().totalCpuDuration().orElseThrow().toMillis() / 1e3);
    }

    /** Guards: SIGHUP that the parent ignores can't be taken back by the JVM, so the log says that reloads are off. */
    @Test
    void anIgnoredHangUpIsSaid() throws Exception {
        processes.startedBy("trap '' HUP; ");
        processes.start(1, FEW, processes.channel(4), SIZE);
        assertTrue(processes.log(0).contains("SIGHUP is ignored"));
    }

    /** Guards restarts that overlap: SIGTERM while it still starts ends it in time, and as a planned end. */
    @Test
    void sigtermBeforeItListensEndsIt() throws Exception {
        Process process = processes.launch(0, processes.configuration(0, 1, FEW, processes.channel(5), SIZE));
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        // The rehearsal before the start has begun, and logs the nodes that it makes up.
        while (processes.log(0).isEmpty() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertFalse(processes.log(0).contains("serves"), "it was to be ended before");
        process.destroy();
        assertTrue(process.waitFor(KILL_MS, TimeUnit.MILLISECONDS), "it ends before SIGKILL may come");
        assertEquals(ENDED_BY_SIGTERM, process.exitValue(), processes.log(0));
    }

    /**
     * Guards reloads that overlap with a start: SIGHUP while the configuration is still being read does not end the process,
     * and the configuration is read again once it can be. A named pipe holds the process there.
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
        // Opened for both, since a pipe that is opened for writing alone waits for its reader.
        try (RandomAccessFile writer = new RandomAccessFile(pipe.toFile(), "rw")) {
            process = processes.launch(0, pipe);
            await("it reads the configuration", () -> hasOpen(process, pipe));
            ProcessSignal.send(process, "HUP");
            TimeUnit.MILLISECONDS.sleep(SIGNALLED_MS);
            assertTrue(process.isAlive(), "SIGHUP ended it");
            // What is read again is a file of the same name.
            Path next = Files.write(folder.resolve("next.json"), configuration);
            Files.move(next, pipe, StandardCopyOption.REPLACE_EXISTING);
            writer.write(configuration);
        }
        processes.awaitReady(0);
        await("it reloads", () -> processes.log(0).contains("reload: done"));
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
            // A descriptor was closed meanwhile.
            return false;
        }
    }

    private static void await(String what, Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < until, "never: " + what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Guards planned restarts: of what comes until 0.6 s after SIGTERM everything is answered, and no connection is reset. */
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
            for (Future<Integer> one : asked) {
                all += one.get(30, TimeUnit.SECONDS);
            }
            for (Process process : processes.all()) {
                assertTrue(
                        process.waitFor(
                                term + TimeUnit.MILLISECONDS.toNanos(KILL_MS) - System.nanoTime(),
                                TimeUnit.NANOSECONDS),
                        "it ends before SIGKILL may come");
            }
            assertTrue(all > 200, "asked: " + all);
            assertTrue(boxes.runsTwice().startsWith("0 "), boxes.runsTwice());
        } finally {
            clients.shutdownNow();
        }
    }

    /** Caches, a parent and an origin. */
    private static final int FEW = 6;

    private static final int DOORMANS = 30;
    private static final double SIZE = 2;
    private static final double COLD_MS = 8_000;
    private static final double FALL_MS = 3_000;
    private static final double COLD_FROM = 0.24;
    private static final double FALL_MULTIPLE = 1;
    private static final double PER_S = 300;
    /** Work of a request of the clients': 100.5 KB at the settings' pace. */
    private static final double WORK_MS = 100.5 / 5;

    /**
     * Guards boxes that have just started against thirty processes that know nothing of one another: in every span of 3 s
     * one gets no more than N calls and 2 root(N) + 2 for chance, N being what the settings allow then; yet it gets some.
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
        // What was sent before the news has arrived by then.
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
                "30 processes: %d calls at the cold box, at most %.2f of what it bears in a span%n",
                times.size(), worst);
        assertTrue(worst <= 1, "of what it bears: " + worst);
        assertTrue(times.size() > 20, "the cold box is starved: " + times.size());
    }
}
