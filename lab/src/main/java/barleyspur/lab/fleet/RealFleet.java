package barleyspur.lab.fleet;

import barleyspur.lab.ProcessSignal;
import barleyspur.lab.stand.FakeCommandChannel;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONTokener;

/**
 * Runs a schedule of faults on real processes of the built jar, which use addresses in 127.0.0.0/8. All are children of
 * this process, known by their handles, and are killed when the fleet is closed.
 */
final class RealFleet implements AutoCloseable {

    private static final int CLIENT_PORT = 7001;
    private static final int FLEET_PORT = 7101;
    private static final int ADMIN_PORT = 7201;
    private static final int RELAY_PORT = 7301;
    private static final int CHANNEL_PORT = 7401;
    private static final int HOSTS_PER_SUBNET = 250;
    private static final double NANOS_PER_MS = 1e6;
    private static final long POLL_INTERVAL_MS = 100;
    /** The interval between polls grows by one {@link #POLL_INTERVAL_MS} for each so many slots. */
    private static final int DOORMANS_PER_POLL_INTERVAL = 10;

    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(2);
    private static final double STARTUP_TIMEOUT_MS = 60_000;
    private static final double TRAFFIC_SAMPLE_MS = 1_000;
    /** The part of a log line that precedes the event of a process that has begun to serve. */
    private static final String SERVING_LOG_PREFIX = " node - ";

    /** The end of that line. */
    private static final String SERVING_LOG_SUFFIX = " serves";
    /** Gives each fleet of this process its own addresses. */
    private static final AtomicInteger CREATED_FLEETS = new AtomicInteger();

    /** A started doorman process. */
    private static final class DoormanProcess {
        final int number;
        final int slot;
        final String name;
        final Process process;
        final Path logFile;
        final Path settingsFile;
        final double clockOffsetMs;
        final int format;
        boolean frozen;
        boolean leaving;
        /** Whether it has logged that it serves. SIGHUP ends a JVM that is still starting, so reloads wait for this. */
        boolean serving;

        boolean reloadPending;
        long logBytesRead;
        String partialLine = "";
        Process throttleProcess;
        /** Processor time used before the fleet first settled; 0 where the process was started later. */
        double cpuSecondsWhenSettled;

        double cpuSeconds() {
            return process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1e3;
        }

        DoormanProcess(
                int number,
                int slot,
                String name,
                Process process,
                Path logFile,
                Path settingsFile,
                double clockOffsetMs,
                int format) {
            this.settingsFile = settingsFile;
            this.clockOffsetMs = clockOffsetMs;
            this.format = format;
            this.number = number;
            this.slot = slot;
            this.name = name;
            this.process = process;
            this.logFile = logFile;
        }
    }

    private final FaultSchedule schedule;
    private final MembershipMonitor monitor;
    private final Path jar;
    private final Path folder;
    private final Consumer<String> progress;
    private final String networkPrefix;
    private final DatagramRelays relays;
    private final InetSocketAddress channelAddress;
    private final HttpClient httpClient =
            HttpClient.newBuilder().connectTimeout(HTTP_TIMEOUT).build();
    private final DoormanProcess[] doormanBySlot;
    private final List<DoormanProcess> allDoormans = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private UnaryOperator<JSONObject> configurationTransform = json -> json;
    /** Pairs of the seconds since the start and the bytes per second and member since the sample before. */
    private final List<double[]> trafficSamples = new ArrayList<>();
    /** A fault and the time of its injection, from the start of the run. */
    record InjectedFault(double timeMs, Fault fault) {}

    private final List<InjectedFault> injected = new ArrayList<>();
    private double lastSampleMs;
    private long lastSampleBytes;
    private double firstSettledMs;
    /** Blocks of each process's settings file beside the block of its fleet. */
    private String budgetSettings = "";

    private BudgetMonitor budgetMonitor;
    private Runnable periodicTask;
    private double taskPeriodMs;
    private double lastTaskRunMs;
    private final Thread shutdownHook = new Thread(this::killAll, "kill child processes");

