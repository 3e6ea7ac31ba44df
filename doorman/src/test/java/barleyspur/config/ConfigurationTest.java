package barleyspur.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the platform's configuration: values, defaults, and errors that name the invalid key. */
class ConfigurationTest {

    private static final String CONFIG =
            """
        {"name":"n3","listen":"10.0.0.4:7001","seed":"8c1f30d27a5be964","channel":"10.2.0.1:2379",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"cursor":3,"cmds":[]},
         "settings":{"areas":["central","edge-1"],"flavors":["small","large","parent","origin"],
          "groupSize":3,"myNumber":2,"myZone":1,"resolutionMs":2.0,
          "grades":[{"name":"parts","promiseMs":600.0,"hardLimitMs":6000.0,"repeat":"repeatable"},
                    {"name":"record","promiseMs":700.0,"hardLimitMs":3000.0,"repeat":"once"}],
          "familyInfo":{"midKind":2,"masterKind":3,"paceKbPerS":5800.0,"passOn":[false,true],"zoneBalancers":[0,3]},
          "limits":{"sendCap":8,"multiplex":16},
          "rules":{"fallMs":3000.0,"answerSlackMs":8.0,"drainGraceMs":2000.0,"coldFrom":0.24,"coldMs":17000.0,
                   "tipMultiple":3.0}}}
        """;

    private static String failure(String from, String to) {
        return assertThrows(
                        Configuration.InvalidConfigurationException.class,
                        () -> Configuration.read(new JSONObject(CONFIG.replace(from, to)), Map.of()))
                .getMessage();
    }

    @Test
    void nestedSettingsAreRead() throws Configuration.InvalidConfigurationException {
        Configuration configuration =
                Configuration.read(new JSONObject(CONFIG), Map.of("RELAY_LISTEN", "10.0.0.5:7002"));
        assertEquals("n3", configuration.name());
        assertEquals(7002, configuration.listenAddress().getPort());
        assertEquals(0x8c1f30d27a5be964L, configuration.seed());
        assertEquals(List.of("parts", "record"), configuration.names().classes());
        assertEquals(List.of(0, 3), configuration.settings().doormansPerZone());
        assertTrue(configuration.settings().classes().get(1).write());
        assertEquals(5.8, configuration.settings().paceKbPerMs());
        assertEquals(new Configuration.Limits(1024, 192, 20_000, 16, 400, 15_000), configuration.limits());
        Configuration neighbour =
                Configuration.read(new JSONObject(CONFIG.replace("\"myNumber\":2", "\"myNumber\":1")), Map.of());
        assertEquals(
                configuration.settingsDigest(), neighbour.settingsDigest(), "the doorman's own number is left out");
    }

    /** Changes that a reload can't apply must be named. The address of the command channel can be applied. */
    @Test
    void aReloadNamesChangesThatRequireARestart() throws Configuration.InvalidConfigurationException {
        Configuration before = Configuration.read(new JSONObject(CONFIG), Map.of());
        Configuration moved = Configuration.read(new JSONObject(CONFIG.replace(":2379", ":2380")), Map.of());
        Configuration other = Configuration.read(
                new JSONObject(CONFIG.replace("1024", "512")
                        .replace("\"fallMs\":3000", "\"fallMs\":2000")
                        .replace("n3", "n4")),
                Map.of());
        assertEquals(List.of(), before.changesRequiringRestart(moved));
        assertEquals(List.of("name", "limits", "settings"), before.changesRequiringRestart(other));
        assertEquals(2380, before.withRuntimeChanges(moved).channelAddress().getPort());
    }

    @Test
    void errorsNameTheInvalidKey() {
        assertEquals("key listen is not an address with a port: 'here'", failure("10.0.0.4:7001", "here"));
        assertEquals("key channel is not an address with a port: ''", failure("\"channel\":\"10.2.0.1:2379\",", ""));
        assertEquals("key seed is not a number in hex digits", failure("8c1f30d27a5be964", "dice"));
        assertEquals("key limits.sockets is missing or under 64", failure("\"sockets\":1024", "\"sockets\":3"));
        assertEquals("key limits.memory_mb is under 32", failure("\"memory_mb\":192", "\"memory_mb\":8"));
        assertEquals("key known.cursor is missing or no number from 0 on", failure("\"cursor\":3,", ""));
        assertEquals("key known.cmds is missing or no list", failure("\"cmds\":[]", "\"cmd\":[]"));
        assertEquals("key known.cmds.0 is no object", failure("\"cmds\":[]", "\"cmds\":[7]"));
        assertEquals("key settings is missing or no object", failure("\"settings\"", "\"setting\""));
        assertEquals("setting grades.1.name is missing", failure("\"name\":\"record\",", ""));
        assertEquals("setting areas is missing or empty", failure("\"areas\"", "\"zones\""));
        assertEquals(
                "setting limits.multiplex is not a number from 1 on: '0'",
                failure("\"multiplex\":16", "\"multiplex\":0"));
        assertEquals("setting rules.fallMs is not a number", failure("\"fallMs\":3000.0", "\"fallMs\":\"long\""));
        assertEquals("setting limits.sendCap is missing", failure("\"sendCap\":8,", ""));
    }

    @Test
    void aMissingVariableIsNamed() {
        assertEquals(
                "variable RELAY_CONFIG is missing",
                assertThrows(Configuration.InvalidConfigurationException.class, () -> Configuration.load(Map.of()))
                        .getMessage());
    }

    /**
     * Guards against a reload that makes every request fail: a deadline, a target latency or a limit on attempts that
     * is not a number greater than 0 is rejected like a missing key.
     */
    @Test
    void aDeadlineOrLimitThatIsNotAPositiveNumberIsRejected() {
        assertEquals("setting grades.0.hardLimitMs is not a number above 0", failure("6000.0", "-5"));
        assertEquals("setting grades.0.hardLimitMs is not a number above 0", failure("6000.0", "0"));
        assertEquals("setting grades.0.hardLimitMs is not a number", failure("6000.0", "\"soon\""));
        assertEquals("setting grades.1.promiseMs is not a number above 0", failure("700.0", "-1"));
        assertEquals("setting limits.sendCap is not a number above 0", failure("\"sendCap\":8", "\"sendCap\":0"));
        assertEquals("setting grades.1.name is the name of grades.0", failure("\"record\"", "\"parts\""));
    }

    /** Error messages name the file, the line and the key, which operators search the log for. */
    @Test
    void errorsNameFileLineAndKey(@TempDir Path folder) throws IOException {
        Path file = folder.resolve("config.json");
        Map<String, String> variables = Map.of("RELAY_CONFIG", file.toString());
        Files.writeString(file, CONFIG.replace("6000.0", "-5"));
        assertEquals(
                file + ":5: setting grades.0.hardLimitMs is not a number above 0",
                assertThrows(Configuration.InvalidConfigurationException.class, () -> Configuration.load(variables))
                        .getMessage());
        Files.writeString(file, CONFIG.replace("\"listen\":\"10.0.0.4:7001\",", ""));
        assertTrue(
                assertThrows(Configuration.InvalidConfigurationException.class, () -> Configuration.load(variables))
                        .getMessage()
                        .startsWith(file + ": key listen is not an address"),
                "a missing key has no line");
        for (String broken : List.of("", CONFIG.substring(0, CONFIG.length() / 2), "{}")) {
            Files.writeString(file, broken);
            String message = assertThrows(
                            Configuration.InvalidConfigurationException.class, () -> Configuration.load(variables))
                    .getMessage();
            assertTrue(message.startsWith(file.toString()), message);
        }
    }
}
