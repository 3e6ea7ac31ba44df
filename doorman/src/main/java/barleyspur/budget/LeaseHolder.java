package barleyspur.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The lease holder of a doorman: requests leases, reports what it holds, and applies grants. The duration of a grant
 * counts from the sending of its request, so that a lease always ends here no later than at the coordinator, however
 * late the grant arrives.
 */
final class LeaseHolder {

    /** Requests sent within one lease duration; all but one may be lost before a lease expires. */
    static final int REQUESTS_PER_LEASE = 4;
    /** Factor by which requests are sped up after a shortage, a reduced lease or the loss of the coordinator. */
    static final double SPEEDUP = 5;

    private static final double MIN_DELAY_MS = 20;
    private static final int INITIAL_SEQUENCE_SHIFT = 16;
    /** Reports that fit into a datagram beside the fleet's own data. */
    static final int MAX_REPORTS_PER_REQUEST = 8;
    /** Requests whose grants may still arrive; leases of older requests have expired. */
    private static final int MAX_PENDING_REQUESTS = 2 * REQUESTS_PER_LEASE * (int) SPEEDUP;

    private record SentRequest(long sequence, double sentAtMs) {}

    private final AgentContext context;
    private final Map<String, BudgetLimiter> limiters = new TreeMap<>();
    private final Map<String, List<SentRequest>> sentRequests = new HashMap<>();
    private final double startedMs;
    /** Destination of requests: the last known coordinator, or a voter that may know it. */
    private String target = "";

    private int nextVoterIndex;
    private double lastAnswerMs;
    private double targetChangedMs = Double.NEGATIVE_INFINITY;
    /**
     * Sequence number of the last request. Increases while the process runs and starts at a random value, so that no
     * grant matches a request that it does not answer, nor a request of an earlier run of the process.
     */
    private long sequence;
    /** Epoch of the coordinator whose grants arrived last. */
    private long lastEpoch;

    private boolean hasLeft;

    LeaseHolder(AgentContext context) {
        this.context = context;
        startedMs = context.nowMs;
        sequence = context.random.nextLong() >>> INITIAL_SEQUENCE_SHIFT;
        lastAnswerMs = context.nowMs;
    }

    BudgetLimiter limiter(String name, BudgetConfig.Budget budget) {
        return limiters.computeIfAbsent(
                name,
                n -> new BudgetLimiter(n, context.config, budget, context.nowMs, startedMs + context.floorDelayMs()));
    }

    /** Returns whether this process requests leases and no coordinator answers. */
    boolean isUnanswered() {
        return !limiters.isEmpty() && isCoordinatorLost();
    }

    String target() {
        return target;
    }

    Map<String, BudgetLimiter> limiters() {
        return limiters;
    }

    double dueMs() {
        double dueMs = Double.POSITIVE_INFINITY;
        if (!hasLeft) {
            for (BudgetLimiter limiter : limiters.values()) {
                dueMs = Math.min(dueMs, Math.min(limiter.nextRequestMs, limiter.nextDemandCheckMs));
            }
        }
        return dueMs;
    }

    void tick() {
        List<BudgetMessage.HolderReport> reports = new ArrayList<>();
        for (Iterator<BudgetLimiter> iterator = limiters.values().iterator(); iterator.hasNext(); ) {
            BudgetLimiter limiter = iterator.next();
            if (context.nowMs >= limiter.nextDemandCheckMs) {
                // A jump in demand is reported at once, so that capacity freed by it can be used by others.
                limiter.nextDemandCheckMs = context.nowMs + limiter.budget.leaseMs() / REQUESTS_PER_LEASE / SPEEDUP;
                limiter.nextRequestMs =
                        limiter.budget.kind() != BudgetKind.AMOUNT && limiter.hasDemandChanged(context.nowMs)
                                ? context.nowMs
                                : limiter.nextRequestMs;
            }
            if (context.nowMs < limiter.nextRequestMs || hasLeft) {
                continue;
            }
            if (limiter.isIdle(context.nowMs)) {
                iterator.remove();
                sentRequests.remove(limiter.name);
                continue;
            }
            if (limiter.needsLease(context.nowMs)) {
                reports.add(report(limiter, limiter.acceptedSequence, limiter.validLease(context.nowMs)));
            }
            // Jitter keeps the doormans from requesting in lockstep.
            double delayMs = limiter.budget.leaseMs() / REQUESTS_PER_LEASE * (0.8 + 0.2 * context.random.nextDouble());
            limiter.nextRequestMs = context.nowMs
                    + (isCoordinatorLost() || limiter.leasedAmount == 0 && limiter.demand() > 0
                            ? delayMs / SPEEDUP
                            : delayMs);
        }
        send(reports);
    }

    /** Returns whether no coordinator has answered for the time in which two answers were due. */
    private boolean isCoordinatorLost() {
        return context.nowMs - lastAnswerMs > 2 * context.shortestLeaseMs / REQUESTS_PER_LEASE;
    }

    private BudgetMessage.HolderReport report(BudgetLimiter limiter, long acceptedSequence, long leasedAmount) {
        limiter.requestSequence = ++sequence;
        List<SentRequest> requests = sentRequests.computeIfAbsent(limiter.name, n -> new ArrayList<>());
        requests.add(new SentRequest(limiter.requestSequence, context.nowMs));
        if (requests.size() > MAX_PENDING_REQUESTS) {
            requests.remove(0);
        }
        limiter.reportedDemand = limiter.demandBeyondFloor(context.nowMs);
        return new BudgetMessage.HolderReport(
                limiter.name,
                limiter.requestSequence,
                acceptedSequence,
                limiter.epoch,
                leasedAmount,
                limiter.inUse(),
                limiter.reportedDemand,
                limiter.budget.weight(),
                limiter.budget.capacity(),
                limiter.periodId,
                Math.max(0, limiter.leaseEndMs - context.nowMs));
    }

