package barleyspur.lab.fleet;

import barleyspur.budget.BudgetConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * A fleet and the faults that are injected into it.
 *
 * @param slotCount        number of slots, each a place for one process
 * @param initialDoormans  number of doormans that start together at the beginning, in the first slots
 * @param seedSlots        slots whose addresses are the seeds of all doormans
 * @param protocolPeriodMs period of the membership protocol
 * @param steps            the faults, one after another
 * @param settleTimeoutMs  time after the last step within which the views of every connected component must agree
 * @param randomSeed       seed of the random generators
 * @param randomFaults     number of faults that were drawn from the seed; 0 where the steps are written out
 * @param workload         budgets and the load on them, or null
 */
public record FaultSchedule(
        String name,
        int slotCount,
        int initialDoormans,
        List<Integer> seedSlots,
        double protocolPeriodMs,
        List<Step> steps,
        double settleTimeoutMs,
        long randomSeed,
        int randomFaults,
        Workload workload) {

    FaultSchedule(
            String name,
            int slotCount,
            int initialDoormans,
            List<Integer> seedSlots,
            double protocolPeriodMs,
            List<Step> steps,
            double settleTimeoutMs,
            long randomSeed) {
        this(
                name,
                slotCount,
                initialDoormans,
                seedSlots,
                protocolPeriodMs,
                steps,
                settleTimeoutMs,
                randomSeed,
                0,
                null);
    }

    /**
     * Budgets and the load on them.
     *
     * @param config            configuration of the budgets without voters, see {@link #configWithVoters}
     * @param voterCount        number of voters, which are in the first slots
     * @param modelByBudget     by the name of each budget, the kind of node that it is for: each such node has a
     *                          budget of its own
     * @param cacheCount        number of caches, beside two parents and the head office
     * @param requestsPerS      requests per second at all doormans together
     * @param hotspotIntervalMs time after which the next third of the doormans gets nine tenths of the requests; 0
     *                          spreads them evenly
     * @param hitServiceMs      service time of a hit at a cache
     * @param firstCacheStartMs time at which the first cache starts, from which amounts apply to it; 0: long ago
     */
    public record Workload(
            BudgetConfig config,
            int voterCount,
            Map<String, String> modelByBudget,
            int cacheCount,
            double requestsPerS,
            double hotspotIntervalMs,
            double hitServiceMs,
            double firstCacheStartMs) {

        /** Returns the configuration of the budgets with the first of these addresses as voters. */
        BudgetConfig configWithVoters(List<String> addresses) {
            return new BudgetConfig(
                    addresses.subList(0, voterCount),
                    config.maxDoormans(),
                    config.leaderLeaseMs(),
                    config.maxHoldMs(),
                    config.sendSlackMs(),
                    config.budgets());
        }

        /** Returns the requests per second at one of {@code doormanCount} doormans. */
        double requestsPerSecondAt(int slot, int doormanCount, double nowMs) {
            if (hotspotIntervalMs == 0 || doormanCount < 2) {
                return requestsPerS / doormanCount;
            }
            int groupSize = Math.max(1, doormanCount / 3);
            int groupCount = (doormanCount + groupSize - 1) / groupSize;
            int hotGroup = (int) (nowMs / hotspotIntervalMs) % groupCount;
            int hotGroupSize = Math.min(groupSize, doormanCount - hotGroup * groupSize);
            return slot / groupSize == hotGroup
                    ? requestsPerS * 0.9 / hotGroupSize
                    : requestsPerS * 0.1 / (doormanCount - hotGroupSize);
        }
    }

    /**
     * A fault and the time of its injection.
     *
     * @param awaitSettled whether to wait first until the views of every connected component agree
     * @param delayMs      delay after that, or after the step before
     */
    public record Step(boolean awaitSettled, double delayMs, Fault fault) {
        Step(double delayMs, Fault fault) {
            this(false, delayMs, fault);
        }
    }

    /** Returns a copy with other steps. */
    FaultSchedule with(List<Step> newSteps) {
        return new FaultSchedule(
                name,
                slotCount,
                initialDoormans,
                seedSlots,
                protocolPeriodMs,
                List.copyOf(newSteps),
                settleTimeoutMs,
                randomSeed,
                0,
                workload);
    }

    /**
     * Returns a copy with another seed: with other faults where they were drawn at random, or else with the same
     * steps.
     */
    FaultSchedule with(long newSeed) {
        return randomFaults > 0
                ? random(initialDoormans, randomFaults, protocolPeriodMs, settleTimeoutMs, newSeed)
                        .with(workload)
                : new FaultSchedule(
                        name,
                        slotCount,
                        initialDoormans,
                        seedSlots,
                        protocolPeriodMs,
                        steps,
                        settleTimeoutMs,
                        newSeed,
                        0,
                        workload);
    }

    /** Returns a copy with another workload. */
    FaultSchedule with(Workload newWorkload) {
        return new FaultSchedule(
                name,
                slotCount,
                initialDoormans,
                seedSlots,
                protocolPeriodMs,
                steps,
                settleTimeoutMs,
                randomSeed,
                randomFaults,
                newWorkload);
    }

    /** Returns the slots from {@code from} up to and without {@code to}. */
    static Set<Integer> slotRange(int from, int to) {
        Set<Integer> set = new TreeSet<>();
        for (int i = from; i < to; i++) {
            set.add(i);
        }
        return set;
    }

    /**
     * Returns a schedule of random faults that depends on these parameters only. At its end all links are healed,
     * frozen doormans go on, and the seeds and some of the others that ended are restarted.
     */
    static FaultSchedule random(
            int doormans, int faultCount, double protocolPeriodMs, double settleTimeoutMs, long randomSeed) {
        SplittableRandom random = new SplittableRandom(randomSeed);
        List<Step> steps = new ArrayList<>();
        double minDelayMs = 4_000;
        boolean[] down = new boolean[doormans];
        boolean[] frozen = new boolean[doormans];
        for (int i = 0; i < faultCount; i++) {
            steps.add(new Step(minDelayMs + random.nextDouble() * 4_000, randomFault(random, doormans, down, frozen)));
            minDelayMs = 0;
        }
        steps.add(new Step(500 + random.nextDouble() * 3_000, new Fault.Heal()));
        steps.add(new Step(0, new Fault.Weather(slotRange(0, doormans), slotRange(0, doormans), Fault.Noise.NONE)));
        Set<Integer> toThaw = new TreeSet<>();
        Set<Integer> toStart = new TreeSet<>();
        for (int i = 0; i < doormans; i++) {
            if (frozen[i]) {
                toThaw.add(i);
            } else if (down[i] && (i < 2 || random.nextBoolean())) {
                // Seeds are always restarted: new members that know nobody else could not find each other.
                toStart.add(i);
            }
        }
        if (!toThaw.isEmpty()) {
            steps.add(new Step(0, new Fault.Thaw(toThaw)));
        }
        if (!toStart.isEmpty()) {
            steps.add(new Step(1, new Fault.Start(toStart, "", 0, 2)));
        }
        return new FaultSchedule(
                "random",
                doormans,
                doormans,
                List.of(0, 1),
                protocolPeriodMs,
                List.copyOf(steps),
                settleTimeoutMs,
                randomSeed,
                faultCount,
                null);
    }

    private static Set<Integer> randomSlots(SplittableRandom random, int doormans, int maxCount) {
        Set<Integer> selected = new TreeSet<>();
        for (int i = random.nextInt(1, maxCount + 1); i > 0; i--) {
            selected.add(random.nextInt(doormans));
        }
        return selected;
    }

    private static Fault randomFault(SplittableRandom random, int doormans, boolean[] down, boolean[] frozen) {
        Set<Integer> selected = randomSlots(random, doormans, Math.max(1, doormans / 3));
        Set<Integer> all = slotRange(0, doormans);
        switch (random.nextInt(11)) {
            case 0, 1 -> {
                selected.forEach(slot -> down[slot] = true);
                selected.forEach(slot -> frozen[slot] = false);
                return new Fault.Kill(selected);
            }
            case 2 -> {
                selected.removeIf(slot -> down[slot]);
                selected.forEach(slot -> frozen[slot] = true);
                return new Fault.Freeze(selected);
            }
            case 3 -> {
                for (int slot = 0; slot < doormans; slot++) {
                    frozen[slot] = false;
                }
                return new Fault.Thaw(all);
            }
            case 4, 5 -> {
                Set<Integer> restarted = new TreeSet<>();
                for (int slot = 0; slot < doormans; slot++) {
                    if (down[slot] && random.nextInt(3) > 0) {
                        restarted.add(slot);
                        down[slot] = false;
                    }
                }
                return new Fault.Start(restarted, "", random.nextInt(4) == 0 ? -3_600_000 : 0, random.nextInt(1, 3));
            }
            case 6 -> {
                selected.removeIf(slot -> frozen[slot]);
                selected.forEach(slot -> down[slot] = true);
                return new Fault.Term(selected);
            }
            case 7 -> {
                List<Set<Integer>> groups = new ArrayList<>();
                int groupCount = random.nextInt(2, 4);
                for (int index = 0; index < groupCount; index++) {
                    groups.add(new TreeSet<>());
                }
                for (int slot = 0; slot < doormans; slot++) {
                    groups.get(random.nextInt(groupCount)).add(slot);
                }
                return new Fault.Split(groups);
            }
            case 8 -> {
                return new Fault.Cut(selected, randomSlots(random, doormans, doormans), false);
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
