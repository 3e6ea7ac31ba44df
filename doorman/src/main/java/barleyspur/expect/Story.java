package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Tells a scenario in words, step by step, and says at which step which expectation was not met: what a counterexample
 * is for. The same scenario is told the same way every time.
 */
public final class Story implements Observer {

    /**
     * One step.
     *
     * @param atMs   from the scenario's start
     * @param broken whether the expectation was not met here
     */
    public record Step(double atMs, String text, boolean broken) {}

    private final Site site;
    private final Judge judge;
    private final List<Step> steps = new ArrayList<>();
    /** What each doorman's list says last, by doorman and box, where that is not what it said at the start. */
    private final Map<Integer, Map<String, String>> believed = new HashMap<>();

    private boolean told;

    private Story(Site site, Expectation expectation) {
        this.site = site;
        this.judge = new Judge(site, List.of(expectation));
    }

    /** Plays a scenario and tells it. */
    public static List<Step> of(Scenario scenario, Expectation expectation) {
        return of(scenario, expectation, barleyspur.decision.LeastRecentlyLostPolicy::new);
    }

    static List<Step> of(Scenario scenario, Expectation expectation, World.Maker maker) {
        Story story = new Story(scenario.site(), expectation);
        new World(scenario, maker, story).play();
        story.judge.end();
        story.judged();
        return List.copyOf(story.steps);
    }

    private void step(double at, String format, Object... arguments) {
        steps.add(new Step(at, String.format(Locale.ROOT, format, arguments), false));
    }

    /** Says so where the expectation has just been found not to hold. */
    private void judged() {
        Judge.Violation v = judge.tallies().get(0).first;
        if (v == null || told) {
            return;
        }
        told = true;
        Expectation e = v.expectation();
        StringBuilder text = new StringBuilder("NOT as expected by \"" + e.name() + "\" (" + e.place() + ")");
        if (v.broken() != null) {
            text.append(": ")
                    .append(v.broken().place())
                    .append(": ")
                    .append(v.broken().text())
                    .append(' ')
                    .append(v.what());
            if (v.moment() != null) {
                Object value = v.broken().field().of(v.moment(), -1);
                text.append("; it is ").append(value instanceof Double d ? figure(d) : value);
            }
        } else {
            text.append(": ").append(v.what());
        }
        steps.add(new Step(v.atMs(), text.toString(), true));
        if (v.moment() instanceof Moment.Attempt a) {
            steps.add(new Step(v.atMs(), "  the target then: " + seen(a.target()), true));
            if (a.source() != null) {
                steps.add(new Step(v.atMs(), "  the source then: " + seen(a.source()), true));
            }
        }
        if (v.moment() != null) {
            int doorman = v.moment().asked().ask().doorman();
            Map<String, String> list = believed.getOrDefault(doorman, Map.of());
            steps.add(new Step(
                    v.atMs(),
                    "  doorman " + doorman + " had been told: "
                            + (list.isEmpty()
                                    ? "nothing since the start, when all boxes were in service"
                                    : String.join("; ", list.values())),
                    true));
        }
    }

    private static String seen(Moment.Seen s) {
        StringBuilder text = new StringBuilder(s.box().uid() + " (" + s.role().word() + ", " + s.model() + ", "
                + s.station() + "), " + s.told().word() + " by the list since " + figure(s.toldForMs()) + " ms");
        if (s.actual() != s.told()) {
            text.append(", in truth ").append(s.actual().word());
        }
        if (!Double.isNaN(s.coldForMs())) {
            text.append(", cold: told to have started ")
                    .append(figure(s.coldForMs()))
                    .append(" ms ago, at ")
                    .append(figure(s.pressure()))
                    .append(" of its budget");
        }
        if (!s.fault().equals("none")) {
            text.append(", fault: ").append(s.fault());
        }
        return text.toString();
    }

