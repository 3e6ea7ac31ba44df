package barleyspur.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The budget logic of one doorman: it holds leases, and if its address is one of the voters', it votes and may be
 * elected coordinator. Not thread-safe. All times are milliseconds of one monotonic clock of this process; clocks of
 * different processes are never compared. Outputs are passed to the consumer synchronously, within the calls.
 */
public final class Budgets {

    private final Shared s;
    private final Holder holder;
    /** Null if this process is not a voter. */
    private final Voter voter;

    private final Candidate candidate;
    private Divider divider;
    private final String name;
    private final long nonce;
    private double lastMs;

    /**
     * Creates the logic of a process that can be reached by the others from now on.
     *
     * @param address of this process, in the form in which the voters are configured
     * @param nonce identifies this run of the process; no other process has the same
     * @param seed for ballots, sequence numbers and jitter; must differ for each run of the process
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

    /**
     * Returns the limiter of a budget, or of one subject of it ({@code NAME:SUBJECT}); null if no such budget is
     * configured.
     */
    public Share share(double nowMs, String budget) {
        s.now = nowMs;
        Terms.Budget b = s.of(budget);
        return b == null ? null : holder.share(budget, b);
    }

    /** Schedules an early lease request after requests were rejected for lack of capacity. */
    public void wantsMore(double nowMs, Share share) {
        s.now = nowMs;
        holder.wantsMore(share);
    }

    /** Applies a changed capacity, burst and weight of a budget to all its subjects. */
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

    /** Sets the addresses that are reachable according to the fleet view. Used as a hint only. */
    public void there(Set<String> addresses) {
        s.there(addresses);
    }

    /** Returns the time at which {@link #tick} has to be called next. */
    public double dueMs() {
        double due = holder.dueMs();
        return candidate == null ? due : Math.min(due, candidate.dueMs());
    }

    /** Does all work that is due by now. */
    public void tick(double nowMs) {
        enter(nowMs);
        holder.tick();
        ownWords();
    }

    /** Handles a message of another process of this fleet. */
    public void receive(double nowMs, String from, String fromName, long fromNonce, Word word) {
        enter(nowMs);
        take(from, fromName, fromNonce, word);
        ownWords();
    }

    /**
     * Prepares for leaving soon: stops coordinating and voting, but keeps using and renewing the leases. The next
     * coordinator therefore learns of these leases and can reassign them once {@link #leave} returns them.
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
            s.emit(new Action.Divides(false, 0, "leaving"));
        }
    }

    /** Returns all leases, and stops coordinating and voting. */
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
            s.emit(new Action.Divides(false, 0, "lost the majority of the voters"));
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
                s.emit(new Action.Divides(true, candidate.term(), "elected by a majority of the voters"));
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

    // ---- status ----------------------------------------------------------------------------------------

    /** Returns the state that this process knows at that time. */
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
