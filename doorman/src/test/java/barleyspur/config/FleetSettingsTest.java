package barleyspur.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the block fleet: values, defaults, and errors that name file, line and key. */
class FleetSettingsTest {

    @TempDir
    Path folder;

    @BeforeEach
    void writeKey() throws IOException {
        writeKey("good.key", "q8Zt1Lw5Vb2Nc7Xs4Kd9Jf6Hg3Ap0Yr1", "rw-r-----");
    }

    private void writeKey(String name, String text, String permissions) throws IOException {
        Files.writeString(folder.resolve(name), text + "\n");
        Files.setPosixFilePermissions(folder.resolve(name), PosixFilePermissions.fromString(permissions));
    }

    private FleetSettings read(String more) throws Hcl.InvalidHclException {
        return OwnSettings.read(folder.resolve("own.hcl"), "fleet \"kartli\" {\n" + more + "\n}\n")
                .fleet();
    }

    private String failure(String more) {
        String message =
                assertThrows(Hcl.InvalidHclException.class, () -> read(more)).getMessage();
        assertTrue(message.startsWith(folder.resolve("own.hcl") + ":"), message);
        return message.substring((folder.resolve("own.hcl") + ":").length()).replace(folder.toString(), "DIR");
    }

    @Test
    void fleetIsOffWithoutABlock() throws Hcl.InvalidHclException {
        assertNull(OwnSettings.read(Path.of("own.hcl"), "# nothing").fleet());
    }

    @Test
    void blockIsReadWithDefaults() throws Hcl.InvalidHclException {
        FleetSettings settings =
                read("listen = \"127.0.0.1:7101\"\nseeds = [\"127.0.0.2:7101\"]\nkey_file = \"good.key\"");
        assertEquals("127.0.0.1:7101", settings.advertisedAddress());
        assertEquals(List.of("127.0.0.2:7101"), settings.seedAddresses());
        assertEquals(500, settings.probePeriodMs());
        assertEquals(2, settings.newestFormat());
    }

    @Test
    void errorsNameLineAndKey() throws IOException {
        String listen = "listen = \"127.0.0.1:7101\"\n";
        String good = listen + "key_file = \"good.key\"\n";
        assertEquals("1: block fleet has no key listen", failure(""));
        assertEquals("1: block fleet has no key key_file", failure(listen));
        assertEquals("2: key listen is not an address with a port: 'here'", failure("listen = \"here\""));
        assertEquals(
                "4: key seeds names this doorman itself: 127.0.0.1:7101",
                failure(good + "seeds = [\"127.0.0.1:7101\"]"));
        assertEquals(
                "4: key seeds names 127.0.0.2:1 twice", failure(good + "seeds = [\"127.0.0.2:1\", \"127.0.0.2:1\"]"));
        assertEquals(
                "4: key period is no time from 100.0 to 10000.0 ms, as \"500ms\" or \"2s\": 1ms",
                failure(good + "period = \"1ms\""));
        assertEquals("4: key perod is unknown in block fleet: did you mean period?", failure(good + "perod = \"1s\""));
        assertTrue(failure(listen + "key_file = \"none.key\"")
                .startsWith("3: key key_file names DIR/none.key, which can't be"));
        writeKey("weak.key", "1111", "rw-------");
        assertTrue(failure(listen + "key_file = \"weak.key\"").contains("whose key is weak"));
        writeKey("open.key", "q8Zt1Lw5Vb2Nc7Xs4Kd9Jf6Hg3Ap0Yr1", "rw-r--r--");
        assertTrue(failure(listen + "key_file = \"open.key\"").contains("which everybody may read"));
        String twice = assertThrows(
                        Hcl.InvalidHclException.class,
                        () -> OwnSettings.read(
                                folder.resolve("own.hcl"),
                                "fleet \"a\" {\n" + good + "}\nfleet \"b\" {\n" + good + "}\n"))
                .getMessage();
        assertTrue(twice.endsWith("own.hcl:5: block fleet stands twice: a doorman has one fleet"), twice);
    }
}
