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
final class Holder {

    /** Requests sent within one lease duration; all but one may be lost before a lease expires. */
    static final int ASKS = 4;
    /** Factor by which requests are sped up after a shortage, a reduced lease or the loss of the coordinator. */
    static final double HASTE = 5;

    private static final double LEAST_MS = 20;
    private static final int FIRST_NUMBER_BITS = 16;
    /** Reports that fit into a datagram beside the fleet's own data. */
    static final int CLAIMS = 8;
    /** Requests whose grants may still arrive; leases of older requests have expired. */
    private static final int REMEMBERED = 2 * ASKS * (int) HASTE;

    private record Sent(long number, double atMs) {}

    private final Shared s;
    private final Map<String, Share> shares = new TreeMap<>();
    private final Map<String, List<Sent>> sent = new HashMap<>();
    private final double startedMs;
    /** Destination of requests: the last known coordinator, or a voter that may know it. */
    private String target = "";

    private int nextVoter;
    private double answeredMs;
    private double triedMs = Double.NEGATIVE_INFINITY;
    /**
     * Sequence number of the last request. Increases while the process runs and starts at a random value, so that no
     * grant matches a request that it does not answer, nor a request of an earlier run of the process.
     */
    private long number;
    /** Epoch of the coordinator whose grants arrived last. */
    private long heard;

    private boolean left;

    Holder(Shared s) {
        this.s = s;
        startedMs = s.now;
        number = s.random.nextLong() >>> FIRST_NUMBER_BITS;
        answeredMs = s.now;
    }

    Share share(String name, Terms.Budget budget) {
        return shares.computeIfAbsent(name, n -> new Share(n, s.terms, budget, s.now, startedMs + s.floorsAfterMs()));
    }

    /** Returns whether this process requests leases and no coordinator answers. */
    boolean asksInVain() {
        return !shares.isEmpty() && isLost();
    }

    String target() {
        return target;
    }

    Map<String, Share> shares() {
        return shares;
    }

    double dueMs() {
        double due = Double.POSITIVE_INFINITY;
        if (!left) {
            for (Share share : shares.values()) {
                due = Math.min(due, Math.min(share.nextAskMs, share.nextLookMs));
            }
        }
        return due;
    }

    void tick() {
        List<Word.Claim> claims = new ArrayList<>();
        for (Iterator<Share> it = shares.values().iterator(); it.hasNext(); ) {
            Share share = it.next();
            if (s.now >= share.nextLookMs) {
                // A jump in demand is reported at once, so that capacity freed by it can be used by others.
                share.nextLookMs = s.now + share.budget.leaseMs() / ASKS / HASTE;
                share.nextAskMs = share.budget.kind() != Kind.AMOUNT && share.hasNews(s.now) ? s.now : share.nextAskMs;
            }
            if (s.now < share.nextAskMs || left) {
                continue;
            }
            if (share.isIdle(s.now)) {
                it.remove();
                sent.remove(share.name);
                continue;
            }
            if (share.isWorthAsking(s.now)) {
                claims.add(claim(share, share.took, share.held(s.now)));
            }
            // Jitter keeps the doormans from requesting in lockstep.
            double pause = share.budget.leaseMs() / ASKS * (0.8 + 0.2 * s.random.nextDouble());
            share.nextAskMs = s.now + (isLost() || share.amount == 0 && share.demand() > 0 ? pause / HASTE : pause);
        }
        send(claims);
    }

    /** Returns whether no coordinator has answered for the time in which two answers were due. */
    private boolean isLost() {
        return s.now - answeredMs > 2 * s.shortestLeaseMs / ASKS;
    }

    private Word.Claim claim(Share share, long took, long held) {
        share.number = ++number;
        List<Sent> asks = sent.computeIfAbsent(share.name, n -> new ArrayList<>());
        asks.add(new Sent(share.number, s.now));
        if (asks.size() > REMEMBERED) {
            asks.remove(0);
        }
        share.reported = share.wants(s.now);
        return new Word.Claim(
                share.name,
                share.number,
                took,
                share.term,
                held,
                share.using(),
                share.reported,
                share.budget.weight(),
                share.budget.whole(),
                share.opening,
                Math.max(0, share.endMs - s.now));
    }

