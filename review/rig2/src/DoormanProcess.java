import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One real doorman, started as the deploy file says: the command "run", by /bin/sh -c, from the repository's root. */
final class DoormanProcess {
    private final Process process;
    private final Record record;
    private final Path log;
    final int port;
    final int mgmtPort;

    DoormanProcess(Path root, Path folder, Map<String, Object> configuration, Record record) throws IOException {
        this.record = record;
        port = Rig.freePort();
        mgmtPort = Rig.freePort();
        Path config = folder.resolve("config.json");
        log = folder.resolve("doorman.log");
        Path temp = Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(config, Json.write(configuration));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(root, "run"));
        builder.directory(root.toFile());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("RELAY_NAME", "d1");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("RELAY_MGMT", "127.0.0.1:" + mgmtPort);
        builder.environment().put("TMPDIR", temp.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(new File(log.toString()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.say("the doorman starts as process %d on 127.0.0.1:%d", process.pid(), port);
    }

    private static String command(Path root, String key) throws IOException {
        String text = Files.readString(root.resolve("deploy/balancer.toml"));
        Matcher matcher = Pattern.compile("(?m)^" + key + "\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"").matcher(text);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no " + key);
        }
        return matcher.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** Waits until the doorman answers alive with good true. */
    void awaitReady(double maxMs) throws Exception {
        double end = record.ms() + maxMs;
        while (record.ms() < end && process.isAlive()) {
            try (Client client = new Client(port, record)) {
                if (client.alive().get(1, TimeUnit.SECONDS).good()) {
                    record.say("the doorman is ready");
                    return;
                }
            } catch (IOException | TimeoutException e) {
                // Not yet.
            }
            Rig.sleep(50);
        }
        throw new CouldNotRunException("the doorman did not become ready");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Returns the last lines of its log. */
    String logEnd(int lines) throws IOException {
        var all = Files.readAllLines(log, StandardCharsets.UTF_8);
        return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }
}
