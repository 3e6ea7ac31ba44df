package barleyspur.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stands for divider where nobody divides and the view says that nobody before it in the list of voters is there, and stays
 * it while a majority of all voters, not of those that are there, renews its promises. Its term ends a term after the
 * sending of the asks that a majority has answered.
 */
final class Candidate {

    private static final int RENEWALS = 4;
    /** A candidate that has no majority by then releases its votes, and waits. */
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

    /** Whether this process divides at this moment. */
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

    /** Does what is due; whether it no longer divides. */
    boolean tick() {
        boolean lost = divides && s.now >= endMs;
        if (lost) {
            // Another may have divided since: what was known under this ballot is void.
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

    /** Whether the view knows of no voter before this one: a hint, so that seldom two stand at once. */
    private boolean isFirst() {
        int before = 0;
        for (int i = 0; i < rank; i++) {
            before += s.isThere(s.terms.voters().get(i)) ? 1 : 0;
        }
        // Who is there may not be able to divide: after a while the next one tries all the same.
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

    /** Takes a vote in; whether this process divides from now on. */
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

    /** Gives up dividing and votes, for good. */
    void leave() {
        left = true;
        divides = false;
        if (ballot != 0) {
            release();
        }
    }
}
