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
public record BudgetSettings(BudgetConfig config, Map<String, Guard> guards) {

    /**
     * A budget that limits the attempts at each node of a model. Each such node has a budget of its own, named
     * {@code NAME:UID}.
     *
     * @param model the model of the nodes, as the platform's configuration names it
     * @param modelSetting the key {@code at}, for errors that show only when compared with the platform's configuration
     */
    public record Guard(String model, Hcl.Value modelSetting) {}

    private static final double SECOND_MS = 1_000;
    private static final double MAX_CAPACITY = 1e9;
    /** Limits the length of {@code NAME:UID}, a budget name that a node id is appended to. */
    private static final int MAX_NAME_LENGTH = 24;

    static BudgetSettings read(Hcl.Block commonBlock, List<Hcl.Block> budgetBlocks) throws Hcl.InvalidHclException {
        Hcl.Value votersValue = commonBlock.value("voters");
        if (votersValue == null) {
            throw commonBlock.invalid("has no key voters: the advertised addresses of three or five doormans");
        }
        List<String> voters = votersValue.asStrings();
        for (String voter : voters) {
            if (FleetSettings.parseAddress(voter) == null) {
                throw votersValue.invalid("is not an address with a port: '" + voter + "'");
            }
            if (voters.indexOf(voter) != voters.lastIndexOf(voter)) {
                throw votersValue.invalid("names " + voter + " twice");
            }
        }
        if (voters.isEmpty()) {
            throw votersValue.invalid("names nobody");
        }
        int maxDoormans = (int) commonBlock.number("largest", 16, voters.size(), 10_000);
        double leaderLeaseMs = FleetSettings.readDuration(commonBlock, "term", 1.5 * SECOND_MS, 500, 30 * SECOND_MS);
        double maxHoldMs = FleetSettings.readDuration(commonBlock, "hold", 2 * SECOND_MS, 10, 30 * SECOND_MS);
        double sendSlackMs = FleetSettings.readDuration(commonBlock, "slack", 50, 1, SECOND_MS);
        commonBlock.rejectUnknown(List.of());
        Map<String, BudgetConfig.Budget> budgets = new TreeMap<>();
        Map<String, Guard> guards = new TreeMap<>();
        for (Hcl.Block block : budgetBlocks) {
            BudgetConfig.Budget budget = readBudget(block, maxDoormans, maxHoldMs + sendSlackMs);
            if (budgets.put(budget.name(), budget) != null) {
                throw block.invalid("stands twice: " + budget.name());
            }
            Hcl.Value modelValue = block.value("at");
            if (modelValue != null) {
                guards.put(budget.name(), new Guard(modelValue.asString(), modelValue));
            }
            block.rejectUnknown(List.of());
        }
        if (budgets.isEmpty()) {
            throw commonBlock.invalid("stands without any block budget \"NAME\" { ... }");
        }
        return new BudgetSettings(
                new BudgetConfig(voters, maxDoormans, leaderLeaseMs, maxHoldMs, sendSlackMs, budgets),
                Map.copyOf(guards));
    }

    /**
     * Reads one block {@code budget}.
     *
     * @param maxDoormans the maximum number of processes at any time
     * @param unusableMs how long before the end of a lease places can no longer be acquired
     */
    public static BudgetConfig.Budget readBudget(Hcl.Block block, int maxDoormans, double unusableMs)
            throws Hcl.InvalidHclException {
        String name = block.label();
        if (!name.matches("[a-z0-9._-]{1," + MAX_NAME_LENGTH + "}")) {
            throw block.invalid("has a name that is not 1 to " + MAX_NAME_LENGTH
                    + " characters of a-z, 0-9, '.', '_' and '-': \"" + name + "\"");
        }
        Hcl.Value kindValue = FleetSettings.requiredValue(block, "kind");
        BudgetKind kind = null;
        for (BudgetKind candidate : BudgetKind.values()) {
            kind = candidate.name().toLowerCase(Locale.ROOT).equals(kindValue.asString()) ? candidate : kind;
        }
        if (kind == null) {
            throw kindValue.invalid("is \"" + kindValue.asString() + "\": rate, places or amount was wanted");
        }
        Hcl.Value capacityValue = FleetSettings.requiredValue(block, "whole");
        long capacity = (long) block.number("whole", 0, 1, MAX_CAPACITY);
        Hcl.Value floorValue = block.value("floor");
        long floor = (long) block.number("floor", 0, 0, MAX_CAPACITY);
        if (floor * maxDoormans > capacity) {
            throw floorValue.invalid("is " + floor + ": times the largest fleet of " + maxDoormans
                    + " that is over the whole of " + capacity);
        }
        if (floor > 0 && kind == BudgetKind.AMOUNT) {
            throw floorValue.invalid("can't be set aside from an amount: who starts anew doesn't know what was spent");
        }
        Hcl.Value burstValue = block.value("burst");
        double burst = block.number("burst", Math.max(capacity, maxDoormans), 1, MAX_CAPACITY);
        if (kind == BudgetKind.RATE && burst < maxDoormans) {
            throw (burstValue == null ? capacityValue : burstValue)
                    .invalid("makes a burst of " + burst + ", under one unit for each of " + maxDoormans + " doormans");
        }
        if (burstValue != null && kind != BudgetKind.RATE) {
            throw burstValue.invalid("applies only to the kind rate, not to " + kindValue.asString());
        }
        double weight = block.number("weight", 1, BudgetConfig.MIN_WEIGHT, BudgetConfig.MAX_WEIGHT);
        double leaseMs = FleetSettings.readDuration(block, "lease", 5 * SECOND_MS, 500, 60 * SECOND_MS);
        if (kind == BudgetKind.PLACES && leaseMs < 2 * unusableMs) {
            throw (block.value("lease") == null ? kindValue : block.value("lease"))
                    .invalid("makes a lease of " + leaseMs
                            + " ms, under twice the time that a place may be held and the slack: " + 2 * unusableMs
                            + " ms");
        }
        return new BudgetConfig.Budget(name, kind, capacity, burst, floor, weight, leaseMs);
    }

    /** Rejects guards of models that the platform's configuration doesn't have. */
    void validateModels(List<String> models) throws Hcl.InvalidHclException {
        for (Guard guard : guards.values()) {
            if (!models.contains(guard.model())) {
                throw guard.modelSetting()
                        .invalid("is no model of the configuration: " + guard.model() + " is not among "
                                + String.join(", ", models));
            }
        }
    }

    /** Returns the index of each guarded model in {@code models}, by budget name. */
    public Map<String, Integer> guardedModelIndexes(List<String> models) {
        Map<String, Integer> indexes = new TreeMap<>();
        guards.forEach((name, guard) -> indexes.put(name, models.indexOf(guard.model())));
        return indexes;
    }

    /** Returns what differs in {@code next} and needs a restart: all but capacities, bursts and weights. */
    List<String> changesRequiringRestart(BudgetSettings next) {
        if (next == null) {
            return List.of("budgets");
        }
        List<String> changes = new ArrayList<>();
        if (next.config.digest() != config.digest() || next.config.sendSlackMs() != config.sendSlackMs()) {
            changes.add("budgets");
        }
        next.guards.forEach((name, guard) -> {
            if (!guards.containsKey(name) || !guards.get(name).model().equals(guard.model())) {
                changes.add("budget " + name + " at");
            }
        });
        return changes;
    }
}
