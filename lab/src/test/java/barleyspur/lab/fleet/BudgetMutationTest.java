package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import barleyspur.budget.BudgetKind;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Mutation tests: each mutant changes one piece of the source of the budget logic and must be caught by a named check,
 * which is random schedules, the exploration of a small state space, or a test of {@link BudgetSimulationTest}.
 */
class BudgetMutationTest {

    private static final Path SOURCES = Path.of("..", "doorman", "src", "main", "java", "barleyspur", "budget");
    private static final String RANDOM = "random";
    private static final String EXPLORE = "explore ";

    @TempDir
    Path folder;

    static Stream<Arguments> mutants() {
        return Stream.of(
                Arguments.of(
                        "a lease is granted again before it has expired",
                        "LeaseCoordinator.java",
                        "report.sequence(), amount, context.nowMs + durationMs * BudgetConfig.DRIFT_MARGIN));",
                        "report.sequence(), amount, context.nowMs + durationMs / 2));",
                        EXPLORE + "PLACES"),
                Arguments.of(
                        "a restarted voter doesn't abstain",
                        "AgentContext.java",
                        "return config.leaderLeaseMs() * BudgetConfig.DRIFT_MARGIN;",
                        "return 0;",
                        "restartedVotersAbstain"),
                Arguments.of(
                        "units in use are not counted",
                        "LeaseCoordinator.java",
                        "holder.inUse = ignoresInUse ? 0 : Math.max(0, report.inUse());",
                        "holder.inUse = 0;",
                        RANDOM),
                Arguments.of(
                        "each process has the full burst",
                        "BudgetLimiter.java",
                        "1 + (budget.burst() - config.maxDoormans()) * "
                                + "Math.min(rate, budget.capacity()) / budget.capacity()",
                        "budget.burst()",
                        RANDOM),
                Arguments.of(
                        "half of the voters are a majority",
                        "BudgetConfig.java",
                        "return voters.size() / 2 + 1;",
                        "return voters.size() / 2;",
                        RANDOM),
                Arguments.of(
                        "the largest configured capacity applies",
                        "LeaseCoordinator.java",
                        "capacity = Math.min(capacity, holder.capacity);",
                        "capacity = Math.max(capacity, holder.capacity);",
                        "smallestConfiguredCapacityApplies"),
                Arguments.of(
                        "a lease counts from the arrival of its grant",
                        "LeaseHolder.java",
                        "return request.sentAtMs;",
                        "return context.nowMs;",
                        RANDOM),
                Arguments.of(
                        "a new coordinator skips the recovery wait",
                        "LeaseCoordinator.java",
                        "return startMs + budget.leaseMs() * BudgetConfig.DRIFT_MARGIN;",
                        "return startMs;",
                        EXPLORE + "PLACES"),
                Arguments.of(
                        "reports from before an epoch count in it",
                        "LeaseCoordinator.java",
                        "boolean isCurrent = request.lastEpoch() == epoch || context.nowMs >= recoveryEndMs(budget);",
                        "boolean isCurrent = true;",
                        "reportFromAnEarlierEpochDoesntCount"),
                Arguments.of(
                        "a grant of an earlier request is applied",
                        "LeaseHolder.java",
                        "limiter == null || grant.sequence() <= limiter.acceptedSequence ? Double.NaN",
                        "limiter == null ? Double.NaN",
                        EXPLORE + "PLACES"),
                Arguments.of(
                        "sequence numbers start at one after a restart",
                        "LeaseHolder.java",
                        "sequence = context.random.nextLong() >>> INITIAL_SEQUENCE_SHIFT;",
                        "sequence = 0;",
                        "grantToAnEarlierRunIsIgnored"),
                Arguments.of(
                        "a promise is identified by its ballot alone",
                        "Voter.java",
                        "request.ballot() == promisedBallot && from.equals(promisedTo);",
                        "request.ballot() == promisedBallot;",
                        "promiseIsToOneCandidate"),
                Arguments.of(
                        "a voter promises its vote to two candidates at once",
                        "Voter.java",
                        "context.nowMs >= promiseEndMs || "
                                + "request.ballot() == promisedBallot && from.equals(promisedTo);",
                        "true;",
                        RANDOM),
                Arguments.of(
                        "a leader lease counts from the arrival of the votes",
                        "LeaderElection.java",
                        "confirmedMsByVoter.merge(from, requestSentMs, Math::max);",
                        "confirmedMsByVoter.merge(from, context.nowMs + context.config.leaderLeaseMs(), Math::max);",
                        RANDOM),
                Arguments.of(
                        "places are acquired up to the end of the lease",
                        "BudgetLimiter.java",
                        "return leaseEndMs - config.sendSlackMs() - "
                                + "(budget.kind() == BudgetKind.PLACES ? config.maxHoldMs() : 0);",
                        "return leaseEndMs - config.sendSlackMs();",
                        "placesAreReleasedBeforeTheLeaseExpires"),
                Arguments.of(
                        "floors are not reserved",
                        "LeaseCoordinator.java",
                        "- Math.min(budget.floor(), capacity / context.config.maxDoormans()) "
                                + "* context.config.maxDoormans();",
                        ";",
                        RANDOM),
                Arguments.of(
                        "a smaller lease is assumed before the holder has applied it",
                        "LeaseCoordinator.java",
                        "long amount = Math.max(0, Math.min(holder.targetAmount, leasable - othersCommitted));",
                        "long amount = Math.max(0, Math.min(holder.targetAmount, leasable - othersCommitted));"
                                + " holder.outstanding.clear();",
                        RANDOM),
                Arguments.of(
                        "any release frees a promise",
                        "Voter.java",
                        "if (release.ballot() == promisedBallot && from.equals(promisedTo)) {",
                        "if (promisedBallot != 0) {",
                        RANDOM),
                Arguments.of(
                        "an amount is opened during the recovery wait",
                        "LeaseCoordinator.java",
                        "if (pool.periodId == 0 && context.nowMs >= recoveryEndMs(budget)) {",
                        "if (pool.periodId == 0) {",
                        "amountIsNotReopenedByTheNextCoordinator"),
                Arguments.of(
                        "the reported use is not capped",
                        "LeaseCoordinator.java",
                        "holder.inUse = Math.min(holder.inUse, Math.max(holder.maxLeased, report.leasedAmount()));",
                        "",
                        "falseReportsAreBoundedByWeight"),
                Arguments.of(
                        "requests with another configuration are accepted",
                        "BudgetAgent.java",
                        "if (request.configDigest() != context.configDigest) {",
                        "if (request.configDigest() == 0) {",
                        "otherConfigurationsGetNothing"),
                Arguments.of(
                        "all get their demand",
                        "LeaseCoordinator.java",
                        "long amount = Math.max(0, Math.min(holder.targetAmount, leasable - othersCommitted));",
                        "long amount = holder.demand;",
                        RANDOM));
    }

