package barleyspur.budget;

/**
 * What this doorman may use of one budget. Taking is local: a look at the time and at a few numbers. Not for several
 * threads.
 */
public final class Share {

    private static final double MS_PER_S = 1_000;
    /** Of places: how much of the demand seen before is still believed an ask later, where less came. */
    private static final double FADES = 0.7;
    /** Of rates: how much a look counts against those before, where what came may be chance. */
    private static final double LOOK_SHARE = 0.2;
    /** Standard deviations of a count (as of a Poisson process, the root of its mean) beyond which it is no chance. */
    private static final double CHANCE = 3;

    final String name;
    final Terms terms;
    Terms.Budget budget;
    /** When this process may use floors: whoever had its place before may have used them until then. */
    private final double floorFromMs;

    long amount;
    double endMs = Double.NEGATIVE_INFINITY;
    long took;
    long term;
    long opening;
    private long using;
    private double tokens;
    private double settledMs;
    // What came since the last look at the demand.
    private long taken;
    private long refused;
    private long peak;
    private double heldMs;
    private long released;
    private double demand;
    private double lookedMs;
    double usedMs;
    // Asking.
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

    // ---- use -------------------------------------------------------------------------------------------

    /** Until when new units may be taken from what was granted. */
    private double takesUntilMs() {
        return endMs - terms.slackMs() - (budget.kind() == Kind.PLACES ? terms.holdMs() : 0);
    }

    /** What may be taken at that time: the floor and what was granted. */
    public long allowed(double nowMs) {
        return floor(nowMs) + (nowMs < takesUntilMs() ? amount : 0);
    }

    /** What is set aside for this doorman, whatever becomes of the others. */
    long floor(double nowMs) {
        return nowMs < floorFromMs ? 0 : Math.min(budget.floor(), budget.whole() / terms.largest());
    }

    /**
     * Takes a unit, if there is one now. To be called last before what it is taken for is sent. A place has to be given
     * back by {@link #release}.
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

    /** What a unit was taken for is sent: counts where the process paused for longer than the slack in between. */
    public void sent(double takenMs, double nowMs) {
        if (nowMs - takenMs > terms.slackMs()) {
            overslept++;
        }
    }

    /** Gives a place back. */
    public void release(double takenMs, double nowMs) {
        using--;
        released++;
        heldMs += nowMs - takenMs;
        if (nowMs - takenMs > terms.holdMs() + terms.slackMs()) {
            overheld++;
        }
    }

    /** Fills the bucket up to now: at what was granted while that lasted, at the floor after. */
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
            // A clock that runs fast must not make more of it.
            double more = rate * (1 - Terms.DRIFT) * (untilMs - settledMs) / MS_PER_S;
            tokens = Math.min(saved(rate), tokens + more);
            settledMs = untilMs;
        }
    }

    /** What a bucket may hold: one unit for each of the largest fleet, and the rest of the burst by shares. */
    private double saved(long rate) {
        return rate == 0 ? 0 : 1 + (budget.burst() - terms.largest()) * Math.min(rate, budget.whole()) / budget.whole();
    }

    // ---- grants ----------------------------------------------------------------------------------------

    /** Takes a share that was granted; its time is counted from when the ask was sent. */
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

    /** Binds this process to use nothing that was granted, from the ask of that number on. */
    void giveBack(double nowMs) {
        granted(nowMs, number, term, 0, endMs, opening);
    }

    /** What is held beyond the floor at that time, and could still be used. */
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

    /** What could be used beyond the floor, by what came lately. */
    long wants(double nowMs) {
        double elapsed = nowMs - lookedMs;
        if (elapsed >= budget.leaseMs() / Holder.ASKS / Holder.HASTE / 2) {
            demand = switch (budget.kind()) {
                case RATE -> rate(elapsed);
                // Up at once, down by and by.
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

    /** Units a second: what came differs by more than chance from what was expected, or moves that a little. */
    private double rate(double elapsed) {
        double came = taken + refused;
        double expected = demand * elapsed / MS_PER_S;
        double seen = came * MS_PER_S / elapsed;
        return Math.abs(came - expected) > CHANCE * Math.sqrt(expected + 1)
                ? seen
                : demand + LOOK_SHARE * (seen - demand);
    }

    /** Whether what is wanted differs so much from what was told that the divider should know. */
    boolean hasNews(double nowMs) {
        long wants = wants(nowMs);
        return Math.abs(wants - reported) > Math.max(1, reported / 4);
    }

    /** Nobody asks for an amount that nobody wants: a divider that has just begun would take its time for young. */
    boolean isWorthAsking(double nowMs) {
        return budget.kind() != Kind.AMOUNT || opening != 0 || held(nowMs) > 0 || usedMs >= lookedMs;
    }

    boolean isIdle(double nowMs) {
        boolean once = budget.kind() == Kind.AMOUNT;
        return nowMs - usedMs > (once ? 1 : 3) * budget.leaseMs() && nowMs >= endMs && (using == 0 || once);
    }

    // ---- readings --------------------------------------------------------------------------------------

    /** The budget's name. */
    public String name() {
        return name;
    }

    /** Places in use, or units spent. */
    public long using() {
        return using;
    }

    /** What the demand was taken for at the last look. */
    public double demand() {
        return demand;
    }

    /** Sends that came later after their check than the slack, and places that were in use for longer than they may. */
    public long[] beyondBounds() {
        return new long[] {overslept, overheld};
    }
}
