package barleyspur.budget.net;

import barleyspur.budget.Kind;
import barleyspur.budget.Share;
import barleyspur.budget.Terms;
import barleyspur.decision.Director.Result;
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
public final class GuardedDepots implements Depots {

    private final Depots depots;
    private final BudgetPort port;
    private final Clock clock;
    private final double holdMs;
    /** Those that limit places come first, as only places can be returned. */
    private final List<Terms.Budget> budgets = new ArrayList<>();

    private final Map<String, Integer> guarded;
    private final Map<Long, NodeListing> listings = new HashMap<>();

    /** @param guarded the kind of nodes whose attempts each budget limits, by the budget's name */
    public GuardedDepots(Depots depots, BudgetPort port, Clock clock, Terms terms, Map<String, Integer> guarded) {
        this.depots = depots;
        this.port = port;
        this.clock = clock;
        this.guarded = Map.copyOf(guarded);
        holdMs = terms.holdMs();
        terms.budgets().values().stream()
                .filter(b -> guarded.containsKey(b.name()))
                .sorted((a, b) -> Boolean.compare(b.kind() == Kind.PLACES, a.kind() == Kind.PLACES))
                .forEach(budgets::add);
    }

    /** One attempt, and the units acquired for it. */
    private final class Guard implements AttemptListener, Call {
        private final NodeListing listing;
        private final AttemptListener listener;
        private final List<Share> places = new ArrayList<>(1);
        private final List<Share> shares = new ArrayList<>(2);
        private Call call;
        private Clock.Timer longest;
        private double takenMs;
        private boolean over;

        Guard(NodeListing listing, AttemptListener listener) {
            this.listing = listing;
            this.listener = listener;
        }

        @Override
        public Result beforeWrite() {
            Result admitted = listener.beforeWrite();
            if (admitted != Result.OK) {
                return admitted;
            }
            takenMs = clock.nowMs();
            for (Terms.Budget b : budgets) {
                if (guarded.get(b.name()) != listing.kind()) {
                    continue;
                }
                String subject = b.name() + ":" + listing.uid();
                if (b.kind() == Kind.AMOUNT) {
                    double ageMs = takenMs - listing.bootMs();
                    if (ageMs < 0 || ageMs >= b.leaseMs()) {
                        continue;
                    }
                    subject += "@" + Long.toHexString((long) listing.bootMs());
                }
                Share share = port.share(subject);
                if (share == null || !port.take(share)) {
                    giveBack();
                    return Result.FULL;
                }
                shares.add(share);
                if (b.kind() == Kind.PLACES) {
                    places.add(share);
                }
            }
            return Result.OK;
        }

        @Override
        public void sent() {
            listener.sent();
            double now = clock.nowMs();
            shares.forEach(s -> s.sent(takenMs, now));
            if (!places.isEmpty()) {
                longest = clock.after(holdMs, () -> {
                    if (!over) {
                        // A place must not be held for longer.
                        call.cancel();
                        ended(Answer.of(Result.TIMEOUT));
                    }
                });
            }
        }

        @Override
        public void ended(Answer answer) {
            over = true;
            if (answer.result() == Result.RESET) {
                freeWhenDone();
            } else {
                giveBack();
            }
            listener.ended(answer);
        }

        @Override
        public void cancel() {
            if (over) {
                return;
            }
            over = true;
            call.cancel();
            freeWhenDone();
        }

        /** The node may still be processing the attempt, so its place is returned only when it must be done. */
        private void freeWhenDone() {
            if (!places.isEmpty()) {
                clock.after(Math.max(0, takenMs + holdMs - clock.nowMs()), this::giveBack);
            }
        }

        private void giveBack() {
            if (longest != null) {
                longest.cancel();
            }
            double now = clock.nowMs();
            places.forEach(s -> s.release(takenMs, now));
            places.clear();
        }
    }

    @Override
    public void list(long node, NodeListing listing) {
        listings.put(node, listing);
        depots.list(node, listing);
    }

    @Override
    public void retire(long node) {
        listings.remove(node);
        depots.retire(node);
    }

    @Override
    public Call send(long node, Order order, AttemptListener listener) {
        NodeListing listing = listings.get(node);
        if (listing == null || !guarded.containsValue(listing.kind())) {
            return depots.send(node, order, listener);
        }
        Guard guard = new Guard(listing, listener);
        guard.call = depots.send(node, order, guard);
        return guard;
    }

    @Override
    public void probe(long node, double timeoutMs, AttemptListener listener) {
        depots.probe(node, timeoutMs, listener);
    }

    @Override
    public void closeIdle(long node) {
        depots.closeIdle(node);
    }
}
