package barleyspur.config;

import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Settings of the blocks {@code budgets} and {@code budget}: limits on what all doormans of a fleet use together.
 *
 * @param guards the budgets that limit attempts at nodes, by budget name
 */
public record BudgetSettings(BudgetConfig terms, Map<String, Guard> guards) {

    /**
     * A budget that limits the attempts at each node of a model. Each such node has a budget of its own, named
     * {@code NAME:UID}.
     *
     * @param at    the model of the nodes, as the platform's configuration names it
     * @param place the key {@code at}, for errors that show only when compared with the platform's configuration
     */
    public record Guard(String at, Hcl.Value place) {}

    private static final double SECOND = 1_000;
    private static final double MOST_WHOLE = 1e9;
    /** Limits the length of {@code NAME:UID}, a budget name that a node id is appended to. */
    private static final int LONGEST_NAME = 24;

    static BudgetSettings read(Hcl.Block common, List<Hcl.Block> blocks) throws Hcl.Invalid {
        Hcl.Value named = common.value("voters");
        if (named == null) {
            throw common.invalid("has no key voters: the advertised addresses of three or five doormans");
        }
        List<String> voters = named.texts();
        for (String voter : voters) {
            if (FleetSettings.address(voter) == null) {
                throw named.invalid("is not an address with a port: '" + voter + "'");
            }
            if (voters.indexOf(voter) != voters.lastIndexOf(voter)) {
                throw named.invalid("names " + voter + " twice");
            }
        }
        if (voters.isEmpty()) {
            throw named.invalid("names nobody");
        }
        int largest = (int) common.number("largest", 16, voters.size(), 10_000);
        double term = FleetSettings.time(common, "term", 1.5 * SECOND, 500, 30 * SECOND);
        double hold = FleetSettings.time(common, "hold", 2 * SECOND, 10, 30 * SECOND);
        double slack = FleetSettings.time(common, "slack", 50, 1, SECOND);
        common.close(List.of());
        Map<String, BudgetConfig.Budget> budgets = new TreeMap<>();
        Map<String, Guard> guards = new TreeMap<>();
        for (Hcl.Block b : blocks) {
            BudgetConfig.Budget budget = budget(b, largest, hold + slack);
            if (budgets.put(budget.name(), budget) != null) {
                throw b.invalid("stands twice: " + budget.name());
            }
            Hcl.Value at = b.value("at");
            if (at != null) {
                guards.put(budget.name(), new Guard(at.text(), at));
            }
            b.close(List.of());
        }
        if (budgets.isEmpty()) {
            throw common.invalid("stands without any block budget \"NAME\" { ... }");
        }
        return new BudgetSettings(new BudgetConfig(voters, largest, term, hold, slack, budgets), Map.copyOf(guards));
    }

    /**
     * Reads one block {@code budget}.
     *
     * @param largest the maximum number of processes at any time
     * @param restMs  how long before the end of a lease places can no longer be acquired
     */
    public static BudgetConfig.Budget budget(Hcl.Block b, int largest, double restMs) throws Hcl.Invalid {
        String name = b.label();
        if (!name.matches("[a-z0-9._-]{1," + LONGEST_NAME + "}")) {
            throw b.invalid("has a name that is not 1 to " + LONGEST_NAME
                    + " characters of a-z, 0-9, '.', '_' and '-': \"" + name + "\"");
        }
        Hcl.Value kindAt = FleetSettings.required(b, "kind");
        BudgetKind kind = null;
        for (BudgetKind k : BudgetKind.values()) {
            kind = k.name().toLowerCase(Locale.ROOT).equals(kindAt.text()) ? k : kind;
        }
        if (kind == null) {
            throw kindAt.invalid("is \"" + kindAt.text() + "\": rate, places or amount was wanted");
        }
        Hcl.Value wholeAt = FleetSettings.required(b, "whole");
        long whole = (long) b.number("whole", 0, 1, MOST_WHOLE);
        Hcl.Value floorAt = b.value("floor");
        long floor = (long) b.number("floor", 0, 0, MOST_WHOLE);
        if (floor * largest > whole) {
            throw floorAt.invalid(
                    "is " + floor + ": times the largest fleet of " + largest + " that is over the whole of " + whole);
        }
        if (floor > 0 && kind == BudgetKind.AMOUNT) {
            throw floorAt.invalid("can't be set aside from an amount: who starts anew doesn't know what was spent");
        }
        Hcl.Value burstAt = b.value("burst");
        double burst = b.number("burst", Math.max(whole, largest), 1, MOST_WHOLE);
        if (kind == BudgetKind.RATE && burst < largest) {
            throw (burstAt == null ? wholeAt : burstAt)
                    .invalid("makes a burst of " + burst + ", under one unit for each of " + largest + " doormans");
        }
        if (burstAt != null && kind != BudgetKind.RATE) {
            throw burstAt.invalid("applies only to the kind rate, not to " + kindAt.text());
        }
        double weight = b.number("weight", 1, BudgetConfig.MIN_WEIGHT, BudgetConfig.MAX_WEIGHT);
        double lease = FleetSettings.time(b, "lease", 5 * SECOND, 500, 60 * SECOND);
        if (kind == BudgetKind.PLACES && lease < 2 * restMs) {
            throw (b.value("lease") == null ? kindAt : b.value("lease"))
                    .invalid("makes a lease of " + lease
                            + " ms, under twice the time that a place may be held and the slack: " + 2 * restMs
                            + " ms");
        }
        return new BudgetConfig.Budget(name, kind, whole, burst, floor, weight, lease);
    }

    /** Rejects guards of models that the platform's configuration doesn't have. */
    void check(List<String> models) throws Hcl.Invalid {
        for (Guard guard : guards.values()) {
            if (!models.contains(guard.at())) {
                throw guard.place()
                        .invalid("is no model of the configuration: " + guard.at() + " is not among "
                                + String.join(", ", models));
            }
        }
    }

    /** Returns the index of each guarded model in {@code models}, by budget name. */
    public Map<String, Integer> guarded(List<String> models) {
        Map<String, Integer> guarded = new TreeMap<>();
        guards.forEach((name, guard) -> guarded.put(name, models.indexOf(guard.at())));
        return guarded;
    }

    /** Returns what differs in {@code next} and needs a restart: all but capacities, bursts and weights. */
    List<String> fixedChanges(BudgetSettings next) {
        if (next == null) {
            return List.of("budgets");
        }
        List<String> fixed = new ArrayList<>();
        if (next.terms.digest() != terms.digest() || next.terms.sendSlackMs() != terms.sendSlackMs()) {
            fixed.add("budgets");
        }
        next.guards.forEach((name, guard) -> {
            if (!guards.containsKey(name) || !guards.get(name).at().equals(guard.at())) {
                fixed.add("budget " + name + " at");
            }
        });
        return fixed;
    }
}
