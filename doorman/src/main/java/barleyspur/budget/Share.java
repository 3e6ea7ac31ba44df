package barleyspur.budget;

/**
 * Limits the local use of one budget to the floor and the leased amount. {@link #take} is a local operation without any
 * communication. Not thread-safe.
 */
public final class Share {

    private static final double MS_PER_S = 1_000;
    /** For places: factor by which the demand estimate decays per request interval if less demand is seen. */
    private static final double FADES = 0.7;
    /** For rates: weight of a new sample in the demand estimate if its deviation may be random. */
    private static final double LOOK_SHARE = 0.2;
    /** Deviation of a count, in standard deviations of a Poisson process, above which it is not taken as random. */
    private static final double CHANCE = 3;

    final String name;
    final Terms terms;
    Terms.Budget budget;
    /** When this process may use floors: until then a predecessor in its place may have used them. */
    private final double floorFromMs;

    long amount;
    double endMs = Double.NEGATIVE_INFINITY;
    long took;
    long term;
    long opening;
    private long using;
    private double tokens;
    private double settledMs;
    // Counters since the last demand estimate.
    private long taken;
    private long refused;
    private long peak;
    private double heldMs;
    private long released;
    private double demand;
    private double lookedMs;
    double usedMs;
    // State of the lease requests.
    long reported;
    double nextLookMs;
    long number;
    double nextAskMs;
    private long overslept;
    private long overheld;

    Share(String name, Terms terms, Terms.Budget budget, double nowMs, double floorFromMs) {
        this.name = name;
        this.terms = terms;
        this.budget = budget;
        this.floorFromMs = floorFromMs;
        settledMs = nowMs;
        lookedMs = nowMs;
        usedMs = nowMs;
        nextAskMs = nowMs;
        nextLookMs = nowMs;
    }

    // ---- acquiring -------------------------------------------------------------------------------------

    /** Returns the time until which units of the lease may be acquired. */
    private double takesUntilMs() {
        return endMs - terms.slackMs() - (budget.kind() == Kind.PLACES ? terms.holdMs() : 0);
    }

    /** Returns the limit at that time: the floor and the leased amount. */
    public long allowed(double nowMs) {
        return floor(nowMs) + (nowMs < takesUntilMs() ? amount : 0);
    }

    /** Returns the amount that is reserved for this doorman independently of any lease. */
    long floor(double nowMs) {
        return nowMs < floorFromMs ? 0 : Math.min(budget.floor(), budget.whole() / terms.largest());
    }

    /**
     * Acquires a unit if one is available. Must be the last check before the guarded operation is sent. A place has to
     * be returned by {@link #release}.
     */
    public boolean take(double nowMs) {
        usedMs = nowMs;
        long allowed = allowed(nowMs);
        boolean good;
        if (budget.kind() == Kind.RATE) {
            settle(nowMs);
            good = tokens >= 1;
            if (good) {
                tokens--;
            }
        } else {
            good = using < allowed;
            if (good) {
                using++;
                peak = Math.max(peak, using);
            }
        }
        if (good) {
            taken++;
        } else {
            refused++;
        }
        return good;
    }

    /** Records the sending of the guarded operation; counts pauses after {@link #take} that exceeded the slack. */
    public void sent(double takenMs, double nowMs) {
        if (nowMs - takenMs > terms.slackMs()) {
            overslept++;
        }
    }

    /** Returns a place. */
    public void release(double takenMs, double nowMs) {
        using--;
        released++;
        heldMs += nowMs - takenMs;
        if (nowMs - takenMs > terms.holdMs() + terms.slackMs()) {
            overheld++;
        }
    }

    /** Refills the token bucket up to now, at the leased rate until the lease ended and at the floor after that. */
    private void settle(double nowMs) {
        double end = takesUntilMs();
        if (settledMs < end && amount > 0) {
            fill(Math.min(nowMs, end), floor(settledMs) + amount);
        }
        if (nowMs >= end) {
            tokens = Math.min(tokens, saved(floor(nowMs)));
        }
        fill(nowMs, nowMs < end ? floor(nowMs) + amount : floor(nowMs));
    }

    private void fill(double untilMs, long rate) {
        if (untilMs > settledMs) {
            // Allows for a clock that runs fast.
            double more = rate * (1 - Terms.DRIFT) * (untilMs - settledMs) / MS_PER_S;
            tokens = Math.min(saved(rate), tokens + more);
            settledMs = untilMs;
        }
    }

