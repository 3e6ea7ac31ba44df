package barleyspur.expect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.Hcl;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The deployment's file of expectations is worth what it catches: the module as it is keeps to all of it, and each
 * module with one guard taken out is refuted by the expectation that speaks of that guard.
 */
class MutantsTest {

    private static final int SCENARIOS = 400;

    @TempDir
    private Path folder;

    private static Checker.Suite book(String only) throws Configuration.Invalid, Hcl.Invalid {
        Deployment site = ExpectationCheck.site(Path.of("../examples/expectations/station.json"));
        return ExpectationCheck.of(site, List.of("../deploy/expectations.hcl"), false)
                .book(only, 1);
    }

    @Test
    void theModuleAsItIsKeepsToAllAndNoneIsVacuous() throws Configuration.Invalid, Hcl.Invalid {
        int[] left = {SCENARIOS};
        Checker.Result result = Checker.of(book(""), Checker.Progress.NONE).run(1, () -> left[0]-- > 0);
        assertTrue(
                result.isSuccess(true),
                result.expectationResults().stream()
                        .filter(f -> f.verdict() != Checker.Verdict.HOLDS)
                        .map(f -> f.expectation().name() + " is " + f.verdict())
                        .collect(Collectors.joining(", ")));
        assertEquals(List.of(), result.conflicts());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
        a draining cache stays a target      | no new work for a draining box | Fleet.java | if (s.ready() && isCache(s)) { | if (isCache(s)) {
        a draining parent stays a source     | no new work for a draining box | Fleet.java | s.ready() && s.node.kind() == settings.parentKind() | s.node.kind() == settings.parentKind()
        a list that leaves a box out is not heard | no new work for a draining box | Decide.java | if (e.kind() != ListKind.DELTA) { | if (e.kind() == ListKind.FAILED) {
        no budget for cold caches            | no cold cache is pushed over | Decide.java | return s.cold.covers(work); | return true;
        no budget for cold parents           | no cold district cache is pushed over | Decide.java | return s.cold.covers(work); | return true;
        a cold parent is chosen as any other | no cold district cache is pushed over | Decide.java | && (fill ? coldAllows(s, work) : !cold(s))) { | ) {
        a budget that is much too large      | no cold cache is pushed over | Decide.java | double load = BUDGET_USED * rule.fallMultiple() * | double load = 8 * rule.fallMultiple() *
        a purge bounds no age                | no copy from before a purge is asked for | Decide.java | return fresh > 0 ? Math.min(fresh, bound) : bound; | return fresh;
        a purge bounds ages too short a time | no copy from before a purge is asked for | Decide.java | since > settings.purgeDoneMs() + settings.tickMs() | since > settings.purgeGraceMs()
        an unsafe request is sent again      | an unsafe request goes out once | Decide.java | if (c.effect() == Effect.UNSAFE) {¶return false; | if (c.effect() == Effect.UNSAFE) {¶return true;
        an unsafe request that may have run is refused | an unsafe refusal means it never ran | Decide.java | boolean mayRun = o.maybeRan | boolean mayRun = o.back < 0
        what comes last is not given up      | answered in time | Decide.java | private void giveUp(Open o) { | private void giveUp(Open o) { if (o.deadline - now < 10) { return; }
        what is given up is held             | final answers at once | Decide.java | retryTokens < 1) {¶giveUp(o); | retryTokens < 1) {¶
        a refusal names no time              | come back later | Decide.java | new Refuse(id, settings.maxRetryAfterMs()) | new Refuse(id, 0)
        what is over is sent again           | nothing after the end | Decide.java | if (!o.over && !o.waiting()) { | if (!o.waiting()) {
        each doorman has parents of its own  | one home for an object | Decide.java | long object = o.request.object(); | long object = o.request.object() + settings.me();
        losses make no copies                | hot_spread | Decide.java | private static final int RANK_LOST = 3; | private static final int RANK_LOST = 2;
        """)
    void eachIsCaught(String what, String expectation, String file, String from, String to)
            throws IOException, Configuration.Invalid, Hcl.Invalid {
        String newline = "\n            ";
        ScenarioSimulation.PolicyFactory mutant =
                Mutants.mutant(folder, file, from.replace("¶", newline), to.replace("¶", newline));
        int[] left = {SCENARIOS};
        boolean[] found = {false};
        Checker.Progress progress = new Checker.Progress() {
            @Override
            public void onScenario(long scenarios, long decisions, int refuted) {
                found[0] |= refuted > 0 && !expectation.equals("hot_spread");
            }

            @Override
            public void onShrink(String name) {}
        };
        Checker.Result result =
                new Checker(book(expectation), mutant, progress).run(1, () -> !found[0] && left[0]-- > 0);
        Checker.ExpectationResult f = result.expectationResults().get(0);
        assertEquals(
                Checker.Verdict.REFUTED, f.verdict(), what + ": held in " + f.satisfied() + " of " + f.evaluated());
        Checker.Counterexample c = f.counterexample();
        System.out.printf(
                "mutant: %s: caught in scenario %d; %d events, %d requests, %d boxes -> %d, %d, %d%n",
                what,
                f.refutedAtScenario(),
                c.originalFaults(),
                c.originalRequests(),
                c.originalBoxes(),
                c.scenario().faults().size(),
                c.scenario().requests().size(),
                c.scenario().deployment().boxes().size());
    }
}
