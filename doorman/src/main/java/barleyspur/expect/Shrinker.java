package barleyspur.expect;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Shrinks a counterexample: removes faults, requests and boxes in ever smaller chunks, as long as the scenario still
 * violates the same expectation (delta debugging: Zeller and Hildebrandt 2002).
 */
final class Shrinker {

    private final Predicate<Scenario> stillFails;
    private int remainingRuns;

    /**
     * Creates a shrinker.
     *
     * @param stillFails whether a scenario violates the expectation
     * @param maxRuns    maximum number of simulations
     */
    Shrinker(Predicate<Scenario> stillFails, int maxRuns) {
        this.stillFails = stillFails;
        this.remainingRuns = maxRuns;
    }

    /** Number of simulations that are left. */
    int unusedRuns() {
        return remainingRuns;
    }

    /** The smallest scenario found, starting from one with a violation at {@code violationMs}. */
    Scenario shrink(Scenario original, double violationMs) {
        Scenario smallest = original;
        Scenario truncated = smallest.withRequests(smallest.requests().stream()
                        .filter(request -> request.arrivalMs() <= violationMs)
                        .toList())
                .withFaults(smallest.faults().stream()
                        .filter(fault -> fault.atMs() <= violationMs)
                        .toList());
        smallest = reproduces(truncated) ? truncated : smallest;
        int previousSize;
        do {
            previousSize = size(smallest);
            Scenario withAllFaults = smallest;
            smallest = withAllFaults.withFaults(reduce(withAllFaults.faults(), withAllFaults::withFaults));
            Scenario withAllRequests = smallest;
            smallest = withAllRequests.withRequests(reduce(withAllRequests.requests(), withAllRequests::withRequests));
            Scenario withAllBoxes = smallest;
            smallest = withAllBoxes.withDeployment(withAllBoxes
                    .deployment()
                    .withBoxes(reduce(
                            withAllBoxes.deployment().boxes(),
                            boxes -> withAllBoxes.withDeployment(
                                    withAllBoxes.deployment().withBoxes(boxes)))));
        } while (size(smallest) < previousSize && remainingRuns > 0);
        return smallest;
    }

    private static int size(Scenario scenario) {
        return scenario.faults().size()
                + scenario.requests().size()
                + scenario.deployment().boxes().size();
    }

    private boolean reproduces(Scenario scenario) {
        return remainingRuns-- > 0 && stillFails.test(scenario);
    }

    /** Removes as many elements as possible: first all, then halves, then ever smaller chunks, at last single ones. */
    private <T> List<T> reduce(List<T> original, Function<List<T>, Scenario> toScenario) {
        List<T> smallest = original;
        if (!smallest.isEmpty() && reproduces(toScenario.apply(List.of()))) {
            return List.of();
        }
        for (int chunkSize = Math.max(1, smallest.size() / 2); chunkSize >= 1 && remainingRuns > 0; chunkSize /= 2) {
            for (int start = 0; start < smallest.size() && remainingRuns > 0; ) {
                List<T> candidate = new ArrayList<>(smallest.subList(0, start));
                candidate.addAll(smallest.subList(Math.min(smallest.size(), start + chunkSize), smallest.size()));
                if (candidate.size() < smallest.size() && reproduces(toScenario.apply(candidate))) {
                    smallest = candidate;
                } else {
                    start += chunkSize;
                }
            }
        }
        return smallest;
    }
}