    private static String figure(double d) {
        return Math.abs(d) >= 100 || d == Math.rint(d)
                ? Long.toString(Math.round(d))
                : String.format(Locale.ROOT, "%.2f", d);
    }

    // ---- steps -----------------------------------------------------------------------------------------

    @Override
    public void happened(double atMs, Fault fault, Box box) {
        String who = box == null
                ? fault.kind() == Fault.Kind.PURGE ? "object " + Long.toHexString((long) fault.size()) : "the list"
                : box.uid();
        step(
                atMs,
                "event: %s: %s%s",
                fault.kind().word(),
                who,
                fault.kind().told() ? "" : " for " + figure(fault.forMs()) + " ms");
        judge.happened(atMs, fault, box);
        judged();
    }

    @Override
    public void told(double atMs, int doorman, Box box, Moment.Told state, boolean started) {
        String what = box.uid() + " is " + state.word() + (started ? ", started late" : "");
        step(atMs, "doorman %d is told: %s", doorman, what);
        believed.computeIfAbsent(doorman, k -> new HashMap<>()).put(box.uid(), what + " (at " + figure(atMs) + " ms)");
        judge.told(atMs, doorman, box, state, started);
        judged();
    }

    @Override
    public void purged(double atMs, int doorman, long object) {
        step(atMs, "doorman %d is told: object %x is purged", doorman, object);
    }

    @Override
    public void logged(double atMs, int doorman, String line) {
        step(atMs, "doorman %d says: %s", doorman, line);
    }

    @Override
    public void outcome(double atMs, int doorman, RoutingPolicy.Outcome o) {
        step(
                atMs,
                "doorman %d hears: try %d, attempt %d at node %d: %s%s after %s ms",
                doorman,
                o.request(),
                o.attempt() + 1,
                o.node(),
                o.result().name().toLowerCase(Locale.ROOT),
                o.note() == RoutingPolicy.Note.NONE
                        ? ""
                        : " (" + o.note().name().toLowerCase(Locale.ROOT) + ")",
                figure(o.latencyMs()));
    }

    @Override
    public void moment(Moment moment) {
        Moment.Asked q = moment.asked();
        if (moment instanceof Moment.Attempt a) {
            if (a.number() == 1) {
                step(
                        q.atMs(),
                        "client asks doorman %d: try %d (%s, object %x, part %d, %s KB, its try %d, %s ms)",
                        q.ask().doorman(),
                        q.number(),
                        q.category(),
                        q.ask().object(),
                        q.ask().part(),
                        figure(q.ask().sizeKb()),
                        q.attempt(),
                        figure(q.ask().remainingMs()));
            }
            step(
                    a.atMs(),
                    "doorman %d sends: try %d, attempt %d to %s%s%s%s",
                    q.ask().doorman(),
                    q.number(),
                    a.number(),
                    a.target().box().uid(),
                    a.source() == null
                            ? ", filling nothing"
                            : ", a miss filled from " + a.source().box().uid(),
                    a.rank() > 0 ? ", kept at rank " + a.rank() : "",
                    a.maxAgeMs() > 0 ? ", copies up to " + figure(a.maxAgeMs()) + " ms old" : "");
        } else if (moment instanceof Moment.Answer a) {
            step(
                    a.atMs(),
                    "doorman %d answers: try %d %s after %s ms%s",
                    q.ask().doorman(),
                    q.number(),
                    a.ending().word(),
                    figure(a.afterMs()),
                    a.backMs() > 0 ? ", come back in " + figure(a.backMs()) + " ms" : "");
        }
        judge.moment(moment);
        judged();
    }

    /** The boxes of a scenario, in a line. */
    public static String fleet(Site site) {
        List<String> names = new ArrayList<>();
        for (Box b : site.boxes()) {
            names.add(b.uid() + " (" + site.role(b).word() + ", " + site.zones().get(b.zone()) + ")");
        }
        return site.settings().size() + " doormans; " + String.join(", ", names);
    }
}
