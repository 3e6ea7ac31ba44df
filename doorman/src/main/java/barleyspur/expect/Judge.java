package barleyspur.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Judges the moments of one scenario by a list of expectations. */
final class Judge implements Observer {

    /**
     * A moment that an expectation does not allow.
     *
     * @param moment null where something was to come and did not
     * @param broken the line of the expectation that does not hold; null where none can be named
     * @param what   in words
     */
    record Violation(Expectation expectation, double atMs, Moment moment, Condition.Test broken, String what) {}

    /** How one expectation fared in one scenario, or in many. */
    static final class Tally {
        /** Moments or windows that it spoke of. */
        long judged;

        long held;
        /** Moments that it spoke of as well as the expectation of that place in the list, and how many both hold of. */
        final Map<Integer, long[]> shared = new HashMap<>();

        Violation first;

        void add(Tally other) {
            judged += other.judged;
            held += other.held;
            other.shared.forEach((with, counts) -> {
                long[] mine = shared.computeIfAbsent(with, k -> new long[2]);
                mine[0] += counts[0];
                mine[1] += counts[1];
            });
        }
    }

    private static final class Window {
        final int doorman;
        final long node;
        final double from;
        double by;
        boolean met;
        boolean cut;
        int moments;

        Window(int doorman, long node, double from, double by) {
            this.doorman = doorman;
            this.node = node;
            this.from = from;
            this.by = by;
        }
    }

    private record Counted(Set<Object> values, long[] attempts) {}

    private final Site site;
    private final List<Expectation> expectations;
    private final List<Condition.Kind> kinds;
    private final List<Tally> tallies = new ArrayList<>();
    private final List<List<Window>> windows = new ArrayList<>();
    private final List<Map<Object, Counted>> counts = new ArrayList<>();
    /** What each expectation said of the moment at hand: null: nothing. */
    private final Boolean[] said;

    private double lastAt;

    Judge(Site site, List<Expectation> expectations) {
        this.site = site;
        this.expectations = expectations;
        kinds = expectations.stream().map(Expectation::kind).toList();
        expectations.forEach(e -> {
            tallies.add(new Tally());
            windows.add(new ArrayList<>());
            counts.add(new HashMap<>());
        });
        said = new Boolean[expectations.size()];
    }

    List<Tally> tallies() {
        return tallies;
    }

    @Override
    public void happened(double atMs, Fault fault, Box box) {
        lastAt = atMs;
        for (int i = 0; i < expectations.size(); i++) {
            Expectation.After after = expectations.get(i).after();
            if (after != null && after.happens().contains(fault.kind()) && (box == null || covers(after, box))) {
                open(i, after, -1, box == null ? -1 : box.node(), atMs);
            }
        }
    }

    @Override
    public void told(double atMs, int doorman, Box box, Moment.Told told, boolean started) {
        lastAt = atMs;
        for (int i = 0; i < expectations.size(); i++) {
            Expectation.After after = expectations.get(i).after();
            boolean here = after != null
                    && (!after.own() || site.settings().get(doorman).zone() == box.zone());
            if (!here || !covers(after, box)) {
                continue;
            }
            if (after.until().contains(told)) {
                for (Window w : windows.get(i)) {
                    if (w.node == box.node() && (w.doorman < 0 || w.doorman == doorman) && atMs < w.by) {
                        w.by = atMs;
                        w.cut = true;
                    }
                }
            }
            if (after.told().contains(told) || started && after.started()) {
                open(i, after, doorman, box.node(), atMs);
            }
        }
    }

    private boolean covers(Expectation.After after, Box box) {
        return after.roles().isEmpty() || after.roles().contains(site.role(box));
    }

    private void open(int i, Expectation.After after, int doorman, long node, double atMs) {
        windows.get(i).add(new Window(doorman, node, atMs + after.fromMs(), atMs + after.byMs()));
    }

    @Override
    public void moment(Moment moment) {
        lastAt = moment.atMs();
        Condition.Kind kind = moment instanceof Moment.Attempt ? Condition.Kind.ATTEMPT : Condition.Kind.ANSWER;
        for (int i = 0; i < expectations.size(); i++) {
            Expectation e = expectations.get(i);
            said[i] = null;
            if (kinds.get(i) != kind || e.form() instanceof Expectation.Figures) {
                continue;
            }
            if (e.after() == null) {
                judge(i, moment, -1, null);
            } else {
                for (Window w : windows.get(i)) {
                    boolean here =
                            w.doorman < 0 || w.doorman == moment.asked().ask().doorman();
                    if (here && moment.atMs() >= w.from && moment.atMs() < w.by) {
                        judge(i, moment, w.node, w);
                    }
                }
            }
        }
        compare();
    }

