package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Describes a scenario step by step in words and marks the step at which an expectation is violated. Deterministic: the
 * same scenario gives the same steps.
 */
public final class TraceNarrative implements SimulationObserver {

    /**
     * One step of the narrative.
     *
     * @param atMs        time since the start of the scenario
     * @param isViolation whether the step describes the violation of the expectation
     */
    public record Step(double atMs, String text, boolean isViolation) {}

    private final Deployment deployment;
    private final ExpectationEvaluator evaluator;
    private final List<Step> steps = new ArrayList<>();
    /** Last update of each doorman's list, by doorman and box; without entry if there was none. */
    private final Map<Integer, Map<String, String>> listStatesByDoorman = new HashMap<>();

    private boolean violationReported;

    private TraceNarrative(Deployment deployment, Expectation expectation) {
        this.deployment = deployment;
        this.evaluator = new ExpectationEvaluator(deployment, List.of(expectation));
    }

    /** Simulates a scenario and describes it, up to its end. */
    public static List<Step> narrate(Scenario scenario, Expectation expectation) {
        return narrate(scenario, expectation, barleyspur.decision.LeastRecentlyLostPolicy::new);
    }

    static List<Step> narrate(
            Scenario scenario, Expectation expectation, ScenarioSimulation.PolicyFactory policyFactory) {
        TraceNarrative narrative = new TraceNarrative(scenario.deployment(), expectation);
        new ScenarioSimulation(scenario, policyFactory, narrative).run();
        narrative.evaluator.finish();
        narrative.reportViolation();
        return List.copyOf(narrative.steps);
    }

    private void addStep(double atMs, String format, Object... arguments) {
        steps.add(new Step(atMs, String.format(Locale.ROOT, format, arguments), false));
    }

    /** Adds steps about the first violation, once it has occurred. */
    private void reportViolation() {
        ExpectationEvaluator.Violation violation = evaluator.results().get(0).firstViolation;
        if (violation == null || violationReported) {
            return;
        }
        violationReported = true;
        Expectation expectation = violation.expectation();
        StringBuilder text =
                new StringBuilder("NOT as expected by \"" + expectation.name() + "\" (" + expectation.location() + ")");
        if (violation.failedTest() != null) {
            text.append(": ")
                    .append(violation.failedTest().location())
                    .append(": ")
                    .append(violation.failedTest().text())
                    .append(' ')
                    .append(violation.message());
            if (violation.event() != null) {
                Object value = violation.failedTest().field().extract(violation.event(), -1);
                text.append("; it is ").append(value instanceof Double number ? formatNumber(number) : value);
            }
        } else {
            text.append(": ").append(violation.message());
        }
        steps.add(new Step(violation.atMs(), text.toString(), true));
        if (violation.event() instanceof RoutingEvent.Attempt attempt) {
            steps.add(new Step(violation.atMs(), "  the target then: " + describe(attempt.target()), true));
            if (attempt.source() != null) {
                steps.add(new Step(violation.atMs(), "  the source then: " + describe(attempt.source()), true));
            }
        }
        if (violation.event() != null) {
            int doormanIndex = violation.event().clientTry().request().doormanIndex();
            Map<String, String> listStates = listStatesByDoorman.getOrDefault(doormanIndex, Map.of());
            steps.add(new Step(
                    violation.atMs(),
                    "  doorman " + doormanIndex + " had been told: "
                            + (listStates.isEmpty()
                                    ? "nothing since the start, when all boxes were in service"
                                    : String.join("; ", listStates.values())),
                    true));
        }
    }

    private static String describe(RoutingEvent.BoxView view) {
        StringBuilder text = new StringBuilder(view.box().uid() + " ("
                + view.role().label() + ", " + view.model() + ", " + view.station() + "), "
                + view.listedState().label() + " by the list since " + formatNumber(view.listedStateForMs()) + " ms");
        if (view.actualState() != view.listedState()) {
            text.append(", in truth ").append(view.actualState().label());
        }
        if (!Double.isNaN(view.coldForMs())) {
            text.append(", cold: told to have started ")
                    .append(formatNumber(view.coldForMs()))
                    .append(" ms ago, at ")
                    .append(formatNumber(view.pressure()))
                    .append(" of its budget");
        }
        if (!view.fault().equals("none")) {
            text.append(", fault: ").append(view.fault());
        }
        return text.toString();
    }

    private static String formatNumber(double number) {
        return Math.abs(number) >= 100 || number == Math.rint(number)
                ? Long.toString(Math.round(number))
                : String.format(Locale.ROOT, "%.2f", number);
    }

