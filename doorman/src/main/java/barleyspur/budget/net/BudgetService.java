package barleyspur.budget.net;

import barleyspur.admin.Routes;
import barleyspur.admin.http.HttpResponse;
import barleyspur.budget.BudgetAction;
import barleyspur.budget.BudgetAgent;
import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetLimiter;
import barleyspur.budget.BudgetMessage;
import barleyspur.doorman.Clock;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.net.FleetService;
import barleyspur.fleet.net.PayloadListener;
import barleyspur.log.LogEvent;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the budgets of one doorman on the event loop and the datagrams of the fleet view. */
public final class BudgetService implements PayloadListener {

    private static final Logger LOG = LoggerFactory.getLogger("budget");
    private static final double NANOS_PER_MS = 1e6;
    private static final int OK = 200;

    private final FleetService fleet;
    private final Clock clock;
    private final BudgetConfig config;
    private final String name;
    private final long seed;
    private final RateLimitedLog cappedLog;
    private final BudgetMessageCodec codec = new BudgetMessageCodec();
    private final Counter acquiredCounter;
    private final Counter rejectedCounter;
    private final Counter sentMessagesCounter;
    private final MeterRegistry metrics;
    /** Budgets that were changed by a reload since the start. */
    private final Map<String, BudgetConfig.Budget> changedBudgets = new HashMap<>();
    /** Null until other processes can reach this one: the abstention of its voter has to start then. */
    private BudgetAgent agent;

    private Clock.Timer timer;
    private double timerAtMs = Double.POSITIVE_INFINITY;
    private boolean hasLeft;

    /**
     * Registers the budgets with the fleet view, which starts them as soon as this process can be reached.
     *
     * @param name of this doorman
     */
    public BudgetService(FleetService fleet, Clock clock, BudgetConfig config, String name, long seed) {
        this.fleet = fleet;
        this.clock = clock;
        this.config = config;
        this.name = name;
        this.seed = seed;
        cappedLog = new RateLimitedLog(LOG, clock);
        metrics = fleet.meterRegistry();
        acquiredCounter = metrics.counter("budget.taken");
        rejectedCounter = metrics.counter("budget.turned.away");
        sentMessagesCounter = metrics.counter("budget.words", "way", "sent");
        fleet.setPayloadListener(this);
    }

    /** Adds the route for the budgets to those of the administration address. */
    public void addRoutes(Routes.Builder routes) {
        routes.add(
                "GET",
                "/admin/budget",
                call -> HttpResponse.json(
                        OK,
                        BudgetStatusJson.toJson(name, agent == null ? null : agent.snapshot(clock.nowMs()))
                                .toString()));
    }

    // ---- acquiring -------------------------------------------------------------------------------------

    /** Returns the limiter of a budget or subject, or null if it isn't available yet. */
    BudgetLimiter limiter(String budget) {
        BudgetLimiter limiter = agent == null || hasLeft ? null : agent.limiter(clock.nowMs(), budget);
        if (limiter != null) {
            schedule();
        }
        return limiter;
    }

    /** Acquires a unit, or schedules an early lease request if none is available. */
    boolean tryAcquire(BudgetLimiter limiter) {
        double nowMs = clock.nowMs();
        boolean acquired = limiter.tryAcquire(nowMs);
        if (acquired) {
            acquiredCounter.increment();
        } else {
            rejectedCounter.increment();
            agent.requestMoreSoon(nowMs, limiter);
            schedule();
        }
        return acquired;
    }

    /** Applies the capacity, burst and weight of reloaded settings to the budgets that exist since the start. */
    public void reconfigure(BudgetConfig changed) {
        changed.budgets().forEach((budgetName, budget) -> {
            changedBudgets.put(budgetName, budget);
            if (agent != null && config.budgets().containsKey(budgetName)) {
                agent.reconfigure(clock.nowMs(), budget);
                LogEvent.log(
                        LOG.atInfo(),
                        "budget retuned",
                        "budget",
                        budgetName,
                        "whole",
                        budget.capacity(),
                        "weight",
                        budget.weight());
            }
        });
    }

    // ---- calls of the fleet ----------------------------------------------------------------------------

    @Override
    public void onStart() {
        agent = new BudgetAgent(config, name, fleet.address(), fleet.nonce(), seed, clock.nowMs(), this::execute);
        changedBudgets.values().forEach(budget -> agent.reconfigure(clock.nowMs(), budget));
        schedule();
    }

    @Override
    public void onPayload(MembershipRecord sender, byte[] body) {
        BudgetMessage message;
        try {
            message = codec.decode(body);
        } catch (BudgetMessageCodec.DecodeException e) {
            metrics.counter("budget.words.refused", "cause", e.getMessage()).increment();
            cappedLog.warn("word refused: " + e.getMessage(), "from", sender.name());
            return;
        }
        if (message != null && agent != null) {
            agent.receive(clock.nowMs(), sender.metadata().address(), sender.name(), sender.nonce(), message);
            schedule();
        }
    }

    @Override
    public void onPeersChanged(Set<String> addresses) {
        if (agent != null) {
            agent.setReachable(addresses);
        }
    }

    @Override
    public void onLeavePending() {
        if (agent != null) {
            agent.resign(clock.nowMs());
            schedule();
        }
    }

    @Override
    public void onLeave() {
        if (agent != null) {
            agent.leave(clock.nowMs());
        }
        hasLeft = true;
    }

    // ---- timer and actions -----------------------------------------------------------------------------

    private void schedule() {
        double dueMs = agent == null || hasLeft ? Double.POSITIVE_INFINITY : agent.dueMs();
        if (dueMs < timerAtMs) {
            if (timer != null) {
                timer.cancel();
            }
            timerAtMs = dueMs;
            timer = clock.schedule(Math.max(0, dueMs - clock.nowMs()), this::tick);
        }
    }

    private void tick() {
        timerAtMs = Double.POSITIVE_INFINITY;
        if (!hasLeft) {
            agent.tick(clock.nowMs());
            schedule();
        }
    }

    private void execute(BudgetAction action) {
        double monotonicMs = System.nanoTime() / NANOS_PER_MS;
        if (action instanceof BudgetAction.SendMessage send) {
            for (byte[] body : codec.encode(send.message(), fleet.maxPayloadBytes())) {
                sentMessagesCounter.increment();
                fleet.sendPayload(send.address(), body);
            }
        } else if (action instanceof BudgetAction.LeaseChanged lease) {
            LogEvent.log(
                    LOG.atDebug(),
                    "share",
                    "mono",
                    monotonicMs,
                    "budget",
                    lease.budget(),
                    "amount",
                    lease.amount(),
                    "until",
                    monotonicMs + lease.expiryMs() - clock.nowMs(),
                    "using",
                    lease.inUse(),
                    "term",
                    lease.epoch());
        } else if (action instanceof BudgetAction.CoordinatorChanged change) {
            LogEvent.log(
                    LOG.atInfo(),
                    change.coordinating() ? "divides" : "divides no more",
                    "mono",
                    monotonicMs,
                    "term",
                    change.epoch(),
                    "why",
                    change.reason());
        } else if (action instanceof BudgetAction.LogWarning warning) {
            cappedLog.warn(warning.event(), "budget", warning.budget(), "detail", warning.detail());
        }
    }
}
