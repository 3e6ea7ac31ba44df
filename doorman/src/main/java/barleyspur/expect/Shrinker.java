package barleyspur.expect;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Makes a counterexample small: leaves out events, requests and boxes, ever smaller parts of them, as long as the same
 * expectation is still refuted (delta debugging: Zeller and Hildebrandt 2002).
 */
final class Shrinker {

    private final Predicate<Scenario> stillFails;
    private int remainingRuns;

    /** @param plays how often it may play at most */
    Shrinker(Predicate<Scenario> refuted, int plays) {
        this.stillFails = refuted;
        this.remainingRuns = plays;
    }

    /** How many plays are left. */
    int unusedRuns() {
        return remainingRuns;
    }

    /** The smallest scenario that was found, from one that is refuted at {@code atMs}. */
    Scenario shrink(Scenario original, double violationMs) {
        Scenario smallest = original;
        Scenario truncated = smallest.withRequests(smallest.requests().stream()
                        .filter(a -> a.arrivalMs() <= violationMs)
                        .toList())
                .withFaults(smallest.faults().stream()
                        .filter(f -> f.atMs() <= violationMs)
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

    /** Leaves out as many as it can: halves first, then ever smaller runs, at last one by one. */
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
