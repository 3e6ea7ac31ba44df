package barleyspur.expect;

import static org.junit.jupiter.api.Assertions.assertEquals;

import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.Hcl;
import barleyspur.decision.LeastRecentlyLostPolicy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays an expectation on the groups of keyed requests where their class has each of the three scopes, with attempts that
 * are turned away, fail, or end in any other way that a random scenario brings.
 */
class KeyScopeTest {

    private static final String EXPECTATION = "repeats stay in their group";
    private static final int SCENARIOS = 120;
    private static final int CELLS = 2;

    /** A version in which the first attempt gives the group and the window, whatever has become of it. */
    private static final String RESTRICTS = "boolean restricts = !other.execution().isProvenNeverToHaveRun();";

    private static final String GROUP_OF_THE_FIRST_ATTEMPT = "other = otherAttempts.get(0); boolean restricts ="
            + " otherAttempts.stream().anyMatch(one -> !one.execution().isProvenNeverToHaveRun());";

    @TempDir
    private Path folder;

    /** Returns the example's fleet with a keyed class of this scope in place of the unsafe one, and caches in two cells. */
    private Deployment deployment(String scope) throws IOException, Configuration.InvalidConfigurationException {
        JSONObject json = new JSONObject(Files.readString(Path.of("../examples/expectations/station.json")));
        JSONArray classes = json.getJSONObject("settings").getJSONArray("grades");
        for (int i = 0; i < classes.length(); i++) {
            if (classes.getJSONObject(i).getString("repeat").equals("once")) {
                classes.getJSONObject(i)
                        .put("repeat", "by_key")
                        .put("keyScope", scope)
                        .put("keyTtlMs", 5_000);
            }
        }
        JSONArray targets = json.getJSONObject("known")
                .getJSONArray("cmds")
                .getJSONObject(0)
                .getJSONObject("nodes")
                .getJSONArray("targets");
        for (int i = 0; i < targets.length(); i++) {
            targets.getJSONObject(i).put("pod_group", i % CELLS);
        }
        Path file = folder.resolve(scope + ".json");
        return ExpectationCheck.readDeployment(Files.writeString(file, json.toString()));
    }

    private Checker.Verdict play(String scope, ScenarioSimulation.PolicyFactory policy)
            throws IOException, Configuration.InvalidConfigurationException, Hcl.InvalidHclException {
        Checker.Suite suite = ExpectationCheck.of(
                        deployment(scope), List.of("../examples/expectations/key-groups.hcl"), false)
                .suite(EXPECTATION, 1);
        int[] remaining = {SCENARIOS};
        boolean[] found = {false};
        Checker.Progress progress = new Checker.Progress() {
            @Override
            public void onScenario(long scenarios, long decisions, int refuted) {
                found[0] |= refuted > 0;
            }

            @Override
            public void onShrink(String name) {}
        };
        return new Checker(suite, policy, progress)
                .run(1, () -> !found[0] && remaining[0]-- > 0)
                .expectationResults()
                .get(0)
                .verdict();
    }

    @ParameterizedTest
    @ValueSource(strings = {"all", "zone", "cell"})
    void keyedRequestsStayInTheirGroup(String scope) throws Exception {
        assertEquals(Checker.Verdict.HOLDS, play(scope, LeastRecentlyLostPolicy::new));
    }

    /** Guards the check itself: it catches the fault by which a key ran in two cells. */
    @Test
    void groupOfTheFirstAttemptIsRefuted() throws Exception {
        ScenarioSimulation.PolicyFactory mutant =
                Mutants.mutant(folder, "RepeatRule.java", RESTRICTS, GROUP_OF_THE_FIRST_ATTEMPT);
        assertEquals(Checker.Verdict.REFUTED, play("cell", mutant));
    }
}
