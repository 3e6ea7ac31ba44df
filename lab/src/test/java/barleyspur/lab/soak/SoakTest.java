package barleyspur.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A short soak of endings with fixed seeds, and deliberately wrong versions of the program that the soak must catch.
 * The long soak is started by hand: see {@code docs/SOAK.md}.
 */
@Isolated
class SoakTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Path JAR = ROOT.resolve("doorman").resolve("target").resolve("barleyspur.jar");
    private static final int SECONDS = 12;
    /** The number of seeds within which each wrong version must be caught. */
    private static final int MAX_SEEDS = 10;

    @TempDir
    Path folder;

    private List<Long> soak(long seed, int seeds, Path patchedClasses) throws Exception {
        return SoakCommand.run(new SoakCommand.Request(seed, seeds, SECONDS, ROOT, null, patchedClasses, folder));
    }

    /**
     * Guards every ending: seed 3 has a crowd, upgrades and a quiesce; seed 11 restarts; seed 12 reloads and a silent depot.
     */
    @ParameterizedTest
    @ValueSource(longs = {3, 11, 12})
    void everyRequestGetsItsAnswer(long seed) throws Exception {
        assertEquals(List.of(), soak(seed, 1, null));
    }

    /** Guards the requests of sound clients while others flood the process, through restarts and upgrades. */
    @Test
    void floodsLeaveEveryRequestItsAnswer() throws Exception {
        assertEquals(List.of(), soak(4, 1, null));
    }

    private Path compileMutant(String file, String from, String to) throws IOException {
        return compileMutant(file, Map.of(from, to));
    }

    /** Compiles one source file of the doorman with texts replaced, and returns the folder with its classes. */
    private Path compileMutant(String file, Map<String, String> replacements) throws IOException {
        Path source =
                ROOT.resolve("doorman").resolve("src/main/java/barleyspur").resolve(file);
        String text = Files.readString(source);
        for (Map.Entry<String, String> replacement : replacements.entrySet()) {
            assertTrue(text.contains(replacement.getKey()), file + " has no " + replacement.getKey());
            text = text.replace(replacement.getKey(), replacement.getValue());
        }
        Path copy = Files.createDirectories(folder.resolve("mutant")).resolve(source.getFileName());
        Files.writeString(copy, text);
        Path classes = Files.createDirectories(folder.resolve("classes"));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        int result = compiler.run(
                null, null, null, "-nowarn", "-cp", JAR.toString(), "-d", classes.toString(), copy.toString());
        assertEquals(0, result, "the mutant does not compile");
        return classes;
    }

    private void assertCaught(Path mutant) throws Exception {
        for (long seed = 1; seed <= MAX_SEEDS; seed++) {
            if (!soak(seed, 1, mutant).isEmpty()) {
                return;
            }
        }
        throw new AssertionError(String.format(Locale.ROOT, "not caught within %d seeds", MAX_SEEDS));
    }

    /** A connection is closed during a drain although a request is open on it. */
    @Test
    void anAnswerDroppedAtSigtermIsCaught() throws Exception {
        assertCaught(compileMutant(
                "front/thrift/ConnectionEnding.java",
                "!connection.hasRequests() && !connection.hasUnwrittenMessages() && !connection.hasPartialRequest()",
                "(!connection.hasRequests() || connection.hasPendingRequests()) && !connection.hasPartialRequest()"));
    }

    /** Now and then a connection is reset with half of an answer written. */
    @Test
    void aResetWithinAnAnswerIsCaught() throws Exception {
        assertCaught(compileMutant(
                "front/thrift/ResponseWriter.java",
                "        queue.add(bodyBytes);\n",
                "        if (channel instanceof io.netty.channel.socket.SocketChannel && System.nanoTime() % 101 == 0) {\n"
                        + "            channel.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);\n"
                        + "            channel.writeAndFlush(message.readSlice(bytes / 2)).addListener(f -> channel.close());\n"
                        + "            return;\n"
                        + "        }\n"
                        + "        queue.add(bodyBytes);\n"));
    }

    /** Requests are kept as they are read, however many of them one iteration brings. */
    @Test
    void requestsKeptWithoutABoundAreCaught() throws Exception {
        assertCaught(compileMutant(
                "front/thrift/ClientConnection.java",
                Map.of(
                        "pending.size() + received.size() + responses.unwritten() >= server.maxPending()",
                        "received.size() == Integer.MAX_VALUE",
                        "new RequestMemory(server.inputBudgets())",
                        "new RequestMemory(InputBudgets.of(Long.MAX_VALUE, Long.MAX_VALUE, 1))")));
    }

    /** A file with an impossible deadline is not turned down. */
    @Test
    void aReloadThatTakesABadFileIsCaught() throws Exception {
        assertCaught(compileMutant(
                "config/SettingsReader.java",
                "positiveNumber(prefix + \"hardLimitMs\")",
                "number(prefix + \"hardLimitMs\", 0)"));
    }
}
