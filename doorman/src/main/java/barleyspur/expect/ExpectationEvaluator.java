package barleyspur.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Evaluates a list of expectations on the routing events of one scenario. */
final class ExpectationEvaluator implements SimulationObserver {

    /**
     * An event that violates an expectation.
     *
     * @param event      null if an expected event did not occur
     * @param failedTest the test of the expectation that failed; null if no single test did
     * @param message    a description for the trace narrative
     */
    record Violation(
            Expectation expectation, double atMs, RoutingEvent event, Condition.FieldTest failedTest, String message) {}

    /** The evaluation of one expectation in one or more scenarios. */
    static final class Evaluation {
        /** Number of events or windows to which the expectation applied. */
        long evaluated;

        /** Number of these that satisfied it. */
        long satisfied;
        /** By index of another expectation: number of events to which both applied, and that satisfied both. */
        final Map<Integer, long[]> jointCounts = new HashMap<>();

        Violation firstViolation;

        /** Adds the counts of another evaluation. */
        void add(Evaluation other) {
            evaluated += other.evaluated;
            satisfied += other.satisfied;
            other.jointCounts.forEach((otherIndex, counts) -> {
                long[] sums = jointCounts.computeIfAbsent(otherIndex, k -> new long[2]);
                sums[0] += counts[0];
                sums[1] += counts[1];
            });
        }
    }

    /** A time window that a fault or a list update has opened. */
    private static final class TriggeredWindow {
        /** -1 if the window applies to all doormans. */
        final int doormanIndex;
        /** -1 if the window applies to the whole deployment. */
        final long nodeId;

        final double opensAtMs;
        double closesAtMs;
        boolean satisfied;
        boolean closedEarly;
        int eventCount;

        TriggeredWindow(int doormanIndex, long nodeId, double opensAtMs, double closesAtMs) {
            this.doormanIndex = doormanIndex;
            this.nodeId = nodeId;
            this.opensAtMs = opensAtMs;
            this.closesAtMs = closesAtMs;
        }
    }

    /** Counts the attempts and the distinct nodes of one key of a count expectation. */
    private record AttemptCount(Set<Object> distinctNodes, long[] attemptCounter) {}

    private final Deployment deployment;
    private final List<Expectation> expectations;
    private final List<Condition.EventKind> eventKinds;
    private final List<Evaluation> evaluations = new ArrayList<>();
    private final List<List<TriggeredWindow>> triggeredWindows = new ArrayList<>();
    private final List<Map<Object, AttemptCount>> attemptCounts = new ArrayList<>();
    /** Result of each expectation for the current event; null if the expectation does not apply to it. */
    private final Boolean[] currentResults;

    private double lastEventMs;

    ExpectationEvaluator(Deployment deployment, List<Expectation> expectations) {
        this.deployment = deployment;
        this.expectations = expectations;
        eventKinds = expectations.stream().map(Expectation::eventKind).toList();
        expectations.forEach(expectation -> {
            evaluations.add(new Evaluation());
            triggeredWindows.add(new ArrayList<>());
            attemptCounts.add(new HashMap<>());
        });
        currentResults = new Boolean[expectations.size()];
    }

    /** The evaluations, in the order of the expectations. */
    List<Evaluation> results() {
        return evaluations;
    }

    @Override
    public void onFault(double atMs, Fault fault, Box box) {
        lastEventMs = atMs;
        for (int i = 0; i < expectations.size(); i++) {
            Expectation.Window window = expectations.get(i).window();
            if (window != null && window.faults().contains(fault.kind()) && (box == null || matchesRole(window, box))) {
                openWindow(i, window, -1, box == null ? -1 : box.nodeId(), atMs);
            }
        }
    }

    @Override
    public void onListUpdate(double atMs, int doormanIndex, Box box, RoutingEvent.ListedState state, boolean newStart) {
        lastEventMs = atMs;
        for (int i = 0; i < expectations.size(); i++) {
            Expectation.Window window = expectations.get(i).window();
            boolean applies = window != null
                    && (!window.ownStationOnly()
                            || deployment.doormanSettings().get(doormanIndex).zone() == box.zoneIndex());
            if (!applies || !matchesRole(window, box)) {
                continue;
            }
            if (window.closingStates().contains(state)) {
                for (TriggeredWindow triggeredWindow : triggeredWindows.get(i)) {
                    if (triggeredWindow.nodeId == box.nodeId()
                            && (triggeredWindow.doormanIndex < 0 || triggeredWindow.doormanIndex == doormanIndex)
                            && atMs < triggeredWindow.closesAtMs) {
                        triggeredWindow.closesAtMs = atMs;
                        triggeredWindow.closedEarly = true;
                    }
                }
            }
            if (window.listedStates().contains(state) || newStart && window.onStart()) {
                openWindow(i, window, doormanIndex, box.nodeId(), atMs);
            }
        }
    }

