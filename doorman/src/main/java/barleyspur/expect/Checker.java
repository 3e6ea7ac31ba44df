package barleyspur.expect;

import barleyspur.decision.LeastRecentlyLostPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** Checks expectations against a decision module, in one or more fleets. */
public final class Checker {

    /** What is to be checked: expectations, and where. */
    public record Book(
            List<Expectation> expectations, List<Site> fleets, List<Load> loads, List<Case> cases, int depth) {}

    /** How it went with one expectation. */
    public enum Verdict {
        HOLDS("holds"),
        REFUTED("refuted"),
        VACUOUS("vacuous");

        private final String word;

        Verdict(String word) {
            this.word = word;
        }

        /** The verdict in one word, as it is printed. */
        public String word() {
            return word;
        }
    }

    /**
     * A scenario in which an expectation fails.
     *
     * @param found how many events, requests and boxes it had when it was found
     * @param scenario what is left of it
     */
    public record Counterexample(
            Scenario scenario, String expectation, int foundEvents, int foundRequests, int foundBoxes, int plays) {}

    /**
     * @param judged how many moments or windows it spoke of
     * @param held   of how many of them it held
     * @param counterexample null unless refuted
     */
    public record Finding(
            Expectation expectation,
            Verdict verdict,
            long judged,
            long held,
            int refutedAtScenario,
            Counterexample counterexample) {}

    /** Two expectations that no moment met both of. */
    public record Conflict(Expectation one, Expectation other, long moments) {}

    /** All that was found, and how much was played. */
    public record Result(
            List<Finding> findings,
            List<Conflict> conflicts,
            long scenarios,
            long decisions,
            long requests,
            List<String> covered) {

        /** Whether every expectation holds; vacuous ones do where {@code strict} is false. */
        public boolean good(boolean strict) {
            return findings.stream()
                    .noneMatch(f -> f.verdict() == Verdict.REFUTED || strict && f.verdict() == Verdict.VACUOUS);
        }
    }

    /** Told how far a check has come. */
    public interface Progress {
        /** So many scenarios and decisions have been played, and so many expectations are refuted. */
        void played(long scenarios, long decisions, int refuted);

        /** A counterexample to this expectation is being made shorter. */
        void shrinking(String expectation);

        /** Tells nobody. */
        Progress NONE = new Progress() {
            @Override
            public void played(long scenarios, long decisions, int refuted) {}

            @Override
            public void shrinking(String expectation) {}
        };
    }

    private static final int SHRINK_PLAYS = 1_500;
    /** Moments that two expectations must both have spoken of before they are said to contradict each other. */
    private static final int LEAST_SHARED = 20;

    private final Book book;
    private final World.Maker maker;
    private final Progress progress;
    private final List<Judge.Tally> totals = new ArrayList<>();
    private final Map<Integer, Judge.Violation> violations = new HashMap<>();
    private final Map<Integer, Explorer.Plan> foundIn = new HashMap<>();
    private final Map<Integer, Integer> foundAt = new HashMap<>();
    private long scenarios;
    private long decisions;
    private long requests;

    Checker(Book book, World.Maker maker, Progress progress) {
        this.book = book;
        this.maker = maker;
        this.progress = progress;
        book.expectations().forEach(e -> totals.add(new Judge.Tally()));
    }

    /** With the decision module as it is. */
    public static Checker of(Book book, Progress progress) {
        return new Checker(book, LeastRecentlyLostPolicy::new, progress);
    }

    /**
     * Plays scenarios as long as {@code more} says so, but each case and the fleet in which nothing happens in any
     * case, and makes counterexamples small.
     */
    public Result run(long seed, BooleanSupplier more) {
        List<Explorer> explorers = new ArrayList<>();
        for (Site site : book.fleets()) {
            explorers.add(new Explorer(site, book.loads(), book.cases(), seed, book.depth(), true));
        }
        int least = (book.cases().size() * Explorer.VARIANTS + 1) * book.loads().size();
        boolean over = false;
        for (int round = 0; !over; round++) {
            for (int i = 0; i < explorers.size() && !over; i++) {
                if (round >= least && !more.getAsBoolean()) {
                    over = true;
                } else {
                    play(explorers.get(i).next(), book.fleets().get(i));
                }
            }
        }
        List<Finding> findings = new ArrayList<>();
        for (int i = 0; i < totals.size(); i++) {
            findings.add(finding(i));
        }
        return new Result(
                findings,
                conflicts(),
                scenarios,
                decisions,
                requests,
                explorers.stream().map(Explorer::covered).toList());
    }

