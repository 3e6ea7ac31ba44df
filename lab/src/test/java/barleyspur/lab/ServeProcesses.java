package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.NodeList;
import barleyspur.lab.stand.StandBoxes;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONObject;
import org.json.JSONTokener;

/**
 * Doorman processes started with the {@code run} line of the deployment, and the station of fake boxes that they
 * list.
 */
final class ServeProcesses implements AutoCloseable {

    /**
     * How the capacity of a node grows after its start, and what overloads it.
     *
     * @param coldMs the time from its start until it has all of its capacity
     * @param fallMs the time over which the load on a cold node is summed
     * @param coldFrom the share of its capacity that it has at its start
     * @param fallMultiple the multiple of its current capacity that overloads it
     */
    record ColdRule(double coldMs, double fallMs, double coldFrom, double fallMultiple) {}

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final int PORT = 7001;
    private static final int READY_MS = 60_000;
    private static final int NODES_A_NETWORK = 250;

    /** Gives each station its own addresses, since those of the previous one may still be in use. */
    private static final AtomicInteger STATIONS = new AtomicInteger();

    private final String network =
            "127." + (225 + (ProcessHandle.current().pid() + STATIONS.getAndIncrement()) % 25) + ".";
    private final Path folder;
    private final EventLoopGroup group;
    private final ColdRule cold;
    private final List<Process> processes = new ArrayList<>();
    private String prefix = "";
    private int sockets = 256;

    ServeProcesses(Path folder, EventLoopGroup group, ColdRule cold) {
        this.folder = folder;
        this.group = group;
        this.cold = cold;
    }

    /** Sets shell commands to execute before the {@code run} line, for processes started from now on. */
    void startedBy(String shellCommands) {
        prefix = shellCommands;
    }

    /** Sets the limit of file descriptors in the configuration of processes started from now on. */
    void sockets(int limit) {
        sockets = limit;
    }

    InetSocketAddress box(int number) {
        return new InetSocketAddress(
                network + (100 + number / NODES_A_NETWORK) + "." + (number % NODES_A_NETWORK + 1), PORT);
    }

    InetSocketAddress front(int number) {
        return new InetSocketAddress(network + "251." + (number + 1), PORT);
    }

    InetSocketAddress channel(int number) {
        return new InetSocketAddress(network + "252." + number, PORT);
    }

    /**
     * Returns the kind of a node: the last is the origin, one in twenty (at least one) is a parent, the others are
     * caches.
     */
    private static StandBoxes.Kind kind(int number, int nodes) {
        if (number == nodes - 1) {
            return StandBoxes.Kind.ORIGIN;
        }
        return number >= nodes - 1 - Math.max(1, nodes / 20) ? StandBoxes.Kind.PARENT : StandBoxes.Kind.CACHE;
    }

    /** Describes one node in the form of the command channel. */
    JSONObject target(int number, int nodes, double size, double bootMs) {
        String uid = "s-" + Integer.toHexString(number + 1);
        return NodeList.node(uid, box(number), kind(number, nodes), 0, size, bootMs);
    }

    /** Starts fake boxes for all nodes. */
    StandBoxes boxes(int nodes, int hitMs) throws InterruptedException {
        StandBoxes boxes = new StandBoxes(group, "record", hitMs, new double[StandBoxes.Kind.values().length]);
        for (int i = 0; i < nodes; i++) {
            boxes.listen(box(i), kind(i, nodes));
        }
        return boxes;
    }

    /** Starts doormans and waits until they are ready; by their lists all nodes have been up for a long time. */
    void start(int doormans, int nodes, InetSocketAddress channel, double size)
            throws IOException, InterruptedException {
        for (int i = 0; i < doormans; i++) {
            launch(i, configuration(i, doormans, nodes, channel, size));
        }
        for (int i = 0; i < doormans; i++) {
            awaitReady(i);
        }
    }

    /** Returns the configuration of one doorman. */
    JSONObject configuration(int number, int doormans, int nodes, InetSocketAddress channel, double size) {
        NodeList listed = new NodeList();
        for (int i = 0; i < nodes; i++) {
            listed.add(target(i, nodes, size, 0));
        }
        JSONObject json =
                new JSONObject(new JSONTokener(ServeProcesses.class.getResourceAsStream("/barleyspur/rehearsal.json")));
        JSONObject settings = json.getJSONObject("settings")
                .put("groupSize", doormans)
                .put("myNumber", number)
                .put("weights", "nominal");
        settings.getJSONObject("familyInfo").put("zoneBalancers", new JSONArray().put(doormans));
        settings.getJSONObject("rules")
                .put("coldMs", cold.coldMs())
                .put("fallMs", cold.fallMs())
                .put("coldFrom", cold.coldFrom())
                .put("tipMultiple", cold.fallMultiple());
        json.getJSONObject("limits").put("sockets", sockets);
        return json.put("name", "d" + number)
                .put("listen", text(front(number)))
                .put("channel", text(channel))
                .put("seed", Integer.toHexString(77 + number))
                .put("known", listed.known());
    }

    /** Starts one doorman without waiting until it is ready. */
    Process launch(int number, JSONObject configuration) throws IOException {
        Path config = Files.createDirectories(folder.resolve("d" + number)).resolve("config.json");
        return launch(number, Files.writeString(config, configuration.toString()));
    }

    /** Starts one doorman with the given configuration file, without waiting until it is ready. */
    Process launch(int number, Path config) throws IOException {
        Path own = Files.createDirectories(folder.resolve("d" + number));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", prefix + runLine()).directory(ROOT.toFile());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", own.toString());
        builder.redirectErrorStream(true).redirectOutput(own.resolve("log").toFile());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private static String runLine() throws IOException {
        Matcher run = RUN.matcher(Files.readString(ROOT.resolve("deploy").resolve("balancer.toml")));
        assertTrue(run.find(), "deploy/balancer.toml has no run line");
        return run.group(1);
    }

    /** Waits until a doorman answers that it accepts requests. */
    void awaitReady(int number) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (true) {
            try (ThriftClient client = new ThriftClient(front(number))) {
                client.send("alive", 1, null);
                assertNotNull(client.answer(), "doorman " + number + " is not ready");
                return;
            } catch (IOException e) {
                assertTrue(System.nanoTime() < until, "doorman " + number + " did not listen in time");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }

    List<Process> all() {
        return List.copyOf(processes);
    }

    Process process(int number) {
        return processes.get(number);
    }

    /** Returns the log of a doorman. */
    String log(int number) throws IOException {
        return Files.readString(folder.resolve("d" + number).resolve("log"));
    }

    /** Returns the peak resident memory of a doorman in MB. */
    long peakMemoryMb(int number) throws IOException {
        Path status = Path.of("/proc", Long.toString(process(number).pid()), "status");
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB").matcher(Files.readString(status));
        assertTrue(peak.find(), "the process status has no peak memory");
        return Long.parseLong(peak.group(1)) / 1024;
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}
