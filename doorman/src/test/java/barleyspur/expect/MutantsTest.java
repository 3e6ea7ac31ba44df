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
 * Mutation test of the deployment's expectations: the unchanged decision module meets all of them, and each mutant,
 * which lacks one guard, is refuted by the expectation for that guard.
 */
class MutantsTest {

    private static final int SCENARIOS = 400;

    @TempDir
    private Path folder;

    private static Checker.Suite book(String only)
            throws Configuration.InvalidConfigurationException, Hcl.InvalidHclException {
        Deployment site = ExpectationCheck.readDeployment(Path.of("../examples/expectations/station.json"));
        return ExpectationCheck.of(site, List.of("../deploy/expectations.hcl"), false)
                .suite(only, 1);
    }

    @Test
    void theUnchangedModuleMeetsAllExpectationsAndNoneIsVacuous()
            throws Configuration.InvalidConfigurationException, Hcl.InvalidHclException {
        int[] remaining = {SCENARIOS};
        Checker.Result result = Checker.of(book(""), Checker.Progress.NONE).run(1, () -> remaining[0]-- > 0);
        assertTrue(
                result.isSuccess(true),
                result.expectationResults().stream()
                        .filter(finding -> finding.verdict() != Checker.Verdict.HOLDS)
                        .map(finding -> finding.expectation().name() + " is " + finding.verdict())
                        .collect(Collectors.joining(", ")));
        assertEquals(List.of(), result.conflicts());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            textBlock =
                    """
        a draining cache stays a target | no new work for a draining box | NodeDirectory.java | if (node.isReady() && isCache(node)) { | if (isCache(node)) {
        a draining parent stays a source | no new work for a draining box | NodeDirectory.java | node.isReady() && node.listing.kind() == settings.parentKind() | node.listing.kind() == settings.parentKind()
        nodes missing in a complete list are kept | no new work for a draining box | LeastRecentlyLostPolicy.java | if (members.kind() != ListKind.DELTA) { | if (members.kind() == ListKind.FAILED) {
        no budget for cold caches | no cold cache is pushed over | LeastRecentlyLostPolicy.java | return node.coldBudget.covers(workMs); | return true;
        no budget for cold parents | no cold district cache is pushed over | LeastRecentlyLostPolicy.java | return node.coldBudget.covers(workMs); | return true;
        a cold parent is chosen like any other | no cold district cache is pushed over | LeastRecentlyLostPolicy.java | && (fill ? coldBudgetAllows(node, workMs) : !isCold(node))) { | ) {
        a budget that is much too large | no cold cache is pushed over | LeastRecentlyLostPolicy.java | double load = COLD_BUDGET_SHARE * rule.overloadMultiple() * | double load = 8 * rule.overloadMultiple() *
        a purge bounds no age | no copy from before a purge is asked for | LeastRecentlyLostPolicy.java | return freshMs > 0 ? Math.min(freshMs, boundMs) : boundMs; | return freshMs;
        a purge bounds ages for too short a time | no copy from before a purge is asked for | LeastRecentlyLostPolicy.java | sincePurgeMs > settings.purgeCompleteMs() + settings.tickMs() | sincePurgeMs > settings.purgeGraceMs()
        an unsafe request is sent again | an unsafe request goes out once | RepeatRule.java | boolean restricts = !other | boolean restricts = requestClass.effect() != RoutingPolicy.Effect.UNSAFE && !other
        an unsafe request that may have run is refused | an unsafe refusal means it never ran | LeastRecentlyLostPolicy.java | boolean mayHaveTakenEffect = pending.attempts | boolean mayHaveTakenEffect = pending.endedAttempts < 0 && pending.attempts
        no final answer shortly before the deadline | answered in time | LeastRecentlyLostPolicy.java | private void giveUp(OpenRequest pending) { | private void giveUp(OpenRequest pending) { if (pending.deadlineMs - nowMs < 10) { return; }
        no final answer when the retry budget is spent | final answers at once | LeastRecentlyLostPolicy.java | retryTokens < 1) {¶giveUp(pending); | retryTokens < 1) {¶
        a refusal without a pause | come back later | LeastRecentlyLostPolicy.java | new Refuse(id, settings.maxRetryAfterMs()) | new Refuse(id, 0)
        a closed request is sent again | nothing after the end | LeastRecentlyLostPolicy.java | if (!currentRequest.closed && !currentRequest.hasAttemptsInFlight()) { | if (!currentRequest.hasAttemptsInFlight()) {
        each doorman has its own order of parents | one home for an object | LeastRecentlyLostPolicy.java | long object = pending.request.object(); | long object = pending.request.object() + settings.doormanIndex();
        losses make no copies | hot_spread | LeastRecentlyLostPolicy.java | private static final int RANK_AFTER_LOSS = 3; | private static final int RANK_AFTER_LOSS = 2;
        """)
    void eachMutantIsRefuted(String what, String expectation, String file, String from, String to)
            throws IOException, Configuration.InvalidConfigurationException, Hcl.InvalidHclException {
        String newline = "\n            ";
        ScenarioSimulation.PolicyFactory mutant =
                Mutants.mutant(folder, file, from.replace("¶", newline), to.replace("¶", newline));
        int[] remaining = {SCENARIOS};
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
                new Checker(book(expectation), mutant, progress).run(1, () -> !found[0] && remaining[0]-- > 0);
        Checker.ExpectationResult finding = result.expectationResults().get(0);
        assertEquals(
                Checker.Verdict.REFUTED,
                finding.verdict(),
                what + ": held in " + finding.satisfied() + " of " + finding.evaluated());
        Checker.Counterexample counterexample = finding.counterexample();
        System.out.printf(
                "mutant: %s: caught in scenario %d; %d events, %d requests, %d boxes -> %d, %d, %d%n",
                what,
                finding.refutedAtScenario(),
                counterexample.originalFaults(),
                counterexample.originalRequests(),
                counterexample.originalBoxes(),
                counterexample.scenario().faults().size(),
                counterexample.scenario().requests().size(),
                counterexample.scenario().deployment().boxes().size());
    }
}
