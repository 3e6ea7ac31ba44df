package barleyspur.expect;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One thing to play: a fleet, what happens to it, and what clients ask. Whole in itself, so that it can be written
 * down and played again.
 *
 * @param seed     of the doormans and of what the boxes draw
 * @param maxRetries  how often a client tries again by itself
 * @param marksRetries   whether it says so
 * @param meanWorkMs how long it takes to send a request of each class on average, in ms, as the rule on cold boxes
 *                 counts it; it stays when requests are left out
 */
public record Scenario(
        Deployment deployment,
        long seed,
        int maxRetries,
        boolean marksRetries,
        List<Double> meanWorkMs,
        List<Fault> faults,
        List<ClientRequest> requests) {

    /** With the mean work of these requests. */
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
