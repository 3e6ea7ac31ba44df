package barleyspur.lab.fleet;

import barleyspur.lab.ProcessSignal;
import barleyspur.lab.stand.StandChannel;
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
 * Plays a schedule on real processes of the built jar, on 127.0.0.0/8. All are children of this process, known by their
 * handles, and are ended when it closes.
 */
final class RealFleet implements AutoCloseable {

    private static final int CLIENTS = 7001;
    private static final int FLEET = 7101;
    private static final int SECOND = 7201;
    private static final int RELAY = 7301;
    private static final int CHANNEL = 7401;
    private static final int HOSTS = 250;
    private static final double NANOS_PER_MS = 1e6;
    private static final long LOOK_MS = 100;
    private static final int LOOKED_AT = 10;
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final double READY_MS = 60_000;
    private static final double SAMPLE_MS = 1_000;
    /** How a process says that it serves. */
    private static final String SERVES_LOGGER = " node - ";

    private static final String SERVES_EVENT = " serves";
    /** So that two fleets of this process have addresses of their own. */
    private static final AtomicInteger FLEETS = new AtomicInteger();

    /** A process that was started. */
    private static final class DoormanProcess {
        final int number;
        final int slot;
        final String name;
        final Process process;
        final Path log;
        final Path settings;
        final double clockMs;
        final int format;
        boolean frozen;
        boolean leaving;
        /** It has said that it serves. A JVM that still starts is ended by SIGHUP, so reloads wait for this. */
        boolean serves;

        boolean reloadPending;
        long read;
        String rest = "";
        Process starver;
        /** The processor time it had taken when the fleet first settled: 0 where it was started later. */
        double calmCpu;

        double cpuSeconds() {
            return process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1e3;
        }

        DoormanProcess(
                int number,
                int slot,
                String name,
                Process process,
                Path log,
                Path settings,
                double clockMs,
                int format) {
            this.settings = settings;
            this.clockMs = clockMs;
            this.format = format;
            this.number = number;
            this.slot = slot;
            this.name = name;
            this.process = process;
            this.log = log;
        }
    }

    private final FaultSchedule schedule;
    private final MembershipMonitor watch;
    private final Path jar;
    private final Path folder;
    private final Consumer<String> progress;
    private final String network;
    private final DatagramRelays relays;
    private final InetSocketAddress channel;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(PATIENCE).build();
    private final DoormanProcess[] running;
    private final List<DoormanProcess> all = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private UnaryOperator<JSONObject> configure = json -> json;
    /** Seconds from the start, and bytes a second that a member sent since the sample before. */
    private final List<double[]> traffic = new ArrayList<>();
    /** A fault and when it was. */
    record InjectedFault(double atMs, Fault fault) {}

    private final List<InjectedFault> struck = new ArrayList<>();
    private double sampledMs;
    private long sampledBytes;
    private double calmFromMs;
    /** What stands in each process's own settings beside its fleet. */
    private String more = "";

    private BudgetMonitor budgets;
    private Runnable every;
    private double everyMs;
    private double everyDoneMs;
    private final Thread hook = new Thread(this::end, "end children");

    RealFleet(FaultSchedule schedule, MembershipMonitor watch, Path jar, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        this.schedule = schedule;
        this.watch = watch;
        this.jar = jar.toAbsolutePath();
        this.folder = folder.toAbsolutePath();
        this.progress = progress;
        this.network = "127." + (20 + (ProcessHandle.current().pid() + FLEETS.getAndIncrement()) % 200) + ".";
        this.running = new DoormanProcess[schedule.slotCount()];
        Files.createDirectories(folder);
        Path key = folder.resolve("fleet.key");
        Files.writeString(key, "Lab0key1That2Nobody3Else4Should5Have6In7Use8\n");
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
        List<InetSocketAddress> fronts = new ArrayList<>();
        List<InetSocketAddress> behind = new ArrayList<>();
        for (int slot = 0; slot < schedule.slotCount(); slot++) {
            fronts.add(new InetSocketAddress(host(slot), RELAY));
            behind.add(new InetSocketAddress(host(slot), FLEET));
        }
        // Also when this process is ended by a signal, its children are.
        Runtime.getRuntime().addShutdownHook(hook);
        relays = new DatagramRelays(new LinkFaults(schedule.slotCount(), schedule.randomSeed() + 1), fronts, behind);
        channel = new InetSocketAddress(network + "251.1", CHANNEL);
        StandChannel.listen(relays.eventLoopGroup(), channel, 0);
    }

