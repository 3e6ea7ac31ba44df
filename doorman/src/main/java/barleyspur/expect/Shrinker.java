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

    private final Predicate<Scenario> refuted;
    private int plays;

    /** @param plays how often it may play at most */
    Shrinker(Predicate<Scenario> refuted, int plays) {
        this.refuted = refuted;
        this.plays = plays;
    }

    /** How many plays are left. */
    int left() {
        return plays;
    }

    /** The smallest scenario that was found, from one that is refuted at {@code atMs}. */
    Scenario shrink(Scenario from, double atMs) {
        Scenario now = from;
        Scenario cut = now.withAsks(
                        now.asks().stream().filter(a -> a.atMs() <= atMs).toList())
                .withFaults(now.faults().stream().filter(f -> f.atMs() <= atMs).toList());
        now = holds(cut) ? cut : now;
        int before;
        do {
            before = size(now);
            Scenario base = now;
            now = base.withFaults(reduce(base.faults(), base::withFaults));
            Scenario fewer = now;
            now = fewer.withAsks(reduce(fewer.asks(), fewer::withAsks));
            Scenario few = now;
            now = few.with(few.site()
                    .with(reduce(
                            few.site().boxes(), boxes -> few.with(few.site().with(boxes)))));
        } while (size(now) < before && plays > 0);
        return now;
    }

    private static int size(Scenario s) {
        return s.faults().size() + s.asks().size() + s.site().boxes().size();
    }

    private boolean holds(Scenario s) {
        return plays-- > 0 && refuted.test(s);
    }

    /** Leaves out as many as it can: halves first, then ever smaller runs, at last one by one. */
    private <T> List<T> reduce(List<T> from, Function<List<T>, Scenario> with) {
        List<T> now = from;
        if (!now.isEmpty() && holds(with.apply(List.of()))) {
            return List.of();
        }
        for (int run = Math.max(1, now.size() / 2); run >= 1 && plays > 0; run /= 2) {
            for (int at = 0; at < now.size() && plays > 0; ) {
                List<T> fewer = new ArrayList<>(now.subList(0, at));
                fewer.addAll(now.subList(Math.min(now.size(), at + run), now.size()));
                if (fewer.size() < now.size() && holds(with.apply(fewer))) {
                    now = fewer;
                } else {
                    at += run;
                }
            }
        }
        return now;
    }
}
