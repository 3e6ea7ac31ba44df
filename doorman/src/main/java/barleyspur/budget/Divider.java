package barleyspur.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Hands out shares, for as long as this process divides under one ballot. All that a doorman may still use is written down
 * against it until it has said that it won't, or until it has surely run out: for each budget the sum of that never goes over
 * what is to be divided. What dividers before handed out is not known here: until their last share must be over, only
 * what holders report is divided.
 */
final class Divider {

    /** Holders' demand is looked at anew this often within a lease, and on who is new at once. */
    private static final int LOOKS = 400;

    private static final int FORGET_LEASES = 3;
    /** Clocks' rates are compared over so long, and datagrams may take so long meanwhile. */
    private static final double PACE_MS = 20_000;

    private static final double PACE_SLACK_MS = 500;
    private static final int MOST_PACES = 20_000;

    /** A share that may still be used. */
    private record Out(long number, long amount, double endMs) {}

    /** One process that holds, or held, a share of a budget. */
    private static final class Claimant {
        final String address;
        final String name;
        final List<Out> out = new ArrayList<>();
        long last;
        long using;
        double usingEndMs = Double.NEGATIVE_INFINITY;
        /** The most that it reported from dividers before. */
        long adopted;

        long most;
        long wants;
        long whole;
        double weight = 1;
        double heardMs;
        long target;
        /** What it had less than its part lately, in unit-ms: who has most comes first for units that can't be split. */
        double credit;

        boolean gone;

        Claimant(String name, String address) {
            this.name = name;
            this.address = address;
        }

        /** What it may still use at that time. */
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

    /** One budget, or one subject's. */
    private static final class Pool {
        Terms.Budget budget;
        final Map<Long, Claimant> claimants = new TreeMap<>();
        double lookedMs = Double.NEGATIVE_INFINITY;
        double askedMs;
        boolean changed;
        /** Of an amount: which one, 0 before any of it was given, and when it is over. */
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
    /** By process: when both clocks' times were last noted, ours and theirs. */
    private final Map<Long, double[]> pace = new HashMap<>();

    private double sweptMs;

    Divider(Shared s, long term) {
        this.s = s;
        this.term = term;
        this.fromMs = s.now;
        this.sweptMs = s.now;
    }

    /** Until when shares of dividers before may be in use that nobody has reported. */
    private double waitsUntilMs(Terms.Budget b) {
        return fromMs + b.leaseMs() * Terms.WAIT;
    }

    /** A clock that runs beyond the bound against this one's is named; what it holds may then last longer than here. */
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

    /** Answers an ask. */
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
            // A report that was sent before this term may be of what the divider before has given to others since.
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

    /** Takes in what a holder says of itself: what it won't use any more is free again. */
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
            // One that is over by now was on its way for long.
            h.out.add(new Out(c.took(), c.held(), endMs));
        } else if (c.held() > 0 && !leaves && fresh) {
            adopt(pool, h, c);
        } else if (b.kind() == Kind.AMOUNT && pool.opening == 0 && c.opening() != 0) {
            // Somebody remembers that it was opened, and is over.
            pool.opening = c.opening();
            pool.openEndMs = s.now;
        }
        boolean other = b.kind() == Kind.RATE || b.kind() == Kind.AMOUNT && c.opening() != pool.opening;
        h.using = other ? 0 : Math.max(0, c.using());
        // A liar that claims to use more than it ever had gets nothing by it. What is in use beyond a share that a
        // divider
        // before cut down is within what waits, and ends before that does.
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

    /** A share that a divider before gave: it goes on, and what it is can be divided from now on. */
    private void adopt(Pool pool, Claimant h, Word.Claim c) {
        double until = waitsUntilMs(pool.budget);
        if (s.now >= until) {
            s.emit(new Action.Warn(
                    "a share of an earlier divider outlives its lease: a bound is broken", c.budget(), h.name));
            until = s.now + c.leftMs() * Terms.WAIT;
        }
        if (pool.budget.kind() == Kind.AMOUNT && pool.opening == 0) {
            // Opened before: it goes on under its own name and is over when what was given of it is.
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

    /** How much may be out at once: of the least whole that anybody who may act on it believes in, without the floors. */
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

    /** Divides anew among those that ask; what those hold that no longer do is out of reach until it is over. */
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
            // Who has such a unit keeps it for about a lease, so that nothing flaps.
            claims[i] = h.credit + (h.target > Math.floor(parts[i]) ? b.leaseMs() : 0);
        }
        long[] given = Division.divide(Math.max(0, left), parts, wants, weights, claims);
        for (int i = 0; i < n; i++) {
            asking.get(i).target = given[i];
        }
        pool.lookedMs = s.now;
        pool.changed = false;
    }

    /** Forgets holders whose shares are over, and budgets that nobody asks for. */
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

    /** Other terms of a budget count from now on. */
    void retune(Terms.Budget next) {
        for (Pool pool : pools.values()) {
            if (pool.budget.name().equals(next.name())) {
                pool.budget = next;
                pool.changed = true;
            }
        }
    }

    // ---- readings --------------------------------------------------------------------------------------

    /** Who holds how much of what. */
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
                    ? "waits for what dividers before gave out"
                    : out > limit ? "the whole was lowered: more than it is still out" : "";
            rows.add(new Ledger.Row(e.getKey(), pool.budget.kind(), pool.budget.whole(), limit, out, why, holdings));
        }
        return rows;
    }
}
