package barleyspur.budget;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** State shared by the components of one process: configuration, current time, reachability hint and outputs. */
final class AgentContext {

    final BudgetConfig config;
    final long configDigest;
    /** The budgets by name, with changes applied since the start. */
    final Map<String, BudgetConfig.Budget> budgets;
    /** The address of this process. */
    final String ownAddress;

    final SplittableRandom random;
    final double shortestLeaseMs;
    private final Consumer<BudgetAction> actions;
    /** Messages of this process to itself. */
    final ArrayDeque<BudgetMessage> loopback = new ArrayDeque<>();

    double nowMs;
    private Set<String> reachable = Set.of();

    AgentContext(BudgetConfig config, String ownAddress, long seed, Consumer<BudgetAction> actions) {
        this.config = config;
        this.configDigest = config.digest();
        this.budgets = new HashMap<>(config.budgets());
        this.ownAddress = ownAddress;
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        shortestLeaseMs = config.budgets().values().stream()
                .mapToDouble(BudgetConfig.Budget::leaseMs)
                .min()
                .orElse(1);
    }

    /** Returns how long a voter abstains after its start: as long as a promise made before the restart may last. */
    double abstentionMs() {
        return config.leaderLeaseMs() * BudgetConfig.DRIFT_MARGIN;
    }

    /** Returns how long no floor is used after a start: as long as units acquired before the restart may be in use. */
    double floorDelayMs() {
        return config.maxHoldMs() * BudgetConfig.DRIFT_MARGIN;
    }

    /** Returns the current configuration of a budget, or null. */
    BudgetConfig.Budget budgetFor(String subject) {
        return budgets.get(BudgetConfig.budgetName(subject));
    }

    void setReachable(Set<String> addresses) {
        reachable = addresses;
    }

    boolean isReachable(String address) {
        return address.equals(ownAddress) || reachable.contains(address);
    }

    void send(String address, BudgetMessage message) {
        if (address.equals(ownAddress)) {
            loopback.add(message);
        } else if (!address.isEmpty()) {
            actions.accept(new BudgetAction.SendMessage(address, message));
        }
    }

    void emit(BudgetAction action) {
        actions.accept(action);
    }
}