    private void send(List<Word.Claim> claims) {
        if (claims.isEmpty()) {
            return;
        }
        if (target.isEmpty() || isLost() && s.now - triedMs > 2 * s.shortestLeaseMs / ASKS / HASTE) {
            triedMs = s.now;
            target = nextTarget();
        }
        for (int i = 0; i < claims.size(); i += CLAIMS) {
            s.send(
                    target,
                    new Word.Ask(
                            s.digest,
                            heard,
                            s.now,
                            List.copyOf(claims.subList(i, Math.min(claims.size(), i + CLAIMS)))));
        }
    }

    /** Returns the next reachable voter by the fleet view, or the next of all if none is: the view is only a hint. */
    private String nextTarget() {
        List<String> voters = s.terms.voters();
        for (int i = 0; i < voters.size(); i++) {
            String voter = voters.get(nextVoter++ % voters.size());
            if (s.isThere(voter)) {
                return voter;
            }
        }
        return voters.get(nextVoter++ % voters.size());
    }

    void onElsewhere(String from, Word.Elsewhere e) {
        if (!from.equals(target)) {
            return;
        }
        triedMs = s.now;
        if (e.address().isEmpty() || e.address().equals(from)) {
            target = nextTarget();
        } else {
            target = e.address();
            for (Share share : shares.values()) {
                if (share.held(s.now) == 0) {
                    share.nextAskMs = Math.min(share.nextAskMs, s.now + LEAST_MS * s.random.nextDouble());
                }
            }
        }
    }

    void onGrants(String from, Word.Grants grants) {
        if (grants.terms() != s.digest || left || !s.terms.voters().contains(from)) {
            return;
        }
        answeredMs = s.now;
        target = from;
        if (grants.term() != heard) {
            // A new coordinator can grant nothing before it knows the outstanding leases.
            heard = grants.term();
            for (Share share : shares.values()) {
                share.nextAskMs = Math.min(share.nextAskMs, s.now + LEAST_MS * s.random.nextDouble());
            }
        }
        for (Word.Grant g : grants.grants()) {
            Share share = shares.get(g.budget());
            double atMs = share == null || g.number() <= share.took ? Double.NaN : sentAt(g);
            if (!(s.now < atMs + g.forMs()) || g.forMs() > share.budget.leaseMs() || g.amount() < 0) {
                continue;
            }
            boolean less = g.amount() < share.held(s.now);
            boolean news = g.amount() != share.amount || share.endMs <= s.now;
            share.granted(s.now, g.number(), grants.term(), g.amount(), atMs + g.forMs(), g.opening());
            s.emit(new Action.Holds(share.name, share.amount, share.endMs, share.using(), share.term));
            double pause = share.budget.leaseMs() / ASKS / HASTE;
            if (less) {
                // Another holder may be waiting for the freed amount, so the coordinator has to learn of it soon.
                share.nextAskMs = Math.min(share.nextAskMs, s.now + LEAST_MS * (1 + s.random.nextDouble()));
            } else if (share.amount == 0 && news) {
                share.nextAskMs = Math.min(share.nextAskMs, s.now + pause);
            }
        }
    }

    private double sentAt(Word.Grant g) {
        for (Sent ask : sent.getOrDefault(g.budget(), List.of())) {
            if (ask.number == g.number()) {
                return ask.atMs;
            }
        }
        return Double.NaN;
    }

    /** Moves the next request forward after local requests were rejected for lack of capacity. */
    void wantsMore(Share share) {
        double pause = share.budget.leaseMs() / ASKS / HASTE;
        if (share.nextAskMs - s.now > pause) {
            share.nextAskMs = s.now + pause * s.random.nextDouble();
        }
    }

    /** Returns all leases and stops applying grants. */
    void leave() {
        left = true;
        List<Word.Claim> claims = new ArrayList<>();
        for (Share share : shares.values()) {
            if (share.held(s.now) > 0) {
                // Declares all grants up to and including the answer to this request as unused.
                claims.add(claim(share, number + 1, 0));
                share.giveBack(s.now);
                s.emit(new Action.Holds(share.name, 0, s.now, share.using(), share.term));
            }
        }
        send(claims);
    }
}
