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
final class Divider {

    /** Upper bound on reallocations within a lease; changed demand or a new holder triggers one within this limit. */
    private static final int LOOKS = 400;

    private static final int FORGET_LEASES = 3;
    /** Interval over which clock rates are compared, and the variation of network delay to tolerate meanwhile. */
    private static final double PACE_MS = 20_000;

    private static final double PACE_SLACK_MS = 500;
    private static final int MOST_PACES = 20_000;

    /** A grant that its holder may still use. */
    private record Out(long number, long amount, double endMs) {}

    /** State of one process that holds, or held, a lease on a budget. */
    private static final class Claimant {
        final String address;
        final String name;
        final List<Out> out = new ArrayList<>();
        long last;
        long using;
        double usingEndMs = Double.NEGATIVE_INFINITY;
        /** The largest amount that it reported as granted by earlier coordinators. */
        long adopted;

        long most;
        long wants;
        long whole;
        double weight = 1;
        double heardMs;
        long target;
        /**
         * How far its target has lately been below its fair share, in unit-ms. The holder with the largest deficit gets
         * the next indivisible unit.
         */
        double credit;

        boolean gone;

        Claimant(String name, String address) {
            this.name = name;
            this.address = address;
        }

        /** Returns the amount that the holder may still use at that time. */
        long committed(double nowMs) {
            long most = nowMs < usingEndMs ? using : 0;
            for (int i = 0; i < out.size(); i++) {
                Out o = out.get(i);
                if (nowMs < o.endMs) {
                    most = Math.max(most, o.amount);
                }
            }
            return most;
        }
    }

    /** State of one budget, or of one subject of it. */
    private static final class Pool {
        Terms.Budget budget;
        final Map<Long, Claimant> claimants = new TreeMap<>();
        double lookedMs = Double.NEGATIVE_INFINITY;
        double askedMs;
        boolean changed;
        /** Of an amount: id of the current period, 0 before any unit was granted, and the end of that period. */
        long opening;

        double openEndMs;

        Pool(Terms.Budget budget) {
            this.budget = budget;
        }
    }

    private final Shared s;
    final long term;
    private final double fromMs;
    private final Map<String, Pool> pools = new HashMap<>();
    /** By process nonce: the last noted pair of clock readings, of this process and of the other one. */
    private final Map<Long, double[]> pace = new HashMap<>();

    private double sweptMs;

    Divider(Shared s, long term) {
        this.s = s;
        this.term = term;
        this.fromMs = s.now;
        this.sweptMs = s.now;
    }

    /** Returns the time until which unreported leases of earlier coordinators may be in use. */
    private double waitsUntilMs(Terms.Budget b) {
        return fromMs + b.leaseMs() * Terms.WAIT;
    }

    /** Warns about a clock that drifts beyond the bound: its leases may last longer there than is assumed here. */
    private void pace(String name, long nonce, double theirMs) {
        double[] first = pace.computeIfAbsent(nonce, k -> new double[] {s.now, theirMs});
        double ours = s.now - first[0];
        if (ours >= PACE_MS) {
            double off = Math.abs(theirMs - first[1] - ours);
            if (off > 2 * Terms.DRIFT * ours + PACE_SLACK_MS) {
                s.emit(new Action.Warn(
                        "a clock drifts beyond the bound: shares may overlap",
                        "",
                        name + " " + Math.round(off) + " ms in " + Math.round(ours)));
            }
            pace.put(nonce, new double[] {s.now, theirMs});
        }
    }

    /** Handles a lease request. */
    Word.Grants onAsk(String from, String name, long nonce, Word.Ask ask) {
        List<Word.Grant> grants = new ArrayList<>();
        pace(name, nonce, ask.atMs());
        for (Word.Claim c : ask.claims()) {
            Terms.Budget b = s.of(c.budget());
            if (b == null) {
                continue;
            }
            Pool pool = pools.computeIfAbsent(c.budget(), k -> new Pool(b));
            Claimant h = pool.claimants.get(nonce);
            if (h == null) {
                h = new Claimant(name, from);
                pool.claimants.put(nonce, h);
                pool.changed = true;
            }
            if (c.number() <= h.last) {
                continue;
            }
            pool.askedMs = s.now;
            // A report sent before this epoch may contain capacity that the earlier coordinator has regranted since.
            boolean fresh = ask.heard() == term || s.now >= waitsUntilMs(b);
            report(pool, h, c, fresh);
            Word.Grant grant = h.gone || !fresh ? null : grant(pool, h, c);
            if (grant != null) {
                grants.add(grant);
            }
        }
        sweep();
        return new Word.Grants(s.digest, term, grants);
    }

