package barleyspur.budget;

/**
 * Limits the local use of one budget to the floor and the leased amount. {@link #tryAcquire} is a local operation
 * without any communication. Not thread-safe.
 */
public final class BudgetLimiter {

    private static final double MS_PER_S = 1_000;
    /** For places: factor by which the demand estimate decays per request interval if less demand is seen. */
    private static final double DEMAND_DECAY = 0.7;
    /** For rates: weight of a new sample in the demand estimate if its deviation may be random. */
    private static final double RATE_SMOOTHING = 0.2;
    /** Deviation of a count, in standard deviations of a Poisson process, above which it is not taken as random. */
    private static final double SIGNIFICANT_DEVIATIONS = 3;

    final String name;
    final BudgetConfig config;
    BudgetConfig.Budget budget;
    /** When this process may use floors: until then a predecessor in its place may have used them. */
    private final double floorFromMs;

    long leasedAmount;
    double leaseEndMs = Double.NEGATIVE_INFINITY;
    long acceptedSequence;
    long epoch;
    long periodId;
    private long inUse;
    private double tokens;
    private double refilledMs;
    // Counters since the last demand estimate.
    private long acquiredCount;
    private long rejectedCount;
    private long peakInUse;
    private double totalHoldMs;
    private long releasedCount;
    private double demand;
    private double demandEstimatedMs;
    double lastUseMs;
    // State of the lease requests.
    long reportedDemand;
    double nextDemandCheckMs;
    long requestSequence;
    double nextRequestMs;
    private long lateSends;
    private long overlongHolds;

    BudgetLimiter(String name, BudgetConfig config, BudgetConfig.Budget budget, double nowMs, double floorFromMs) {
        this.name = name;
        this.config = config;
        this.budget = budget;
        this.floorFromMs = floorFromMs;
        refilledMs = nowMs;
        demandEstimatedMs = nowMs;
        lastUseMs = nowMs;
        nextRequestMs = nowMs;
        nextDemandCheckMs = nowMs;
    }

    // ---- acquiring -------------------------------------------------------------------------------------

    /** Returns the time until which units of the lease may be acquired. */
    private double acquireEndMs() {
        return leaseEndMs - config.sendSlackMs() - (budget.kind() == BudgetKind.PLACES ? config.maxHoldMs() : 0);
    }

    /** Returns the limit at that time: the floor and the leased amount. */
    public long limit(double nowMs) {
        return floor(nowMs) + (nowMs < acquireEndMs() ? leasedAmount : 0);
    }

    /** Returns the amount that is reserved for this doorman independently of any lease. */
    long floor(double nowMs) {
        return nowMs < floorFromMs ? 0 : Math.min(budget.floor(), budget.capacity() / config.maxDoormans());
    }

    /**
     * Acquires a unit if one is available. Must be the last check before the guarded operation is sent. A place has to
     * be returned by {@link #release}.
     */
    public boolean tryAcquire(double nowMs) {
        lastUseMs = nowMs;
        long limit = limit(nowMs);
        boolean acquired;
        if (budget.kind() == BudgetKind.RATE) {
            refill(nowMs);
            acquired = tokens >= 1;
            if (acquired) {
                tokens--;
            }
        } else {
            acquired = inUse < limit;
            if (acquired) {
                inUse++;
                peakInUse = Math.max(peakInUse, inUse);
            }
        }
        if (acquired) {
            acquiredCount++;
        } else {
            rejectedCount++;
        }
        return acquired;
    }

    /**
     * Records the sending of the guarded operation; counts pauses after {@link #tryAcquire} that exceeded the slack.
     */
    public void recordSend(double acquiredMs, double nowMs) {
        if (nowMs - acquiredMs > config.sendSlackMs()) {
            lateSends++;
        }
    }

    /** Returns a place. */
    public void release(double acquiredMs, double nowMs) {
        inUse--;
        releasedCount++;
        totalHoldMs += nowMs - acquiredMs;
        if (nowMs - acquiredMs > config.maxHoldMs() + config.sendSlackMs()) {
            overlongHolds++;
        }
    }

    /** Refills the token bucket up to now, at the leased rate until the lease ended and at the floor after that. */
    private void refill(double nowMs) {
        double acquireEndMs = acquireEndMs();
        if (refilledMs < acquireEndMs && leasedAmount > 0) {
            addTokens(Math.min(nowMs, acquireEndMs), floor(refilledMs) + leasedAmount);
        }
        if (nowMs >= acquireEndMs) {
            tokens = Math.min(tokens, bucketSize(floor(nowMs)));
        }
        addTokens(nowMs, nowMs < acquireEndMs ? floor(nowMs) + leasedAmount : floor(nowMs));
    }

    private void addTokens(double untilMs, long rate) {
        if (untilMs > refilledMs) {
            // Allows for a clock that runs fast.
            double added = rate * (1 - BudgetConfig.MAX_CLOCK_DRIFT) * (untilMs - refilledMs) / MS_PER_S;
            tokens = Math.min(bucketSize(rate), tokens + added);
            refilledMs = untilMs;
        }
    }