    private void play(Explorer.Plan plan, Site fleet) {
        List<Expectation> about = new ArrayList<>();
        List<Integer> places = new ArrayList<>();
        for (int i = 0; i < book.expectations().size(); i++) {
            Expectation e = book.expectations().get(i);
            if (speaksOf(e.fleets(), fleet.name())
                    && speaksOf(e.cases(), plan.caseName())
                    && speaksOf(e.loads(), plan.loadName())) {
                about.add(e);
                places.add(i);
            }
        }
        Judge judge = judge(plan.scenario(), about);
        scenarios++;
        requests += plan.scenario().asks().size();
        for (int k = 0; k < places.size(); k++) {
            Judge.Tally tally = judge.tallies().get(k);
            int place = places.get(k);
            Judge.Tally total = totals.get(place);
            total.judged += tally.judged;
            total.held += tally.held;
            tally.shared.forEach((with, counts) -> {
                long[] all = total.shared.computeIfAbsent(places.get(with), x -> new long[2]);
                all[0] += counts[0];
                all[1] += counts[1];
            });
            if (tally.first != null && !violations.containsKey(place)) {
                violations.put(place, tally.first);
                foundIn.put(place, plan);
                foundAt.put(place, (int) scenarios);
            }
        }
        // A share is not refuted by one moment.
        int refuted = (int) violations.values().stream()
                .filter(v -> !(v.expectation().form() instanceof Expectation.Share))
                .count();
        progress.played(scenarios, decisions, refuted);
    }

    private static boolean speaksOf(Set<String> names, String name) {
        return names.isEmpty() || names.contains(name);
    }

    private Judge judge(Scenario scenario, List<Expectation> about) {
        Judge judge = new Judge(scenario.site(), about);
        World world = new World(scenario, maker, judge);
        world.play();
        judge.end();
        decisions += world.decisions();
        return judge;
    }

    private Finding finding(int i) {
        Expectation e = book.expectations().get(i);
        if (e.form() instanceof Expectation.Figures f) {
            int broken = f.broken().size();
            return new Finding(
                    e,
                    broken == 0 ? Verdict.HOLDS : Verdict.REFUTED,
                    f.figures().size(),
                    f.figures().size() - broken,
                    0,
                    null);
        }
        Judge.Tally t = totals.get(i);
        boolean refuted = violations.containsKey(i);
        if (e.form() instanceof Expectation.Share s) {
            double share = t.judged == 0 ? 1 : (double) t.held / t.judged;
            refuted = share < s.least() || share > s.most();
        }
        Verdict verdict = t.judged == 0 ? Verdict.VACUOUS : refuted ? Verdict.REFUTED : Verdict.HOLDS;
        Counterexample example = refuted && violations.containsKey(i) ? shrink(i, e) : null;
        return new Finding(e, verdict, t.judged, t.held, refuted ? foundAt.getOrDefault(i, 0) : 0, example);
    }

    private Counterexample shrink(int i, Expectation e) {
        progress.shrinking(e.name());
        Scenario from = foundIn.get(i).scenario();
        Shrinker shrinker = new Shrinker(s -> judge(s, List.of(e)).tallies().get(0).first != null, SHRINK_PLAYS);
        Scenario small = shrinker.shrink(from, violations.get(i).atMs());
        return new Counterexample(
                small,
                e.name(),
                from.faults().size(),
                from.asks().size(),
                from.site().boxes().size(),
                SHRINK_PLAYS - Math.max(0, shrinker.left()));
    }

    private List<Conflict> conflicts() {
        List<Conflict> conflicts = new ArrayList<>();
        for (int i = 0; i < totals.size(); i++) {
            for (Map.Entry<Integer, long[]> shared : totals.get(i).shared.entrySet()) {
                long[] counts = shared.getValue();
                if (counts[0] >= LEAST_SHARED && counts[1] == 0) {
                    conflicts.add(new Conflict(
                            book.expectations().get(i), book.expectations().get(shared.getKey()), counts[0]));
                }
            }
        }
        return conflicts;
    }
}
