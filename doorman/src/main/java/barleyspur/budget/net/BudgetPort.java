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

/** One doorman's budgets on the fleet's datagrams and its event loop. */
public final class BudgetPort implements PayloadListener {

    private static final Logger LOG = LoggerFactory.getLogger("budget");
    private static final double NANOS_PER_MS = 1e6;
    private static final int OK = 200;

    private final FleetService fleet;
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
    /** Wholes that the settings were changed to since the start. */
    private final Map<String, Terms.Budget> retuned = new HashMap<>();
    /** Null until others can reach this process: only then its silence counts. */
    private Budgets budgets;

    private Clock.Timer timer;
    private double timerAtMs = Double.POSITIVE_INFINITY;
    private boolean left;

    /** @param name of this doorman */
    public BudgetPort(FleetService fleet, Clock clock, Terms terms, String name, long seed) {
        this.fleet = fleet;
        this.clock = clock;
        this.terms = terms;
        this.name = name;
        this.seed = seed;
        capped = new CappedLog(LOG, clock);
        metrics = fleet.meterRegistry();
        taken = metrics.counter("budget.taken");
        turnedAway = metrics.counter("budget.turned.away");
        sentWords = metrics.counter("budget.words", "way", "sent");
        fleet.setPayloadListener(this);
    }

    /** Adds its call to the second address's. */
    public void addTo(Routes.Builder routes) {
        routes.add(
                "GET",
                "/admin/budget",
                call -> HttpAnswer.json(
                        OK,
                        BudgetCalls.json(name, budgets == null ? null : budgets.ledger(clock.nowMs()))
                                .toString()));
    }

    // ---- taking ----------------------------------------------------------------------------------------

    /** The share of a budget or subject; null where there is none yet. */
    Share share(String budget) {
        Share share = budgets == null || left ? null : budgets.share(clock.nowMs(), budget);
        if (share != null) {
            schedule();
        }
        return share;
    }

    /** Takes a unit of a share, or asks for more soon. */
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

    /** Other settings count from now on: of a budget that is known its whole and weight. */
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

    // ---- the fleet's calls -----------------------------------------------------------------------------

    @Override
    public void onStart() {
        budgets = new Budgets(terms, name, fleet.address(), fleet.nonce(), seed, clock.nowMs(), this::carryOut);
        retuned.values().forEach(b -> budgets.retune(clock.nowMs(), b));
        schedule();
    }

    @Override
    public void onPayload(MembershipRecord sender, byte[] body) {
        Word word;
        try {
            word = codec.decode(body);
        } catch (WordCodec.Unreadable e) {
            metrics.counter("budget.words.refused", "cause", e.getMessage()).increment();
            capped.warn("word refused: " + e.getMessage(), "from", sender.name());
            return;
        }
        if (word != null && budgets != null) {
            budgets.receive(clock.nowMs(), sender.metadata().address(), sender.name(), sender.nonce(), word);
            schedule();
        }
    }

    @Override
    public void onPeersChanged(Set<String> addresses) {
        if (budgets != null) {
            budgets.there(addresses);
        }
    }

    @Override
    public void onLeavePending() {
        if (budgets != null) {
            budgets.resign(clock.nowMs());
            schedule();
        }
    }

    @Override
    public void onLeave() {
        if (budgets != null) {
            budgets.leave(clock.nowMs());
        }
        left = true;
    }

    // ---- time and actions ------------------------------------------------------------------------------

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
            for (byte[] body : codec.encode(a.word(), fleet.maxPayloadBytes())) {
                sentWords.increment();
                fleet.sendPayload(a.address(), body);
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
                    a.on() ? "divides" : "divides no more",
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