    /** Creates a fleet and its relays; {@link #run} starts the processes. */
    RealFleet(FaultSchedule schedule, MembershipMonitor monitor, Path jar, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        this.schedule = schedule;
        this.monitor = monitor;
        this.jar = jar.toAbsolutePath();
        this.folder = folder.toAbsolutePath();
        this.progress = progress;
        this.networkPrefix =
                "127." + (20 + (ProcessHandle.current().pid() + CREATED_FLEETS.getAndIncrement()) % 200) + ".";
        this.doormanBySlot = new DoormanProcess[schedule.slotCount()];
        Files.createDirectories(folder);
        Path keyFile = folder.resolve("fleet.key");
        Files.writeString(keyFile, "Lab0key1That2Nobody3Else4Should5Have6In7Use8\n");
        Files.setPosixFilePermissions(keyFile, PosixFilePermissions.fromString("rw-------"));
        List<InetSocketAddress> relayAddresses = new ArrayList<>();
        List<InetSocketAddress> doormanAddresses = new ArrayList<>();
        for (int slot = 0; slot < schedule.slotCount(); slot++) {
            relayAddresses.add(new InetSocketAddress(hostAddress(slot), RELAY_PORT));
            doormanAddresses.add(new InetSocketAddress(hostAddress(slot), FLEET_PORT));
        }
        // Kills the children also when a signal ends this process.
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        relays = new DatagramRelays(
                new LinkFaults(schedule.slotCount(), schedule.randomSeed() + 1), relayAddresses, doormanAddresses);
        channelAddress = new InetSocketAddress(networkPrefix + "251.1", CHANNEL_PORT);
        FakeCommandChannel.listen(relays.eventLoopGroup(), channelAddress, 0);
    }

    private String hostAddress(int slot) {
        return networkPrefix + slot / HOSTS_PER_SUBNET + "." + (slot % HOSTS_PER_SUBNET + 1);
    }

    /** Returns the time since the creation of this fleet. */
    double nowMs() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    /** Sets a function that changes the configuration of each process before it is written. */
    void setConfigurationTransform(UnaryOperator<JSONObject> transform) {
        configurationTransform = transform;
    }

    /** Adds budgets: the settings of each started process contain these blocks, and the monitor gets its log events. */
    void enableBudgets(String settingsBlocks, BudgetMonitor monitor) {
        budgetSettings = settingsBlocks;
        budgetMonitor = monitor;
    }

