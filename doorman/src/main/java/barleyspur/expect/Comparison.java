package barleyspur.expect;

import barleyspur.decision.LeastRecentlyLostPolicy;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/** What changes in routing between two configurations, request by request: the same requests and events in both. */
public final class Comparison {

    /** How a client's first try went in one of the two. */
    private record Way(String target, String source, int rank, String ending, int attempts) {
        static final Way NONE = new Way("none", "none", 0, "none", 0);
    }

    /** One request that goes another way. */
    public record Difference(Ask ask, String category, String what, String before, String after) {}

    /**
     * @param requests how many were compared
     * @param changed  how many go another way
     * @param kinds    how many changed in what
     * @param first    the first ones
     */
    public record Result(
            long requests, long changed, Map<String, Long> kinds, List<Difference> first, long scenarios) {}

    private static final int MOST_SHOWN = 20;

    private Comparison() {}

    /**
     * Plays the same scenarios, of the fleet of {@code before}, with the settings and boxes of both. Stations and classes
     * must be the same.
     */
    public static Result of(
            Site before, Site after, List<Load> loads, List<Case> cases, long seed, int depth, BooleanSupplier more) {
        Explorer explorer = new Explorer(before, loads, cases, seed, depth, true);
        Map<String, Long> kinds = new LinkedHashMap<>();
        List<Difference> first = new ArrayList<>();
        long requests = 0;
        long changed = 0;
        long scenarios = 0;
        int least = (cases.size() * Explorer.VARIANTS + 1) * loads.size();
        while (scenarios < least || more.getAsBoolean()) {
            Scenario one = explorer.next().scenario();
            scenarios++;
            Scenario other = moved(one, before, after);
            Map<Integer, Way> ways = ways(one);
            Map<Integer, Way> others = ways(other);
            for (Ask a : one.asks()) {
                Way x = ways.getOrDefault(a.number(), Way.NONE);
                Way y = others.getOrDefault(a.number(), Way.NONE);
                requests++;
                if (x.equals(y)) {
                    continue;
                }
                changed++;
                String what = !x.target.equals(y.target)
                        ? "target"
                        : !x.source.equals(y.source)
                                ? "source"
                                : x.rank != y.rank ? "rank" : !x.ending.equals(y.ending) ? "answer" : "attempts";
                kinds.merge(what, 1L, Long::sum);
                if (first.size() < MOST_SHOWN) {
                    first.add(new Difference(
                            a, one.site().classes().get(a.category()), what, x.toString(), y.toString()));
                }
            }
        }
        return new Result(requests, changed, kinds, first, scenarios);
    }

    /** The same requests and events in the other fleet: what it lacks is not struck, what is new in it is there. */
    private static Scenario moved(Scenario one, Site before, Site after) {
        Set<Long> played = numbers(one.site());
        Set<Long> known = numbers(before);
        List<Box> boxes = after.boxes().stream()
                .filter(b -> played.contains(b.node()) || !known.contains(b.node()))
                .toList();
        Site site = Site.of(
                after.name(),
                after.told(),
                after.any(),
                one.site().doormanZones(),
                one.site().zones(),
                after.kinds(),
                one.site().classes(),
                boxes);
        Set<Long> there = numbers(site);
        return one.with(site)
                .withFaults(one.faults().stream()
                        .filter(f -> f.node() < 0 || there.contains(f.node()))
                        .toList());
    }

    private static Set<Long> numbers(Site site) {
        return site.boxes().stream().map(Box::node).collect(Collectors.toSet());
    }

    private static Map<Integer, Way> ways(Scenario scenario) {
        Map<Integer, Way> ways = new LinkedHashMap<>();
        new World(scenario, LeastRecentlyLostPolicy::new, new Observer() {
                    @Override
                    public void moment(Moment m) {
                        int number = m.asked().ask().number();
                        if (m.asked().attempt() > 1) {
                            return;
                        }
                        Way w = ways.getOrDefault(number, Way.NONE);
                        if (m instanceof Moment.Attempt a && a.number() == 1) {
                            w = new Way(
                                    a.target().box().uid(),
                                    a.source() == null
                                            ? "none"
                                            : a.source().box().uid(),
                                    a.rank(),
                                    w.ending,
                                    1);
                        } else if (m instanceof Moment.Answer a) {
                            w = new Way(w.target, w.source, w.rank, a.ending().word(), a.attempts());
                        }
                        ways.put(number, w);
                    }

                    @Override
                    public void happened(double atMs, Fault fault, Box box) {}

                    @Override
                    public void told(double atMs, int doorman, Box box, Moment.Told told, boolean started) {}
                })
                .play();
        return ways;
    }
}
