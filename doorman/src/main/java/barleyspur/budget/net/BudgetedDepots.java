package barleyspur.budget.net;

import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.budget.BudgetLimiter;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.NodeListing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Depots whose attempts are limited by budgets; each node has its own subject {@code NAME:UID}. A unit is acquired
 * immediately before the first byte of an attempt is written, even if the attempt had to wait for a connection, so that
 * nothing is sent under an expired lease. Without a unit the attempt ends like one that the node had no room for and
 * that never ran. A budget of kind amount limits attempts at nodes that started less than its lease duration ago; its
 * subject contains the node's id and start time.
 */
public final class BudgetedDepots implements Depots {

    private final Depots delegate;
    private final BudgetService service;
    private final Clock clock;
    private final double maxHoldMs;
    /** Budgets of kind places come first, as only places can be returned. */
    private final List<BudgetConfig.Budget> budgets = new ArrayList<>();

    private final Map<String, Integer> nodeKindByBudget;
    private final Map<Long, NodeListing> listings = new HashMap<>();

    /**
     * Limits the attempts of other depots.
     *
     * @param nodeKindByBudget the kind of nodes whose attempts each budget limits, by the budget's name
     */
    public BudgetedDepots(
            Depots delegate,
            BudgetService service,
            Clock clock,
            BudgetConfig config,
            Map<String, Integer> nodeKindByBudget) {
        this.delegate = delegate;
        this.service = service;
        this.clock = clock;
        this.nodeKindByBudget = Map.copyOf(nodeKindByBudget);
        maxHoldMs = config.maxHoldMs();
        config.budgets().values().stream()
                .filter(budget -> nodeKindByBudget.containsKey(budget.name()))
                .sorted((first, second) ->
                        Boolean.compare(second.kind() == BudgetKind.PLACES, first.kind() == BudgetKind.PLACES))
                .forEach(budgets::add);
    }

    /** One attempt, and the units acquired for it. */
    private final class LimitedAttempt implements AttemptListener, Call {
        private final NodeListing listing;
        private final AttemptListener listener;
        private final List<BudgetLimiter> placeLimiters = new ArrayList<>(1);
        private final List<BudgetLimiter> limiters = new ArrayList<>(2);
        private Call call;
        private Clock.Timer holdTimer;
        private double acquiredMs;
        private boolean hasEnded;

        LimitedAttempt(NodeListing listing, AttemptListener listener) {
            this.listing = listing;
            this.listener = listener;
        }

        @Override
        public Result beforeWrite() {
            Result admitted = listener.beforeWrite();
            if (admitted != Result.OK) {
                return admitted;
            }
            acquiredMs = clock.nowMs();
            for (BudgetConfig.Budget budget : budgets) {
                if (nodeKindByBudget.get(budget.name()) != listing.kind()) {
                    continue;
                }
                String subject = budget.name() + ":" + listing.uid();
                if (budget.kind() == BudgetKind.AMOUNT) {
                    double ageMs = acquiredMs - listing.bootMs();
                    if (ageMs < 0 || ageMs >= budget.leaseMs()) {
                        continue;
                    }
                    subject += "@" + Long.toHexString((long) listing.bootMs());
                }
                BudgetLimiter limiter = service.limiter(subject);
                if (limiter == null || !service.tryAcquire(limiter)) {
                    releasePlaces();
                    return Result.FULL;
                }
                limiters.add(limiter);
                if (budget.kind() == BudgetKind.PLACES) {
                    placeLimiters.add(limiter);
                }
            }
            return Result.OK;
        }

        @Override
        public void onSent() {
            listener.onSent();
            double nowMs = clock.nowMs();
            limiters.forEach(limiter -> limiter.recordSend(acquiredMs, nowMs));
            if (!placeLimiters.isEmpty()) {
                holdTimer = clock.schedule(maxHoldMs, () -> {
                    if (!hasEnded) {
                        // A place must not be held for longer.
                        call.cancel();
                        onEnd(Answer.of(Result.TIMEOUT));
                    }
                });
            }
        }

        @Override
        public void onEnd(Answer answer) {
            hasEnded = true;
            if (answer.result() == Result.RESET) {
                releaseAfterMaxHold();
            } else {
                releasePlaces();
            }
            listener.onEnd(answer);
        }

        @Override
        public void cancel() {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            call.cancel();
            releaseAfterMaxHold();
        }

        /** The node may still be processing the attempt, so its place is returned only when it must be done. */
        private void releaseAfterMaxHold() {
            if (!placeLimiters.isEmpty()) {
                cancelHoldTimer();
                clock.schedule(Math.max(0, acquiredMs + maxHoldMs - clock.nowMs()), this::releasePlaces);
            }
        }

        private void cancelHoldTimer() {
            if (holdTimer != null) {
                holdTimer.cancel();
            }
        }

        private void releasePlaces() {
            cancelHoldTimer();
            double nowMs = clock.nowMs();
            placeLimiters.forEach(limiter -> limiter.release(acquiredMs, nowMs));
            placeLimiters.clear();
        }
    }

    @Override
    public void updateNode(long node, NodeListing listing) {
        listings.put(node, listing);
        delegate.updateNode(node, listing);
    }

    @Override
    public void removeNode(long node) {
        listings.remove(node);
        delegate.removeNode(node);
    }

    @Override
    public Call send(long node, AttemptRequest request, AttemptListener listener) {
        NodeListing listing = listings.get(node);
        if (listing == null || !nodeKindByBudget.containsValue(listing.kind())) {
            return delegate.send(node, request, listener);
        }
        LimitedAttempt attempt = new LimitedAttempt(listing, listener);
        attempt.call = delegate.send(node, request, attempt);
        return attempt;
    }

    @Override
    public void probe(long node, double timeoutMs, AttemptListener listener) {
        delegate.probe(node, timeoutMs, listener);
    }

    @Override
    public void closeIdleConnections(long node) {
        delegate.closeIdleConnections(node);
    }
}