    /**
     * Returns the bucket size: one unit, as each doorman of the largest fleet has, and a part of the remaining burst.
     */
    private double bucketSize(long rate) {
        return rate == 0
                ? 0
                : 1 + (budget.burst() - config.maxDoormans()) * Math.min(rate, budget.capacity()) / budget.capacity();
    }

    // ---- leases ----------------------------------------------------------------------------------------

    /** Applies a grant; {@code newEndMs} counts from the sending of the request. */
    void applyGrant(double nowMs, long sequence, long newEpoch, long newAmount, double newEndMs, long newPeriodId) {
        if (budget.kind() == BudgetKind.RATE) {
            refill(nowMs);
        }
        if (budget.kind() == BudgetKind.AMOUNT && newPeriodId != periodId) {
            inUse = 0;
            periodId = newPeriodId;
        }
        acceptedSequence = sequence;
        epoch = newEpoch;
        leasedAmount = newAmount;
        leaseEndMs = newEndMs;
        if (budget.kind() == BudgetKind.RATE) {
            tokens = Math.min(tokens, bucketSize(limit(nowMs)));
        }
    }

    /** Stops using all grants up to the answer to the last request. */
    void returnLease(double nowMs) {
        applyGrant(nowMs, requestSequence, epoch, 0, leaseEndMs, periodId);
    }

    /** Returns the leased amount beyond the floor that is valid at that time. */
    long validLease(double nowMs) {
        return nowMs < leaseEndMs ? leasedAmount : 0;
    }

    void reconfigure(BudgetConfig.Budget changed, double nowMs) {
        if (budget.kind() == BudgetKind.RATE) {
            refill(nowMs);
            budget = changed;
            tokens = Math.min(tokens, bucketSize(limit(nowMs)));
        }
        budget = changed;
    }

    // ---- demand ----------------------------------------------------------------------------------------

    /** Returns the amount that could be used beyond the floor, estimated from recent requests. */
    long demandBeyondFloor(double nowMs) {
        double elapsedMs = nowMs - demandEstimatedMs;
        if (elapsedMs >= budget.leaseMs() / LeaseHolder.REQUESTS_PER_LEASE / LeaseHolder.SPEEDUP / 2) {
            demand = switch (budget.kind()) {
                case RATE -> estimateRate(elapsedMs);
                // Rises at once, decays slowly.
                case PLACES ->
                    Math.max(
                            Math.max(peakInUse, inUse)
                                    + rejectedCount
                                            * (releasedCount == 0
                                                    ? elapsedMs
                                                    : Math.min(elapsedMs, totalHoldMs / releasedCount))
                                            / elapsedMs,
                            demand
                                    * Math.pow(
                                            DEMAND_DECAY,
                                            elapsedMs / (budget.leaseMs() / LeaseHolder.REQUESTS_PER_LEASE)));
                case AMOUNT -> inUse + acquiredCount + rejectedCount;
            };
            demand = demand < 0.05 ? 0 : demand;
            demandEstimatedMs = nowMs;
            acquiredCount = 0;
            rejectedCount = 0;
            peakInUse = inUse;
            totalHoldMs = 0;
            releasedCount = 0;
        }
        return Math.max(0, Math.min(budget.capacity(), (long) Math.ceil(demand)) - floor(nowMs));
    }

    /** Estimates units per second: takes a significant change at once and smooths a deviation that may be random. */
    private double estimateRate(double elapsedMs) {
        double count = acquiredCount + rejectedCount;
        double expectedCount = demand * elapsedMs / MS_PER_S;
        double sampleRate = count * MS_PER_S / elapsedMs;
        return Math.abs(count - expectedCount) > SIGNIFICANT_DEVIATIONS * Math.sqrt(expectedCount + 1)
                ? sampleRate
                : demand + RATE_SMOOTHING * (sampleRate - demand);
    }

    /** Returns whether the demand differs enough from the last reported one to report it early. */
    boolean hasDemandChanged(double nowMs) {
        long current = demandBeyondFloor(nowMs);
        return Math.abs(current - reportedDemand) > Math.max(1, reportedDemand / 4);
    }

    /**
     * Returns whether a lease request is useful. An amount that nobody uses is not requested: a new coordinator would
     * take that for its first request and open a new period.
     */
    boolean needsLease(double nowMs) {
        return budget.kind() != BudgetKind.AMOUNT
                || periodId != 0
                || validLease(nowMs) > 0
                || lastUseMs >= demandEstimatedMs;
    }

    boolean isIdle(double nowMs) {
        boolean isAmount = budget.kind() == BudgetKind.AMOUNT;
        return nowMs - lastUseMs > (isAmount ? 1 : 3) * budget.leaseMs()
                && nowMs >= leaseEndMs
                && (inUse == 0 || isAmount);
    }

    // ---- status ----------------------------------------------------------------------------------------

    /** Returns the name of the budget, with the subject if there is one. */
    public String name() {
        return name;
    }

    /** Returns the number of places in use, or of units spent. */
    public long inUse() {
        return inUse;
    }

    /** Returns the demand by the last estimate. */
    public double demand() {
        return demand;
    }

    /** Returns the number of sends later than the slack allows, and of places held for longer than allowed. */
    public long[] boundViolations() {
        return new long[] {lateSends, overlongHolds};
    }
}
