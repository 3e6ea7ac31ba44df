package barleyspur.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Grants leases while this process is the coordinator of one epoch. Every amount that a holder may still use stays
 * recorded against it until the holder reports that it no longer uses it, or until it must have expired on any clock
 * within the drift bound. For each budget the sum of these amounts never exceeds the leasable capacity. Grants of
 * earlier coordinators are not known here: until the last of them must have expired, only the capacity that holders
 * report is granted.
 */
final class LeaseCoordinator {

    /** Upper bound on reallocations within a lease; changed demand or a new holder triggers one within this limit. */
    private static final int MAX_ALLOCATIONS_PER_LEASE = 400;

    private static final int RETENTION_LEASES = 3;
    /** Interval over which clock rates are compared, and the variation of network delay to tolerate meanwhile. */
    private static final double DRIFT_CHECK_MS = 20_000;

    private static final double DRIFT_CHECK_SLACK_MS = 500;
    private static final int MAX_CLOCK_SAMPLES = 20_000;

    /** A grant that its holder may still use. */
    private record OutstandingLease(long sequence, long amount, double endMs) {}

    /** State of one process that holds, or held, a lease on a budget. */
    private static final class HolderRecord {
        final String address;
        final String name;
        final List<OutstandingLease> outstanding = new ArrayList<>();
        long lastSequence;
        long inUse;
        double inUseEndMs = Double.NEGATIVE_INFINITY;
        /** The largest amount that it reported as granted by earlier coordinators. */
        long adoptedAmount;

        long maxLeased;
        long demand;
        long capacity;
        double weight = 1;
        double lastReportMs;
        long targetAmount;
        /**
         * How far its target has lately been below its fair share, in unit-ms. The holder with the largest deficit gets
         * the next indivisible unit.
         */
        double deficit;

        boolean hasLeft;

        HolderRecord(String name, String address) {
            this.name = name;
            this.address = address;
        }

        /** Returns the amount that the holder may still use at that time. */
        long committed(double nowMs) {
            long largest = nowMs < inUseEndMs ? inUse : 0;
            for (int i = 0; i < outstanding.size(); i++) {
                OutstandingLease lease = outstanding.get(i);
                if (nowMs < lease.endMs) {
                    largest = Math.max(largest, lease.amount);
                }
            }
            return largest;
        }
    }

    /** State of one budget, or of one subject of it. */
    private static final class LeasePool {
        BudgetConfig.Budget budget;
        final Map<Long, HolderRecord> holders = new TreeMap<>();
        double allocatedMs = Double.NEGATIVE_INFINITY;
        double lastRequestMs;
        boolean demandChanged;
        /** Of an amount: id of the current period, 0 before any unit was granted, and the end of that period. */
        long periodId;

        double periodEndMs;

        LeasePool(BudgetConfig.Budget budget) {
            this.budget = budget;
        }
    }

    private final AgentContext context;
    final long epoch;
    private final double startMs;
    private final Map<String, LeasePool> pools = new HashMap<>();
    /** By process nonce: the last noted pair of clock readings, of this process and of the other one. */
    private final Map<Long, double[]> clockSamples = new HashMap<>();

    private double lastSweepMs;

    LeaseCoordinator(AgentContext context, long epoch) {
        this.context = context;
        this.epoch = epoch;
        this.startMs = context.nowMs;
        this.lastSweepMs = context.nowMs;
    }

    /** Returns the time until which unreported leases of earlier coordinators may be in use. */
    private double recoveryEndMs(BudgetConfig.Budget budget) {
        return startMs + budget.leaseMs() * BudgetConfig.DRIFT_MARGIN;
    }

    /** Warns about a clock that drifts beyond the bound: its leases may last longer there than is assumed here. */
    private void checkClockDrift(String name, long nonce, double remoteMs) {
        double[] sample = clockSamples.computeIfAbsent(nonce, k -> new double[] {context.nowMs, remoteMs});
        double elapsedMs = context.nowMs - sample[0];
        if (elapsedMs >= DRIFT_CHECK_MS) {
            double deviationMs = Math.abs(remoteMs - sample[1] - elapsedMs);
            if (deviationMs > 2 * BudgetConfig.MAX_CLOCK_DRIFT * elapsedMs + DRIFT_CHECK_SLACK_MS) {
                context.emit(new BudgetAction.LogWarning(
                        "a clock drifts beyond the bound: shares may overlap",
                        "",
                        name + " " + Math.round(deviationMs) + " ms in " + Math.round(elapsedMs)));
            }
            clockSamples.put(nonce, new double[] {context.nowMs, remoteMs});
        }
    }

