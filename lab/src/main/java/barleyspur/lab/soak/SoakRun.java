package barleyspur.lab.soak;

import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.FakeCommandChannel;
import barleyspur.lab.stand.ThriftFrames;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Plays one plan on real processes and judges it. */
final class SoakRun implements AutoCloseable {

    /** The earliest SIGKILL after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s. */
    private static final int KILL_AFTER_TERM_MS = 3_700;
    /** For how long new connections keep coming after SIGTERM or a quiesce. */
    private static final int CONNECTS_AFTER_TERM_MS = 300;

    private static final int CONNECTS_AFTER_QUIESCE_MS = 200;
    /** The time by which a quiesced doorman must not hold connections. */
    private static final int QUIESCED_MS = 4_000;
    /** The time in which a doorman says yes again after a resume. */
    private static final int RESUME_MS = 2_000;
    /** The time after which the classes of a new configuration bind. */
    private static final int RELOADED_MS = 1_200;
    /** The longest time to be ready. */
    private static final int READY_MS = 30_000;
    /** The latest SIGTERM for the old process of an upgrade. */
    private static final int UPGRADE_TERM_MS = 600;

    /** A hit takes longer than a request may need to cross a close, so that no lost answer passes for a crossing. */
    private static final int HIT_MS = 100;

    private static final int LAST_ANSWERS_MS = 7_000;
    private static final int SILENCE_MS = 700;
    private static final int HEALTH_INTERVAL_MS = 100;
    private static final int POLL_MS = 10;
    private static final int LATENESS_PERIOD_MS = 5;
    private static final int SIGTERM_EXIT_CODE = 143;
    private static final int CLIENTS = 8;
    private static final int MEAN_INTERVAL_MS = 80;
    private static final int CROWD_CLIENTS = 40;
    /** A third of the crowd. */
    private static final int CROWD_BAD_CLIENTS = 20;

    private static final int CROWD_MEAN_INTERVAL_MS = 40;
    private static final int DEADLINE_MS = 2_000;

    /** What the health check of the current process has to answer. */
    private enum Expected {
        READY,
        NOT_READY,
        ANYTHING
    }

    private final SoakPlan plan;
    private final SoakProcess.Program program;
    private final Path folder;
    private final SoakConfiguration configuration;
    private final SoakJudge judge = new SoakJudge();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<SoakProcess> processes = new ArrayList<>();
    private final Thread shutdownHook = new Thread(() -> processes.forEach(SoakProcess::kill), "kill processes");
    private final SoakClients clients;
    private FakeBoxes boxes;
    private volatile SoakProcess current;
    private volatile Expected expected = Expected.ANYTHING;
    private volatile boolean ended;
    private int peakMemoryMb;
    private int idleDescriptors;

