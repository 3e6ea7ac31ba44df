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
public final class BudgetAgent {

    private final AgentContext context;
    private final LeaseHolder holder;
    /** Null if this process is not a voter. */
    private final Voter voter;

    private final LeaderElection election;
    private LeaseCoordinator coordinator;
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
    public BudgetAgent(
            BudgetConfig config,
            String name,
            String address,
            long nonce,
            long seed,
            double nowMs,
            Consumer<BudgetAction> actions) {
        context = new AgentContext(config, address, seed, actions);
        context.nowMs = nowMs;
        lastMs = nowMs;
        this.name = name;
        this.nonce = nonce;
        holder = new LeaseHolder(context);
        int rank = config.voters().indexOf(address);
        voter = rank < 0 ? null : new Voter(context);
        election = rank < 0 ? null : new LeaderElection(context, voter, rank);
    }

    /**
     * Returns the limiter of a budget, or of one subject of it ({@code NAME:SUBJECT}); null if no such budget is
     * configured.
     */
    public BudgetLimiter limiter(double nowMs, String subject) {
        context.nowMs = nowMs;
        BudgetConfig.Budget budget = context.budgetFor(subject);
        return budget == null ? null : holder.limiter(subject, budget);
    }

    /** Schedules an early lease request after requests were rejected for lack of capacity. */
    public void requestMoreSoon(double nowMs, BudgetLimiter limiter) {
        context.nowMs = nowMs;
        holder.requestMoreSoon(limiter);
    }

    /** Applies a changed capacity, burst and weight of a budget to all its subjects. */
    public void reconfigure(double nowMs, BudgetConfig.Budget changed) {
        advanceTo(nowMs);
        BudgetConfig.Budget budget =
                context.budgets.computeIfPresent(changed.name(), (k, before) -> before.withRuntimeChanges(changed));
        if (budget != null) {
            holder.limiters().values().stream()
                    .filter(limiter -> limiter.budget.name().equals(budget.name()))
                    .forEach(limiter -> limiter.reconfigure(budget, context.nowMs));
            if (coordinator != null) {
                coordinator.reconfigure(budget);
            }
        }
    }

    /** Sets the addresses that are reachable according to the fleet view. Used as a hint only. */
    public void setReachable(Set<String> addresses) {
        context.setReachable(addresses);
    }

    /** Returns the time at which {@link #tick} has to be called next. */
    public double dueMs() {
        double dueMs = holder.dueMs();
        return election == null ? dueMs : Math.min(dueMs, election.dueMs());
    }

    /** Does all work that is due by now. */
    public void tick(double nowMs) {
        advanceTo(nowMs);
        holder.tick();
        deliverLoopback();
    }

    /** Handles a message of another process of this fleet. */
    public void receive(double nowMs, String from, String fromName, long fromNonce, BudgetMessage message) {
        advanceTo(nowMs);
        dispatch(from, fromName, fromNonce, message);
        deliverLoopback();
    }

    /**
     * Prepares for leaving soon: stops coordinating and voting, but keeps using and renewing the leases. The next
     * coordinator therefore learns of these leases and can reassign them once {@link #leave} returns them.
     */
    public void resign(double nowMs) {
        advanceTo(nowMs);
        if (voter != null) {
            election.resign();
            voter.resign();
            deliverLoopback();
        }
        if (coordinator != null) {
            coordinator = null;
            context.emit(new BudgetAction.CoordinatorChanged(false, 0, "leaves"));
        }
    }

    /** Returns all leases, and stops coordinating and voting. */
    public void leave(double nowMs) {
        advanceTo(nowMs);
        holder.leave();
        deliverLoopback();
        resign(nowMs);
    }

    private void advanceTo(double nowMs) {
        lastMs = Math.max(lastMs, nowMs);
        context.nowMs = lastMs;
        if (election != null && election.tick() && coordinator != null) {
            coordinator = null;
            context.emit(new BudgetAction.CoordinatorChanged(false, 0, "no majority of the voters"));
        }
    }

    private void deliverLoopback() {
        for (BudgetMessage message = context.loopback.poll(); message != null; message = context.loopback.poll()) {
            dispatch(context.ownAddress, name, nonce, message);
        }
    }

    private void dispatch(String from, String fromName, long fromNonce, BudgetMessage message) {
        if (message instanceof BudgetMessage.LeaseGrants grants) {
            holder.onGrants(from, grants);
        } else if (message instanceof BudgetMessage.Redirect redirect) {
            holder.onRedirect(from, redirect);
        } else if (voter == null) {
            if (message instanceof BudgetMessage.LeaseRequest) {
                context.send(from, new BudgetMessage.Redirect(""));
            }
        } else if (message instanceof BudgetMessage.VoteRequest request) {
            voter.onVoteRequest(from, request);
        } else if (message instanceof BudgetMessage.VoteRelease release) {
            voter.onRelease(from, release);
        } else if (message instanceof BudgetMessage.VoteReply vote) {
            if (election.onVote(from, vote)) {
                coordinator = new LeaseCoordinator(context, election.epoch());
                context.emit(new BudgetAction.CoordinatorChanged(true, election.epoch(), "a majority of the voters"));
            }
        } else if (message instanceof BudgetMessage.LeaseRequest request) {
            onLeaseRequest(from, fromName, fromNonce, request);
        }
    }

    private void onLeaseRequest(String from, String fromName, long fromNonce, BudgetMessage.LeaseRequest request) {
        if (request.configDigest() != context.configDigest) {
            context.emit(new BudgetAction.LogWarning(
                    "a doorman goes by other terms of budgets: it gets nothing", "", fromName));
        } else if (coordinator != null && election.isLeader()) {
            context.send(from, coordinator.onLeaseRequest(from, fromName, fromNonce, request));
        } else {
            context.send(from, new BudgetMessage.Redirect(voter.promisedTo()));
        }
    }

    // ---- status ----------------------------------------------------------------------------------------

    /** Returns the state that this process knows at that time. */
    public BudgetSnapshot snapshot(double nowMs) {
        context.nowMs = Math.max(lastMs, nowMs);
        List<BudgetSnapshot.OwnLease> ownLeases = new ArrayList<>();
        for (BudgetLimiter limiter : holder.limiters().values()) {
            ownLeases.add(new BudgetSnapshot.OwnLease(
                    limiter.name(),
                    limiter.budget.kind(),
                    limiter.budget.capacity(),
                    limiter.floor(context.nowMs),
                    limiter.validLease(context.nowMs),
                    Math.max(0, limiter.leaseEndMs - context.nowMs),
                    limiter.inUse(),
                    limiter.demand(),
                    limiter.boundViolations()[0],
                    limiter.boundViolations()[1]));
        }
        boolean coordinating = election != null && election.isLeader();
        return new BudgetSnapshot(
                coordinating,
                coordinating ? election.epoch() : 0,
                coordinating ? election.leaderLeaseEndMs() - context.nowMs : 0,
                holder.target().isEmpty() && voter != null ? voter.promisedTo() : holder.target(),
                holder.isUnanswered(),
                voter != null && voter.isAbstaining(),
                ownLeases,
                coordinating && coordinator != null ? coordinator.allocations() : List.of());
    }
}