    private boolean matchesRole(Expectation.Window window, Box box) {
        return window.roles().isEmpty() || window.roles().contains(deployment.roleOf(box));
    }

    private void openWindow(int index, Expectation.Window window, int doormanIndex, long nodeId, double atMs) {
        triggeredWindows
                .get(index)
                .add(new TriggeredWindow(
                        doormanIndex, nodeId, atMs + window.opensAfterMs(), atMs + window.closesAfterMs()));
    }

    @Override
    public void onRoutingEvent(RoutingEvent event) {
        lastEventMs = event.atMs();
        Condition.EventKind kind =
                event instanceof RoutingEvent.Attempt ? Condition.EventKind.ATTEMPT : Condition.EventKind.ANSWER;
        for (int i = 0; i < expectations.size(); i++) {
            Expectation expectation = expectations.get(i);
            currentResults[i] = null;
            if (eventKinds.get(i) != kind || expectation.requirement() instanceof Expectation.SettingRanges) {
                continue;
            }
            if (expectation.window() == null) {
                evaluate(i, event, -1, null);
            } else {
                for (TriggeredWindow triggeredWindow : triggeredWindows.get(i)) {
                    boolean applies = triggeredWindow.doormanIndex < 0
                            || triggeredWindow.doormanIndex
                                    == event.clientTry().request().doormanIndex();
                    if (applies
                            && event.atMs() >= triggeredWindow.opensAtMs
                            && event.atMs() < triggeredWindow.closesAtMs) {
                        evaluate(i, event, triggeredWindow.nodeId, triggeredWindow);
                    }
                }
            }
        }
        countAgreements();
    }

    private void evaluate(int index, RoutingEvent event, long triggerNode, TriggeredWindow triggeredWindow) {
        Expectation expectation = expectations.get(index);
        if (!expectation.precondition().holds(event, triggerNode)) {
            return;
        }
        Evaluation evaluation = evaluations.get(index);
        boolean conditionHolds = expectation.requirement().condition().holds(event, triggerNode);
        Expectation.Requirement requirement = expectation.requirement();
        if (requirement instanceof Expectation.Share share) {
            // An example of a violation: an event without the condition if the share has a lower bound, else one with
            // it.
            boolean isExample = share.min() > 0 ? !conditionHolds : conditionHolds;
            record(
                    index,
                    conditionHolds,
                    event,
                    conditionHolds
                            ? null
                            : expectation.requirement().condition().firstFailure(event, triggerNode),
                    share.min() > 0 ? "does not hold" : "holds too often",
                    isExample);
        } else if (requirement instanceof Expectation.Must) {
            record(
                    index,
                    conditionHolds,
                    event,
                    conditionHolds
                            ? null
                            : expectation.requirement().condition().firstFailure(event, triggerNode),
                    "does not hold",
                    !conditionHolds);
        } else if (requirement instanceof Expectation.Never) {
            record(
                    index,
                    !conditionHolds,
                    event,
                    conditionHolds
                            ? new Condition.Not(expectation.requirement().condition()).firstFailure(event, triggerNode)
                            : null,
                    "must never hold",
                    conditionHolds);
        } else if (requirement instanceof Expectation.Eventually) {
            triggeredWindow.eventCount++;
            triggeredWindow.satisfied |= conditionHolds;
        } else if (requirement instanceof Expectation.Count count && conditionHolds) {
            evaluation.evaluated++;
            evaluation.satisfied++;
            countAttempt(index, count, (RoutingEvent.Attempt) event);
        }
    }

    private void record(
            int index,
            boolean isSatisfied,
            RoutingEvent event,
            Condition.FieldTest failedTest,
            String message,
            boolean isExample) {
        Evaluation evaluation = evaluations.get(index);
        evaluation.evaluated++;
        evaluation.satisfied += isSatisfied ? 1 : 0;
        if (!(expectations.get(index).requirement() instanceof Expectation.Share)) {
            currentResults[index] = isSatisfied && (currentResults[index] == null || currentResults[index]);
        }
        if (isExample && evaluation.firstViolation == null) {
            evaluation.firstViolation =
                    new Violation(expectations.get(index), event.atMs(), event, failedTest, message);
        }
    }