    /** Records the report of a holder and frees what it no longer uses. */
    private void report(Pool pool, Claimant h, Word.Claim c, boolean fresh) {
        Terms.Budget b = pool.budget;
        h.last = c.number();
        h.heardMs = s.now;
        boolean mine = c.term() == term;
        double endMs = Double.NEGATIVE_INFINITY;
        for (Iterator<Out> it = h.out.iterator(); it.hasNext(); ) {
            Out o = it.next();
            if (o.number <= c.took()) {
                endMs = Math.max(endMs, o.endMs);
                it.remove();
            } else if (s.now >= o.endMs) {
                it.remove();
            }
        }
        boolean leaves = c.took() >= c.number();
        if (c.held() > 0 && mine && !leaves) {
            // The report may arrive after the lease has expired; the expiry time is kept.
            h.out.add(new Out(c.took(), c.held(), endMs));
        } else if (c.held() > 0 && !leaves && fresh) {
            adopt(pool, h, c);
        } else if (b.kind() == Kind.AMOUNT && pool.opening == 0 && c.opening() != 0) {
            // A holder remembers a period that is over.
            pool.opening = c.opening();
            pool.openEndMs = s.now;
        }
        boolean other = b.kind() == Kind.RATE || b.kind() == Kind.AMOUNT && c.opening() != pool.opening;
        h.using = other ? 0 : Math.max(0, c.using());
        // Caps the reported use at what the holder ever had, so that a false report reserves nothing more. Use beyond
        // a lease that an earlier coordinator reduced is covered by the recovery wait and ends before that does.
        h.using = Math.min(h.using, Math.max(h.most, c.held()));
        h.usingEndMs = switch (b.kind()) {
            case RATE -> Double.NEGATIVE_INFINITY;
            case PLACES -> s.now + s.terms.holdMs() * Terms.WAIT;
            case AMOUNT -> pool.openEndMs;
        };
        h.most = Math.max(h.most, c.held());
        h.gone = leaves;
        if (c.wants() != h.wants || c.weight() != h.weight || c.whole() != h.whole) {
            pool.changed = true;
        }
        h.wants = h.gone ? 0 : Math.max(0, Math.min(c.wants(), b.whole()));
        h.weight = c.weight() >= Terms.LEAST_WEIGHT ? Math.min(c.weight(), Terms.MOST_WEIGHT) : Terms.LEAST_WEIGHT;
        h.whole = Math.max(0, c.whole());
    }

    /** Takes over a lease of an earlier coordinator; from now on its amount can be allocated here. */
    private void adopt(Pool pool, Claimant h, Word.Claim c) {
        double until = waitsUntilMs(pool.budget);
        if (s.now >= until) {
            s.emit(new Action.Warn(
                    "a lease of an earlier coordinator outlasts its duration: a timing bound is violated",
                    c.budget(),
                    h.name));
            until = s.now + c.leftMs() * Terms.WAIT;
        }
        if (pool.budget.kind() == Kind.AMOUNT && pool.opening == 0) {
            // The period was opened by an earlier coordinator: it keeps its id and ends with the grants of it.
            pool.opening = c.opening();
            pool.openEndMs = until;
        }
        h.out.add(new Out(c.took(), c.held(), until));
        h.adopted = Math.max(h.adopted, c.held());
    }

    private Word.Grant grant(Pool pool, Claimant h, Word.Claim c) {
        Terms.Budget b = pool.budget;
        double lastsMs = b.leaseMs();
        if (b.kind() == Kind.AMOUNT) {
            if (pool.opening == 0 && s.now >= waitsUntilMs(b)) {
                pool.opening = s.random.nextLong() >>> 12 | 1;
                pool.openEndMs = s.now + b.leaseMs() * Terms.WAIT;
            }
            lastsMs = Math.min(b.leaseMs(), (pool.openEndMs - s.now) / Terms.WAIT);
            if (pool.opening == 0 || lastsMs <= 0) {
                return null;
            }
        }
        long limit = limit(pool);
        long others = 0;
        for (Claimant other : pool.claimants.values()) {
            others += other == h ? 0 : other.committed(s.now);
        }
        if (pool.changed && s.now - pool.lookedMs >= b.leaseMs() / LOOKS
                || s.now - pool.lookedMs >= b.leaseMs() / Holder.ASKS) {
            look(pool, limit);
        }
        long amount = Math.max(0, Math.min(h.target, limit - others));
        h.out.add(new Out(c.number(), amount, s.now + lastsMs * Terms.WAIT));
        h.most = Math.max(h.most, amount);
        return new Word.Grant(c.budget(), c.number(), amount, lastsMs, pool.opening);
    }