    SoakRun(SoakPlan plan, SoakProcess.Program program, Path folder) throws IOException {
        this.plan = plan;
        this.program = program;
        this.folder = Files.createDirectories(folder.toAbsolutePath());
        this.configuration = new SoakConfiguration(this.folder);
        this.clients = new SoakClients(
                group.next(),
                configuration.clientAddress(),
                judge,
                plan.seed(),
                plan.crowd() ? CROWD_MEAN_INTERVAL_MS : MEAN_INTERVAL_MS);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Plays the plan and returns what was found. */
    SoakJudge run() throws IOException, InterruptedException {
        startPeers();
        configuration.writeValid();
        current = start();
        awaitReady(current);
        if (current.isReady()) {
            idleDescriptors = current.descriptors();
            Thread monitor = new Thread(this::monitorHealth, "health");
            monitor.start();
            clients.start(plan.crowd() ? CROWD_CLIENTS : CLIENTS, plan.crowd() ? CROWD_BAD_CLIENTS : 0);
            if (plan.floods()) {
                new SoakFlood(
                                group.next(),
                                configuration.clientAddress(),
                                new SplittableRandom(plan.seed()),
                                clients::isStopped)
                        .start();
            }
            for (SoakPlan.Step step : plan.steps()) {
                pause(step.pauseMs());
                play(step);
            }
            finish();
            ended = true;
            monitor.join();
        }
        return judge;
    }

    private void startPeers() throws InterruptedException {
        boxes = new FakeBoxes(
                group, SoakConfiguration.UNSAFE_CLASS, HIT_MS, new double[FakeBoxes.Kind.values().length]);
        for (int i = 0; i < configuration.nodes().size(); i++) {
            boxes.listen(configuration.boxAddress(i), configuration.nodes().get(i));
        }
        FakeCommandChannel.listen(group, configuration.channelAddress(), 1);
        double[] dueMs = {judge.nowMs()};
        clients.loop()
                .scheduleAtFixedRate(
                        () -> {
                            judge.recordLateness(Math.max(0, judge.nowMs() - dueMs[0] - LATENESS_PERIOD_MS));
                            dueMs[0] = judge.nowMs();
                        },
                        LATENESS_PERIOD_MS,
                        LATENESS_PERIOD_MS,
                        TimeUnit.MILLISECONDS);
    }

    private SoakProcess start() throws IOException {
        SoakProcess process = new SoakProcess(
                program, folder, processes.size(), configuration.file(), configuration.adminAddress(processes.size()));
        processes.add(process);
        return process;
    }

    private void awaitReady(SoakProcess process) throws InterruptedException {
        double untilMs = judge.nowMs() + READY_MS;
        while (!process.isReady()) {
            if (!process.isAlive()) {
                judge.violation("the process ended while it started, exit code " + process.exitCode());
                return;
            }
            if (judge.nowMs() > untilMs) {
                judge.violation("not ready within " + READY_MS + " ms");
                return;
            }
            pause(POLL_MS);
        }
        expected = Expected.READY;
    }

    private void play(SoakPlan.Step step) throws IOException, InterruptedException {
        clients.setAddedClassUsed(false);
        judge.count("action " + step.action());
        InetSocketAddress depot = configuration.boxAddress(step.depot());
        switch (step.action()) {
            case RESTART -> restart(step);
            case UPGRADE -> upgrade(step);
            case QUIESCE -> quiesce();
            case RELOAD -> reload(step);
            case DEPOT_CLOSES -> boxes.closeConnections(depot);
            case DEPOT_RESETS -> boxes.resetConnections(depot);
            case DEPOT_SILENT -> {
                boxes.setSilent(depot, true);
                pause(SILENCE_MS);
                boxes.setSilent(depot, false);
            }
        }
    }

    /** The front sends new connections for a while after SIGTERM, and none until the next process is ready. */
    private void restart(SoakPlan.Step step) throws IOException, InterruptedException {
        SoakProcess old = current;
        expected = Expected.ANYTHING;
        terminate(old, step, CONNECTS_AFTER_TERM_MS);
        prepareStart();
        current = start();
        signalDuringStart(current, step);
        awaitReady(current);
        clients.setMayConnect(true);
    }

    /** The successor listens on the same address, so the front sends new connections all the time. */
    private void upgrade(SoakPlan.Step step) throws IOException, InterruptedException {
        SoakProcess old = current;
        prepareStart();
        SoakProcess successor = start();
        signalDuringStart(successor, step);
        expected = Expected.ANYTHING;
        awaitReady(successor);
        current = successor;
        pause(Math.min(UPGRADE_TERM_MS, step.pauseMs()));
        terminate(old, step, Integer.MAX_VALUE);
    }

    /** What is started reads a valid file. */
    private void prepareStart() throws IOException {
        configuration.writeValid();
    }

    private void signalDuringStart(SoakProcess process, SoakPlan.Step step) throws IOException, InterruptedException {
        while (!process.isStarted() && process.isAlive()) {
            pause(1);
        }
        for (int pauseMs : step.signalPausesMs()) {
            pause(pauseMs);
            process.signal("HUP");
        }
    }

    /** Sends SIGTERM and more signals after it, and SIGKILL at the earliest moment that the protocol allows. */
    private void terminate(SoakProcess process, SoakPlan.Step step, int connectsForMs)
            throws IOException, InterruptedException {
        process.signal("TERM");
        double termMs = judge.nowMs();
        clients.recordTerm();
        int next = 0;
        double nextSignalMs = termMs + step.signalPausesMs().get(0);
        while (process.isAlive() && judge.nowMs() - termMs < KILL_AFTER_TERM_MS) {
            if (judge.nowMs() - termMs >= connectsForMs) {
                clients.setMayConnect(false);
            }
            if (next < step.signalPausesMs().size() && judge.nowMs() >= nextSignalMs) {
                process.signal(step.validFiles().get(next) ? "TERM" : "HUP");
                next++;
                nextSignalMs += next < step.signalPausesMs().size()
                        ? step.signalPausesMs().get(next)
                        : 0;
            }
            pause(1);
        }
        if (connectsForMs < KILL_AFTER_TERM_MS) {
            clients.setMayConnect(false);
        }
        if (process.isAlive()) {
            clients.recordKill();
            process.kill();
            process.awaitExit(KILL_AFTER_TERM_MS);
            judge.count("ended by SIGKILL");
        } else if (process.exitCode() != SIGTERM_EXIT_CODE) {
            judge.violation("ended with exit code " + process.exitCode() + " after SIGTERM");
        }
    }

    private void quiesce() throws InterruptedException {
        expected = Expected.ANYTHING;
        requireSuccess("PUT", "/admin/quiesce");
        double fromMs = judge.nowMs();
        pause(CONNECTS_AFTER_QUIESCE_MS);
        clients.setMayConnect(false);
        expected = Expected.NOT_READY;
        pause((int) (QUIESCED_MS + judge.latenessMs() - (judge.nowMs() - fromMs)));
        int held = clients.connectionsHeldAfterQuiesce();
        if (held > 0) {
            judge.violation(held + " connections are held idle or with a recent request 4 s after a quiesce");
        }
        expected = Expected.ANYTHING;
        requireSuccess("PUT", "/admin/resume");
        double untilMs = judge.nowMs() + RESUME_MS + judge.latenessMs();
        while (!current.isReady() && judge.nowMs() < untilMs) {
            pause(POLL_MS);
        }
        if (judge.nowMs() >= untilMs) {
            judge.violation("not ready within 2 s of a resume");
        }
        expected = Expected.READY;
        clients.setMayConnect(true);
    }

    private void requireSuccess(String method, String path) {
        int status = current.call(method, path, SoakProcess.ADMIN_ANSWER_MS + (int) judge.latenessMs());
        if (status / 100 != 2) {
            judge.violation(method + " " + path + " got status " + status);
        }
    }

    private void reload(SoakPlan.Step step) throws IOException, InterruptedException {
        boolean lastValid = true;
        for (int i = 0; i < step.signalPausesMs().size(); i++) {
            pause(step.signalPausesMs().get(i));
            lastValid = step.validFiles().get(i);
            if (lastValid) {
                configuration.writeValid();
            } else {
                configuration.writeInvalid(step.depot() + i);
            }
            current.signal("HUP");
        }
        pause(RELOADED_MS);
        if (!current.isAlive()) {
            judge.violation("ended by a reload, exit code " + current.exitCode());
            return;
        }
        requireClass("files", true);
        requireClass(SoakConfiguration.PHANTOM_CLASS, false);
        if (lastValid && configuration.hasAddedClass()) {
            requireClass(SoakConfiguration.ADDED_CLASS, true);
            clients.setAddedClassUsed(true);
        }
    }

    /** Asserts that a request of a class is accepted, or else gets an application exception. */
    private void requireClass(String className, boolean accepted) {
        try (Socket socket = new Socket()) {
            socket.connect(configuration.clientAddress(), DEADLINE_MS);
            socket.setSoTimeout(2 * DEADLINE_MS);
            ByteBuf call = ThriftFrames.dispatch(1, SoakClients.fields(className, System.nanoTime(), DEADLINE_MS, 1));
            byte[] bytes = new byte[call.readableBytes()];
            call.readBytes(bytes);
            socket.getOutputStream().write(bytes);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] frame = new byte[in.readInt()];
            in.readFully(frame);
            ThriftFrames.Answer answer = ThriftFrames.readAnswer(Unpooled.wrappedBuffer(frame));
            if (accepted != (answer.outcome() != ThriftFrames.Outcome.EXCEPTION)) {
                judge.violation("class " + className + " after a reload: " + answer.outcome());
            }
        } catch (IOException e) {
            judge.violation("a request of class " + className + " after a reload got no answer: " + e);
        }
    }

