package barleyspur.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the commands on the example files and checks verdicts, messages and exit codes. */
class ExpectCommandTest {

    private static final String EXAMPLES = "../examples/expectations/";

    @TempDir
    private Path folder;

    private record CommandResult(int code, String out, String err) {}

    private static CommandResult run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(outBytes, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(errBytes, true, StandardCharsets.UTF_8));
            int code = Cli.run(args);
            return new CommandResult(
                    code, outBytes.toString(StandardCharsets.UTF_8), errBytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    private CommandResult expect(String config, String file) {
        return run(
                "expect",
                "--cases",
                "60",
                "--traces",
                folder.toString(),
                "--config",
                EXAMPLES + config,
                EXAMPLES + file);
    }

    /** The example configuration satisfies its expectations. */
    @Test
    void exampleSatisfiesItsExpectations() {
        CommandResult result = expect("station.json", "station.hcl");
        assertEquals(0, result.code(), result.out() + result.err());
        assertTrue(result.out().contains("covered: 54 orders of up to 1 of 88 events"), result.out());
    }

    /** Each deliberately wrong configuration is refuted, and the message names the violation. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
        wrong-kind              | station.hcl:27: source.box = [d-00000a01, d-00000a02] does not hold; it is o-00000b01
        wrong-drain-grace       | station.hcl:12: settings.drain_grace = <= patience does not hold; it is 20000.0
        wrong-no-district-cache | station.hcl:26: source.kind = district does not hold; it is head-office
        wrong-safe-class        | station.hcl:43: attempt.maybe_ran = true must never hold; it is true
        wrong-attempts          | station.hcl:14: settings.most_attempts = <= 8 does not hold; it is 50.0
        wrong-purge-grace       | station.hcl:13: settings.purge_grace = <= 1s does not hold; it is 8000.0
        """)
    void wrongConfigurationIsRefuted(String config, String message) {
        CommandResult result = expect(config + ".json", "station.hcl");
        assertEquals(1, result.code(), result.out() + result.err());
        assertTrue(result.out().contains(message), result.out());
    }

    /** A wrong expectation is refuted, and each replay of its trace prints the same. */
    @Test
    void counterexampleIsReplayed() throws IOException {
        CommandResult result = expect("station.json", "wrong-expectation.hcl");
        assertEquals(1, result.code(), result.out() + result.err());
        String trace =
                folder.resolve("nothing-ever-from-the-head-office.trace.json").toString();
        CommandResult once = run("explain", trace);
        assertEquals(1, once.code(), once.out() + once.err());
        assertTrue(once.out().contains("NOT as expected by \"nothing ever from the head office\""), once.out());
        assertEquals(once, run("explain", trace));
        // The same trace with a corrected expectation passes.
        String mended = Files.readString(Path.of(trace)).replace("never { source", "must { source");
        Files.writeString(folder.resolve("mended.json"), mended);
        assertEquals(0, run("explain", folder.resolve("mended.json").toString()).code());
    }

    /** Invalid input results in exit code 2 and a message that names file, line and key. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
        station.json | wrong-name.hcl | wrong-name.hcl:3: key stat is unknown in block target: did you mean state?
        wrong-model.json | station.hcl | key known.cmds.0.nodes.targets.0.model names samll-box, which is unknown: did you mean small-box?
        station.json | missing.hcl | missing.hcl
        missing.json | station.hcl | missing.json can't be read
        """)
    void invalidInputIsNamed(String config, String file, String message) {
        CommandResult result = expect(config, file);
        assertEquals(2, result.code(), result.out() + result.err());
        assertTrue(result.err().contains(message), result.err());
    }

    /** Included files are found relative to the including file, share their definitions, and are named if missing. */
    @Test
    void filesIncludeOthers() throws IOException {
        Files.createDirectories(folder.resolve("shared"));
        Files.writeString(folder.resolve("shared/names.hcl"), "let {\n  patience = \"2s\"\n}\n");
        Path main = folder.resolve("main.hcl");
        Files.writeString(
                main,
                """
            include = ["shared/names.hcl"]
            expectation "agreed" {
              settings { drain_grace = "patience" }
            }
            """);
        String[] args = {"expect", "--cases", "1", "--config", EXAMPLES + "station.json", main.toString()};
        assertEquals(0, run(args).code());
        Files.writeString(main, Files.readString(main).replace("names.hcl", "nmaes.hcl"));
        CommandResult missing = run(args);
        assertEquals(2, missing.code());
        assertTrue(missing.err().contains("main.hcl:1: file " + folder.resolve("shared/nmaes.hcl")), missing.err());
    }

    /** A file that isn't a trace is rejected. */
    @Test
    void fileThatIsNoTraceIsRejected() {
        CommandResult result = run("explain", EXAMPLES + "station.json");
        assertEquals(2, result.code());
        assertTrue(result.err().contains("key barleyspur_trace is not 1"), result.err());
    }

    /** Comparing a configuration with itself shows no difference; others are printed request by request. */
    @Test
    void differencesOfConfigurationsArePrinted() {
        String station = EXAMPLES + "station.json";
        CommandResult none = run("expect", "--cases", "4", "--diff", station, station, EXAMPLES + "station.hcl");
        assertEquals(0, none.code(), none.out() + none.err());
        assertTrue(none.out().contains("0 of "), none.out());
        CommandResult some = run(
                "expect",
                "--cases",
                "12",
                "--diff",
                station,
                EXAMPLES + "wrong-safe-class.json",
                EXAMPLES + "station.hcl");
        assertEquals(1, some.code(), some.out() + some.err());
        assertTrue(some.out().contains("(swap-record"), some.out());
        // A missing box makes a difference only for the requests that used it.
        CommandResult fewer = run(
                "expect",
                "--cases",
                "4",
                "--diff",
                station,
                EXAMPLES + "wrong-no-district-cache.json",
                EXAMPLES + "station.hcl");
        assertEquals(1, fewer.code(), fewer.out() + fewer.err());
        assertTrue(fewer.out().contains("source=d-0000"), fewer.out());
    }

    /** Invalid options result in exit code 2 and a pointer to the help, which each command has. */
    @Test
    void optionsAndHelp() {
        assertEquals(2, run("expect").code());
        assertTrue(run("expect", "--depht", "2", "x.hcl").err().contains("see barleyspur expect --help"));
        assertTrue(run("expect", "--seed", "x", "--config", EXAMPLES + "station.json", EXAMPLES + "station.hcl")
                .err()
                .contains("--seed is not a whole number"));
        for (String command : new String[] {"serve", "check", "expect", "explain", "rehearse", "simhost", "version"}) {
            CommandResult help = run(command, "--help");
            assertEquals(0, help.code());
            assertTrue(help.out().contains("barleyspur " + command), help.out());
        }
    }
}