    // ---- observer --------------------------------------------------------------------------------------

    @Override
    public void onFault(double atMs, Fault fault, Box box) {
        String subject = box == null
                ? fault.kind() == Fault.Kind.PURGE ? "object " + Long.toHexString((long) fault.magnitude()) : "the list"
                : box.uid();
        addStep(
                atMs,
                "event: %s: %s%s",
                fault.kind().label(),
                subject,
                fault.kind().isReportedByList() ? "" : " for " + formatNumber(fault.durationMs()) + " ms");
        evaluator.onFault(atMs, fault, box);
        reportViolation();
    }

    @Override
    public void onListUpdate(double atMs, int doormanIndex, Box box, RoutingEvent.ListedState state, boolean newStart) {
        String change = box.uid() + " is " + state.label() + (newStart ? ", started late" : "");
        addStep(atMs, "doorman %d is told: %s", doormanIndex, change);
        listStatesByDoorman
                .computeIfAbsent(doormanIndex, k -> new HashMap<>())
                .put(box.uid(), change + " (at " + formatNumber(atMs) + " ms)");
        evaluator.onListUpdate(atMs, doormanIndex, box, state, newStart);
        reportViolation();
    }

    @Override
    public void onPurgeNotice(double atMs, int doormanIndex, long objectId) {
        addStep(atMs, "doorman %d is told: object %x is purged", doormanIndex, objectId);
    }

    @Override
    public void onLog(double atMs, int doormanIndex, String line) {
        addStep(atMs, "doorman %d says: %s", doormanIndex, line);
    }

    @Override
    public void onOutcome(double atMs, int doormanIndex, RoutingPolicy.Outcome outcome) {
        addStep(
                atMs,
                "doorman %d hears: try %d, attempt %d at node %d: %s%s after %s ms",
                doormanIndex,
                outcome.request(),
                outcome.attempt() + 1,
                outcome.node(),
                outcome.result().name().toLowerCase(Locale.ROOT),
                outcome.note() == RoutingPolicy.Note.NONE
                        ? ""
                        : " (" + outcome.note().name().toLowerCase(Locale.ROOT) + ")",
                formatNumber(outcome.latencyMs()));
    }

    @Override
    public void onRoutingEvent(RoutingEvent event) {
        RoutingEvent.ClientTry clientTry = event.clientTry();
        if (event instanceof RoutingEvent.Attempt attempt) {
            if (attempt.number() == 1) {
                addStep(
                        clientTry.arrivedAtMs(),
                        "client asks doorman %d: try %d (%s, object %x, part %d, %s KB, its try %d, %s ms)",
                        clientTry.request().doormanIndex(),
                        clientTry.id(),
                        clientTry.className(),
                        clientTry.request().objectId(),
                        clientTry.request().partIndex(),
                        formatNumber(clientTry.request().sizeKb()),
                        clientTry.tryNumber(),
                        formatNumber(clientTry.request().timeoutMs()));
            }
            addStep(
                    attempt.atMs(),
                    "doorman %d sends: try %d, attempt %d to %s%s%s%s",
                    clientTry.request().doormanIndex(),
                    clientTry.id(),
                    attempt.number(),
                    attempt.target().box().uid(),
                    attempt.source() == null
                            ? ", filling nothing"
                            : ", a miss filled from " + attempt.source().box().uid(),
                    attempt.rank() > 0 ? ", kept at rank " + attempt.rank() : "",
                    attempt.maxAgeMs() > 0 ? ", copies up to " + formatNumber(attempt.maxAgeMs()) + " ms old" : "");
        } else if (event instanceof RoutingEvent.Answer answer) {
            addStep(
                    answer.atMs(),
                    "doorman %d answers: try %d %s after %s ms%s",
                    clientTry.request().doormanIndex(),
                    clientTry.id(),
                    answer.outcome().label(),
                    formatNumber(answer.elapsedMs()),
                    answer.retryAfterMs() > 0 ? ", come back in " + formatNumber(answer.retryAfterMs()) + " ms" : "");
        }
        evaluator.onRoutingEvent(event);
        reportViolation();
    }

    /** A line that names the boxes of a deployment. */
    public static String describeDeployment(Deployment deployment) {
        List<String> names = new ArrayList<>();
        for (Box box : deployment.boxes()) {
            names.add(box.uid() + " (" + deployment.roleOf(box).label() + ", "
                    + deployment.stationNames().get(box.zoneIndex()) + ")");
        }
        return deployment.doormanSettings().size() + " doormans; " + String.join(", ", names);
    }
}