    /** Checks what the administration address answers, and the process's memory, until the run ends. */
    private void monitorHealth() {
        while (!ended) {
            SoakProcess process = current;
            Expected before = expected;
            double startMs = judge.nowMs();
            int status = process.call("GET", "/admin/health", 2 * SoakProcess.ADMIN_ANSWER_MS);
            double tookMs = judge.nowMs() - startMs;
            if (before == expected && process == current && before != Expected.ANYTHING) {
                boolean ready = status / 100 == 2;
                if (tookMs > SoakProcess.ADMIN_ANSWER_MS + judge.latenessMs()) {
                    judge.violation(String.format("the health check took %.0f ms", tookMs));
                } else if (status == SoakProcess.NO_ANSWER || ready != (before == Expected.READY)) {
                    judge.violation("the health check got status " + status + ", expected " + before);
                }
            }
            peakMemoryMb = Math.max(peakMemoryMb, process.residentMb());
            pauseQuietly(HEALTH_INTERVAL_MS);
        }
    }

    /** Waits for the last answers, and checks what the run has left. */
    private void finish() throws IOException, InterruptedException {
        clients.stopSending();
        double untilMs = judge.nowMs() + LAST_ANSWERS_MS;
        while (clients.pendingRequests() > 0 && judge.nowMs() < untilMs) {
            pause(POLL_MS);
        }
        clients.close();
        pause(SILENCE_MS);
        int descriptors = current.descriptors();
        int depotDescriptors = SoakConfiguration.SOCKET_LIMIT / 3;
        if (descriptors > idleDescriptors + depotDescriptors) {
            judge.violation(
                    descriptors + " descriptors are open without clients, " + idleDescriptors + " at the start");
        }
        if (peakMemoryMb > SoakConfiguration.MEMORY_LIMIT_MB) {
            judge.violation(peakMemoryMb + " MB of memory, the limit is " + SoakConfiguration.MEMORY_LIMIT_MB);
        }
        if (!boxes.duplicateRuns().startsWith("0 ")) {
            judge.violation("requests that must not run twice did so: " + boxes.duplicateRuns());
        }
        expected = Expected.ANYTHING;
        current.signal("TERM");
        if (!current.awaitExit(KILL_AFTER_TERM_MS)) {
            judge.violation("still running at the earliest SIGKILL, without clients");
        }
    }

    /** Returns the lines that the processes have logged about a request. */
    List<String> trace(String requestId) throws IOException {
        List<String> lines = new ArrayList<>();
        for (SoakProcess process : processes) {
            lines.addAll(process.logLines("request=" + requestId));
        }
        return lines;
    }

    /** Returns by how much the event loops of the processes were late at most, after their starts. */
    int longestEventLoopLatenessMs() throws IOException {
        int longestMs = 0;
        for (SoakProcess process : processes) {
            longestMs = Math.max(longestMs, process.longestEventLoopLatenessMs());
        }
        return longestMs;
    }

    int peakMemoryMb() {
        return peakMemoryMb;
    }

    private static void pause(int ms) throws InterruptedException {
        if (ms > 0) {
            TimeUnit.MILLISECONDS.sleep(ms);
        }
    }

    private static void pauseQuietly(int ms) {
        try {
            pause(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        clients.close();
        processes.forEach(SoakProcess::kill);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        configuration.close();
    }
}