    /** Returns the advertised addresses of the doormans by slot. These are the relays' addresses. */
    List<String> advertisedAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int slot = 0; slot < schedule.slotCount(); slot++) {
            addresses.add(hostAddress(slot) + ":" + RELAY_PORT);
        }
        return addresses;
    }

    /** Returns the address at which the doorman of a slot listens for clients. */
    InetSocketAddress clientAddress(int slot) {
        return new InetSocketAddress(hostAddress(slot), CLIENT_PORT);
    }

    /** Sets a task that is run periodically during the run. */
    void setPeriodicTask(long periodMs, Runnable task) {
        taskPeriodMs = periodMs;
        periodicTask = task;
    }

    /** Returns the number of members in each doorman's view by slot, or "-" where no doorman answers. */
    List<String> viewSizes() {
        List<String> sizes = new ArrayList<>();
        Map<DoormanProcess, JSONObject> views = fetchViews();
        for (DoormanProcess doorman : doormanBySlot) {
            JSONObject view = doorman == null ? null : views.get(doorman);
            sizes.add(view == null ? "-" : String.valueOf(view.getLong("size")));
        }
        return sizes;
    }

    /** Runs the whole schedule. Returns the settle times in ms, of each step that awaits settling and of the end. */
    List<Double> run() throws IOException, InterruptedException {
        List<Double> settleTimesMs = new ArrayList<>();
        for (int i = 0; i < schedule.initialDoormans(); i++) {
            startDoorman(i, "", 0, 2);
        }
        for (FaultSchedule.Step step : schedule.steps()) {
            if (step.awaitSettled()) {
                settleTimesMs.add(awaitSettled());
            }
            if (firstSettledMs == 0) {
                firstSettledMs = nowMs();
                for (DoormanProcess doorman : allDoormans) {
                    doorman.cpuSecondsWhenSettled = doorman.cpuSeconds();
                }
            }
            pause(step.delayMs());
            progress.accept(String.format("%7.1f s  %s", nowMs() / 1e3, step.fault()));
            apply(step.fault());
        }
        settleTimesMs.add(awaitSettled());
        return settleTimesMs;
    }

    /** Waits, and polls the processes meanwhile. */
    void pause(double durationMs) throws IOException, InterruptedException {
        double untilMs = nowMs() + durationMs;
        for (double leftMs = durationMs; leftMs > 0; leftMs = untilMs - nowMs()) {
            Thread.sleep(Math.max(1, Math.min(POLL_INTERVAL_MS, (long) leftMs)));
            poll();
        }
    }

    /** Waits until the views in every connected component agree. Returns the time in ms that took, or infinity. */
    private double awaitSettled() throws IOException, InterruptedException {
        double fromMs = nowMs();
        double timeoutMs = schedule.settleTimeoutMs() + (fromMs < STARTUP_TIMEOUT_MS / 2 ? STARTUP_TIMEOUT_MS : 0);
        while (true) {
            String reason = unsettledReason();
            poll();
            double elapsedMs = nowMs() - fromMs;
            if (reason == null) {
                progress.accept(String.format("%7.1f s  settled after %.1f s", nowMs() / 1e3, elapsedMs / 1e3));
                return elapsedMs;
            }
            if (elapsedMs > timeoutMs) {
                monitor.addViolation(
                        "not settled: " + reason + " " + Math.round(elapsedMs) + " ms after the last step");
                return Double.POSITIVE_INFINITY;
            }
            // Polling must not keep the doormans from answering one another.
            Thread.sleep(POLL_INTERVAL_MS + POLL_INTERVAL_MS * schedule.slotCount() / DOORMANS_PER_POLL_INTERVAL);
        }
    }

    private void startDoorman(int slot, String givenName, double clockOffsetMs, int format) throws IOException {
        if (doormanBySlot[slot] != null && doormanBySlot[slot].process.isAlive()) {
            return;
        }
        String name = givenName.isEmpty() ? "d" + (slot + 1) : givenName;
        int number = allDoormans.size();
        Path directory = folder.resolve("p" + number + "-" + name);
        Files.createDirectories(directory);
        Path configFile = directory.resolve("config.json");
        Files.writeString(configFile, configuration(slot, name, number).toString(2));
        Path settingsFile = directory.resolve("settings.hcl");
        Files.writeString(settingsFile, settingsText(slot, clockOffsetMs, format));
        Path logFile = directory.resolve("log");
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:ActiveProcessorCount=1",
                "-Xshare:auto",
                "-Xms24m",
                "-Xmx64m",
                "-Xss512k",
                "-XX:-UsePerfData",
                "-Djava.net.preferIPv4Stack=true",
                "-Dio.netty.jfr.enabled=false",
                "-Dorg.slf4j.simpleLogger.log.fleet=debug",
                "-Dorg.slf4j.simpleLogger.log.budget=debug",
                "-jar",
                jar.toString(),
                "serve",
                "--settings",
                settingsFile.toString());
        builder.environment().put("RELAY_CONFIG", configFile.toString());
        builder.environment().put("TMPDIR", directory.toString());
        builder.redirectErrorStream(true).redirectOutput(logFile.toFile());
        synchronized (this) {
            DoormanProcess doorman = new DoormanProcess(
                    number, slot, name, builder.start(), logFile, settingsFile, clockOffsetMs, format);
            allDoormans.add(doorman);
            doormanBySlot[slot] = doorman;
        }
    }

    private JSONObject configuration(int slot, String name, int number) {
        JSONObject json = new JSONObject(
                        new JSONTokener(RealFleet.class.getResourceAsStream("/barleyspur/rehearsal.json")))
                .put("channel", channelAddress.getHostString() + ":" + CHANNEL_PORT);
        return configurationTransform
                .apply(json)
                .put("name", name)
                .put("listen", hostAddress(slot) + ":" + CLIENT_PORT)
                .put("mgmt", hostAddress(slot) + ":" + ADMIN_PORT)
                .put("seed", Long.toHexString(schedule.randomSeed() * 1_000 + number));
    }

    private String settingsText(int slot, double clockOffsetMs, int format) {
        StringBuilder seeds = new StringBuilder();
        for (int seedSlot : schedule.seedSlots()) {
            if (seedSlot != slot) {
                seeds.append(seeds.isEmpty() ? "" : ", ")
                        .append('"')
                        .append(hostAddress(seedSlot))
                        .append(':')
                        .append(RELAY_PORT)
                        .append('"');
            }
        }
        return "fleet \"lab\" {\n  listen = \"" + hostAddress(slot) + ":" + FLEET_PORT + "\"\n  advertise = \""
                + hostAddress(slot) + ":"
                + RELAY_PORT + "\"\n  seeds = [" + seeds + "]\n  key_file = \"" + folder.resolve("fleet.key")
                + "\"\n  period = \"" + Math.round(schedule.protocolPeriodMs()) + "ms\"\n  clock_offset = \""
                + Math.round(clockOffsetMs) + "ms\"\n  format = " + format + "\n}\n" + budgetSettings;
    }

    private void apply(Fault fault) throws IOException {
        injected.add(new InjectedFault(nowMs(), fault));
        if (fault instanceof Fault.Kill kill) {
            for (DoormanProcess doorman : runningDoormans(kill.slots())) {
                doorman.process.destroyForcibly();
                removeFromSlot(doorman);
            }
        } else if (fault instanceof Fault.Freeze freeze) {
            for (DoormanProcess doorman : runningDoormans(freeze.slots())) {
                doorman.frozen = true;
                ProcessSignal.send(doorman.process, "STOP");
            }
        } else if (fault instanceof Fault.Thaw thaw) {
            for (DoormanProcess doorman : runningDoormans(thaw.slots())) {
                ProcessSignal.send(doorman.process, "CONT");
                doorman.frozen = false;
            }
        } else if (fault instanceof Fault.Term term) {
            for (DoormanProcess doorman : runningDoormans(term.slots())) {
                doorman.leaving = true;
                doorman.process.destroy();
            }
        } else if (fault instanceof Fault.Quiesce quiesce) {
            for (DoormanProcess doorman : runningDoormans(quiesce.slots())) {
                httpClient
                        .sendAsync(
                                HttpRequest.newBuilder(URI.create("http://" + hostAddress(doorman.slot) + ":"
                                                + ADMIN_PORT + "/admin/" + (quiesce.on() ? "quiesce" : "resume")))
                                        .timeout(HTTP_TIMEOUT)
                                        .PUT(HttpRequest.BodyPublishers.noBody())
                                        .build(),
                                HttpResponse.BodyHandlers.discarding())
                        .join();
            }
        } else if (fault instanceof Fault.Start start) {
            for (int slot : start.slots()) {
                startDoorman(slot, start.name(), start.clockMs(), start.format());
            }
        } else if (fault instanceof Fault.Whole capacityChange) {
            budgetSettings = budgetSettings.replaceAll(
                    "(budget \"" + capacityChange.budget() + "\" \\{[^}]*whole = )[0-9]+",
                    "$1" + capacityChange.whole());
            for (DoormanProcess doorman : allDoormans) {
                if (doorman.process.isAlive()) {
                    Files.writeString(
                            doorman.settingsFile, settingsText(doorman.slot, doorman.clockOffsetMs, doorman.format));
                    reloadWhenServing(doorman);
                }
            }
        } else if (fault instanceof Fault.Starve starvation) {
            for (DoormanProcess doorman : runningDoormans(starvation.slots())) {
                throttleCpu(doorman, starvation.share());
            }
        } else {
            relays.apply(fault);
        }
    }

    /** Limits a process to a share of a core by SIGSTOP and SIGCONT in cycles of 100 ms. */
    private void throttleCpu(DoormanProcess doorman, double share) throws IOException {
        if (doorman.throttleProcess != null) {
            doorman.throttleProcess.destroyForcibly();
            doorman.throttleProcess = null;
        }
        if (share < 1) {
            doorman.throttleProcess = new ProcessBuilder(
                            "sh",
                            "-c",
                            String.format(
                                    java.util.Locale.ROOT,
                                    "while kill -STOP %1$d 2>/dev/null; do sleep %2$.3f; "
                                            + "kill -CONT %1$d 2>/dev/null; sleep %3$.3f; done",
                                    doorman.process.pid(),
                                    0.1 * (1 - share),
                                    0.1 * share))
                    .start();
        } else {
            ProcessSignal.send(doorman.process, "CONT");
        }
    }

    private static void reloadWhenServing(DoormanProcess doorman) throws IOException {
        if (doorman.serving) {
            ProcessSignal.send(doorman.process, "HUP");
        }
        doorman.reloadPending = !doorman.serving;
    }

    private void removeFromSlot(DoormanProcess doorman) {
        if (doormanBySlot[doorman.slot] == doorman) {
            doormanBySlot[doorman.slot] = null;
        }
    }

    private List<DoormanProcess> runningDoormans(Set<Integer> slots) {
        List<DoormanProcess> found = new ArrayList<>();
        for (int slot : slots) {
            if (doormanBySlot[slot] != null && doormanBySlot[slot].process.isAlive()) {
                found.add(doormanBySlot[slot]);
            }
        }
        return found;
    }

    // ---- Logs and views of the processes ---------------------------------------------------------------

    private void poll() throws IOException {
        if (nowMs() - lastSampleMs >= TRAFFIC_SAMPLE_MS) {
            long sent = relays.sentBytes();
            double seconds = (nowMs() - lastSampleMs) / 1e3;
            trafficSamples.add(
                    new double[] {nowMs() / 1e3, (sent - lastSampleBytes) / seconds / schedule.initialDoormans()});
            lastSampleMs = nowMs();
            lastSampleBytes = sent;
        }
        if (periodicTask != null && nowMs() - lastTaskRunMs >= taskPeriodMs) {
            lastTaskRunMs = nowMs();
            periodicTask.run();
        }
        for (DoormanProcess doorman : allDoormans) {
            try (RandomAccessFile file = new RandomAccessFile(doorman.logFile.toFile(), "r")) {
                if (file.length() > doorman.logBytesRead) {
                    byte[] newBytes = new byte[(int) (file.length() - doorman.logBytesRead)];
                    file.seek(doorman.logBytesRead);
                    file.readFully(newBytes);
                    doorman.logBytesRead += newBytes.length;
                    String text = doorman.partialLine + new String(newBytes, StandardCharsets.UTF_8);
                    int end = text.lastIndexOf('\n') + 1;
                    doorman.partialLine = text.substring(end);
                    text.substring(0, end).lines().forEach(line -> parseLogLine(doorman, line));
                }
            }
            if (doorman.reloadPending) {
                reloadWhenServing(doorman);
            }
            if (!doorman.process.isAlive() && doormanBySlot[doorman.slot] == doorman) {
                if (!doorman.leaving) {
                    monitor.addViolation(
                            "process " + doorman.number + " (" + doorman.name + ") exited unexpectedly with code "
                                    + doorman.process.exitValue() + ": see " + doorman.logFile);
                }
                removeFromSlot(doorman);
            }
        }
    }

    /** Reads a line of the loggers {@code fleet} and {@code budget}: keys with values, then the text of the event. */
    private void parseLogLine(DoormanProcess doorman, String line) {
        if (line.contains(SERVING_LOG_PREFIX) && line.endsWith(SERVING_LOG_SUFFIX)) {
            doorman.serving = true;
            return;
        }
        int budgetPrefix = line.indexOf(" budget - mono=");
        int fleetPrefix = line.indexOf(" fleet - mono=");
        if (fleetPrefix < 0 && budgetPrefix < 0) {
            return;
        }
        Map<String, String> keys = new HashMap<>();
        StringBuilder event = new StringBuilder();
        for (String token : line.substring(
                        line.indexOf(" - mono=", Math.max(fleetPrefix, budgetPrefix)) + " - ".length())
                .split(" ")) {
            int equals = token.indexOf('=');
            if (equals > 0) {
                keys.put(token.substring(0, equals), token.substring(equals + 1));
            } else {
                event.append(event.isEmpty() ? "" : " ").append(token);
            }
        }
        if (fleetPrefix < 0) {
            if (budgetMonitor != null) {
                budgetMonitor.onLogEvent(
                        doorman.number, doorman.slot, event.toString(), keys, startNanos / NANOS_PER_MS);
            }
            return;
        }
        String kind =
                switch (event.toString()) {
                    case "member joined" -> "Joined";
                    case "member updated" -> "Updated";
                    case "member lost" -> "Lost";
                    case "name given up", "name taken back" -> "Name";
                    default -> "Doubt";
                };
        monitor.onChange(new MembershipMonitor.ReportedChange(
                Double.parseDouble(keys.get("mono")) - startNanos / NANOS_PER_MS,
                doorman.number,
                doorman.slot,
                kind,
                Long.parseLong(keys.get("version")),
                keys.get("member"),
                number(keys, "life"),
                number(keys, "nonce"),
                number(keys, "incarnation"),
                keys.getOrDefault("standing", ""),
                keys.getOrDefault("why", "")));
    }

    private static long number(Map<String, String> keys, String key) {
        return Long.parseLong(keys.getOrDefault(key, "0"));
    }

    private Map<DoormanProcess, JSONObject> fetchViews() {
        Map<DoormanProcess, CompletableFuture<JSONObject>> responses = new HashMap<>();
        for (DoormanProcess doorman : doormanBySlot) {
            if (doorman != null && !doorman.frozen && !doorman.leaving) {
                responses.put(
                        doorman,
                        httpClient
                                .sendAsync(
                                        HttpRequest.newBuilder(URI.create("http://" + hostAddress(doorman.slot) + ":"
                                                        + ADMIN_PORT + "/admin/fleet"))
                                                .timeout(HTTP_TIMEOUT)
                                                .build(),
                                        HttpResponse.BodyHandlers.ofString())
                                .thenApply(answer -> new JSONObject(answer.body())));
            }
        }
        Map<DoormanProcess, JSONObject> views = new HashMap<>();
        responses.forEach((doorman, view) -> {
            try {
                views.put(doorman, view.get(HTTP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
            } catch (ExecutionException | java.util.concurrent.TimeoutException | JSONException e) {
                views.put(doorman, null);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return views;
    }

    /** Returns null where the views in every connected component agree, or else the first difference. */
    private String unsettledReason() throws InterruptedException {
        Map<DoormanProcess, JSONObject> views = fetchViews();
        Set<Integer> upSlots = new TreeSet<>();
        for (DoormanProcess doorman : doormanBySlot) {
            if (doorman != null && doorman.leaving) {
                return doorman.name + " is leaving";
            }
            if (doorman != null && !doorman.frozen) {
                upSlots.add(doorman.slot);
                if (views.get(doorman) == null) {
                    return doorman.name + " doesn't answer";
                }
            }
        }
        try {
            for (Set<Integer> component : relays.connectedComponents(upSlots)) {
                String reason = unsettledReason(component, views);
                if (reason != null) {
                    return reason;
                }
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        return null;
    }

    private String unsettledReason(Set<Integer> component, Map<DoormanProcess, JSONObject> views) {
        TreeMap<String, JSONObject> viewByName = new TreeMap<>();
        for (int slot : component) {
            JSONObject view = views.get(doormanBySlot[slot]);
            if (!view.getBoolean("name_given_up")) {
                viewByName.put(doormanBySlot[slot].name, view);
            }
        }
        Set<String> names = new TreeSet<>();
        component.forEach(slot -> names.add(doormanBySlot[slot].name));
        String digest = null;
        for (Map.Entry<String, JSONObject> entry : viewByName.entrySet()) {
            JSONObject view = entry.getValue();
            Set<String> listedNames = new TreeSet<>();
            for (Object item : view.getJSONArray("members")) {
                JSONObject member = (JSONObject) item;
                if (member.getBoolean("listed")) {
                    listedNames.add(member.getString("name"));
                }
            }
            if (view.getBoolean("in_doubt")) {
                return entry.getKey() + " is in doubt";
            }
            digest = digest == null ? view.getString("digest") : digest;
            if (!listedNames.equals(names) || !digest.equals(view.getString("digest"))) {
                return entry.getKey() + " sees " + listedNames + " of " + names + ", digest " + view.getString("digest")
                        + " against " + digest;
            }
        }
        return viewByName.keySet().equals(names)
                ? null
                : "of " + names + " only " + viewByName.keySet() + " hold their names";
    }

    /** Returns the faults injected so far. */
    List<InjectedFault> injectedFaults() {
        return List.copyOf(injected);
    }

    /** Returns pairs of the seconds since the start and the bytes per second and member in the second before. */
    List<double[]> trafficSamples() {
        return trafficSamples;
    }

    /**
     * Describes the average use of a core since the fleet first settled, and the average memory, per running process.
     */
    String resourceUsage() throws IOException {
        int count = 0;
        double kilobytes = 0;
        double cpuSeconds = 0;
        for (DoormanProcess doorman : doormanBySlot) {
            if (doorman != null && doorman.process.isAlive()) {
                count++;
                cpuSeconds += doorman.cpuSeconds() - doorman.cpuSecondsWhenSettled;
                for (String line : Files.readAllLines(Path.of("/proc/" + doorman.process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        kilobytes += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                    }
                }
            }
        }
        return String.format(
                java.util.Locale.ROOT,
                "%d processes, on average %.2f%% of a core over %.0f s and %.1f MB",
                count,
                100 * cpuSeconds / ((nowMs() - firstSettledMs) / 1e3) / Math.max(1, count),
                (nowMs() - firstSettledMs) / 1e3,
                kilobytes / 1024 / Math.max(1, count));
    }

    private synchronized void killAll() {
        for (DoormanProcess doorman : allDoormans) {
            doorman.leaving = true;
            if (doorman.throttleProcess != null) {
                doorman.throttleProcess.destroyForcibly();
            }
            doorman.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            killAll();
            for (DoormanProcess doorman : allDoormans) {
                doorman.process.waitFor(10, TimeUnit.SECONDS);
            }
            poll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } finally {
            relays.close();
        }
    }
}