    private void send(List<BudgetMessage.HolderReport> reports) {
        if (reports.isEmpty()) {
            return;
        }
        if (target.isEmpty()
                || isCoordinatorLost()
                        && context.nowMs - targetChangedMs
                                > 2 * context.shortestLeaseMs / REQUESTS_PER_LEASE / SPEEDUP) {
            targetChangedMs = context.nowMs;
            target = nextTarget();
        }
        for (int i = 0; i < reports.size(); i += MAX_REPORTS_PER_REQUEST) {
            context.send(
                    target,
                    new BudgetMessage.LeaseRequest(
                            context.configDigest,
                            lastEpoch,
                            context.nowMs,
                            List.copyOf(reports.subList(i, Math.min(reports.size(), i + MAX_REPORTS_PER_REQUEST)))));
        }
    }

    /** Returns the next reachable voter by the fleet view, or the next of all if none is: the view is only a hint. */
    private String nextTarget() {
        List<String> voters = context.config.voters();
        for (int i = 0; i < voters.size(); i++) {
            String voter = voters.get(nextVoterIndex++ % voters.size());
            if (context.isReachable(voter)) {
                return voter;
            }
        }
        return voters.get(nextVoterIndex++ % voters.size());
    }

    void onRedirect(String from, BudgetMessage.Redirect redirect) {
        if (!from.equals(target)) {
            return;
        }
        targetChangedMs = context.nowMs;
        if (redirect.address().isEmpty() || redirect.address().equals(from)) {
            target = nextTarget();
        } else {
            target = redirect.address();
            for (BudgetLimiter limiter : limiters.values()) {
                if (limiter.validLease(context.nowMs) == 0) {
                    limiter.nextRequestMs =
                            Math.min(limiter.nextRequestMs, context.nowMs + MIN_DELAY_MS * context.random.nextDouble());
                }
            }
        }
    }

    void onGrants(String from, BudgetMessage.LeaseGrants grants) {
        if (grants.configDigest() != context.configDigest
                || hasLeft
                || !context.config.voters().contains(from)) {
            return;
        }
        lastAnswerMs = context.nowMs;
        target = from;
        if (grants.epoch() != lastEpoch) {
            // A new coordinator can grant nothing before it knows the outstanding leases.
            lastEpoch = grants.epoch();
            for (BudgetLimiter limiter : limiters.values()) {
                limiter.nextRequestMs =
                        Math.min(limiter.nextRequestMs, context.nowMs + MIN_DELAY_MS * context.random.nextDouble());
            }
        }
        for (BudgetMessage.LeaseGrant grant : grants.grants()) {
            BudgetLimiter limiter = limiters.get(grant.budget());
            double sentAtMs =
                    limiter == null || grant.sequence() <= limiter.acceptedSequence ? Double.NaN : sentAtMs(grant);
            if (!(context.nowMs < sentAtMs + grant.durationMs())
                    || grant.durationMs() > limiter.budget.leaseMs()
                    || grant.amount() < 0) {
                continue;
            }
            boolean reduced = grant.amount() < limiter.validLease(context.nowMs);
            boolean changed = grant.amount() != limiter.leasedAmount || limiter.leaseEndMs <= context.nowMs;
            limiter.applyGrant(
                    context.nowMs,
                    grant.sequence(),
                    grants.epoch(),
                    grant.amount(),
                    sentAtMs + grant.durationMs(),
                    grant.periodId());
            context.emit(new BudgetAction.LeaseChanged(
                    limiter.name, limiter.leasedAmount, limiter.leaseEndMs, limiter.inUse(), limiter.epoch));
            double delayMs = limiter.budget.leaseMs() / REQUESTS_PER_LEASE / SPEEDUP;
            if (reduced) {
                // Another holder may be waiting for the freed amount, so the coordinator has to learn of it soon.
                limiter.nextRequestMs = Math.min(
                        limiter.nextRequestMs, context.nowMs + MIN_DELAY_MS * (1 + context.random.nextDouble()));
            } else if (limiter.leasedAmount == 0 && changed) {
                limiter.nextRequestMs = Math.min(limiter.nextRequestMs, context.nowMs + delayMs);
            }
        }
    }

    private double sentAtMs(BudgetMessage.LeaseGrant grant) {
        for (SentRequest request : sentRequests.getOrDefault(grant.budget(), List.of())) {
            if (request.sequence == grant.sequence()) {
                return request.sentAtMs;
            }
        }
        return Double.NaN;
    }

    /** Moves the next request forward after local requests were rejected for lack of capacity. */
    void requestMoreSoon(BudgetLimiter limiter) {
        double delayMs = limiter.budget.leaseMs() / REQUESTS_PER_LEASE / SPEEDUP;
        if (limiter.nextRequestMs - context.nowMs > delayMs) {
            limiter.nextRequestMs = context.nowMs + delayMs * context.random.nextDouble();
        }
    }

    /** Returns all leases and stops applying grants. */
    void leave() {
        hasLeft = true;
        List<BudgetMessage.HolderReport> reports = new ArrayList<>();
        for (BudgetLimiter limiter : limiters.values()) {
            if (limiter.validLease(context.nowMs) > 0) {
                // Declares all grants up to and including the answer to this request as unused.
                reports.add(report(limiter, sequence + 1, 0));
                limiter.returnLease(context.nowMs);
                context.emit(
                        new BudgetAction.LeaseChanged(limiter.name, 0, context.nowMs, limiter.inUse(), limiter.epoch));
            }
        }
        send(reports);
    }
}
