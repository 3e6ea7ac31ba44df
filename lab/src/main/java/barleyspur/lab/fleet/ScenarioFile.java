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

/** Reads and checks schedules of faults from files, and writes them for a replay. See {@code docs/FLEET.md}. */
final class ScenarioFile {

    private static final Pattern STEP_TIME = Pattern.compile("(settled)?(?: *\\+ *)?([0-9.]+(?:ms|s))?");
    private static final Pattern SLOT_RANGE = Pattern.compile("d([0-9]+)(?:\\.\\.d([0-9]+))?");
    private static final int MAX_DOORMANS = 20_000;
    private static final double MAX_DURATION_MS = 3_600_000;
    private static final List<String> FAULT_BLOCKS = List.of("cut", "mend", "split", "weather", "starve");

    private final int slotCount;

    private ScenarioFile(int slotCount) {
        this.slotCount = slotCount;
    }

    /**
     * Reads a schedule from a file.
     *
     * @throws Hcl.InvalidHclException where the file can't be read or its text is invalid
     */
    static FaultSchedule load(Path file) throws Hcl.InvalidHclException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Hcl.InvalidHclException(file.toString(), 1, "can't be read: " + e.getMessage());
        }
        return read(file.toString(), text);
    }

    /**
     * Parses a schedule.
     *
     * @param file name of the file for messages
     */
    static FaultSchedule read(String file, String text) throws Hcl.InvalidHclException {
        Hcl.Block root = Hcl.read(file, text);
        root.rejectUnknown(List.of("scenario"));
        if (root.blocks().size() != 1) {
            throw new Hcl.InvalidHclException(
                    file,
                    1,
                    "must contain one block scenario \"NAME\" { ... }, not "
                            + root.blocks().size());
        }
        Hcl.Block scenario = root.blocks().get(0);
        String name = scenario.label();
        int doormans = (int) scenario.number("doormans", 3, 1, MAX_DOORMANS);
        int slotCount = (int) scenario.number("slots", doormans, doormans, MAX_DOORMANS);
        ScenarioFile reader = new ScenarioFile(slotCount);
        double periodMs = parseDuration(scenario, "period", 500, 100, 10_000);
        double settleTimeoutMs = parseDuration(scenario, "settle", 20_000, 100, MAX_DURATION_MS);
        long randomSeed = (long) scenario.number("seed", 1, 0, 1e15);
        Hcl.Value seeds = scenario.value("seeds");
        List<Integer> seedSlots =
                seeds == null ? List.of(0, Math.min(1, slotCount - 1)) : List.copyOf(reader.slots(seeds));
        scenario.rejectUnknown(List.of("step", "random", "load", "budget"));
        FaultSchedule.Workload workload = parseWorkload(scenario, slotCount);
        List<FaultSchedule.Step> steps = new ArrayList<>();
        for (Hcl.Block step : scenario.blocks()) {
            if (step.type().equals("random")) {
                if (!scenario.blocks("step").isEmpty()
                        || scenario.blocks("random").size() > 1) {
                    throw step.invalid("can't be combined with other steps");
                }
                int faults = (int) step.number("faults", 10, 1, 1_000);
                step.rejectUnknown(List.of());
                return FaultSchedule.random(doormans, faults, periodMs, settleTimeoutMs, randomSeed)
                        .with(workload);
            } else if (step.type().equals("step")) {
                steps.add(reader.parseStep(step));
            }
        }
        return new FaultSchedule(
                name,
                slotCount,
                doormans,
                seedSlots,
                periodMs,
                List.copyOf(steps),
                settleTimeoutMs,
                randomSeed,
                0,
                workload);
    }

    private static FaultSchedule.Workload parseWorkload(Hcl.Block scenario, int slotCount)
            throws Hcl.InvalidHclException {
        if (scenario.blocks("load").size() != 1) {
            if (scenario.blocks("load").isEmpty() && scenario.blocks("budget").isEmpty()) {
                return null;
            }
            throw scenario.invalid("must have one block load { ... } beside its budgets, not "
                    + scenario.blocks("load").size());
        }
        Hcl.Block load = scenario.blocks("load").get(0);
        int voterCount = (int) load.number("voters", Math.min(3, slotCount), 1, slotCount);
        int maxDoormans = (int) load.number("largest", slotCount, voterCount, MAX_DOORMANS);
        double leaderLeaseMs = parseDuration(load, "term", 2_000, 500, 30_000);
        double maxHoldMs = parseDuration(load, "hold", 500, 10, 30_000);
        double sendSlackMs = parseDuration(load, "slack", 50, 1, 1_000);
        Map<String, BudgetConfig.Budget> budgets = new TreeMap<>();
        Map<String, String> modelByBudget = new TreeMap<>();
        for (Hcl.Block block : scenario.blocks("budget")) {
            BudgetConfig.Budget budget = BudgetSettings.readBudget(block, maxDoormans, maxHoldMs + sendSlackMs);
            Hcl.Value model = block.value("at");
            modelByBudget.put(budget.name(), model == null ? "cache" : model.asString());
            budgets.put(budget.name(), budget);
            block.rejectUnknown(List.of());
        }
        FaultSchedule.Workload workload = new FaultSchedule.Workload(
                new BudgetConfig(List.of(), maxDoormans, leaderLeaseMs, maxHoldMs, sendSlackMs, budgets),
                voterCount,
                modelByBudget,
                (int) load.number("caches", 3, 1, 200),
                load.number("per_s", 300, 1, 100_000),
                parseDuration(load, "jump", 0, 0, MAX_DURATION_MS),
                parseDuration(load, "hit", 20, 1, 5_000),
                parseDuration(load, "cold", 0, 0, MAX_DURATION_MS));
        load.rejectUnknown(List.of());
        return workload;
    }

    private FaultSchedule.Step parseStep(Hcl.Block block) throws Hcl.InvalidHclException {
        Matcher matcher = STEP_TIME.matcher(block.label());
        if (!matcher.matches() || block.label().isBlank()) {
            throw block.invalid("has an invalid time \"" + block.label()
                    + "\"; examples are \"2s\", \"settled\", \"settled + 500ms\"");
        }
        double delayMs = matcher.group(2) == null ? 0 : Hcl.parseMillis(matcher.group(2));
        Fault fault = parseFault(block);
        block.rejectUnknown(FAULT_BLOCKS);
        return new FaultSchedule.Step(matcher.group(1) != null, delayMs, fault);
    }

    private Fault parseFault(Hcl.Block step) throws Hcl.InvalidHclException {
        List<Fault> found = new ArrayList<>();
        addIfPresent(found, step.value("kill"), Fault.Kill::new);
        addIfPresent(found, step.value("freeze"), Fault.Freeze::new);
        addIfPresent(found, step.value("thaw"), Fault.Thaw::new);
        addIfPresent(found, step.value("term"), Fault.Term::new);
        addIfPresent(found, step.value("quiesce"), targets -> new Fault.Quiesce(targets, true));
        addIfPresent(found, step.value("resume"), targets -> new Fault.Quiesce(targets, false));
        Hcl.Value name = step.value("as");
        Hcl.Value clock = step.value("clock");
        double offset = clock == null ? 0 : Hcl.parseMillis(clock.asString());
        if (Double.isNaN(offset)) {
            throw clock.invalid("is not a time: " + clock.value());
        }
        int format = (int) step.number("format", 2, 1, 2);
        addIfPresent(
                found,
                step.value("start"),
                targets -> new Fault.Start(targets, name == null ? "" : String.valueOf(name.value()), offset, format));
        Hcl.Value budget = step.value("of");
        if (budget != null) {
            found.add(new Fault.Whole(budget.asString(), (long) step.number("whole", 0, 1, 1e9)));
        }
        Hcl.Value heal = step.value("heal");
        if (heal != null && heal.asBoolean()) {
            found.add(new Fault.Heal());
        }
        for (Hcl.Block block : step.blocks()) {
            switch (block.type()) {
                case "cut", "mend" ->
                    found.add(new Fault.Cut(
                            slots(block, "from"),
                            slots(block, "to"),
                            block.type().equals("mend")));
                case "split" -> found.add(parseSplit(block));
                case "weather" ->
                    found.add(new Fault.Weather(
                            slots(block, "from"),
                            slots(block, "to"),
                            new Fault.Noise(
                                    block.number("loss", 0, 0, 1),
                                    parseDuration(block, "delay", 0, 0, 10_000),
                                    block.number("twice", 0, 0, 1),
                                    block.number("garbage", 0, 0, 1))));
                case "starve" -> found.add(new Fault.Starve(slots(block, "who"), block.number("share", 0.1, 0.01, 1)));
                default -> {}
            }
            block.rejectUnknown(List.of());
        }
        if (found.size() != 1) {
            throw step.invalid("must have one fault, not " + found.size());
        }
        return found.get(0);
    }

    /** Creates a fault that hits the processes in some slots. */
    private interface FaultFactory {
        Fault create(Set<Integer> slots);
    }

    private void addIfPresent(List<Fault> found, Hcl.Value value, FaultFactory factory) throws Hcl.InvalidHclException {
        if (value != null) {
            found.add(factory.create(slots(value)));
        }
    }

    private Fault parseSplit(Hcl.Block block) throws Hcl.InvalidHclException {
        Hcl.Value groups = block.value("groups");
        if (groups == null) {
            throw block.invalid("has no key groups, as in [\"d1..d3\", \"d4..d7\"]");
        }
        List<Set<Integer>> partitions = new ArrayList<>();
        for (String group : groups.asStrings()) {
            partitions.add(slots(groups, List.of(group.split(" +"))));
        }
        return new Fault.Split(List.copyOf(partitions));
    }

    private Set<Integer> slots(Hcl.Block block, String key) throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        return value == null ? FaultSchedule.slotRange(0, slotCount) : slots(value);
    }

    private Set<Integer> slots(Hcl.Value value) throws Hcl.InvalidHclException {
        return slots(value, value.asStrings());
    }

    private Set<Integer> slots(Hcl.Value value, List<String> names) throws Hcl.InvalidHclException {
        Set<Integer> set = new TreeSet<>();
        for (String name : names) {
            Matcher matcher = SLOT_RANGE.matcher(name);
            if (name.equals("all")) {
                set.addAll(FaultSchedule.slotRange(0, slotCount));
            } else if (matcher.matches()) {
                int from = Integer.parseInt(matcher.group(1));
                int to = matcher.group(2) == null ? from : Integer.parseInt(matcher.group(2));
                if (from < 1 || to > slotCount || from > to) {
                    throw value.invalid("names " + name + ", but there are d1 to d" + slotCount);
                }
                set.addAll(FaultSchedule.slotRange(from - 1, to));
            } else {
                throw value.invalid("names " + name + ", but d1, d2..d5 or all is expected");
            }
        }
        return set;
    }

    private static double parseDuration(Hcl.Block block, String key, double defaultMs, double minMs, double maxMs)
            throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        double ms = value == null ? defaultMs : Hcl.parseMillis(value.asString());
        if (!(ms >= minMs && ms <= maxMs)) {
            throw value.invalid("is no time from " + minMs + " to " + maxMs + " ms: " + value.value());
        }
        return ms;
    }

    // ---- Writing ---------------------------------------------------------------------------------------

    /** Returns the text of a file from which the same schedule is read. */
    static String write(FaultSchedule schedule) {
        StringBuilder out =
                new StringBuilder("scenario \"" + schedule.name() + "\" {\n  doormans = " + schedule.initialDoormans()
                        + "\n  slots = " + schedule.slotCount() + "\n  seeds = "
                        + slotList(Set.copyOf(schedule.seedSlots())) + "\n  period = "
                        + duration(schedule.protocolPeriodMs()) + "\n  settle = " + duration(schedule.settleTimeoutMs())
                        + "\n  seed = " + schedule.randomSeed()
                        + "\n"
                        + loadBlock(schedule.workload()));
        for (FaultSchedule.Step step : schedule.steps()) {
            out.append("  step \"")
                    .append(step.awaitSettled() ? "settled + " : "")
                    .append(duration(step.delayMs()).replace("\"", ""))
                    .append("\" {\n")
                    .append(faultText(step.fault()))
                    .append("  }\n");
        }
        return out.append("}\n").toString();
    }

    private static String loadBlock(FaultSchedule.Workload workload) {
        if (workload == null) {
            return "";
        }
        BudgetConfig config = workload.config();
        StringBuilder out = new StringBuilder("  load {\n    caches = " + workload.cacheCount() + "\n    per_s = "
                + workload.requestsPerS()
                + "\n    jump = " + duration(workload.hotspotIntervalMs()) + "\n    hit = "
                + duration(workload.hitServiceMs())
                + "\n    cold = " + duration(workload.firstCacheStartMs())
                + "\n    voters = " + workload.voterCount() + "\n    largest = " + config.maxDoormans()
                + "\n    term = "
                + duration(config.leaderLeaseMs())
                + "\n    hold = " + duration(config.maxHoldMs()) + "\n    slack = " + duration(config.sendSlackMs())
                + "\n  }\n");
        config.budgets().values().stream()
                .sorted(Comparator.comparing(BudgetConfig.Budget::name))
                .forEach(budget ->
                        out.append(budgetBlock(budget, workload.modelByBudget().get(budget.name()), "  ")));
        return out.toString();
    }

    /** Returns the block of a budget, which scenarios and settings files share. */
    static String budgetBlock(BudgetConfig.Budget budget, String model, String indent) {
        return indent + "budget \"" + budget.name() + "\" {\n" + indent + "  kind = \""
                + budget.kind().name().toLowerCase(Locale.ROOT)
                + "\"\n" + indent + "  whole = " + budget.capacity() + "\n"
                + (budget.kind() == BudgetKind.RATE ? indent + "  burst = " + budget.burst() + "\n" : "") + indent
                + "  floor = "
                + budget.floor() + "\n" + indent + "  lease = " + duration(budget.leaseMs()) + "\n" + indent
                + "  at = \"" + model + "\"\n" + indent + "}\n";
    }

    private static String duration(double ms) {
        return String.format(Locale.ROOT, "\"%.3fms\"", ms);
    }

    private static String slotList(Set<Integer> slots) {
        StringBuilder out = new StringBuilder("[");
        for (int slot : new TreeSet<>(slots)) {
            out.append(out.length() > 1 ? ", " : "")
                    .append("\"d")
                    .append(slot + 1)
                    .append('"');
        }
        return out.append(']').toString();
    }

    private static String faultText(Fault fault) {
        if (fault instanceof Fault.Kill kill) {
            return "    kill = " + slotList(kill.slots()) + "\n";
        } else if (fault instanceof Fault.Freeze freeze) {
            return "    freeze = " + slotList(freeze.slots()) + "\n";
        } else if (fault instanceof Fault.Thaw thaw) {
            return "    thaw = " + slotList(thaw.slots()) + "\n";
        } else if (fault instanceof Fault.Term term) {
            return "    term = " + slotList(term.slots()) + "\n";
        } else if (fault instanceof Fault.Quiesce quiesce) {
            return "    " + (quiesce.on() ? "quiesce" : "resume") + " = " + slotList(quiesce.slots()) + "\n";
        } else if (fault instanceof Fault.Start start) {
            return "    start = " + slotList(start.slots()) + "\n"
                    + (start.name().isEmpty() ? "" : "    as = \"" + start.name() + "\"\n") + "    clock = "
                    + duration(start.clockMs())
                    + "\n    format = " + start.format() + "\n";
        } else if (fault instanceof Fault.Cut cut) {
            return "    " + (cut.mended() ? "mend" : "cut") + " {\n      from = " + slotList(cut.from())
                    + "\n      to = " + slotList(cut.to()) + "\n    }\n";
        } else if (fault instanceof Fault.Split split) {
            StringBuilder groups = new StringBuilder();
            for (Set<Integer> group : split.groups()) {
                groups.append(groups.isEmpty() ? "" : ", ")
                        .append('"')
                        .append(slotList(group).replaceAll("[\\[\\]\",]", ""))
                        .append('"');
            }
            return "    split {\n      groups = [" + groups + "]\n    }\n";
        } else if (fault instanceof Fault.Weather noise) {
            return "    weather {\n      from = " + slotList(noise.from()) + "\n      to = " + slotList(noise.to())
                    + "\n"
                    + String.format(
                            Locale.ROOT,
                            "      loss = %.4f%n      delay = \"%.3fms\"%n      twice = %.4f%n"
                                    + "      garbage = %.4f%n    }%n",
                            noise.noise().loss(),
                            noise.noise().delayMs(),
                            noise.noise().twice(),
                            noise.noise().garbage());
        } else if (fault instanceof Fault.Whole capacityChange) {
            return "    of = \"" + capacityChange.budget() + "\"\n    whole = " + capacityChange.whole() + "\n";
        } else if (fault instanceof Fault.Starve starvation) {
            return "    starve {\n      who = " + slotList(starvation.slots()) + "\n      share = " + starvation.share()
                    + "\n    }\n";
        }
        return "    heal = true\n";
    }
}