    /** Handles a lease request. */
    BudgetMessage.LeaseGrants onLeaseRequest(String from, String name, long nonce, BudgetMessage.LeaseRequest request) {
        List<BudgetMessage.LeaseGrant> grants = new ArrayList<>();
        checkClockDrift(name, nonce, request.sentAtMs());
        for (BudgetMessage.HolderReport report : request.reports()) {
            BudgetConfig.Budget budget = context.budgetFor(report.budget());
            if (budget == null) {
                continue;
            }
            LeasePool pool = pools.computeIfAbsent(report.budget(), k -> new LeasePool(budget));
            HolderRecord holder = pool.holders.get(nonce);
            if (holder == null) {
                holder = new HolderRecord(name, from);
                pool.holders.put(nonce, holder);
                pool.demandChanged = true;
            }
            if (report.sequence() <= holder.lastSequence) {
                continue;
            }
            pool.lastRequestMs = context.nowMs;
            // A report sent before this epoch may contain capacity that the earlier coordinator has regranted since.
            boolean isCurrent = request.lastEpoch() == epoch || context.nowMs >= recoveryEndMs(budget);
            applyReport(pool, holder, report, isCurrent);
            BudgetMessage.LeaseGrant grant = holder.hasLeft || !isCurrent ? null : grant(pool, holder, report);
            if (grant != null) {
                grants.add(grant);
            }
        }
        sweep();
        return new BudgetMessage.LeaseGrants(context.configDigest, epoch, grants);
    }

    /** Records the report of a holder and frees what it no longer uses. */
    private void applyReport(
            LeasePool pool, HolderRecord holder, BudgetMessage.HolderReport report, boolean isCurrent) {
        BudgetConfig.Budget budget = pool.budget;
        holder.lastSequence = report.sequence();
        holder.lastReportMs = context.nowMs;
        boolean isOfThisEpoch = report.epoch() == epoch;
        double endMs = Double.NEGATIVE_INFINITY;
        for (Iterator<OutstandingLease> iterator = holder.outstanding.iterator(); iterator.hasNext(); ) {
            OutstandingLease lease = iterator.next();
            if (lease.sequence <= report.acceptedSequence()) {
                endMs = Math.max(endMs, lease.endMs);
                iterator.remove();
            } else if (context.nowMs >= lease.endMs) {
                iterator.remove();
            }
        }
        boolean isLeaving = report.acceptedSequence() >= report.sequence();
        if (report.leasedAmount() > 0 && isOfThisEpoch && !isLeaving) {
            // The report may arrive after the lease has expired; the expiry time is kept.
            holder.outstanding.add(new OutstandingLease(report.acceptedSequence(), report.leasedAmount(), endMs));
        } else if (report.leasedAmount() > 0 && !isLeaving && isCurrent) {
            adoptLease(pool, holder, report);
        } else if (budget.kind() == BudgetKind.AMOUNT && pool.periodId == 0 && report.periodId() != 0) {
            // A holder remembers a period that is over.
            pool.periodId = report.periodId();
            pool.periodEndMs = context.nowMs;
        }
        boolean ignoresInUse = budget.kind() == BudgetKind.RATE
                || budget.kind() == BudgetKind.AMOUNT && report.periodId() != pool.periodId;
        holder.inUse = ignoresInUse ? 0 : Math.max(0, report.inUse());
        // Caps the reported use at what the holder ever had, so that a false report reserves nothing more. Use beyond
        // a lease that an earlier coordinator reduced is covered by the recovery wait and ends before that does.
        holder.inUse = Math.min(holder.inUse, Math.max(holder.maxLeased, report.leasedAmount()));
        holder.inUseEndMs = switch (budget.kind()) {
            case RATE -> Double.NEGATIVE_INFINITY;
            case PLACES -> context.nowMs + context.config.maxHoldMs() * BudgetConfig.DRIFT_MARGIN;
            case AMOUNT -> pool.periodEndMs;
        };
        holder.maxLeased = Math.max(holder.maxLeased, report.leasedAmount());
        holder.hasLeft = isLeaving;
        if (report.demand() != holder.demand
                || report.weight() != holder.weight
                || report.capacity() != holder.capacity) {
            pool.demandChanged = true;
        }
        holder.demand = holder.hasLeft ? 0 : Math.max(0, Math.min(report.demand(), budget.capacity()));
        holder.weight = report.weight() >= BudgetConfig.MIN_WEIGHT
                ? Math.min(report.weight(), BudgetConfig.MAX_WEIGHT)
                : BudgetConfig.MIN_WEIGHT;
        holder.capacity = Math.max(0, report.capacity());
    }

