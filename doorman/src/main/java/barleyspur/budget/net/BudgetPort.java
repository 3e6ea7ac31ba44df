package barleyspur.budget.net;

import barleyspur.admin.Routes;
import barleyspur.admin.http.HttpAnswer;
import barleyspur.budget.Action;
import barleyspur.budget.Budgets;
import barleyspur.budget.Share;
import barleyspur.budget.Terms;
import barleyspur.budget.Word;
import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.fleet.Saying;
import barleyspur.fleet.net.FleetPort;
import barleyspur.fleet.net.Passenger;
import barleyspur.log.LogEvent;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the budgets of one doorman on the event loop and the datagrams of the fleet view. */
public final class BudgetPort implements Passenger {

    private static final Logger LOG = LoggerFactory.getLogger("budget");
    private static final double NANOS_PER_MS = 1e6;
    private static final int OK = 200;

    private final FleetPort fleet;
    private final Clock clock;
    private final Terms terms;
    private final String name;
    private final long seed;
    private final CappedLog capped;
    private final WordCodec codec = new WordCodec();
    private final Counter taken;
    private final Counter turnedAway;
    private final Counter sentWords;
    private final MeterRegistry metrics;
    /** Budgets that were changed by a reload since the start. */
    private final Map<String, Terms.Budget> retuned = new HashMap<>();
    /** Null until other processes can reach this one: the abstention of its voter has to start then. */
    private Budgets budgets;

    private Clock.Timer timer;
    private double timerAtMs = Double.POSITIVE_INFINITY;
    private boolean left;

    /** @param name of this doorman */
    public BudgetPort(FleetPort fleet, Clock clock, Terms terms, String name, long seed) {
        this.fleet = fleet;
        this.clock = clock;
        this.terms = terms;
        this.name = name;
        this.seed = seed;
        capped = new CappedLog(LOG, clock);
        metrics = fleet.metrics();
        taken = metrics.counter("budget.taken");
        turnedAway = metrics.counter("budget.turned.away");
        sentWords = metrics.counter("budget.words", "way", "sent");
        fleet.board(this);
    }

    /** Adds the call for the budgets to the routes of the admin address. */
    public void addTo(Routes.Builder routes) {
        routes.add(
                "GET",
                "/admin/budget",
                call -> HttpAnswer.json(
                        OK,
                        BudgetCalls.json(name, budgets == null ? null : budgets.ledger(clock.nowMs()))
                                .toString()));
    }

    // ---- acquiring -------------------------------------------------------------------------------------

    /** Returns the limiter of a budget or subject, or null if it isn't available yet. */
    Share share(String budget) {
        Share share = budgets == null || left ? null : budgets.share(clock.nowMs(), budget);
        if (share != null) {
            schedule();
        }
        return share;
    }

    /** Acquires a unit, or schedules an early lease request if none is available. */
    boolean take(Share share) {
        double now = clock.nowMs();
        boolean good = share.take(now);
        if (good) {
            taken.increment();
        } else {
            turnedAway.increment();
            budgets.wantsMore(now, share);
            schedule();
        }
        return good;
    }

    /** Applies the capacity, burst and weight of reloaded settings to the budgets that exist since the start. */
    public void retune(Terms next) {
        next.budgets().forEach((budget, b) -> {
            retuned.put(budget, b);
            if (budgets != null && terms.budgets().containsKey(budget)) {
                budgets.retune(clock.nowMs(), b);
                LogEvent.log(
                        LOG.atInfo(), "budget retuned", "budget", budget, "whole", b.whole(), "weight", b.weight());
            }
        });
    }

    // ---- calls of the fleet ----------------------------------------------------------------------------

    @Override
    public void start() {
        budgets = new Budgets(terms, name, fleet.address(), fleet.nonce(), seed, clock.nowMs(), this::carryOut);
        retuned.values().forEach(b -> budgets.retune(clock.nowMs(), b));
        schedule();
    }

    @Override
    public void received(Saying sender, byte[] body) {
        Word word;
        try {
            word = codec.decode(body);
        } catch (WordCodec.Unreadable e) {
            metrics.counter("budget.words.refused", "cause", e.getMessage()).increment();
            capped.warn("message refused: " + e.getMessage(), "from", sender.name());
            return;
        }
        if (word != null && budgets != null) {
            budgets.receive(clock.nowMs(), sender.about().address(), sender.name(), sender.nonce(), word);
            schedule();
        }
    }

    @Override
    public void there(Set<String> addresses) {
        if (budgets != null) {
            budgets.there(addresses);
        }
    }

    @Override
    public void leaving() {
        if (budgets != null) {
            budgets.resign(clock.nowMs());
            schedule();
        }
    }

    @Override
    public void leave() {
        if (budgets != null) {
            budgets.leave(clock.nowMs());
        }
        left = true;
    }

    // ---- timer and actions -----------------------------------------------------------------------------

    private void schedule() {
        double due = budgets == null || left ? Double.POSITIVE_INFINITY : budgets.dueMs();
        if (due < timerAtMs) {
            if (timer != null) {
                timer.cancel();
            }
            timerAtMs = due;
            timer = clock.after(Math.max(0, due - clock.nowMs()), this::tick);
        }
    }

    private void tick() {
        timerAtMs = Double.POSITIVE_INFINITY;
        if (!left) {
            budgets.tick(clock.nowMs());
            schedule();
        }
    }

    private void carryOut(Action action) {
        double mono = System.nanoTime() / NANOS_PER_MS;
        if (action instanceof Action.Send a) {
            for (byte[] body : codec.encode(a.word(), fleet.room())) {
                sentWords.increment();
                fleet.carry(a.address(), body);
            }
        } else if (action instanceof Action.Holds a) {
            LogEvent.log(
                    LOG.atDebug(),
                    "share",
                    "mono",
                    mono,
                    "budget",
                    a.budget(),
                    "amount",
                    a.amount(),
                    "until",
                    mono + a.untilMs() - clock.nowMs(),
                    "using",
                    a.using(),
                    "term",
                    a.term());
        } else if (action instanceof Action.Divides a) {
            LogEvent.log(
                    LOG.atInfo(),
                    a.on() ? "divides" : "stopped dividing",
                    "mono",
                    mono,
                    "term",
                    a.term(),
                    "why",
                    a.why());
        } else if (action instanceof Action.Warn a) {
            capped.warn(a.event(), "budget", a.budget(), "detail", a.detail());
        }
    }
}
