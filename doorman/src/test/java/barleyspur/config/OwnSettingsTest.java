package barleyspur.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the program's own settings: components without a block are off, and errors name the line and the key. */
class OwnSettingsTest {

    private static final Path EXAMPLES = Path.of("../examples/expectations");

    private static String failure(String text) {
        return assertThrows(Hcl.InvalidHclException.class, () -> OwnSettings.read(Path.of("own.hcl"), text))
                .getMessage();
    }

    @Test
    void expectationsAreOffWithoutABlock() throws Hcl.InvalidHclException {
        assertNull(OwnSettings.read(Path.of("own.hcl"), "# nothing").expectations());
    }

    @Test
    void theDeployedSettingsAreRead() throws Hcl.InvalidHclException {
        OwnSettings.Expectations expectations =
                OwnSettings.load(Path.of("../deploy/expectations-gate.hcl")).expectations();
        assertEquals(List.of(Path.of("../deploy/expectations.hcl")), expectations.files());
        assertEquals(60, expectations.scenarios());
    }

    @Test
    void errorsNameLineAndKey() {
        assertEquals(
                "own.hcl:1: block expectation is unknown: did you mean expectations?", failure("expectation {\n}"));
        assertEquals("own.hcl:1: block expectations has no key files", failure("expectations {\n}"));
        assertEquals(
                "own.hcl:3: key scenarios is out of range: 0.0 is not from 1.0 to 100000.0",
                failure("expectations {\n files = [\"a\"]\n scenarios = 0\n}"));
        assertEquals(
                "own.hcl:3: key scenario is unknown in block expectations: did you mean scenarios?",
                failure("expectations {\n files = [\"a\"]\n scenario = 1\n}"));
    }

    /** A configuration that violates an expectation is refused with its name; one that satisfies all is accepted. */
    @Test
    void aConfigurationThatViolatesAnExpectationIsRefused() throws Configuration.InvalidConfigurationException {
        OwnSettings.Expectations expectations =
                new OwnSettings.Expectations(List.of(EXAMPLES.resolve("station.hcl")), 12, 1);
        ExpectationCheck.requireNoViolations(EXAMPLES.resolve("station.json"), expectations);
        String message = assertThrows(
                        Configuration.InvalidConfigurationException.class,
                        () -> ExpectationCheck.requireNoViolations(
                                EXAMPLES.resolve("wrong-drain-grace.json"), expectations))
                .getMessage();
        assertTrue(message.startsWith("expectation \"settings as agreed\""), message);
        String unreadable = assertThrows(
                        Configuration.InvalidConfigurationException.class,
                        () -> ExpectationCheck.requireNoViolations(
                                EXAMPLES.resolve("station.json"),
                                new OwnSettings.Expectations(List.of(EXAMPLES.resolve("wrong-name.hcl")), 12, 1)))
                .getMessage();
        assertTrue(unreadable.contains("did you mean state?"), unreadable);
    }
}