    /** Takes over a lease of an earlier coordinator; from now on its amount can be allocated here. */
    private void adoptLease(LeasePool pool, HolderRecord holder, BudgetMessage.HolderReport report) {
        double expiryMs = recoveryEndMs(pool.budget);
        if (context.nowMs >= expiryMs) {
            context.emit(new BudgetAction.LogWarning(
                    "a share of an earlier divider outlives its lease: a bound is broken",
                    report.budget(),
                    holder.name));
            expiryMs = context.nowMs + report.remainingMs() * BudgetConfig.DRIFT_MARGIN;
        }
        if (pool.budget.kind() == BudgetKind.AMOUNT && pool.periodId == 0) {
            // The period was opened by an earlier coordinator: it keeps its id and ends with the grants of it.
            pool.periodId = report.periodId();
            pool.periodEndMs = expiryMs;
        }
        holder.outstanding.add(new OutstandingLease(report.acceptedSequence(), report.leasedAmount(), expiryMs));
        holder.adoptedAmount = Math.max(holder.adoptedAmount, report.leasedAmount());
    }

    private BudgetMessage.LeaseGrant grant(LeasePool pool, HolderRecord holder, BudgetMessage.HolderReport report) {
        BudgetConfig.Budget budget = pool.budget;
        double durationMs = budget.leaseMs();
        if (budget.kind() == BudgetKind.AMOUNT) {
            if (pool.periodId == 0 && context.nowMs >= recoveryEndMs(budget)) {
                pool.periodId = context.random.nextLong() >>> 12 | 1;
                pool.periodEndMs = context.nowMs + budget.leaseMs() * BudgetConfig.DRIFT_MARGIN;
            }
            durationMs = Math.min(budget.leaseMs(), (pool.periodEndMs - context.nowMs) / BudgetConfig.DRIFT_MARGIN);
            if (pool.periodId == 0 || durationMs <= 0) {
                return null;
            }
        }
        long leasable = leasableAmount(pool);
        long othersCommitted = 0;
        for (HolderRecord other : pool.holders.values()) {
            othersCommitted += other == holder ? 0 : other.committed(context.nowMs);
        }
        if (pool.demandChanged && context.nowMs - pool.allocatedMs >= budget.leaseMs() / MAX_ALLOCATIONS_PER_LEASE
                || context.nowMs - pool.allocatedMs >= budget.leaseMs() / LeaseHolder.REQUESTS_PER_LEASE) {
            allocate(pool, leasable);
        }
        long amount = Math.max(0, Math.min(holder.targetAmount, leasable - othersCommitted));
        holder.outstanding.add(new OutstandingLease(
                report.sequence(), amount, context.nowMs + durationMs * BudgetConfig.DRIFT_MARGIN));
        holder.maxLeased = Math.max(holder.maxLeased, amount);
        return new BudgetMessage.LeaseGrant(report.budget(), report.sequence(), amount, durationMs, pool.periodId);
    }

    /**
     * Returns how much may be leased at once: the smallest capacity that any active holder or this process has
     * configured, less all floors. During recovery it is also limited to the amounts taken over.
     */
    private long leasableAmount(LeasePool pool) {
        BudgetConfig.Budget budget = pool.budget;
        long capacity = budget.capacity();
        long adoptedAmount = 0;
        for (HolderRecord holder : pool.holders.values()) {
            if (context.nowMs - holder.lastReportMs < budget.leaseMs()) {
                capacity = Math.min(capacity, holder.capacity);
            }
            adoptedAmount += holder.adoptedAmount;
        }
        long leasable = capacity
                - Math.min(budget.floor(), capacity / context.config.maxDoormans()) * context.config.maxDoormans();
        return context.nowMs < recoveryEndMs(budget) ? Math.min(leasable, adoptedAmount) : leasable;
    }