    /** The unchanged source, compiled in the same way as the mutants, passes the checks. */
    @Test
    void unchangedSourcePasses() throws Exception {
        ClassLoader unchanged = SourceMutation.compile(
                folder, SOURCES, "barleyspur.budget.", "BudgetLimiter.java", "inUse++", "inUse++");
        check(unchanged, RANDOM);
        check(unchanged, EXPLORE + "PLACES");
        check(unchanged, "otherConfigurationsGetNothing");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("mutants")
    void mutantIsCaught(String name, String file, String original, String replacement, String check) throws Exception {
        assertEquals(
                2,
                Files.readString(SOURCES.resolve(file)).split(Pattern.quote(original), -1).length,
                "occurs once in the source: " + original);
        ClassLoader mutant = SourceMutation.compile(folder, SOURCES, "barleyspur.budget.", file, original, replacement);
        assertThrows(AssertionError.class, () -> check(mutant, check));
    }

    private static void check(ClassLoader loader, String name) throws Exception {
        if (name.startsWith(EXPLORE)) {
            SourceMutation.invokeCheck(
                    loader,
                    "BudgetMutationTest",
                    "explore",
                    new Class<?>[] {String.class},
                    name.substring(EXPLORE.length()));
        } else if (name.equals(RANDOM)) {
            for (int doormans : new int[] {3, 5}) {
                SourceMutation.invokeCheck(
                        loader,
                        "BudgetSimulationTest",
                        "randomSchedulesNeverExceedTheCapacity",
                        new Class<?>[] {int.class, int.class, int.class},
                        doormans,
                        8,
                        150);
            }
        } else {
            SourceMutation.invokeCheck(loader, "BudgetSimulationTest", name, new Class<?>[0]);
        }
    }

    /** Runs the exploration; called on the classes of a mutant. */
    static void explore(String kind) {
        BudgetModelChecker.ExplorationResult result = new BudgetModelChecker(BudgetKind.valueOf(kind), 12).explore(2);
        assertEquals(null, result.violation());
    }
}
