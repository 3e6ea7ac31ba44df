package barleyspur.expect;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The input of one simulation: a deployment, its faults and its client requests. Self-contained, so that it can be
 * stored and replayed.
 *
 * @param seed         seed of the routing policies and of the random choices of the simulation
 * @param maxRetries   maximum number of retries of a client
 * @param marksRetries whether clients mark retries as repeats
 * @param meanWorkMs   mean time to send a response, by class index, as the cold-box rule counts load; does not change
 *                     if requests are removed
 */
public record Scenario(
        Deployment deployment,
        long seed,
        int maxRetries,
        boolean marksRetries,
        List<Double> meanWorkMs,
        List<Fault> faults,
        List<ClientRequest> requests) {

    /** Creates a scenario and computes the mean work from its requests. */
    static Scenario of(
            Deployment deployment,
            long seed,
            int maxRetries,
            boolean marksRetries,
            List<Fault> faults,
            List<ClientRequest> requests) {
        List<Double> meanWorkMs =
                new ArrayList<>(Collections.nCopies(deployment.classNames().size(), 0.0));
        int[] counts = new int[meanWorkMs.size()];
        for (ClientRequest request : requests) {
            meanWorkMs.set(
                    request.classIndex(),
                    meanWorkMs.get(request.classIndex())
                            + request.sizeKb() / deployment.sharedSettings().paceKbPerMs());
            counts[request.classIndex()]++;
        }
        for (int i = 0; i < counts.length; i++) {
            meanWorkMs.set(i, meanWorkMs.get(i) / Math.max(1, counts[i]));
        }
        return new Scenario(
                deployment,
                seed,
                maxRetries,
                marksRetries,
                List.copyOf(meanWorkMs),
                List.copyOf(faults),
                List.copyOf(requests));
    }

    Scenario withDeployment(Deployment reduced) {
        return new Scenario(reduced, seed, maxRetries, marksRetries, meanWorkMs, faults, requests);
    }

    Scenario withFaults(List<Fault> remaining) {
        return new Scenario(deployment, seed, maxRetries, marksRetries, meanWorkMs, List.copyOf(remaining), requests);
    }

    Scenario withRequests(List<ClientRequest> remaining) {
        return new Scenario(deployment, seed, maxRetries, marksRetries, meanWorkMs, faults, List.copyOf(remaining));
    }
}