    /** Computes the target of each active holder. Amounts held by inactive ones stay reserved until they expire. */
    private void allocate(LeasePool pool, long leasable) {
        BudgetConfig.Budget budget = pool.budget;
        List<HolderRecord> active = new ArrayList<>();
        long available = leasable;
        for (HolderRecord holder : pool.holders.values()) {
            if (!holder.hasLeft && context.nowMs - holder.lastReportMs < budget.leaseMs()) {
                active.add(holder);
            } else {
                available -= holder.committed(context.nowMs);
            }
        }
        int count = active.size();
        long[] demands = new long[count];
        double[] weights = new double[count];
        double[] priorities = new double[count];
        double elapsedMs = Math.min(budget.leaseMs(), context.nowMs - pool.allocatedMs);
        for (int i = 0; i < count; i++) {
            HolderRecord holder = active.get(i);
            demands[i] = holder.demand;
            weights[i] = holder.weight;
        }
        double[] fairShares = MaxMinAllocation.fairShares(Math.max(0, available), demands, weights);
        for (int i = 0; i < count; i++) {
            HolderRecord holder = active.get(i);
            double maxDeficit = 4 * budget.leaseMs();
            holder.deficit = Math.max(
                    -maxDeficit,
                    Math.min(
                            maxDeficit,
                            holder.deficit
                                    + (fairShares[i] - Math.min(holder.targetAmount, holder.demand)) * elapsedMs));
            // The current owner of an indivisible unit keeps it for about one lease, to avoid flapping.
            priorities[i] = holder.deficit + (holder.targetAmount > Math.floor(fairShares[i]) ? budget.leaseMs() : 0);
        }
        long[] granted = MaxMinAllocation.allocate(Math.max(0, available), fairShares, demands, weights, priorities);
        for (int i = 0; i < count; i++) {
            active.get(i).targetAmount = granted[i];
        }
        pool.allocatedMs = context.nowMs;
        pool.demandChanged = false;
    }

    /** Removes holders without leases, and budgets that nobody requests. */
    private void sweep() {
        if (context.nowMs - lastSweepMs < context.shortestLeaseMs) {
            return;
        }
        lastSweepMs = context.nowMs;
        if (clockSamples.size() > MAX_CLOCK_SAMPLES) {
            clockSamples.clear();
        }
        for (Iterator<LeasePool> iterator = pools.values().iterator(); iterator.hasNext(); ) {
            LeasePool pool = iterator.next();
            double oldestMs = context.nowMs - RETENTION_LEASES * pool.budget.leaseMs();
            if (pool.holders
                    .values()
                    .removeIf(holder -> holder.lastReportMs < oldestMs
                            && holder.committed(context.nowMs) == 0
                            && holder.adoptedAmount == 0)) {
                pool.demandChanged = true;
            }
            if (context.nowMs >= recoveryEndMs(pool.budget)) {
                pool.holders.values().forEach(holder -> holder.adoptedAmount = 0);
            }
            if (pool.lastRequestMs < oldestMs
                    && pool.holders.values().stream().allMatch(holder -> holder.committed(context.nowMs) == 0)
                    && context.nowMs >= recoveryEndMs(pool.budget)) {
                iterator.remove();
            }
        }
    }

    /** Applies a changed configuration of a budget. */
    void reconfigure(BudgetConfig.Budget changed) {
        for (LeasePool pool : pools.values()) {
            if (pool.budget.name().equals(changed.name())) {
                pool.budget = changed;
                pool.demandChanged = true;
            }
        }
    }

    // ---- status ----------------------------------------------------------------------------------------

    /** Returns the allocation of each budget to its holders. */
    List<BudgetSnapshot.Allocation> allocations() {
        List<BudgetSnapshot.Allocation> allocations = new ArrayList<>();
        for (Map.Entry<String, LeasePool> entry : new TreeMap<>(pools).entrySet()) {
            LeasePool pool = entry.getValue();
            List<BudgetSnapshot.HolderState> holders = new ArrayList<>();
            long totalCommitted = 0;
            for (HolderRecord holder : pool.holders.values()) {
                long committed = holder.committed(context.nowMs);
                totalCommitted += committed;
                double endMs = holder.outstanding.stream()
                        .mapToDouble(OutstandingLease::endMs)
                        .max()
                        .orElse(Math.max(context.nowMs, holder.inUseEndMs));
                holders.add(new BudgetSnapshot.HolderState(
                        holder.name,
                        holder.address,
                        committed,
                        holder.targetAmount,
                        holder.demand,
                        holder.inUse,
                        holder.weight,
                        Math.max(0, endMs - context.nowMs),
                        context.nowMs - holder.lastReportMs,
                        holder.hasLeft));
            }
            long leasable = leasableAmount(pool);
            // These texts are part of the administration API.
            String reason = context.nowMs < recoveryEndMs(pool.budget)
                    ? "waits for what dividers before gave out"
                    : totalCommitted > leasable ? "the whole was lowered: more than it is still out" : "";
            allocations.add(new BudgetSnapshot.Allocation(
                    entry.getKey(),
                    pool.budget.kind(),
                    pool.budget.capacity(),
                    leasable,
                    totalCommitted,
                    reason,
                    holders));
        }
        return allocations;
    }
}
