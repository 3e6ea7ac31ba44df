package barleyspur.expect;

import barleyspur.decision.LeastRecentlyLostPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** Checks expectations on a routing policy by simulating scenarios in one or more deployments. */
public final class Checker {

    /**
     * The expectations to check and the scenarios to check them in.
     *
     * @param maxSequenceLength maximum length of the fault sequences that are enumerated exhaustively
     */
    public record Suite(
            List<Expectation> expectations,
            List<Deployment> deployments,
            List<Workload> workloads,
            List<FaultScript> faultScripts,
            int maxSequenceLength) {}

    /** The result of checking one expectation. */
    public enum Verdict {
        HOLDS("holds"),
        REFUTED("refuted"),
        VACUOUS("vacuous");

        private final String labelText;

        Verdict(String labelText) {
            this.labelText = labelText;
        }

        /** The name in reports. */
        public String label() {
            return labelText;
        }
    }

    /**
     * A scenario that violates an expectation.
     *
     * @param scenario         the scenario after shrinking
     * @param originalFaults   number of faults before shrinking
     * @param originalRequests number of requests before shrinking
     * @param originalBoxes    number of boxes before shrinking
     * @param shrinkRuns       number of simulations for shrinking
     */
    public record Counterexample(
            Scenario scenario,
            String expectationName,
            int originalFaults,
            int originalRequests,
            int originalBoxes,
            int shrinkRuns) {}

    /**
     * The result for one expectation.
     *
     * @param evaluated         number of events, windows or settings to which it applied
     * @param satisfied         number of these that satisfied it
     * @param refutedAtScenario number of the first scenario that violated it, from 1; 0: none
     * @param counterexample    null unless refuted by a scenario
     */
    public record ExpectationResult(
            Expectation expectation,
            Verdict verdict,
            long evaluated,
            long satisfied,
            int refutedAtScenario,
            Counterexample counterexample) {}

    /** Two expectations that applied to the same events, of which none satisfied both. */
    public record Conflict(Expectation first, Expectation second, long eventCount) {}

    /** The results and the extent of a check. */
    public record Result(
            List<ExpectationResult> expectationResults,
            List<Conflict> conflicts,
            long scenarios,
            long decisions,
            long requests,
            List<String> coverageSummaries) {

        /** Whether no expectation is refuted and, if {@code strict}, none is vacuous. */
        public boolean isSuccess(boolean strict) {
            return expectationResults.stream()
                    .noneMatch(result ->
                            result.verdict() == Verdict.REFUTED || strict && result.verdict() == Verdict.VACUOUS);
        }
    }

    /** Receives progress reports of a check. */
    public interface Progress {
        /** A scenario was simulated; the arguments are totals so far. */
        void onScenario(long scenarios, long decisions, int refuted);

        /** Shrinking the counterexample of an expectation starts. */
        void onShrink(String expectation);

        /** Ignores progress. */
        Progress NONE = new Progress() {
            @Override
            public void onScenario(long scenarios, long decisions, int refuted) {}

            @Override
            public void onShrink(String expectation) {}
        };
    }

    private static final int MAX_SHRINK_RUNS = 1_500;
    /** Minimum number of events to which two expectations must both apply before a conflict is reported. */
    private static final int MIN_JOINT_EVENTS = 20;

    private final Suite suite;
    private final ScenarioSimulation.PolicyFactory policyFactory;
    private final Progress progress;
    private final List<ExpectationEvaluator.Evaluation> totals = new ArrayList<>();
    private final Map<Integer, ExpectationEvaluator.Violation> firstViolations = new HashMap<>();
    private final Map<Integer, ScenarioGenerator.PlannedScenario> violatingScenarios = new HashMap<>();
    private final Map<Integer, Integer> violatingScenarioNumbers = new HashMap<>();
    private long scenarios;
    private long decisions;
    private long requests;

    Checker(Suite suite, ScenarioSimulation.PolicyFactory policyFactory, Progress progress) {
        this.suite = suite;
        this.policyFactory = policyFactory;
        this.progress = progress;
        suite.expectations().forEach(expectation -> totals.add(new ExpectationEvaluator.Evaluation()));
    }

    /** A checker of the production routing policy. */
    public static Checker of(Suite suite, Progress progress) {
        return new Checker(suite, LeastRecentlyLostPolicy::new, progress);
    }

    /**
     * Simulates scenarios while {@code continueRunning} allows it, and shrinks counterexamples. The fault scripts and
     * the sequence without faults are always simulated.
     */
    public Result run(long seed, BooleanSupplier continueRunning) {
        List<ScenarioGenerator> generators = new ArrayList<>();
        for (Deployment deployment : suite.deployments()) {
            generators.add(new ScenarioGenerator(
                    deployment, suite.workloads(), suite.faultScripts(), seed, suite.maxSequenceLength(), true));
        }
        int requiredRounds = (suite.faultScripts().size() * ScenarioGenerator.VARIANTS_PER_SCRIPT + 1)
                * suite.workloads().size();
        boolean stopped = false;
        for (int round = 0; !stopped; round++) {
            for (int i = 0; i < generators.size() && !stopped; i++) {
                if (round >= requiredRounds && !continueRunning.getAsBoolean()) {
                    stopped = true;
                } else {
                    runScenario(generators.get(i).next(), suite.deployments().get(i));
                }
            }
        }
        List<ExpectationResult> results = new ArrayList<>();
        for (int i = 0; i < totals.size(); i++) {
            results.add(resultOf(i));
        }
        return new Result(
                results,
                findConflicts(),
                scenarios,
                decisions,
                requests,
                generators.stream().map(ScenarioGenerator::coverageSummary).toList());
    }

