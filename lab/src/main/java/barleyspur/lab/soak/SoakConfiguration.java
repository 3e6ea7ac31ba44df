package barleyspur.lab.soak;

import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.NodeList;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.json.JSONArray;
import org.json.JSONObject;
import org.json.JSONTokener;

/**
 * The addresses of a run, and the configuration file of its doormans: valid versions with and without an additional
 * class, and invalid ones, which name a class that must never be accepted.
 */
final class SoakConfiguration implements AutoCloseable {

    /** The class that only some valid files have. */
    static final String ADDED_CLASS = "added";
    /** The class that only invalid files have. */
    static final String PHANTOM_CLASS = "phantom";
    /** The class whose requests must not run twice. */
    static final String UNSAFE_CLASS = "record";

    static final int MEMORY_LIMIT_MB = 192;
    static final int SOCKET_LIMIT = 256;

    private static final int CLIENT_PORT = 7001;
    private static final int CHANNEL_PORT = 7401;
    private static final int ADMIN_PORT = 7201;
    private static final int LOCK_PORT = 7301;
    private static final int NETWORKS = 200;
    private static final int FIRST_NETWORK = 20;
    private static final List<FakeBoxes.Kind> NODES = List.of(
            FakeBoxes.Kind.CACHE,
            FakeBoxes.Kind.CACHE,
            FakeBoxes.Kind.CACHE,
            FakeBoxes.Kind.CACHE,
            FakeBoxes.Kind.PARENT,
            FakeBoxes.Kind.ORIGIN);

    static final int NODE_COUNT = NODES.size();

    /** Gives each run of this process its own addresses, since those of the previous one may still be in use. */
    private static final AtomicInteger RUN_COUNT = new AtomicInteger();

    private final String network;
    /** Keeps other processes that run soaks away from the network. */
    private final ServerSocket networkLock;

    private final Path file;
    private boolean hasAddedClass;

    SoakConfiguration(Path folder) throws IOException {
        file = folder.resolve("config.json");
        String candidate = null;
        ServerSocket lock = null;
        for (int i = 0; lock == null && i < NETWORKS; i++) {
            long number = ProcessHandle.current().pid() + RUN_COUNT.getAndIncrement();
            candidate = "127." + (FIRST_NETWORK + number % NETWORKS) + ".";
            lock = tryLock(new InetSocketAddress(candidate + "205.1", LOCK_PORT));
        }
        if (lock == null) {
            throw new IOException("all networks of the soak are in use");
        }
        network = candidate;
        networkLock = lock;
    }

    private static ServerSocket tryLock(InetSocketAddress address) throws IOException {
        ServerSocket lock = new ServerSocket();
        try {
            lock.bind(address);
            return lock;
        } catch (BindException e) {
            lock.close();
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        networkLock.close();
    }

    Path file() {
        return file;
    }

    List<FakeBoxes.Kind> nodes() {
        return NODES;
    }

    InetSocketAddress boxAddress(int number) {
        return new InetSocketAddress(network + "204." + (number + 1), CLIENT_PORT);
    }

    InetSocketAddress clientAddress() {
        return new InetSocketAddress(network + "201.1", CLIENT_PORT);
    }

    InetSocketAddress channelAddress() {
        return new InetSocketAddress(network + "202.1", CHANNEL_PORT);
    }

    /** Returns the administration address of the process with this number. */
    InetSocketAddress adminAddress(int process) {
        return new InetSocketAddress(network + "203." + (process % 250 + 1), ADMIN_PORT);
    }

    /** Returns whether the last valid file has the additional class. */
    boolean hasAddedClass() {
        return hasAddedClass;
    }

    /** Writes a valid file; each call adds the additional class or drops it again. */
    void writeValid() throws IOException {
        hasAddedClass = !hasAddedClass;
        replace(configuration(hasAddedClass ? ADDED_CLASS : null).toString());
    }

    /** Writes one of the files that the operators' page wants to be turned down whole. */
    void writeInvalid(int variant) throws IOException {
        JSONObject json = configuration(PHANTOM_CLASS);
        JSONObject settings = json.getJSONObject("settings");
        String text = json.toString();
        switch (variant % 4) {
            case 0 -> replace("");
            case 1 -> replace(text.substring(0, text.length() - 40));
            case 2 -> {
                settings.getJSONArray("grades").getJSONObject(0).put("hardLimitMs", -1);
                replace(json.toString());
            }
            default -> {
                settings.getJSONObject("limits").put("sendCap", 0);
                replace(json.toString());
            }
        }
    }

    private void replace(String text) throws IOException {
        Path next = Files.writeString(file.resolveSibling("next.json"), text);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private JSONObject configuration(String additionalClass) {
        NodeList nodeList = new NodeList();
        for (int i = 0; i < NODES.size(); i++) {
            nodeList.add(NodeList.describe("s-" + Integer.toHexString(i + 1), boxAddress(i), NODES.get(i), 0, 2, 0));
        }
        JSONObject json = new JSONObject(
                new JSONTokener(SoakConfiguration.class.getResourceAsStream("/barleyspur/rehearsal.json")));
        json.getJSONObject("limits").put("sockets", SOCKET_LIMIT).put("memory_mb", MEMORY_LIMIT_MB);
        if (additionalClass != null) {
            addClass(json.getJSONObject("settings"), additionalClass);
        }
        return json.put("name", "d0")
                .put("listen", text(clientAddress()))
                .put("channel", text(channelAddress()))
                .put("known", nodeList.initialState());
    }

    private static void addClass(JSONObject settings, String name) {
        JSONArray grades = settings.getJSONArray("grades");
        grades.put(new JSONObject(grades.getJSONObject(1).toString()).put("name", name));
        JSONObject family = settings.getJSONObject("familyInfo");
        family.getJSONArray("passOn").put(false);
        family.getJSONArray("inParts").put(false);
        family.getJSONArray("goodForMs").put(0);
        family.getJSONArray("staleForMs").put(0);
        family.getJSONArray("worthWhenOld").put(0);
    }

    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