    /**
     * Returns how much may be leased at once: the smallest capacity that any active holder or this process has
     * configured, less all floors. During recovery it is also limited to the amounts taken over.
     */
    private long limit(Pool pool) {
        Terms.Budget b = pool.budget;
        long whole = b.whole();
        long adopted = 0;
        for (Claimant h : pool.claimants.values()) {
            if (s.now - h.heardMs < b.leaseMs()) {
                whole = Math.min(whole, h.whole);
            }
            adopted += h.adopted;
        }
        long divided = whole - Math.min(b.floor(), whole / s.terms.largest()) * s.terms.largest();
        return s.now < waitsUntilMs(b) ? Math.min(divided, adopted) : divided;
    }

    /** Computes the target of each active holder. Amounts held by inactive ones stay reserved until they expire. */
    private void look(Pool pool, long limit) {
        Terms.Budget b = pool.budget;
        List<Claimant> asking = new ArrayList<>();
        long left = limit;
        for (Claimant h : pool.claimants.values()) {
            if (!h.gone && s.now - h.heardMs < b.leaseMs()) {
                asking.add(h);
            } else {
                left -= h.committed(s.now);
            }
        }
        int n = asking.size();
        long[] wants = new long[n];
        double[] weights = new double[n];
        double[] claims = new double[n];
        double elapsed = Math.min(b.leaseMs(), s.now - pool.lookedMs);
        for (int i = 0; i < n; i++) {
            Claimant h = asking.get(i);
            wants[i] = h.wants;
            weights[i] = h.weight;
        }
        double[] parts = Division.level(Math.max(0, left), wants, weights);
        for (int i = 0; i < n; i++) {
            Claimant h = asking.get(i);
            double bound = 4 * b.leaseMs();
            h.credit = Math.max(-bound, Math.min(bound, h.credit + (parts[i] - Math.min(h.target, h.wants)) * elapsed));
            // The current owner of an indivisible unit keeps it for about one lease, to avoid flapping.
            claims[i] = h.credit + (h.target > Math.floor(parts[i]) ? b.leaseMs() : 0);
        }
        long[] given = Division.divide(Math.max(0, left), parts, wants, weights, claims);
        for (int i = 0; i < n; i++) {
            asking.get(i).target = given[i];
        }
        pool.lookedMs = s.now;
        pool.changed = false;
    }

    /** Removes holders without leases, and budgets that nobody requests. */
    private void sweep() {
        if (s.now - sweptMs < s.shortestLeaseMs) {
            return;
        }
        sweptMs = s.now;
        if (pace.size() > MOST_PACES) {
            pace.clear();
        }
        for (Iterator<Pool> it = pools.values().iterator(); it.hasNext(); ) {
            Pool pool = it.next();
            double old = s.now - FORGET_LEASES * pool.budget.leaseMs();
            if (pool.claimants.values().removeIf(h -> h.heardMs < old && h.committed(s.now) == 0 && h.adopted == 0)) {
                pool.changed = true;
            }
            if (s.now >= waitsUntilMs(pool.budget)) {
                pool.claimants.values().forEach(h -> h.adopted = 0);
            }
            if (pool.askedMs < old
                    && pool.claimants.values().stream().allMatch(h -> h.committed(s.now) == 0)
                    && s.now >= waitsUntilMs(pool.budget)) {
                it.remove();
            }
        }
    }

    /** Applies a changed configuration of a budget. */
    void retune(Terms.Budget next) {
        for (Pool pool : pools.values()) {
            if (pool.budget.name().equals(next.name())) {
                pool.budget = next;
                pool.changed = true;
            }
        }
    }

    // ---- status ----------------------------------------------------------------------------------------

    /** Returns the allocation of each budget to its holders. */
    List<Ledger.Row> rows() {
        List<Ledger.Row> rows = new ArrayList<>();
        for (Map.Entry<String, Pool> e : new TreeMap<>(pools).entrySet()) {
            Pool pool = e.getValue();
            List<Ledger.Holding> holdings = new ArrayList<>();
            long out = 0;
            for (Claimant h : pool.claimants.values()) {
                long committed = h.committed(s.now);
                out += committed;
                double end = h.out.stream().mapToDouble(Out::endMs).max().orElse(Math.max(s.now, h.usingEndMs));
                holdings.add(new Ledger.Holding(
                        h.name,
                        h.address,
                        committed,
                        h.target,
                        h.wants,
                        h.using,
                        h.weight,
                        Math.max(0, end - s.now),
                        s.now - h.heardMs,
                        h.gone));
            }
            long limit = limit(pool);
            String why = s.now < waitsUntilMs(pool.budget)
                    ? "waiting until leases of earlier coordinators have expired"
                    : out > limit ? "the capacity was reduced: leases above it have not expired yet" : "";
            rows.add(new Ledger.Row(e.getKey(), pool.budget.kind(), pool.budget.whole(), limit, out, why, holdings));
        }
        return rows;
    }
}
