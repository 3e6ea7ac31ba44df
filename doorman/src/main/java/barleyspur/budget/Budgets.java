package barleyspur.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One doorman's part in dividing budgets: it holds shares, and where its address is a voter's it votes and may divide. Not
 * for several threads. Times are milliseconds of one clock of this process that never steps back; no clock is compared
 * with another's. What comes out is given to the consumer within the calls.
 */
public final class Budgets {

    private final Shared s;
    private final Holder holder;
    /** Null where this process is no voter. */
    private final Voter voter;

    private final Candidate candidate;
    private Divider divider;
    private final String name;
    private final long nonce;
    private double lastMs;

    /**
     * Begins: from now on this process may be asked.
     *
     * @param address of this process, as the voters are named
     * @param nonce   of this process's life, which no other process has
     * @param seed    of ballots, numbers and jitter: drawn anew for each life
     */
    public Budgets(
            Terms terms, String name, String address, long nonce, long seed, double nowMs, Consumer<Action> out) {
        s = new Shared(terms, address, seed, out);
        s.now = nowMs;
        lastMs = nowMs;
        this.name = name;
        this.nonce = nonce;
        holder = new Holder(s);
        int rank = terms.voters().indexOf(address);
        voter = rank < 0 ? null : new Voter(s);
        candidate = rank < 0 ? null : new Candidate(s, voter, rank);
    }

    /** This doorman's share of a budget, or of a subject's: {@code NAME:SUBJECT}; null where the terms have none. */
    public Share share(double nowMs, String budget) {
        s.now = nowMs;
        Terms.Budget b = s.of(budget);
        return b == null ? null : holder.share(budget, b);
    }

    /** Says that some were turned away for want of a share: more is asked for soon. */
    public void wantsMore(double nowMs, Share share) {
        s.now = nowMs;
        holder.wantsMore(share);
    }

    /** Changes the whole, burst and weight that this doorman goes by for a budget and its subjects. */
    public void retune(double nowMs, Terms.Budget next) {
        enter(nowMs);
        Terms.Budget b = s.budgets.computeIfPresent(next.name(), (k, before) -> before.retuned(next));
        if (b != null) {
            holder.shares().values().stream()
                    .filter(x -> x.budget.name().equals(b.name()))
                    .forEach(x -> x.retune(b, s.now));
            if (divider != null) {
                divider.retune(b);
            }
        }
    }

    /** Who is there, by the fleet view: a hint. */
    public void there(Set<String> addresses) {
        s.there(addresses);
    }

    /** When {@link #tick} is to be called next. */
    public double dueMs() {
        double due = holder.dueMs();
        return candidate == null ? due : Math.min(due, candidate.dueMs());
    }

    /** Does what is due by now. */
    public void tick(double nowMs) {
        enter(nowMs);
        holder.tick();
        ownWords();
    }

    /** Takes in a word of another process of this fleet. */
    public void receive(double nowMs, String from, String fromName, long fromNonce, Word word) {
        enter(nowMs);
        take(from, fromName, fromNonce, word);
        ownWords();
    }

    /**
     * This doorman is to leave soon: it divides and votes no more, but goes on using what it holds. So whoever divides next
     * is told of that, and can hand it on when it is given back.
     */
    public void resign(double nowMs) {
        enter(nowMs);
        if (voter != null) {
            candidate.leave();
            voter.leave();
            ownWords();
        }
        if (divider != null) {
            divider = null;
            s.emit(new Action.Divides(false, 0, "leaves"));
        }
    }

    /** Gives back all that is held, and divides and votes no more. */
    public void leave(double nowMs) {
        enter(nowMs);
        holder.leave();
        ownWords();
        resign(nowMs);
    }

    private void enter(double nowMs) {
        lastMs = Math.max(lastMs, nowMs);
        s.now = lastMs;
        if (candidate != null && candidate.tick() && divider != null) {
            divider = null;
            s.emit(new Action.Divides(false, 0, "no majority of the voters"));
        }
    }

    private void ownWords() {
        for (Word word = s.own.poll(); word != null; word = s.own.poll()) {
            take(s.self, name, nonce, word);
        }
    }

    private void take(String from, String fromName, long fromNonce, Word word) {
        if (word instanceof Word.Grants w) {
            holder.onGrants(from, w);
        } else if (word instanceof Word.Elsewhere w) {
            holder.onElsewhere(from, w);
        } else if (voter == null) {
            if (word instanceof Word.Ask) {
                s.send(from, new Word.Elsewhere(""));
            }
        } else if (word instanceof Word.VoteAsk w) {
            voter.onAsk(from, w);
        } else if (word instanceof Word.Release w) {
            voter.onRelease(from, w);
        } else if (word instanceof Word.Vote w) {
            if (candidate.onVote(from, w)) {
                divider = new Divider(s, candidate.term());
                s.emit(new Action.Divides(true, candidate.term(), "a majority of the voters"));
            }
        } else if (word instanceof Word.Ask w) {
            asked(from, fromName, fromNonce, w);
        }
    }

    private void asked(String from, String fromName, long fromNonce, Word.Ask ask) {
        if (ask.terms() != s.digest) {
            s.emit(new Action.Warn("a doorman goes by other terms of budgets: it gets nothing", "", fromName));
        } else if (divider != null && candidate.divides()) {
            s.send(from, divider.onAsk(from, fromName, fromNonce, ask));
        } else {
            s.send(from, new Word.Elsewhere(voter.promised()));
        }
    }

    // ---- readings --------------------------------------------------------------------------------------

    /** What is known here at that time. */
    public Ledger ledger(double nowMs) {
        s.now = Math.max(lastMs, nowMs);
        List<Ledger.Own> own = new ArrayList<>();
        for (Share share : holder.shares().values()) {
            own.add(new Ledger.Own(
                    share.name(),
                    share.budget.kind(),
                    share.budget.whole(),
                    share.floor(s.now),
                    share.held(s.now),
                    Math.max(0, share.endMs - s.now),
                    share.using(),
                    share.demand(),
                    share.beyondBounds()[0],
                    share.beyondBounds()[1]));
        }
        boolean divides = candidate != null && candidate.divides();
        return new Ledger(
                divides,
                divides ? candidate.term() : 0,
                divides ? candidate.endMs() - s.now : 0,
                holder.target().isEmpty() && voter != null ? voter.promised() : holder.target(),
                holder.asksInVain(),
                voter != null && voter.isSilent(),
                own,
                divides && divider != null ? divider.rows() : List.of());
    }
}