    private void countAttempt(int index, Expectation.Count count, RoutingEvent.Attempt attempt) {
        Object key =
                switch (count.scope()) {
                    case REQUEST -> attempt.clientTry().id();
                    case OBJECT -> attempt.clientTry().request().objectId();
                    case BOX -> attempt.target().box().nodeId();
                    case STATION -> attempt.clientTry().zoneIndex();
                    case SCENARIO -> 0;
                };
        AttemptCount attemptCount =
                attemptCounts.get(index).computeIfAbsent(key, k -> new AttemptCount(new HashSet<>(), new long[1]));
        attemptCount.attemptCounter[0]++;
        if (count.item() == Expectation.CountedItem.TARGETS) {
            attemptCount.distinctNodes.add(attempt.target().box().nodeId());
        } else if (count.item() == Expectation.CountedItem.SOURCES && attempt.source() != null) {
            attemptCount.distinctNodes.add(attempt.source().box().nodeId());
        }
        double number = currentCount(count, attemptCount);
        if (number > count.max() && evaluations.get(index).firstViolation == null) {
            evaluations.get(index).satisfied--;
            evaluations.get(index).firstViolation = new Violation(
                    expectations.get(index),
                    attempt.atMs(),
                    attempt,
                    null,
                    describeCount(count, number) + ", more than " + formatNumber(count.max()));
        }
    }

    private static double currentCount(Expectation.Count count, AttemptCount attemptCount) {
        return count.item() == Expectation.CountedItem.ATTEMPTS
                ? attemptCount.attemptCounter[0]
                : attemptCount.distinctNodes.size();
    }

    private static String describeCount(Expectation.Count count, double number) {
        return formatNumber(number) + " " + count.item().name().toLowerCase(Locale.ROOT) + " per "
                + count.scope().name().toLowerCase(Locale.ROOT);
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Evaluates windows and lower bounds of counts at the end of the scenario. */
    void finish() {
        for (int i = 0; i < expectations.size(); i++) {
            Expectation expectation = expectations.get(i);
            Evaluation evaluation = evaluations.get(i);
            if (expectation.requirement() instanceof Expectation.Eventually eventually) {
                for (TriggeredWindow triggeredWindow : triggeredWindows.get(i)) {
                    // An unsatisfied window is no violation if it was closed early, if it lasts beyond the end of the
                    // scenario or if it contains too few events.
                    if (triggeredWindow.satisfied
                            || !triggeredWindow.closedEarly
                                    && triggeredWindow.closesAtMs <= lastEventMs
                                    && triggeredWindow.eventCount >= eventually.minEvents()) {
                        evaluation.evaluated++;
                        evaluation.satisfied += triggeredWindow.satisfied ? 1 : 0;
                        if (!triggeredWindow.satisfied && evaluation.firstViolation == null) {
                            evaluation.firstViolation = new Violation(
                                    expectation,
                                    triggeredWindow.closesAtMs,
                                    null,
                                    null,
                                    "nothing of the kind in " + triggeredWindow.eventCount + " moments");
                        }
                    }
                }
            } else if (expectation.requirement() instanceof Expectation.Count count && count.min() > 0) {
                for (AttemptCount attemptCount : attemptCounts.get(i).values()) {
                    double number = currentCount(count, attemptCount);
                    if (number < count.min() && evaluation.firstViolation == null) {
                        evaluation.satisfied--;
                        evaluation.firstViolation = new Violation(
                                expectation,
                                lastEventMs,
                                null,
                                null,
                                describeCount(count, number) + ", fewer than " + formatNumber(count.min()));
                    }
                }
            }
        }
    }

    /** For each two expectations that apply to the current event: counts the event, and whether it satisfies both. */
    private void countAgreements() {
        for (int i = 0; i < currentResults.length; i++) {
            for (int j = i + 1; currentResults[i] != null && j < currentResults.length; j++) {
                if (currentResults[j] != null) {
                    long[] agreement = evaluations.get(i).jointCounts.computeIfAbsent(j, k -> new long[2]);
                    agreement[0]++;
                    agreement[1] += currentResults[i] && currentResults[j] ? 1 : 0;
                }
            }
        }
    }
}