    private void runScenario(ScenarioGenerator.PlannedScenario plan, Deployment deployment) {
        List<Expectation> applicable = new ArrayList<>();
        List<Integer> indexes = new ArrayList<>();
        for (int i = 0; i < suite.expectations().size(); i++) {
            Expectation expectation = suite.expectations().get(i);
            if (matches(expectation.deployments(), deployment.name())
                    && matches(expectation.cases(), plan.caseName())
                    && matches(expectation.workloads(), plan.workloadName())) {
                applicable.add(expectation);
                indexes.add(i);
            }
        }
        ExpectationEvaluator evaluator = evaluate(plan.scenario(), applicable);
        scenarios++;
        requests += plan.scenario().requests().size();
        for (int k = 0; k < indexes.size(); k++) {
            ExpectationEvaluator.Evaluation evaluation = evaluator.results().get(k);
            int index = indexes.get(k);
            ExpectationEvaluator.Evaluation total = totals.get(index);
            total.evaluated += evaluation.evaluated;
            total.satisfied += evaluation.satisfied;
            evaluation.jointCounts.forEach((otherIndex, counts) -> {
                long[] sums = total.jointCounts.computeIfAbsent(indexes.get(otherIndex), key -> new long[2]);
                sums[0] += counts[0];
                sums[1] += counts[1];
            });
            if (evaluation.firstViolation != null && !firstViolations.containsKey(index)) {
                firstViolations.put(index, evaluation.firstViolation);
                violatingScenarios.put(index, plan);
                violatingScenarioNumbers.put(index, (int) scenarios);
            }
        }
        // A single event does not refute a share.
        int refuted = (int) firstViolations.values().stream()
                .filter(violation -> !(violation.expectation().requirement() instanceof Expectation.Share))
                .count();
        progress.onScenario(scenarios, decisions, refuted);
    }

    private static boolean matches(Set<String> names, String name) {
        return names.isEmpty() || names.contains(name);
    }

    private ExpectationEvaluator evaluate(Scenario scenario, List<Expectation> expectations) {
        ExpectationEvaluator evaluator = new ExpectationEvaluator(scenario.deployment(), expectations);
        ScenarioSimulation simulation = new ScenarioSimulation(scenario, policyFactory, evaluator);
        simulation.run();
        evaluator.finish();
        decisions += simulation.decisionCount();
        return evaluator;
    }

    private ExpectationResult resultOf(int index) {
        Expectation expectation = suite.expectations().get(index);
        if (expectation.requirement() instanceof Expectation.SettingRanges ranges) {
            int violated = ranges.violated().size();
            return new ExpectationResult(
                    expectation,
                    violated == 0 ? Verdict.HOLDS : Verdict.REFUTED,
                    ranges.settings().size(),
                    ranges.settings().size() - violated,
                    0,
                    null);
        }
        ExpectationEvaluator.Evaluation total = totals.get(index);
        boolean refuted = firstViolations.containsKey(index);
        if (expectation.requirement() instanceof Expectation.Share requirement) {
            double share = total.evaluated == 0 ? 1 : (double) total.satisfied / total.evaluated;
            refuted = share < requirement.min() || share > requirement.max();
        }
        Verdict verdict = total.evaluated == 0 ? Verdict.VACUOUS : refuted ? Verdict.REFUTED : Verdict.HOLDS;
        Counterexample counterexample =
                refuted && firstViolations.containsKey(index) ? shrink(index, expectation) : null;
        return new ExpectationResult(
                expectation,
                verdict,
                total.evaluated,
                total.satisfied,
                refuted ? violatingScenarioNumbers.getOrDefault(index, 0) : 0,
                counterexample);
    }

    private Counterexample shrink(int index, Expectation expectation) {
        progress.onShrink(expectation.name());
        Scenario original = violatingScenarios.get(index).scenario();
        Shrinker shrinker = new Shrinker(
                scenario -> evaluate(scenario, List.of(expectation)).results().get(0).firstViolation != null,
                MAX_SHRINK_RUNS);
        Scenario shrunk = shrinker.shrink(original, firstViolations.get(index).atMs());
        return new Counterexample(
                shrunk,
                expectation.name(),
                original.faults().size(),
                original.requests().size(),
                original.deployment().boxes().size(),
                MAX_SHRINK_RUNS - Math.max(0, shrinker.unusedRuns()));
    }

    private List<Conflict> findConflicts() {
        List<Conflict> conflicts = new ArrayList<>();
        for (int i = 0; i < totals.size(); i++) {
            for (Map.Entry<Integer, long[]> entry : totals.get(i).jointCounts.entrySet()) {
                long[] counts = entry.getValue();
                if (counts[0] >= MIN_JOINT_EVENTS && counts[1] == 0) {
                    conflicts.add(new Conflict(
                            suite.expectations().get(i), suite.expectations().get(entry.getKey()), counts[0]));
                }
            }
        }
        return conflicts;
    }
}