    /**
     * Returns the bucket size: one unit, as each doorman of the largest fleet has, and a part of the remaining burst.
     */
    private double saved(long rate) {
        return rate == 0 ? 0 : 1 + (budget.burst() - terms.largest()) * Math.min(rate, budget.whole()) / budget.whole();
    }

    // ---- leases ----------------------------------------------------------------------------------------

    /** Applies a grant; {@code newEndMs} counts from the sending of the request. */
    void granted(double nowMs, long number, long byTerm, long newAmount, double newEndMs, long newOpening) {
        if (budget.kind() == Kind.RATE) {
            settle(nowMs);
        }
        if (budget.kind() == Kind.AMOUNT && newOpening != opening) {
            using = 0;
            opening = newOpening;
        }
        took = number;
        term = byTerm;
        amount = newAmount;
        endMs = newEndMs;
        if (budget.kind() == Kind.RATE) {
            tokens = Math.min(tokens, saved(allowed(nowMs)));
        }
    }

    /** Stops using all grants up to the answer to the last request. */
    void giveBack(double nowMs) {
        granted(nowMs, number, term, 0, endMs, opening);
    }

    /** Returns the leased amount beyond the floor that is valid at that time. */
    long held(double nowMs) {
        return nowMs < endMs ? amount : 0;
    }

    void retune(Terms.Budget next, double nowMs) {
        if (budget.kind() == Kind.RATE) {
            settle(nowMs);
            budget = next;
            tokens = Math.min(tokens, saved(allowed(nowMs)));
        }
        budget = next;
    }

    // ---- demand ----------------------------------------------------------------------------------------

    /** Returns the amount that could be used beyond the floor, estimated from recent requests. */
    long wants(double nowMs) {
        double elapsed = nowMs - lookedMs;
        if (elapsed >= budget.leaseMs() / Holder.ASKS / Holder.HASTE / 2) {
            demand = switch (budget.kind()) {
                case RATE -> rate(elapsed);
                // Rises at once, decays slowly.
                case PLACES ->
                    Math.max(
                            Math.max(peak, using)
                                    + refused
                                            * (released == 0 ? elapsed : Math.min(elapsed, heldMs / released))
                                            / elapsed,
                            demand * Math.pow(FADES, elapsed / (budget.leaseMs() / Holder.ASKS)));
                case AMOUNT -> using + taken + refused;
            };
            demand = demand < 0.05 ? 0 : demand;
            lookedMs = nowMs;
            taken = 0;
            refused = 0;
            peak = using;
            heldMs = 0;
            released = 0;
        }
        return Math.max(0, Math.min(budget.whole(), (long) Math.ceil(demand)) - floor(nowMs));
    }

    /** Estimates units per second: takes a significant change at once and smooths a deviation that may be random. */
    private double rate(double elapsed) {
        double came = taken + refused;
        double expected = demand * elapsed / MS_PER_S;
        double seen = came * MS_PER_S / elapsed;
        return Math.abs(came - expected) > CHANCE * Math.sqrt(expected + 1)
                ? seen
                : demand + LOOK_SHARE * (seen - demand);
    }

    /** Returns whether the demand differs enough from the last reported one to report it early. */
    boolean hasNews(double nowMs) {
        long wants = wants(nowMs);
        return Math.abs(wants - reported) > Math.max(1, reported / 4);
    }

    /**
     * Returns whether a lease request is useful. An amount that nobody uses is not requested: a new coordinator would
     * take that for its first request and open a new period.
     */
    boolean isWorthAsking(double nowMs) {
        return budget.kind() != Kind.AMOUNT || opening != 0 || held(nowMs) > 0 || usedMs >= lookedMs;
    }

    boolean isIdle(double nowMs) {
        boolean once = budget.kind() == Kind.AMOUNT;
        return nowMs - usedMs > (once ? 1 : 3) * budget.leaseMs() && nowMs >= endMs && (using == 0 || once);
    }

    // ---- status ----------------------------------------------------------------------------------------

    /** Returns the name of the budget, with the subject if there is one. */
    public String name() {
        return name;
    }

    /** Returns the number of places in use, or of units spent. */
    public long using() {
        return using;
    }

    /** Returns the demand by the last estimate. */
    public double demand() {
        return demand;
    }

    /** Returns the number of sends later than the slack allows, and of places held for longer than allowed. */
    public long[] beyondBounds() {
        return new long[] {overslept, overheld};
    }
}
