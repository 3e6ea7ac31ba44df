package barleyspur.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the list of known failures itself, and that exactly the listed tests are passed over. */
class KnownRedListTest {

    /** Tests run in their module's folder. */
    private static final Path ROOT = Path.of("..");

    private static final KnownRedList SAMPLE = KnownRedList.parse(List.of(
            "# a comment",
            "SampleTest.fails",
            "  command: mvn -B verify",
            "  seed: 7",
            "  seen: it failed,",
            "    and failed again",
            "  issue: 39",
            "",
            "OtherTest.failsAtTimes",
            "  ci: runs",
            "a day of the bench",
            "  seed: 8"));

    private static KnownRedList list() throws IOException {
        return KnownRedList.read(ROOT.resolve("KNOWN-RED.txt"));
    }

    /** Returns whether a class of this name in the tests of any module has a method of this name. */
    private static boolean exists(KnownRedList.TestName test) throws IOException {
        Pattern declaration = Pattern.compile("\\bvoid " + test.method() + "\\(");
        for (String module : List.of("decision", "doorman", "lab")) {
            try (Stream<Path> files =
                    Files.walk(ROOT.resolve(module).resolve("src").resolve("test"))) {
                for (Path file : files.toList()) {
                    if (file.endsWith(test.className() + ".java")
                            && declaration.matcher(Files.readString(file)).find()) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** An entry that names no existing test would be passed over in silence for good. */
    @Test
    void everyListedTestExists() throws IOException {
        for (KnownRedList.Entry entry : list().entries()) {
            if (entry.test().isPresent()) {
                assertTrue(exists(entry.test().get()), "KNOWN-RED.txt names no existing test: " + entry.title());
            }
        }
    }

    @Test
    void everyEntryCanBeReproduced() throws IOException {
        for (KnownRedList.Entry entry : list().entries()) {
            assertEquals(List.of(), entry.missingFields(), "missing fields of the entry " + entry.title());
        }
    }

    @Test
    void aTestThatDoesNotExistIsNoticed() throws IOException {
        assertTrue(exists(new KnownRedList.TestName("KnownRedListTest", "everyListedTestExists")));
        assertFalse(exists(new KnownRedList.TestName("KnownRedListTest", "neverWritten")));
        assertFalse(exists(new KnownRedList.TestName("NeverWrittenTest", "everyListedTestExists")));
    }

    @Test
    void entriesAreParsed() {
        assertEquals(3, SAMPLE.entries().size());
        assertEquals(List.of(), SAMPLE.entries().get(0).missingFields());
        assertEquals(
                "it failed, and failed again", SAMPLE.entries().get(0).fields().get("seen"));
        assertEquals(
                List.of("command", "seen", "issue"), SAMPLE.entries().get(2).missingFields());
        assertTrue(SAMPLE.entries().get(2).test().isEmpty());
    }

    @Test
    void exactlyTheListedTestsArePassedOver() {
        KnownRedCondition condition = new KnownRedCondition(SAMPLE);
        assertTrue(condition
                .evaluate(new KnownRedList.TestName("SampleTest", "fails"))
                .isDisabled());
        assertFalse(condition
                .evaluate(new KnownRedList.TestName("SampleTest", "failsNot"))
                .isDisabled());
        assertFalse(condition
                .evaluate(new KnownRedList.TestName("OtherTest", "fails"))
                .isDisabled());
        assertFalse(condition
                .evaluate(new KnownRedList.TestName("OtherTest", "failsAtTimes"))
                .isDisabled());
    }

    /** The build has to register the condition; its file is the one at the root. */
    @Test
    void theBuildNamesTheList() throws IOException {
        Path named = Path.of(System.getProperty(KnownRedCondition.FILE_PROPERTY));
        assertTrue(Files.isSameFile(ROOT.resolve("KNOWN-RED.txt"), named));
        assertEquals("true", System.getProperty("junit.jupiter.extensions.autodetection.enabled"));
    }
}
