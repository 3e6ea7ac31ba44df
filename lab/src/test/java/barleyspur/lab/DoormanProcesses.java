package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.NodeList;
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
final class DoormanProcesses implements AutoCloseable {

    /**
     * How the capacity of a node grows after its start, and what overloads it.
     *
     * @param warmAfterMs the time from its start until it has all of its capacity
     * @param overloadSpanMs the time over which the load on a cold node is summed
     * @param fromShare the share of its capacity that it has at its start
     * @param overloadMultiple the multiple of its current capacity that overloads it
     */
    record ColdRule(double warmAfterMs, double overloadSpanMs, double fromShare, double overloadMultiple) {}

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final int PORT = 7001;
    private static final int READY_TIMEOUT_MS = 60_000;
    private static final int NODES_PER_NETWORK = 250;

    /** Gives each station its own addresses, since those of the previous one may still be in use. */
    private static final AtomicInteger STATION_COUNT = new AtomicInteger();

    private final String network =
            "127." + (225 + (ProcessHandle.current().pid() + STATION_COUNT.getAndIncrement()) % 25) + ".";
    private final Path folder;
    private final EventLoopGroup group;
    private final ColdRule coldRule;
    private final List<Process> processes = new ArrayList<>();
    private String shellPrefix = "";
    private int socketLimit = 256;

    DoormanProcesses(Path folder, EventLoopGroup group, ColdRule coldRule) {
        this.folder = folder;
        this.group = group;
        this.coldRule = coldRule;
    }

    /** Sets shell commands to execute before the {@code run} line, for processes started from now on. */
    void setShellPrefix(String shellCommands) {
        shellPrefix = shellCommands;
    }

    /** Sets the limit of file descriptors in the configuration of processes started from now on. */
    void setSocketLimit(int limit) {
        socketLimit = limit;
    }

    InetSocketAddress boxAddress(int number) {
        return new InetSocketAddress(
                network + (100 + number / NODES_PER_NETWORK) + "." + (number % NODES_PER_NETWORK + 1), PORT);
    }

    InetSocketAddress frontAddress(int number) {
        return new InetSocketAddress(network + "251." + (number + 1), PORT);
    }

    InetSocketAddress channelAddress(int number) {
        return new InetSocketAddress(network + "252." + number, PORT);
    }

    /**
     * Returns the kind of a node: the last is the origin, one in twenty (at least one) is a parent, the others are
     * caches.
     */
    private static FakeBoxes.Kind kindOf(int number, int nodes) {
        if (number == nodes - 1) {
            return FakeBoxes.Kind.ORIGIN;
        }
        return number >= nodes - 1 - Math.max(1, nodes / 20) ? FakeBoxes.Kind.PARENT : FakeBoxes.Kind.CACHE;
    }

    /** Describes one node in the form of the command channel. */
    JSONObject describeNode(int number, int nodes, double capacityHint, double bootMs) {
        String uid = "s-" + Integer.toHexString(number + 1);
        return NodeList.describe(uid, boxAddress(number), kindOf(number, nodes), 0, capacityHint, bootMs);
    }

    /** Starts fake boxes for all nodes. */
    FakeBoxes startBoxes(int nodes, int hitMs) throws InterruptedException {
        FakeBoxes boxes = new FakeBoxes(group, "record", hitMs, new double[FakeBoxes.Kind.values().length]);
        for (int i = 0; i < nodes; i++) {
            boxes.listen(boxAddress(i), kindOf(i, nodes));
        }
        return boxes;
    }

    /** Starts doormans and waits until they are ready; by their lists all nodes have been up for a long time. */
    void startDoormans(int doormans, int nodes, InetSocketAddress channel, double capacityHint)
            throws IOException, InterruptedException {
        for (int i = 0; i < doormans; i++) {
            launch(i, configuration(i, doormans, nodes, channel, capacityHint));
        }
        for (int i = 0; i < doormans; i++) {
            awaitReady(i);
        }
    }

    /** Returns the configuration of one doorman. */
    JSONObject configuration(int number, int doormans, int nodes, InetSocketAddress channel, double capacityHint) {
        NodeList nodeList = new NodeList();
        for (int i = 0; i < nodes; i++) {
            nodeList.add(describeNode(i, nodes, capacityHint, 0));
        }
        JSONObject json = new JSONObject(
                new JSONTokener(DoormanProcesses.class.getResourceAsStream("/barleyspur/rehearsal.json")));
        JSONObject settings = json.getJSONObject("settings")
                .put("groupSize", doormans)
                .put("myNumber", number)
                .put("weights", "nominal");
        settings.getJSONObject("familyInfo").put("zoneBalancers", new JSONArray().put(doormans));
        settings.getJSONObject("rules")
                .put("coldMs", coldRule.warmAfterMs())
                .put("fallMs", coldRule.overloadSpanMs())
                .put("coldFrom", coldRule.fromShare())
                .put("tipMultiple", coldRule.overloadMultiple());
        json.getJSONObject("limits").put("sockets", socketLimit);
        return json.put("name", "d" + number)
                .put("listen", toText(frontAddress(number)))
                .put("channel", toText(channel))
                .put("seed", Integer.toHexString(77 + number))
                .put("known", nodeList.initialState());
    }

    /** Starts one doorman without waiting until it is ready. */
    Process launch(int number, JSONObject configuration) throws IOException {
        Path config = Files.createDirectories(folder.resolve("d" + number)).resolve("config.json");
        return launch(number, Files.writeString(config, configuration.toString()));
    }

    /** Starts one doorman with the given configuration file, without waiting until it is ready. */
    Process launch(int number, Path config) throws IOException {
        Path directory = Files.createDirectories(folder.resolve("d" + number));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", shellPrefix + readRunLine()).directory(ROOT.toFile());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", directory.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile());
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    private static String readRunLine() throws IOException {
        Matcher run = RUN_LINE.matcher(Files.readString(ROOT.resolve("deploy").resolve("balancer.toml")));
        assertTrue(run.find(), "deploy/balancer.toml has no run line");
        return run.group(1);
    }

    /** Waits until a doorman answers that it accepts requests. */
    void awaitReady(int number) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (true) {
            try (ThriftClient client = new ThriftClient(frontAddress(number))) {
                client.send("alive", 1, null);
                assertNotNull(client.readSequenceNumber(), "doorman " + number + " is not ready");
                return;
            } catch (IOException e) {
                assertTrue(System.nanoTime() < deadlineNanos, "doorman " + number + " did not listen in time");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }

    List<Process> allProcesses() {
        return List.copyOf(processes);
    }

    Process process(int number) {
        return processes.get(number);
    }

    /** Returns the log of a doorman. */
    String readLog(int number) throws IOException {
        return Files.readString(folder.resolve("d" + number).resolve("log"));
    }

    /** Returns the peak resident memory of a doorman in MB. */
    long peakMemoryMb(int number) throws IOException {
        Path status = Path.of("/proc", Long.toString(process(number).pid()), "status");
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB").matcher(Files.readString(status));
        assertTrue(peak.find(), "the process status has no peak memory");
        return Long.parseLong(peak.group(1)) / 1024;
    }

    private static String toText(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}
