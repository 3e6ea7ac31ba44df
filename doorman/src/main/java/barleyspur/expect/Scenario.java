package barleyspur.expect;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One thing to play: a fleet, what happens to it, and what clients ask. Whole in itself, so that it can be written
 * down and played again.
 *
 * @param seed     of the doormans and of what the boxes draw
 * @param retries  how often a client tries again by itself
 * @param marked   whether it says so
 * @param meanWork how long it takes to send a request of each class on average, in ms, as the rule on cold boxes
 *                 counts it; it stays when requests are left out
 */
public record Scenario(
        Site site, long seed, int retries, boolean marked, List<Double> meanWork, List<Fault> faults, List<Ask> asks) {

    /** With the mean work of these requests. */
    static Scenario of(Site site, long seed, int retries, boolean marked, List<Fault> faults, List<Ask> asks) {
        List<Double> sums = new ArrayList<>(Collections.nCopies(site.classes().size(), 0.0));
        int[] counts = new int[sums.size()];
        for (Ask a : asks) {
            sums.set(
                    a.category(),
                    sums.get(a.category()) + a.sizeKb() / site.any().paceKbPerMs());
            counts[a.category()]++;
        }
        for (int i = 0; i < counts.length; i++) {
            sums.set(i, sums.get(i) / Math.max(1, counts[i]));
        }
        return new Scenario(site, seed, retries, marked, List.copyOf(sums), List.copyOf(faults), List.copyOf(asks));
    }

    Scenario with(Site other) {
        return new Scenario(other, seed, retries, marked, meanWork, faults, asks);
    }

    Scenario withFaults(List<Fault> fewer) {
        return new Scenario(site, seed, retries, marked, meanWork, List.copyOf(fewer), asks);
    }

    Scenario withAsks(List<Ask> fewer) {
        return new Scenario(site, seed, retries, marked, meanWork, faults, List.copyOf(fewer));
    }
}