    private String host(int slot) {
        return network + slot / HOSTS + "." + (slot % HOSTS + 1);
    }

    double nowMs() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    /** Changes what each process is configured with. */
    void configure(UnaryOperator<JSONObject> how) {
        configure = how;
    }

    /** Divides budgets as well; whoever starts has these blocks in its settings. */
    void budgets(String blocks, BudgetMonitor watcher) {
        more = blocks;
        budgets = watcher;
    }

    /** Addresses by which others know the doormans, by slot. */
    List<String> advertised() {
        List<String> addresses = new ArrayList<>();
        for (int slot = 0; slot < schedule.slotCount(); slot++) {
            addresses.add(host(slot) + ":" + RELAY);
        }
        return addresses;
    }

    /** Where clients find the doorman of a slot. */
    InetSocketAddress front(int slot) {
        return new InetSocketAddress(host(slot), CLIENTS);
    }

    /** Does this by and by while the schedule is played. */
    void every(long ms, Runnable what) {
        everyMs = ms;
        every = what;
    }

    /** How many members each doorman's view has, by slot; - where none answers. */
    List<String> sizes() {
        List<String> sizes = new ArrayList<>();
        Map<DoormanProcess, JSONObject> views = views();
        for (DoormanProcess d : running) {
            JSONObject view = d == null ? null : views.get(d);
            sizes.add(view == null ? "-" : String.valueOf(view.getLong("size")));
        }
        return sizes;
    }

