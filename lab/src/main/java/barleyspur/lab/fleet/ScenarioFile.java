package barleyspur.lab.fleet;

import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.config.BudgetSettings;
import barleyspur.config.Hcl;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A schedule of faults as a file: read, checked, and written for a replay. {@code docs/FLEET.md} has the language. */
final class ScenarioFile {

    private static final Pattern WHEN = Pattern.compile("(settled)?(?: *\\+ *)?([0-9.]+(?:ms|s))?");
    private static final Pattern RANGE = Pattern.compile("d([0-9]+)(?:\\.\\.d([0-9]+))?");
    private static final int MOST = 20_000;
    private static final double MOST_MS = 3_600_000;
    private static final List<String> FAULTS = List.of("cut", "mend", "split", "weather", "starve");

    private final int slots;

    private ScenarioFile(int slots) {
        this.slots = slots;
    }

    static Schedule load(Path file) throws Hcl.InvalidHclException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Hcl.InvalidHclException(file.toString(), 1, "can't be read: " + e.getMessage());
        }
        return read(file.toString(), text);
    }

    static Schedule read(String file, String text) throws Hcl.InvalidHclException {
        Hcl.Block root = Hcl.read(file, text);
        root.rejectUnknown(List.of("scenario"));
        if (root.blocks().size() != 1) {
            throw new Hcl.InvalidHclException(
                    file,
                    1,
                    "wants one block scenario \"NAME\" { ... }, not "
                            + root.blocks().size());
        }
        Hcl.Block b = root.blocks().get(0);
        String name = b.label();
        int doormans = (int) b.number("doormans", 3, 1, MOST);
        int slots = (int) b.number("slots", doormans, doormans, MOST);
        ScenarioFile reader = new ScenarioFile(slots);
        double period = time(b, "period", 500, 100, 10_000);
        double settle = time(b, "settle", 20_000, 100, MOST_MS);
        long seed = (long) b.number("seed", 1, 0, 1e15);
        Hcl.Value seeds = b.value("seeds");
        List<Integer> at = seeds == null ? List.of(0, Math.min(1, slots - 1)) : List.copyOf(reader.slots(seeds));
        b.rejectUnknown(List.of("step", "random", "load", "budget"));
        Schedule.Use use = use(b, slots);
        List<Schedule.Step> steps = new ArrayList<>();
        for (Hcl.Block step : b.blocks()) {
            if (step.type().equals("random")) {
                if (!b.blocks("step").isEmpty() || b.blocks("random").size() > 1) {
                    throw step.invalid("stands beside other steps");
                }
                int faults = (int) step.number("faults", 10, 1, 1_000);
                step.rejectUnknown(List.of());
                return Schedule.random(doormans, faults, period, settle, seed).with(use);
            } else if (step.type().equals("step")) {
                steps.add(reader.step(step));
            }
        }
        return new Schedule(name, slots, doormans, at, period, List.copyOf(steps), settle, seed, 0, use);
    }

    private static Schedule.Use use(Hcl.Block b, int slots) throws Hcl.InvalidHclException {
        if (b.blocks("load").size() != 1) {
            if (b.blocks("load").isEmpty() && b.blocks("budget").isEmpty()) {
                return null;
            }
            throw b.invalid("wants one block load { ... } beside its budgets, not "
                    + b.blocks("load").size());
        }
        Hcl.Block load = b.blocks("load").get(0);
        int voters = (int) load.number("voters", Math.min(3, slots), 1, slots);
        int largest = (int) load.number("largest", slots, voters, MOST);
        double term = time(load, "term", 2_000, 500, 30_000);
        double hold = time(load, "hold", 500, 10, 30_000);
        double slack = time(load, "slack", 50, 1, 1_000);
        Map<String, BudgetConfig.Budget> budgets = new TreeMap<>();
        Map<String, String> at = new TreeMap<>();
        for (Hcl.Block each : b.blocks("budget")) {
            BudgetConfig.Budget budget = BudgetSettings.readBudget(each, largest, hold + slack);
            Hcl.Value model = each.value("at");
            at.put(budget.name(), model == null ? "cache" : model.asString());
            budgets.put(budget.name(), budget);
            each.rejectUnknown(List.of());
        }
        Schedule.Use use = new Schedule.Use(
                new BudgetConfig(List.of(), largest, term, hold, slack, budgets),
                voters,
                at,
                (int) load.number("caches", 3, 1, 200),
                load.number("per_s", 300, 1, 100_000),
                time(load, "jump", 0, 0, MOST_MS),
                time(load, "hit", 20, 1, 5_000),
                time(load, "cold", 0, 0, MOST_MS));
        load.rejectUnknown(List.of());
        return use;
    }

    private Schedule.Step step(Hcl.Block b) throws Hcl.InvalidHclException {
        Matcher when = WHEN.matcher(b.label());
        if (!when.matches() || b.label().isBlank()) {
            throw b.invalid(
                    "has a time that is none: \"" + b.label() + "\"; as in \"2s\", \"settled\", \"settled + 500ms\"");
        }
        double after = when.group(2) == null ? 0 : Hcl.parseMillis(when.group(2));
        Fault fault = fault(b);
        b.rejectUnknown(FAULTS);
        return new Schedule.Step(when.group(1) != null, after, fault);
    }

    private Fault fault(Hcl.Block b) throws Hcl.InvalidHclException {
        List<Fault> found = new ArrayList<>();
        add(found, b.value("kill"), Fault.Kill::new);
        add(found, b.value("freeze"), Fault.Freeze::new);
        add(found, b.value("thaw"), Fault.Thaw::new);
        add(found, b.value("term"), Fault.Term::new);
        add(found, b.value("quiesce"), s -> new Fault.Quiesce(s, true));
        add(found, b.value("resume"), s -> new Fault.Quiesce(s, false));
        Hcl.Value as = b.value("as");
        Hcl.Value clock = b.value("clock");
        double offset = clock == null ? 0 : Hcl.parseMillis(clock.asString());
        if (Double.isNaN(offset)) {
            throw clock.invalid("is no time: " + clock.value());
        }
        int format = (int) b.number("format", 2, 1, 2);
        add(
                found,
                b.value("start"),
                s -> new Fault.Start(s, as == null ? "" : String.valueOf(as.value()), offset, format));
        Hcl.Value of = b.value("of");
        if (of != null) {
            found.add(new Fault.Whole(of.asString(), (long) b.number("whole", 0, 1, 1e9)));
        }
        Hcl.Value heal = b.value("heal");
        if (heal != null && heal.asBoolean()) {
            found.add(new Fault.Heal());
        }
        for (Hcl.Block f : b.blocks()) {
            switch (f.type()) {
                case "cut", "mend" ->
                    found.add(new Fault.Cut(
                            slots(f, "from"), slots(f, "to"), f.type().equals("mend")));
                case "split" -> found.add(split(f));
                case "weather" ->
                    found.add(new Fault.Weather(
                            slots(f, "from"),
                            slots(f, "to"),
                            new Fault.Noise(
                                    f.number("loss", 0, 0, 1),
                                    time(f, "delay", 0, 0, 10_000),
                                    f.number("twice", 0, 0, 1),
                                    f.number("garbage", 0, 0, 1))));
                case "starve" -> found.add(new Fault.Starve(slots(f, "who"), f.number("share", 0.1, 0.01, 1)));
                default -> {}
            }
            f.rejectUnknown(List.of());
        }
        if (found.size() != 1) {
            throw b.invalid("wants one fault, not " + found.size());
        }
        return found.get(0);
    }

    private interface Maker {
        Fault of(Set<Integer> slots);
    }

    private void add(List<Fault> found, Hcl.Value value, Maker maker) throws Hcl.InvalidHclException {
        if (value != null) {
            found.add(maker.of(slots(value)));
        }
    }

    private Fault split(Hcl.Block b) throws Hcl.InvalidHclException {
        Hcl.Value groups = b.value("groups");
        if (groups == null) {
            throw b.invalid("has no key groups, as in [\"d1..d3\", \"d4..d7\"]");
        }
        List<Set<Integer>> sets = new ArrayList<>();
        for (String group : groups.asStrings()) {
            sets.add(slots(groups, List.of(group.split(" +"))));
        }
        return new Fault.Split(List.copyOf(sets));
    }

    private Set<Integer> slots(Hcl.Block b, String key) throws Hcl.InvalidHclException {
        Hcl.Value value = b.value(key);
        return value == null ? Schedule.range(0, slots) : slots(value);
    }

    private Set<Integer> slots(Hcl.Value value) throws Hcl.InvalidHclException {
        return slots(value, value.asStrings());
    }

    private Set<Integer> slots(Hcl.Value value, List<String> names) throws Hcl.InvalidHclException {
        Set<Integer> set = new TreeSet<>();
        for (String name : names) {
            Matcher m = RANGE.matcher(name);
            if (name.equals("all")) {
                set.addAll(Schedule.range(0, slots));
            } else if (m.matches()) {
                int from = Integer.parseInt(m.group(1));
                int to = m.group(2) == null ? from : Integer.parseInt(m.group(2));
                if (from < 1 || to > slots || from > to) {
                    throw value.invalid("names " + name + ", but there are d1 to d" + slots);
                }
                set.addAll(Schedule.range(from - 1, to));
            } else {
                throw value.invalid("names " + name + ": d1, d2..d5 or all was wanted");
            }
        }
        return set;
    }

    private static double time(Hcl.Block b, String key, double otherwise, double least, double most)
            throws Hcl.InvalidHclException {
        Hcl.Value v = b.value(key);
        double ms = v == null ? otherwise : Hcl.parseMillis(v.asString());
        if (!(ms >= least && ms <= most)) {
            throw v.invalid("is no time from " + least + " to " + most + " ms: " + v.value());
        }
        return ms;
    }

    // ---- writing ---------------------------------------------------------------------------------------

    /** The schedule as a file that reads as the same. */
    static String write(Schedule s) {
        StringBuilder out = new StringBuilder("scenario \"" + s.name() + "\" {\n  doormans = " + s.started()
                + "\n  slots = " + s.slots() + "\n  seeds = " + names(Set.copyOf(s.seeds())) + "\n  period = "
                + ms(s.periodMs()) + "\n  settle = " + ms(s.settleMs()) + "\n  seed = " + s.seed() + "\n"
                + use(s.use()));
        for (Schedule.Step step : s.steps()) {
            out.append("  step \"")
                    .append(step.settled() ? "settled + " : "")
                    .append(ms(step.afterMs()).replace("\"", ""))
                    .append("\" {\n")
                    .append(fault(step.fault()))
                    .append("  }\n");
        }
        return out.append("}\n").toString();
    }

    private static String use(Schedule.Use u) {
        if (u == null) {
            return "";
        }
        BudgetConfig t = u.terms();
        StringBuilder out = new StringBuilder("  load {\n    caches = " + u.caches() + "\n    per_s = " + u.perS()
                + "\n    jump = " + ms(u.jumpMs()) + "\n    hit = " + ms(u.hitMs()) + "\n    cold = " + ms(u.coldMs())
                + "\n    voters = " + u.voters() + "\n    largest = " + t.maxDoormans() + "\n    term = "
                + ms(t.leaderLeaseMs())
                + "\n    hold = " + ms(t.maxHoldMs()) + "\n    slack = " + ms(t.sendSlackMs()) + "\n  }\n");
        t.budgets().values().stream()
                .sorted(Comparator.comparing(BudgetConfig.Budget::name))
                .forEach(b -> out.append(budget(b, u.at().get(b.name()), "  ")));
        return out.toString();
    }

    /** A budget's block, as scenarios and our own settings have it. */
    static String budget(BudgetConfig.Budget b, String at, String indent) {
        return indent + "budget \"" + b.name() + "\" {\n" + indent + "  kind = \""
                + b.kind().name().toLowerCase(Locale.ROOT)
                + "\"\n" + indent + "  whole = " + b.capacity() + "\n"
                + (b.kind() == BudgetKind.RATE ? indent + "  burst = " + b.burst() + "\n" : "") + indent + "  floor = "
                + b.floor() + "\n" + indent + "  lease = " + ms(b.leaseMs()) + "\n" + indent
                + "  at = \"" + at + "\"\n" + indent + "}\n";
    }

    private static String ms(double ms) {
        return String.format(Locale.ROOT, "\"%.3fms\"", ms);
    }

    private static String names(Set<Integer> slots) {
        StringBuilder out = new StringBuilder("[");
        for (int slot : new TreeSet<>(slots)) {
            out.append(out.length() > 1 ? ", " : "")
                    .append("\"d")
                    .append(slot + 1)
                    .append('"');
        }
        return out.append(']').toString();
    }

    private static String fault(Fault fault) {
        if (fault instanceof Fault.Kill f) {
            return "    kill = " + names(f.slots()) + "\n";
        } else if (fault instanceof Fault.Freeze f) {
            return "    freeze = " + names(f.slots()) + "\n";
        } else if (fault instanceof Fault.Thaw f) {
            return "    thaw = " + names(f.slots()) + "\n";
        } else if (fault instanceof Fault.Term f) {
            return "    term = " + names(f.slots()) + "\n";
        } else if (fault instanceof Fault.Quiesce f) {
            return "    " + (f.on() ? "quiesce" : "resume") + " = " + names(f.slots()) + "\n";
        } else if (fault instanceof Fault.Start f) {
            return "    start = " + names(f.slots()) + "\n"
                    + (f.name().isEmpty() ? "" : "    as = \"" + f.name() + "\"\n") + "    clock = " + ms(f.clockMs())
                    + "\n    format = " + f.format() + "\n";
        } else if (fault instanceof Fault.Cut f) {
            return "    " + (f.mended() ? "mend" : "cut") + " {\n      from = " + names(f.from()) + "\n      to = "
                    + names(f.to()) + "\n    }\n";
        } else if (fault instanceof Fault.Split f) {
            StringBuilder groups = new StringBuilder();
            for (Set<Integer> group : f.groups()) {
                groups.append(groups.isEmpty() ? "" : ", ")
                        .append('"')
                        .append(names(group).replaceAll("[\\[\\]\",]", ""))
                        .append('"');
            }
            return "    split {\n      groups = [" + groups + "]\n    }\n";
        } else if (fault instanceof Fault.Weather f) {
            return "    weather {\n      from = " + names(f.from()) + "\n      to = " + names(f.to()) + "\n"
                    + String.format(
                            Locale.ROOT,
                            "      loss = %.4f%n      delay = \"%.3fms\"%n      twice = %.4f%n"
                                    + "      garbage = %.4f%n    }%n",
                            f.noise().loss(),
                            f.noise().delayMs(),
                            f.noise().twice(),
                            f.noise().garbage());
        } else if (fault instanceof Fault.Whole f) {
            return "    of = \"" + f.budget() + "\"\n    whole = " + f.whole() + "\n";
        } else if (fault instanceof Fault.Starve f) {
            return "    starve {\n      who = " + names(f.slots()) + "\n      share = " + f.share() + "\n    }\n";
        }
        return "    heal = true\n";
    }
}