    private void judge(int i, Moment moment, long trigger, Window window) {
        Expectation e = expectations.get(i);
        if (!e.given().holds(moment, trigger)) {
            return;
        }
        Tally t = tallies.get(i);
        boolean that = e.form().that().holds(moment, trigger);
        Expectation.Form form = e.form();
        if (form instanceof Expectation.Share share) {
            // Where too many are so, one that is so shows why; else one that is not.
            boolean shows = share.least() > 0 ? !that : that;
            note(
                    i,
                    that,
                    moment,
                    that ? null : e.form().that().broken(moment, trigger),
                    share.least() > 0 ? "does not hold" : "holds too often",
                    shows);
        } else if (form instanceof Expectation.Must) {
            note(i, that, moment, that ? null : e.form().that().broken(moment, trigger), "does not hold", !that);
        } else if (form instanceof Expectation.Never) {
            note(
                    i,
                    !that,
                    moment,
                    that ? new Condition.Not(e.form().that()).broken(moment, trigger) : null,
                    "must never hold",
                    that);
        } else if (form instanceof Expectation.Eventually) {
            window.moments++;
            window.met |= that;
        } else if (form instanceof Expectation.Count c && that) {
            t.judged++;
            t.held++;
            count(i, c, (Moment.Attempt) moment);
        }
    }

    private void note(int i, boolean holds, Moment moment, Condition.Test broken, String what, boolean shows) {
        Tally t = tallies.get(i);
        t.judged++;
        t.held += holds ? 1 : 0;
        if (!(expectations.get(i).form() instanceof Expectation.Share)) {
            said[i] = holds && (said[i] == null || said[i]);
        }
        if (shows && t.first == null) {
            t.first = new Violation(expectations.get(i), moment.atMs(), moment, broken, what);
        }
    }

    private void count(int i, Expectation.Count c, Moment.Attempt a) {
        Object key =
                switch (c.per()) {
                    case REQUEST -> a.asked().number();
                    case OBJECT -> a.asked().ask().object();
                    case BOX -> a.target().box().node();
                    case STATION -> a.asked().zone();
                    case SCENARIO -> 0;
                };
        Counted counted = counts.get(i).computeIfAbsent(key, k -> new Counted(new HashSet<>(), new long[1]));
        counted.attempts[0]++;
        if (c.of() == Expectation.Of.TARGETS) {
            counted.values.add(a.target().box().node());
        } else if (c.of() == Expectation.Of.SOURCES && a.source() != null) {
            counted.values.add(a.source().box().node());
        }
        double n = number(c, counted);
        if (n > c.most() && tallies.get(i).first == null) {
            tallies.get(i).held--;
            tallies.get(i).first = new Violation(
                    expectations.get(i), a.atMs(), a, null, said(c, n) + ", more than " + figure(c.most()));
        }
    }

    private static double number(Expectation.Count c, Counted counted) {
        return c.of() == Expectation.Of.ATTEMPTS ? counted.attempts[0] : counted.values.size();
    }

    private static String said(Expectation.Count c, double n) {
        return figure(n) + " " + c.of().name().toLowerCase(Locale.ROOT) + " per "
                + c.per().name().toLowerCase(Locale.ROOT);
    }

    private static String figure(double n) {
        return n == Math.rint(n) ? Long.toString((long) n) : Double.toString(n);
    }

    /** The play is over: what was to come by now has not. */
    void end() {
        for (int i = 0; i < expectations.size(); i++) {
            Expectation e = expectations.get(i);
            Tally t = tallies.get(i);
            if (e.form() instanceof Expectation.Eventually ev) {
                for (Window w : windows.get(i)) {
                    // A window that was closed early, that the play did not outlast or with few chances shows nothing.
                    if (w.met || !w.cut && w.by <= lastAt && w.moments >= ev.chances()) {
                        t.judged++;
                        t.held += w.met ? 1 : 0;
                        if (!w.met && t.first == null) {
                            t.first = new Violation(
                                    e, w.by, null, null, "nothing of the kind in " + w.moments + " moments");
                        }
                    }
                }
            } else if (e.form() instanceof Expectation.Count c && c.least() > 0) {
                for (Counted counted : counts.get(i).values()) {
                    double n = number(c, counted);
                    if (n < c.least() && t.first == null) {
                        t.held--;
                        t.first =
                                new Violation(e, lastAt, null, null, said(c, n) + ", fewer than " + figure(c.least()));
                    }
                }
            }
        }
    }

    /** Counts the moments that two expectations spoke of, and those that both allow. */
    private void compare() {
        for (int i = 0; i < said.length; i++) {
            for (int j = i + 1; said[i] != null && j < said.length; j++) {
                if (said[j] != null) {
                    long[] both = tallies.get(i).shared.computeIfAbsent(j, k -> new long[2]);
                    both[0]++;
                    both[1] += said[i] && said[j] ? 1 : 0;
                }
            }
        }
    }
}
