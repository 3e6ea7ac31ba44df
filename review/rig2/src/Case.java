import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case. Arguments: the repository's root and the file of the record. */
abstract class Case {
    /** A final answer counts up to half a second after its time, and every limit is 50 ms longer on sockets. */
    static final double LOST_AFTER_MS = 550;

    private static final double LONGEST_MS = 115_000;

    Path root;
    Path temp;
    Record record;
    CommandChannel channel;
    /** Whether the disruption takes place. */
    boolean trouble;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    static void run(Case played, String[] arguments) throws IOException {
        played.root = Path.of(arguments[0]).toAbsolutePath().normalize();
        played.trouble = !"0".equals(System.getenv("TROUBLE"));
        played.record = new Record(Path.of(arguments[1]));
        played.temp = Files.createTempDirectory("review-case");
        Path temp = played.temp;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(temp)));
        Rig.after(LONGEST_MS, () -> end(played, "the case took too long", 2));
        try {
            played.record.say("the disruption is %s", played.trouble ? "on" : "off");
            played.channel = new CommandChannel(played.record);
            boolean held = played.play();
            end(played, held ? "the rule held" : "the rule was broken", held ? 0 : 1);
        } catch (Exception e) {
            e.printStackTrace();
            end(played, "the case could not run: " + e, 2);
        }
    }

    private static synchronized void end(Case played, String text, int code) {
        played.record.say("%s", text);
        played.record.close();
        System.exit(code);
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // It is a temporary folder.
        }
    }

    /** Starts caches of the station, two parents and the origin, and lists them in the command channel. */
    List<Depot> startDepots(int caches, Depot.Behaviour behaviour) throws IOException {
        List<Depot> depots = new ArrayList<>();
        List<Object> list = new ArrayList<>();
        for (int i = 1; i <= caches; i++) {
            depots.add(new Depot(String.format("s-%08x", 0x10 + i), Site.STATION, "small-box", record, behaviour));
            list.add(depots.get(depots.size() - 1).listing("in_service", i, 20, 0));
        }
        for (int i = 1; i <= 2; i++) {
            depots.add(new Depot(String.format("p-%08x", 0x80 + i), Site.HUB, "parent", record, behaviour));
            list.add(depots.get(depots.size() - 1).listing("in_service", 100 + i, 40, 0));
        }
        depots.add(new Depot(String.format("o-%08x", 0x90), Site.HUB, "origin", record, behaviour));
        list.add(depots.get(depots.size() - 1).listing("in_service", 200, 60, 0));
        tellList(true, list);
        return depots;
    }

    void tellList(boolean all, List<Object> targets) {
        channel.tell(Json.map("nodes", Json.map("rev", channel.size() + 1, "all", all, "targets", targets)));
    }

    /** Starts a doorman with the list so far and waits until it takes clients. */
    DoormanProcess startDoorman(int stations, int sockets) throws Exception {
        DoormanProcess doorman = new DoormanProcess(root, temp, Site.configuration(channel, stations, sockets), record);
        doorman.awaitReady(30_000);
        return doorman;
    }

    /** Returns the fields of a good answer; {@code how} is h for a hit and f for a fill. */
    static String done(String how) {
        return "digest=0123456789abcdef,dated=" + System.currentTimeMillis() + ",how=" + how;
    }

    /** Returns the bytes of a part of an object, which tell the object and the part. */
    static byte[] body(String object, String part, int bytes) {
        byte[] text = (object + "/" + part + " ").getBytes(StandardCharsets.US_ASCII);
        byte[] body = new byte[bytes];
        for (int from = 0; from < bytes; from += text.length) {
            System.arraycopy(text, 0, body, from, Math.min(text.length, bytes - from));
        }
        return body;
    }

    static boolean isBody(byte[] body, String object, String part, int bytes) {
        return Arrays.equals(body, body(object, part, bytes));
    }
}
