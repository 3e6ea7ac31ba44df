package barleyspur.lab.soak;

import barleyspur.lab.ProcessSignal;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One doorman process, started with the {@code run} line of the deployment and with requests traced in its log. */
final class SoakProcess {

    /** The result of a call on the administration address that got no answer. */
    static final int NO_ANSWER = -1;
    /** The time in which the administration address owes each answer. */
    static final int ADMIN_ANSWER_MS = 1_000;

    private static final int STATUS_OK = 200;
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern RESIDENT_KB = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final Pattern EVENT_LOOP_LATE = Pattern.compile("ms=(\\d+) event loop late$");
    private static final String JAR_OPTION = "-jar doorman/target/barleyspur.jar";
    private static final String TRACE_OPTION = "-Dorg.slf4j.simpleLogger.log.trail=debug ";

    /**
     * What is started.
     *
     * @param root the folder of the deployment
     * @param jar a jar in place of the deployment's, or null
     * @param patchedClasses a folder with classes that go before those of the jar, or null
     */
    record Program(Path root, Path jar, Path patchedClasses) {

        String commandLine() throws IOException {
            Matcher run =
                    RUN_LINE.matcher(Files.readString(root.resolve("deploy").resolve("balancer.toml")));
            if (!run.find()) {
                throw new IOException("deploy/balancer.toml has no run line");
            }
            String jarPath = jar == null ? "doorman/target/barleyspur.jar" : jar.toString();
            String program = patchedClasses == null
                    ? "-jar " + jarPath
                    : "-cp " + patchedClasses + ":" + jarPath + " barleyspur.cli.Main";
            return run.group(1).replace(JAR_OPTION, TRACE_OPTION + program);
        }
    }

    private final Process process;
    private final InetSocketAddress adminAddress;
    private final Path log;

    SoakProcess(Program program, Path folder, int number, Path configuration, InetSocketAddress adminAddress)
            throws IOException {
        this.adminAddress = adminAddress;
        log = folder.resolve("log-" + number);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", program.commandLine())
                .directory(program.root().toFile());
        builder.environment().put("RELAY_CONFIG", configuration.toString());
        builder.environment().put("RELAY_MGMT", SoakConfiguration.text(adminAddress));
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    void signal(String name) throws IOException {
        if (process.isAlive()) {
            ProcessSignal.send(process, name);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns whether the shell of the run line has been replaced by the program. */
    boolean isStarted() {
        return process.info().command().filter(c -> c.endsWith("java")).isPresent();
    }

    /** Waits for the end of the process and returns whether it has ended. */
    boolean awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(Math.max(0, timeoutMs), TimeUnit.MILLISECONDS);
    }

    int exitCode() {
        return process.exitValue();
    }

    void kill() {
        process.destroyForcibly();
    }

    boolean isReady() {
        return call("GET", "/admin/health", ADMIN_ANSWER_MS) == STATUS_OK;
    }

    /** Makes a call on the administration address and returns the status, or {@link #NO_ANSWER}. */
    int call(String method, String path, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(adminAddress, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: doorman\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String status = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return status == null ? NO_ANSWER : Integer.parseInt(status.split(" ")[1]);
        } catch (IOException e) {
            return NO_ANSWER;
        }
    }

    /** Returns the resident memory in MB, or 0 if the process has ended. */
    int residentMb() {
        try {
            Matcher resident = RESIDENT_KB.matcher(Files.readString(Path.of("/proc", pid(), "status")));
            return resident.find() ? Integer.parseInt(resident.group(1)) / 1024 : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the number of open descriptors, or 0 if the process has ended. */
    int descriptors() {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", pid(), "fd"))) {
            return (int) descriptors.count();
        } catch (IOException e) {
            return 0;
        }
    }

    private String pid() {
        return Long.toString(process.pid());
    }

    /** Returns by how much the event loop was late at most since the process serves. */
    int longestEventLoopLatenessMs() throws IOException {
        int longestMs = 0;
        boolean serving = false;
        for (String line : logLines("")) {
            serving |= line.endsWith(" serves");
            Matcher late = EVENT_LOOP_LATE.matcher(line);
            if (serving && late.find()) {
                longestMs = Math.max(longestMs, Integer.parseInt(late.group(1)));
            }
        }
        return longestMs;
    }

    /** Returns the lines of the log that contain a text. */
    List<String> logLines(String text) throws IOException {
        try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }
}