    /** Plays the whole schedule; the times in ms that it took to settle where it says so, and at the end. */
    List<Double> play() throws IOException, InterruptedException {
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < schedule.initialDoormans(); i++) {
            start(i, "", 0, 2);
        }
        for (FaultSchedule.Step step : schedule.steps()) {
            if (step.awaitSettled()) {
                times.add(settle());
            }
            if (calmFromMs == 0) {
                calmFromMs = nowMs();
                for (DoormanProcess d : all) {
                    d.calmCpu = d.cpuSeconds();
                }
            }
            pause(step.delayMs());
            progress.accept(String.format("%7.1f s  %s", nowMs() / 1e3, step.fault()));
            apply(step.fault());
        }
        times.add(settle());
        return times;
    }

    /** Lets that time pass. */
    void pause(double ms) throws IOException, InterruptedException {
        double until = nowMs() + ms;
        for (double left = ms; left > 0; left = until - nowMs()) {
            Thread.sleep(Math.max(1, Math.min(LOOK_MS, (long) left)));
            read();
        }
    }

    /** Waits until every component has settled on itself; the time in ms that took, or infinity. */
    private double settle() throws IOException, InterruptedException {
        double from = nowMs();
        double bound = schedule.settleTimeoutMs() + (from < READY_MS / 2 ? READY_MS : 0);
        while (true) {
            String why = settled();
            read();
            double took = nowMs() - from;
            if (why == null) {
                progress.accept(String.format("%7.1f s  settled after %.1f s", nowMs() / 1e3, took / 1e3));
                return took;
            }
            if (took > bound) {
                watch.broken("settles: " + why + " " + Math.round(took) + " ms after the last step");
                return Double.POSITIVE_INFINITY;
            }
            // Looking must not keep the doormans from answering one another.
            Thread.sleep(LOOK_MS + LOOK_MS * schedule.slotCount() / LOOKED_AT);
        }
    }

    private void start(int slot, String as, double clockMs, int format) throws IOException {
        if (running[slot] != null && running[slot].process.isAlive()) {
            return;
        }
        String name = as.isEmpty() ? "d" + (slot + 1) : as;
        int number = all.size();
        Path own = folder.resolve("p" + number + "-" + name);
        Files.createDirectories(own);
        Path config = own.resolve("config.json");
        Files.writeString(config, configuration(slot, name, number).toString(2));
        Path settings = own.resolve("settings.hcl");
        Files.writeString(settings, settings(slot, clockMs, format));
        Path log = own.resolve("log");
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
                settings.toString());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", own.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        synchronized (this) {
            DoormanProcess d = new DoormanProcess(number, slot, name, builder.start(), log, settings, clockMs, format);
            all.add(d);
            running[slot] = d;
        }
    }

    private JSONObject configuration(int slot, String name, int number) {
        JSONObject json = new JSONObject(
                        new JSONTokener(RealFleet.class.getResourceAsStream("/barleyspur/rehearsal.json")))
                .put("channel", channel.getHostString() + ":" + CHANNEL);
        return configure
                .apply(json)
                .put("name", name)
                .put("listen", host(slot) + ":" + CLIENTS)
                .put("mgmt", host(slot) + ":" + SECOND)
                .put("seed", Long.toHexString(schedule.randomSeed() * 1_000 + number));
    }

    private String settings(int slot, double clockMs, int format) {
        StringBuilder seeds = new StringBuilder();
        for (int s : schedule.seedSlots()) {
            if (s != slot) {
                seeds.append(seeds.isEmpty() ? "" : ", ")
                        .append('"')
                        .append(host(s))
                        .append(':')
                        .append(RELAY)
                        .append('"');
            }
        }
        return "fleet \"lab\" {\n  listen = \"" + host(slot) + ":" + FLEET + "\"\n  advertise = \"" + host(slot) + ":"
                + RELAY + "\"\n  seeds = [" + seeds + "]\n  key_file = \"" + folder.resolve("fleet.key")
                + "\"\n  period = \"" + Math.round(schedule.protocolPeriodMs()) + "ms\"\n  clock_offset = \""
                + Math.round(clockMs) + "ms\"\n  format = " + format + "\n}\n" + more;
    }

    private void apply(Fault fault) throws IOException {
        struck.add(new InjectedFault(nowMs(), fault));
        if (fault instanceof Fault.Kill f) {
            for (DoormanProcess d : each(f.slots())) {
                d.process.destroyForcibly();
                gone(d);
            }
        } else if (fault instanceof Fault.Freeze f) {
            for (DoormanProcess d : each(f.slots())) {
                d.frozen = true;
                ProcessSignal.send(d.process, "STOP");
            }
        } else if (fault instanceof Fault.Thaw f) {
            for (DoormanProcess d : each(f.slots())) {
                ProcessSignal.send(d.process, "CONT");
                d.frozen = false;
            }
        } else if (fault instanceof Fault.Term f) {
            for (DoormanProcess d : each(f.slots())) {
                d.leaving = true;
                d.process.destroy();
            }
        } else if (fault instanceof Fault.Quiesce f) {
            for (DoormanProcess d : each(f.slots())) {
                client.sendAsync(
                                HttpRequest.newBuilder(URI.create("http://" + host(d.slot) + ":" + SECOND + "/admin/"
                                                + (f.on() ? "quiesce" : "resume")))
                                        .timeout(PATIENCE)
                                        .PUT(HttpRequest.BodyPublishers.noBody())
                                        .build(),
                                HttpResponse.BodyHandlers.discarding())
                        .join();
            }
        } else if (fault instanceof Fault.Start f) {
            for (int slot : f.slots()) {
                start(slot, f.name(), f.clockMs(), f.format());
            }
        } else if (fault instanceof Fault.Whole f) {
            more = more.replaceAll("(budget \"" + f.budget() + "\" \\{[^}]*whole = )[0-9]+", "$1" + f.whole());
            for (DoormanProcess d : all) {
                if (d.process.isAlive()) {
                    Files.writeString(d.settings, settings(d.slot, d.clockMs, d.format));
                    reloadOnceItServes(d);
                }
            }
        } else if (fault instanceof Fault.Starve f) {
            for (DoormanProcess d : each(f.slots())) {
                starve(d, f.share());
            }
        } else {
            relays.apply(fault);
        }
    }

    /** By turns stopped and continued, a tenth of a second each round. */
    private void starve(DoormanProcess d, double share) throws IOException {
        if (d.starver != null) {
            d.starver.destroyForcibly();
            d.starver = null;
        }
        if (share < 1) {
            d.starver = new ProcessBuilder(
                            "sh",
                            "-c",
                            String.format(
                                    java.util.Locale.ROOT,
                                    "while kill -STOP %1$d 2>/dev/null; do sleep %2$.3f; kill -CONT %1$d 2>/dev/null; sleep %3$.3f; done",
                                    d.process.pid(),
                                    0.1 * (1 - share),
                                    0.1 * share))
                    .start();
        } else {
            ProcessSignal.send(d.process, "CONT");
        }
    }

    private static void reloadOnceItServes(DoormanProcess d) throws IOException {
        if (d.serves) {
            ProcessSignal.send(d.process, "HUP");
        }
        d.reloadPending = !d.serves;
    }

    private void gone(DoormanProcess d) {
        if (running[d.slot] == d) {
            running[d.slot] = null;
        }
    }

    private List<DoormanProcess> each(Set<Integer> slots) {
        List<DoormanProcess> each = new ArrayList<>();
        for (int slot : slots) {
            if (running[slot] != null && running[slot].process.isAlive()) {
                each.add(running[slot]);
            }
        }
        return each;
    }

    // ---- what they tell --------------------------------------------------------------------------------

    private void read() throws IOException {
        if (nowMs() - sampledMs >= SAMPLE_MS) {
            long sent = relays.sentBytes();
            double seconds = (nowMs() - sampledMs) / 1e3;
            traffic.add(new double[] {nowMs() / 1e3, (sent - sampledBytes) / seconds / schedule.initialDoormans()});
            sampledMs = nowMs();
            sampledBytes = sent;
        }
        if (every != null && nowMs() - everyDoneMs >= everyMs) {
            everyDoneMs = nowMs();
            every.run();
        }
        for (DoormanProcess d : all) {
            try (RandomAccessFile file = new RandomAccessFile(d.log.toFile(), "r")) {
                if (file.length() > d.read) {
                    byte[] fresh = new byte[(int) (file.length() - d.read)];
                    file.seek(d.read);
                    file.readFully(fresh);
                    d.read += fresh.length;
                    String text = d.rest + new String(fresh, StandardCharsets.UTF_8);
                    int end = text.lastIndexOf('\n') + 1;
                    d.rest = text.substring(end);
                    text.substring(0, end).lines().forEach(line -> told(d, line));
                }
            }
            if (d.reloadPending) {
                reloadOnceItServes(d);
            }
            if (!d.process.isAlive() && running[d.slot] == d) {
                if (!d.leaving) {
                    watch.broken("process " + d.number + " (" + d.name + ") ended by itself with "
                            + d.process.exitValue() + ": see " + d.log);
                }
                gone(d);
            }
        }
    }

    /** Reads a line of the logger {@code fleet}: keys with values, then the event's text. */
    private void told(DoormanProcess d, String line) {
        if (line.contains(SERVES_LOGGER) && line.endsWith(SERVES_EVENT)) {
            d.serves = true;
            return;
        }
        int ofBudgets = line.indexOf(" budget - mono=");
        int at = line.indexOf(" fleet - mono=");
        if (at < 0 && ofBudgets < 0) {
            return;
        }
        Map<String, String> keys = new HashMap<>();
        StringBuilder event = new StringBuilder();
        for (String word : line.substring(line.indexOf(" - mono=", Math.max(at, ofBudgets)) + " - ".length())
                .split(" ")) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                keys.put(word.substring(0, equals), word.substring(equals + 1));
            } else {
                event.append(event.isEmpty() ? "" : " ").append(word);
            }
        }
        if (at < 0) {
            if (budgets != null) {
                budgets.told(d.number, d.slot, event.toString(), keys, startNanos / NANOS_PER_MS);
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
        watch.told(new MembershipMonitor.ReportedChange(
                Double.parseDouble(keys.get("mono")) - startNanos / NANOS_PER_MS,
                d.number,
                d.slot,
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

    private Map<DoormanProcess, JSONObject> views() {
        Map<DoormanProcess, CompletableFuture<JSONObject>> asked = new HashMap<>();
        for (DoormanProcess d : running) {
            if (d != null && !d.frozen && !d.leaving) {
                asked.put(
                        d,
                        client.sendAsync(
                                        HttpRequest.newBuilder(URI.create(
                                                        "http://" + host(d.slot) + ":" + SECOND + "/admin/fleet"))
                                                .timeout(PATIENCE)
                                                .build(),
                                        HttpResponse.BodyHandlers.ofString())
                                .thenApply(answer -> new JSONObject(answer.body())));
            }
        }
        Map<DoormanProcess, JSONObject> views = new HashMap<>();
        asked.forEach((d, view) -> {
            try {
                views.put(d, view.get(PATIENCE.toMillis(), TimeUnit.MILLISECONDS));
            } catch (ExecutionException | java.util.concurrent.TimeoutException | JSONException e) {
                views.put(d, null);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return views;
    }

    /** Null where every component has settled on itself; else what is still missing. */
    private String settled() throws InterruptedException {
        Map<DoormanProcess, JSONObject> views = views();
        Set<Integer> up = new TreeSet<>();
        for (DoormanProcess d : running) {
            if (d != null && d.leaving) {
                return d.name + " is leaving";
            }
            if (d != null && !d.frozen) {
                up.add(d.slot);
                if (views.get(d) == null) {
                    return d.name + " doesn't answer";
                }
            }
        }
        try {
            for (Set<Integer> component : relays.components(up)) {
                String why = settled(component, views);
                if (why != null) {
                    return why;
                }
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
        return null;
    }

    private String settled(Set<Integer> component, Map<DoormanProcess, JSONObject> views) {
        TreeMap<String, JSONObject> holders = new TreeMap<>();
        for (int slot : component) {
            JSONObject view = views.get(running[slot]);
            if (!view.getBoolean("name_given_up")) {
                holders.put(running[slot].name, view);
            }
        }
        Set<String> names = new TreeSet<>();
        component.forEach(slot -> names.add(running[slot].name));
        String digest = null;
        for (Map.Entry<String, JSONObject> e : holders.entrySet()) {
            JSONObject view = e.getValue();
            Set<String> seen = new TreeSet<>();
            for (Object o : view.getJSONArray("members")) {
                JSONObject m = (JSONObject) o;
                if (m.getBoolean("listed")) {
                    seen.add(m.getString("name"));
                }
            }
            if (view.getBoolean("in_doubt")) {
                return e.getKey() + " is in doubt";
            }
            digest = digest == null ? view.getString("digest") : digest;
            if (!seen.equals(names) || !digest.equals(view.getString("digest"))) {
                return e.getKey() + " sees " + seen + " of " + names + ", digest " + view.getString("digest")
                        + " against " + digest;
            }
        }
        return holders.keySet().equals(names)
                ? null
                : "of " + names + " only " + holders.keySet() + " hold their names";
    }

    List<InjectedFault> struck() {
        return List.copyOf(struck);
    }

    List<double[]> traffic() {
        return traffic;
    }

    /** What the processes that run take: percent of a core since the first settling, and MB of memory, each. */
    String costs() throws IOException {
        int count = 0;
        double kilobytes = 0;
        double cpu = 0;
        for (DoormanProcess d : running) {
            if (d != null && d.process.isAlive()) {
                count++;
                cpu += d.cpuSeconds() - d.calmCpu;
                for (String line : Files.readAllLines(Path.of("/proc/" + d.process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        kilobytes += Double.parseDouble(line.replaceAll("[^0-9]", ""));
                    }
                }
            }
        }
        return String.format(
                java.util.Locale.ROOT,
                "%d processes, each %.2f%% of a core over %.0f s and %.1f MB",
                count,
                100 * cpu / ((nowMs() - calmFromMs) / 1e3) / Math.max(1, count),
                (nowMs() - calmFromMs) / 1e3,
                kilobytes / 1024 / Math.max(1, count));
    }

    private synchronized void end() {
        for (DoormanProcess d : all) {
            d.leaving = true;
            if (d.starver != null) {
                d.starver.destroyForcibly();
            }
            d.process.destroyForcibly();
        }
    }

    @Override
    public void close() throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
            end();
            for (DoormanProcess d : all) {
                d.process.waitFor(10, TimeUnit.SECONDS);
            }
            read();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        } finally {
            relays.close();
        }
    }
}
