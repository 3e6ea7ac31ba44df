package barleyspur.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leader election of the coordinator by leases. A voter becomes a candidate if there is no coordinator and the fleet
 * view shows no reachable voter before it in the configured list. It leads as long as a majority of all configured
 * voters, not only of the reachable ones, renews its promises. Leadership ends one leader lease after the sending of
 * the newest vote requests that a majority has answered.
 */
final class Candidate {

    private static final int RENEWALS = 4;
    /** Part of a leader lease after which a candidate without a majority releases its votes and backs off. */
    private static final double TRY_SHARE = 0.25;

    private static final int REMEMBERED = 8;

    private final Shared s;
    private final Voter voter;
    private final int rank;
    private long ballot;
    private long number;
    private final Map<Long, Double> sentMs = new HashMap<>();
    private final Map<String, Double> confirmedMs = new HashMap<>();
    private double endMs = Double.NEGATIVE_INFINITY;
    private double nextMs;
    private double giveUpMs;
    private boolean divides;
    private boolean left;

    Candidate(Shared s, Voter voter, int rank) {
        this.s = s;
        this.voter = voter;
        this.rank = rank;
        nextMs = s.now + s.silenceMs();
    }

    /** Returns whether this process is the coordinator now. */
    boolean divides() {
        return divides && s.now < endMs;
    }

    long term() {
        return ballot;
    }

    double endMs() {
        return endMs;
    }

    double dueMs() {
        return left ? Double.POSITIVE_INFINITY : divides ? Math.min(nextMs, endMs) : nextMs;
    }

    /** Does the work that is due; returns whether this process has just lost leadership. */
    boolean tick() {
        boolean lost = divides && s.now >= endMs;
        if (lost) {
            // Another coordinator may have led since then, so all state of this ballot is discarded.
            divides = false;
            release();
            nextMs = s.now + s.random.nextDouble() * s.terms.termMs() * TRY_SHARE;
        }
        if (left || s.now < nextMs) {
            return lost;
        }
        if (divides) {
            ask();
            nextMs = s.now + s.terms.termMs() / RENEWALS;
        } else if (ballot != 0 && s.now < giveUpMs) {
            ask();
            nextMs = Math.min(giveUpMs, s.now + s.terms.termMs() * TRY_SHARE / 2);
        } else if (ballot != 0) {
            release();
            nextMs = s.now + (1 + s.random.nextDouble()) * s.terms.termMs() * TRY_SHARE;
        } else if (isFirst()) {
            ballot = s.random.nextLong() >>> 12 | 1;
            giveUpMs = s.now + s.terms.termMs() * TRY_SHARE;
            ask();
            nextMs = s.now + s.terms.termMs() * TRY_SHARE / 2;
        } else {
            nextMs = s.now + s.terms.termMs() * TRY_SHARE / 2;
        }
        return lost;
    }

    /**
     * Returns whether no voter before this one in the list can be expected to start an election. The fleet view is only
     * a hint here, to make concurrent candidates rare.
     */
    private boolean isFirst() {
        int before = 0;
        for (int i = 0; i < rank; i++) {
            before += s.isThere(s.terms.voters().get(i)) ? 1 : 0;
        }
        // A reachable voter may still be unable to win an election, so the next one tries after a delay.
        return voter.promised().isEmpty() && s.now - voter.freeSinceMs() >= before * s.terms.termMs() * TRY_SHARE;
    }

    private void ask() {
        number++;
        sentMs.put(number, s.now);
        sentMs.remove(number - REMEMBERED);
        for (String voter : s.terms.voters()) {
            s.send(voter, new Word.VoteAsk(s.digest, ballot, number));
        }
    }

    private void release() {
        for (String voter : s.terms.voters()) {
            s.send(voter, new Word.Release(ballot));
        }
        ballot = 0;
        confirmedMs.clear();
        sentMs.clear();
        endMs = Double.NEGATIVE_INFINITY;
    }

    /** Handles a vote; returns whether this process becomes the coordinator by it. */
    boolean onVote(String from, Word.Vote vote) {
        Double sent = sentMs.get(vote.number());
        boolean lapsed = divides && s.now >= endMs;
        if (vote.ballot() != ballot
                || ballot == 0
                || lapsed
                || sent == null
                || !s.terms.voters().contains(from)) {
            return false;
        }
        if (!vote.yes()) {
            if (!divides && !vote.promised().isEmpty()) {
                giveUpMs = s.now;
                nextMs = s.now;
            }
            return false;
        }
        confirmedMs.merge(from, sent, Math::max);
        List<Double> all = new ArrayList<>(confirmedMs.values());
        if (all.size() < s.terms.majority()) {
            return false;
        }
        all.sort(null);
        endMs = all.get(all.size() - s.terms.majority()) + s.terms.termMs();
        boolean first = !divides && s.now < endMs;
        if (first) {
            divides = true;
            nextMs = s.now + s.terms.termMs() / RENEWALS;
        }
        return first;
    }

    /** Permanently gives up leadership and candidacy, and releases the votes. */
    void leave() {
        left = true;
        divides = false;
        if (ballot != 0) {
            release();
        }
    }
}
