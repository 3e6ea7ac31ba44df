package barleyspur.lab.fleet;

import barleyspur.budget.BudgetConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A fleet and what happens to it.
 *
 * @param slots    places for processes
 * @param started  how many are started at once at the beginning, in the first slots
 * @param seeds    slots whose addresses all are told
 * @param periodMs of the view
 * @param steps    one after another
 * @param settleMs how long after the last step every component is to have settled
 * @param seed     of what is drawn
 * @param drawn    how many faults were drawn from the seed; 0 where the steps are written out
 * @param use      budgets and the load on them, or null
 */
public record Schedule(
        String name,
        int slots,
        int started,
        List<Integer> seeds,
        double periodMs,
        List<Step> steps,
        double settleMs,
        long seed,
        int drawn,
        Use use) {

    Schedule(
            String name,
            int slots,
            int started,
            List<Integer> seeds,
            double periodMs,
            List<Step> steps,
            double settleMs,
            long seed) {
        this(name, slots, started, seeds, periodMs, steps, settleMs, seed, 0, null);
    }

    /**
     * Budgets and the load on them.
     *
     * @param terms  of the budgets; who votes is filled in by who plays them
     * @param voters the first so many slots vote
     * @param at     the models whose nodes have a budget each, by the budgets' names
     * @param caches how many caches there are; beside them two parents and the head office
     * @param perS   requests a second at all doormans together
     * @param jumpMs so often another third of the doormans gets nine tenths of them; 0: all get alike
     * @param hitMs  what a hit at a cache takes
     * @param coldMs when the first cache starts, so that amounts count for it from then on; 0: long ago
     */
    public record Use(
            BudgetConfig terms,
            int voters,
            Map<String, String> at,
            int caches,
            double perS,
            double jumpMs,
            double hitMs,
            double coldMs) {

        BudgetConfig terms(List<String> addresses) {
            return new BudgetConfig(
                    addresses.subList(0, voters),
                    terms.maxDoormans(),
                    terms.leaderLeaseMs(),
                    terms.maxHoldMs(),
                    terms.sendSlackMs(),
                    terms.budgets());
        }

        /** Requests a second at one of so many doormans at a moment. */
        double perS(int slot, int doormans, double nowMs) {
            if (jumpMs == 0 || doormans < 2) {
                return perS / doormans;
            }
            int third = Math.max(1, doormans / 3);
            int groups = (doormans + third - 1) / third;
            int hot = (int) (nowMs / jumpMs) % groups;
            int size = Math.min(third, doormans - hot * third);
            return slot / third == hot ? perS * 0.9 / size : perS * 0.1 / (doormans - size);
        }
    }

    /**
     * A fault and when it strikes.
     *
     * @param settled whether every component has to have settled on itself first
     * @param afterMs so long after that, or after the step before
     */
    public record Step(boolean settled, double afterMs, Fault fault) {
        Step(double afterMs, Fault fault) {
            this(false, afterMs, fault);
        }
    }

    /** The same with other steps, written out. */
    Schedule with(List<Step> others) {
        return new Schedule(name, slots, started, seeds, periodMs, List.copyOf(others), settleMs, seed, 0, use);
    }

    /** Another one of the kind: other faults where they were drawn, else the same steps. */
    Schedule with(long otherSeed) {
        return drawn > 0
                ? random(started, drawn, periodMs, settleMs, otherSeed).with(use)
                : new Schedule(name, slots, started, seeds, periodMs, steps, settleMs, otherSeed, 0, use);
    }

    /** The same with budgets. */
    Schedule with(Use budgets) {
        return new Schedule(name, slots, started, seeds, periodMs, steps, settleMs, seed, drawn, budgets);
    }

    static Set<Integer> range(int from, int to) {
        Set<Integer> set = new TreeSet<>();
        for (int i = from; i < to; i++) {
            set.add(i);
        }
        return set;
    }

    /** A schedule that only its seed tells: so many faults on so many doormans, then all healed and quiet. */
    static Schedule random(int doormans, int faults, double periodMs, double settleMs, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Step> steps = new ArrayList<>();
        double after = 4_000;
        boolean[] down = new boolean[doormans];
        boolean[] frozen = new boolean[doormans];
        for (int i = 0; i < faults; i++) {
            steps.add(new Step(after + random.nextDouble() * 4_000, draw(random, doormans, down, frozen)));
            after = 0;
        }
        steps.add(new Step(500 + random.nextDouble() * 3_000, new Fault.Heal()));
        steps.add(new Step(0, new Fault.Weather(range(0, doormans), range(0, doormans), Fault.Noise.NONE)));
        Set<Integer> thaw = new TreeSet<>();
        Set<Integer> start = new TreeSet<>();
        for (int i = 0; i < doormans; i++) {
            if (frozen[i]) {
                thaw.add(i);
            } else if (down[i] && (i < 2 || random.nextBoolean())) {
                // The seeds in any case: newcomers that know nobody else could not find each other.
                start.add(i);
            }
        }
        if (!thaw.isEmpty()) {
            steps.add(new Step(0, new Fault.Thaw(thaw)));
        }
        if (!start.isEmpty()) {
            steps.add(new Step(1, new Fault.Start(start, "", 0, 2)));
        }
        return new Schedule(
                "random",
                doormans,
                doormans,
                List.of(0, 1),
                periodMs,
                List.copyOf(steps),
                settleMs,
                seed,
                faults,
                null);
    }

    private static Set<Integer> some(SplittableRandom random, int doormans, int most) {
        Set<Integer> some = new TreeSet<>();
        for (int i = random.nextInt(1, most + 1); i > 0; i--) {
            some.add(random.nextInt(doormans));
        }
        return some;
    }

    private static Fault draw(SplittableRandom random, int doormans, boolean[] down, boolean[] frozen) {
        Set<Integer> some = some(random, doormans, Math.max(1, doormans / 3));
        Set<Integer> all = range(0, doormans);
        switch (random.nextInt(11)) {
            case 0, 1 -> {
                some.forEach(s -> down[s] = true);
                some.forEach(s -> frozen[s] = false);
                return new Fault.Kill(some);
            }
            case 2 -> {
                some.removeIf(s -> down[s]);
                some.forEach(s -> frozen[s] = true);
                return new Fault.Freeze(some);
            }
            case 3 -> {
                for (int s = 0; s < doormans; s++) {
                    frozen[s] = false;
                }
                return new Fault.Thaw(all);
            }
            case 4, 5 -> {
                Set<Integer> back = new TreeSet<>();
                for (int s = 0; s < doormans; s++) {
                    if (down[s] && random.nextInt(3) > 0) {
                        back.add(s);
                        down[s] = false;
                    }
                }
                return new Fault.Start(back, "", random.nextInt(4) == 0 ? -3_600_000 : 0, random.nextInt(1, 3));
            }
            case 6 -> {
                some.removeIf(s -> frozen[s]);
                some.forEach(s -> down[s] = true);
                return new Fault.Term(some);
            }
            case 7 -> {
                List<Set<Integer>> groups = new ArrayList<>();
                int parts = random.nextInt(2, 4);
                for (int g = 0; g < parts; g++) {
                    groups.add(new TreeSet<>());
                }
                for (int s = 0; s < doormans; s++) {
                    groups.get(random.nextInt(parts)).add(s);
                }
                return new Fault.Split(groups);
            }
            case 8 -> {
                return new Fault.Cut(some, some(random, doormans, doormans), false);
            }
            case 9 -> {
                return new Fault.Heal();
            }
            default -> {
                return new Fault.Weather(
                        all,
                        all,
                        new Fault.Noise(
                                random.nextDouble() * 0.3,
                                random.nextDouble() * 100,
                                random.nextDouble() * 0.2,
                                random.nextDouble() * 0.1));
            }
        }
    }
}
