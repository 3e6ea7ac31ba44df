package barleyspur.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of the blocks budgets and budget: values, defaults, and errors that name file, line and key. */
class BudgetSettingsTest {

    private static final String VOTERS = "voters = [\"127.0.0.1:7101\"]";

    @TempDir
    Path folder;

    @BeforeEach
    void writeKey() throws IOException {
        Files.writeString(folder.resolve("good.key"), "q8Zt1Lw5Vb2Nc7Xs4Kd9Jf6Hg3Ap0Yr1\n");
        Files.setPosixFilePermissions(folder.resolve("good.key"), PosixFilePermissions.fromString("rw-r-----"));
    }

    private OwnSettings read(String text) throws Hcl.InvalidHclException {
        return OwnSettings.read(
                folder.resolve("own.hcl"),
                "fleet \"k\" {\nlisten = \"127.0.0.1:7101\"\nkey_file = \"good.key\"\n" + "}\n" + text);
    }

    private String failure(String text) {
        String message =
                assertThrows(Hcl.InvalidHclException.class, () -> read(text)).getMessage();
        assertTrue(message.startsWith(folder.resolve("own.hcl") + ":"), message);
        return message.substring((folder.resolve("own.hcl") + ":").length());
    }

    private static String budget(String more) {
        return "budgets {\n" + VOTERS + "\n}\nbudget \"b\" {\n" + more + "\n}\n";
    }

    @Test
    void budgetsAreOffWithoutABlock() throws Hcl.InvalidHclException {
        assertNull(read("").budgets());
    }

    @Test
    void blocksAreReadWithDefaults() throws Hcl.InvalidHclException {
        BudgetSettings settings =
                read(budget("kind = \"places\"\nwhole = 3\nat = \"cache\"")).budgets();
        assertEquals(
                new BudgetConfig.Budget("b", BudgetKind.PLACES, 3, 16, 0, 1, 5_000),
                settings.config().budgetFor("b:s-1"));
        assertEquals(List.of("127.0.0.1:7101"), settings.config().voters());
        assertEquals(0, settings.guardedModelIndexes(List.of("cache", "parent")).get("b"));
    }

    @Test
    void errorsNameLineAndKey() throws Hcl.InvalidHclException {
        assertEquals(
                "5: block budgets has no key voters: the advertised addresses of three or five doormans",
                failure("budgets {\n}\n"));
        assertEquals(
                "5: block budgets stands without any block budget \"NAME\" { ... }",
                failure("budgets {\n" + VOTERS + "\n}\n"));
        assertEquals(
                "5: block budget stands without a block budgets { voters = [...] }", failure("budget \"b\" {\n}\n"));
        assertEquals(
                "9: key kind is \"place\": rate, places or amount was wanted", failure(budget("kind = \"place\"")));
        assertEquals("8: block budget has no key whole", failure(budget("kind = \"places\"")));
        assertEquals(
                "11: key floor is 1: times the largest fleet of 16 that is over the whole of 15",
                failure(budget("kind = \"places\"\nwhole = 15\nfloor = 1")));
        assertEquals(
                "11: key floor can't be set aside from an amount: who starts anew doesn't know what was spent",
                failure(budget("kind = \"amount\"\nwhole = 50\nfloor = 1")));
        assertEquals(
                "11: key burst makes a burst of 5.0, under one unit for each of 16 doormans",
                failure(budget("kind = \"rate\"\nwhole = 50\nburst = 5")));
        assertEquals(
                "11: key lease makes a lease of 1000.0 ms, under twice the time that a place may be held and the slack: "
                        + "4100.0 ms",
                failure(budget("kind = \"places\"\nwhole = 50\nlease = \"1s\"")));
        assertEquals(
                "11: key leese is unknown in block budget: did you mean lease?",
                failure(budget("kind = \"rate\"\nwhole = 50\nleese = \"1s\"")));
        OwnSettings other = read(budget("kind = \"rate\"\nwhole = 50\nat = \"cash\""));
        String message = assertThrows(
                        Hcl.InvalidHclException.class, () -> other.budgets().validateModels(List.of("cache", "parent")))
                .getMessage();
        assertTrue(
                message.endsWith(
                        "own.hcl:11: key at is no model of the configuration: cash is not among cache, parent"),
                message);
    }

    /** Only changed capacities, bursts and weights apply without a restart; other changes are named. */
    @Test
    void changesThatRequireARestartAreNamed() throws Hcl.InvalidHclException {
        OwnSettings before = read(budget("kind = \"rate\"\nwhole = 50\nat = \"cache\""));
        assertEquals(
                List.of(),
                before.changesRequiringRestart(
                        read(budget("kind = \"rate\"\nwhole = 90\nweight = 2\nat = \"cache\""))));
        assertEquals(
                List.of("budgets"),
                before.changesRequiringRestart(
                        read(budget("kind = \"rate\"\nwhole = 50\nlease = \"9s\"\nat = " + "\"cache\""))));
        assertEquals(
                List.of("budget b at"),
                before.changesRequiringRestart(read(budget("kind = \"rate\"\nwhole = 50\nat = \"parent\""))));
        assertEquals(List.of("budgets"), before.changesRequiringRestart(read("")));
    }
}
