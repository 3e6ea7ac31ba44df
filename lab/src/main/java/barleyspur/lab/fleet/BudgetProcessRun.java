package barleyspur.lab.fleet;

import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.lab.stand.ArrivalMeter;
import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.FakeCommandChannel;
import barleyspur.lab.stand.LoadGenerator;
import barleyspur.lab.stand.NodeList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.json.JSONArray;

/**
 * Runs a schedule with budgets on real processes: doormans behind relays, stand-in boxes that count arrivals, and
 * clients that send at a fixed rate whatever the responses are. The run is checked by the leases that the processes
 * log, merged by the machine's clock, and independently by what the boxes counted.
 */
final class BudgetProcessRun {

    private static final int PORT = 7001;
    private static final int PARENTS = 2;
    /** A budget counts as reassigned when this part of its capacity was leased on average over the window. */
    private static final double MIN_LEASED_FRACTION = 0.9;

    private static final double LEASED_WINDOW_MS = 2_000;
    private static final double REASSIGNMENT_TIMEOUT_MS = 40_000;
    /** Time within which all doormans have reloaded their settings. */
    private static final double RELOAD_MARGIN_MS = 3_000;

    private static final AtomicInteger STARTED_RUNS = new AtomicInteger();
    /** Left out at both ends of the first box's warm-up, as each doorman has another reading of the wall clock. */
    private static final long CLOCK_MARGIN_MS = 200;

    /**
     * The result of a run.
     *
     * @param arrivalsWhileWarmingUp arrivals at the first box while all doormans agree that it has just started
     * @param reassignedAfterMs      time after the last fault until the capacities were leased again, or infinity
     */
    record RunResult(
            MembershipMonitor membershipMonitor,
            BudgetMonitor budgetMonitor,
            List<String> violations,
            List<Double> settleTimesMs,
            Map<String, ArrivalMeter> tallyByBox,
            List<String> clientRows,
            long arrivalsWhileWarmingUp,
            List<RealFleet.InjectedFault> injectedFaults,
            List<double[]> trafficSamples,
            double endMs,
            double reassignedAfterMs) {}

    private BudgetProcessRun() {}

    /** Runs a schedule that has a workload. */
    static RunResult run(FaultSchedule schedule, Path jar, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        FaultSchedule.Workload workload = schedule.workload();
        MembershipMonitor membershipMonitor = new MembershipMonitor(true);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        String networkPrefix = "127." + (20 + ProcessHandle.current().pid() % 200) + "."
                + (252 - STARTED_RUNS.getAndIncrement() % 40) + ".";
        double[] rateByKind = new double[FakeBoxes.Kind.values().length];
        for (BudgetConfig.Budget budget : workload.config().budgets().values()) {
            if (budget.kind() == BudgetKind.RATE) {
                rateByKind[boxKind(workload.modelByBudget().get(budget.name())).ordinal()] = budget.capacity();
            }
        }
        FakeBoxes boxes = new FakeBoxes(group, "record", (int) workload.hitServiceMs(), rateByKind);
        Map<String, InetSocketAddress> addressByBox = new TreeMap<>();
        NodeList nodes = new NodeList();
        long bootMs = System.currentTimeMillis() + (long) workload.firstCacheStartMs();
        for (int i = 0; i < workload.cacheCount() + PARENTS + 1; i++) {
            FakeBoxes.Kind kind = i < workload.cacheCount()
                    ? FakeBoxes.Kind.CACHE
                    : i < workload.cacheCount() + PARENTS ? FakeBoxes.Kind.PARENT : FakeBoxes.Kind.ORIGIN;
            InetSocketAddress address = new InetSocketAddress(networkPrefix + (i + 1), PORT);
            boxes.listen(address, kind);
            addressByBox.put("s-" + i, address);
            nodes.add(NodeList.describe(
                    "s-" + i, address, kind, i % 2, 64, i == 0 && workload.firstCacheStartMs() > 0 ? bootMs : 0));
        }
        InetSocketAddress channel = new InetSocketAddress(networkPrefix + "100", PORT);
        FakeCommandChannel.listen(group, channel, 1);
        List<Double> settleTimesMs;
        List<String> clientRows;
        BudgetMonitor budgetMonitor;
        List<String> violations;
        List<RealFleet.InjectedFault> injectedFaults;
        List<double[]> trafficSamples;
        double endMs;
        double reassignedAfterMs;
        long arrivalsWhileWarmingUp;
        Map<String, ArrivalMeter> tallyByBox = new TreeMap<>();
        addressByBox.forEach((uid, address) -> tallyByBox.put(uid, boxes.meter(address)));
        try (RealFleet fleet = new RealFleet(schedule, membershipMonitor, jar, folder, progress)) {
            BudgetConfig config = workload.configWithVoters(fleet.advertisedAddresses());
            budgetMonitor = new BudgetMonitor(config);
            fleet.enableBudgets(settingsText(config, workload), budgetMonitor);
            fleet.setConfigurationTransform(json -> {
                json.put("channel", channel.getHostString() + ":" + PORT).put("known", nodes.initialState());
                json.getJSONObject("settings")
                        .getJSONObject("familyInfo")
                        .put("zoneBalancers", new JSONArray().put(schedule.initialDoormans()));
                return json;
            });
            List<InetSocketAddress> clientAddresses = new ArrayList<>();
            for (int slot = 0; slot < schedule.slotCount(); slot++) {
                clientAddresses.add(fleet.clientAddress(slot));
            }
            LoadGenerator clients = new LoadGenerator(
                    group,
                    List.of(
                            new LoadGenerator.RequestClass("parts", 0.7, 600, 4_000),
                            new LoadGenerator.RequestClass("files", 0.2, 300, 2_500),
                            new LoadGenerator.RequestClass("record", 0.1, 700, 3_000)),
                    clientAddresses,
                    schedule.randomSeed());
            clients.start(
                    workload.requestsPerS(),
                    (slot, now) -> workload.requestsPerSecondAt(slot, schedule.initialDoormans(), now)
                            / workload.requestsPerS());
            // Each doorman reads the wall clock when it starts, so their readings differ a little.
            tallyByBox
                    .get("s-0")
                    .setWindow(bootMs + CLOCK_MARGIN_MS, bootMs + (long) warmUpMs(workload) - CLOCK_MARGIN_MS);
            settleTimesMs = fleet.run();
            reassignedAfterMs = awaitReassignment(fleet, budgetMonitor, config);
            endMs = fleet.nowMs();
            injectedFaults = fleet.injectedFaults();
            trafficSamples = fleet.trafficSamples();
            clientRows = clients.takeRows();
            Map<String, Long> capacities = new TreeMap<>();
            for (RealFleet.InjectedFault injected : injectedFaults) {
                if (injected.fault() instanceof Fault.Whole capacityChange) {
                    Long previous = capacities.put(capacityChange.budget(), capacityChange.whole());
                    // A smaller capacity must be kept once leases of the larger one have expired and all have reloaded.
                    budgetMonitor.changeCapacity(
                            capacityChange.budget(),
                            capacityChange.whole()
                                            > (previous == null
                                                    ? config.budgetFor(capacityChange.budget())
                                                            .capacity()
                                                    : previous)
                                    ? injected.timeMs()
                                    : injected.timeMs()
                                            + config.budgetFor(capacityChange.budget())
                                                    .leaseMs()
                                            + RELOAD_MARGIN_MS,
                            capacityChange.whole());
                }
            }
            violations = new ArrayList<>(membershipMonitor.violations());
            violations.addAll(budgetMonitor.violations());
            arrivalsWhileWarmingUp = tallyByBox.get("s-0").arrivalsInWindow();
            checkBoxes(workload, tallyByBox, arrivalsWhileWarmingUp, violations);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        if (!boxes.duplicateRuns().startsWith("0 ")) {
            violations.add("requests run at most once: " + boxes.duplicateRuns() + " ran twice");
        }
        if (Double.isInfinite(reassignedAfterMs)) {
            violations.add(
                    "capacities leased again: not within " + REASSIGNMENT_TIMEOUT_MS + " ms after the last fault");
        }
        return new RunResult(
                membershipMonitor,
                budgetMonitor,
                violations,
                settleTimesMs,
                tallyByBox,
                clientRows,
                arrivalsWhileWarmingUp,
                injectedFaults,
                trafficSamples,
                endMs,
                reassignedAfterMs);
    }

    /**
     * Waits until the capacity of all budgets but amounts is leased again. Where a capacity is too small for all
     * doormans it is enough that a part is leased, as its units rotate among them.
     */
    private static double awaitReassignment(RealFleet fleet, BudgetMonitor monitor, BudgetConfig config)
            throws IOException, InterruptedException {
        double fromMs = fleet.nowMs();
        while (fleet.nowMs() - fromMs < REASSIGNMENT_TIMEOUT_MS) {
            fleet.pause(100);
            double nowMs = fleet.nowMs();
            boolean allReassigned = nowMs - fromMs >= LEASED_WINDOW_MS;
            for (BudgetConfig.Budget budget : config.budgets().values()) {
                if (budget.kind() != BudgetKind.AMOUNT) {
                    double leasedFraction = monitor.leasedFraction(budget.name(), nowMs - LEASED_WINDOW_MS, nowMs);
                    allReassigned &= budget.capacity() < config.maxDoormans()
                            ? leasedFraction > 0
                            : leasedFraction >= MIN_LEASED_FRACTION;
                }
            }
            if (allReassigned) {
                return nowMs - fromMs;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static FakeBoxes.Kind boxKind(String model) {
        return FakeBoxes.Kind.valueOf(model.toUpperCase(Locale.ROOT));
    }

    /** Returns for how long a box that has just started is limited by amounts: for the lease of an amount. */
    private static double warmUpMs(FaultSchedule.Workload workload) {
        return workload.config().budgets().values().stream()
                .filter(b -> b.kind() == BudgetKind.AMOUNT)
                .mapToDouble(BudgetConfig.Budget::leaseMs)
                .min()
                .orElse(0);
    }

    private static String settingsText(BudgetConfig config, FaultSchedule.Workload workload) {
        StringBuilder out = new StringBuilder("budgets {\n  voters = [");
        for (int i = 0; i < config.voters().size(); i++) {
            out.append(i > 0 ? ", " : "")
                    .append('"')
                    .append(config.voters().get(i))
                    .append('"');
        }
        out.append(String.format(
                Locale.ROOT,
                "]%n  largest = %d%n  term = \"%.0fms\"%n  hold = \"%.0fms\"%n  slack = " + "\"%.0fms\"%n}%n",
                config.maxDoormans(),
                config.leaderLeaseMs(),
                config.maxHoldMs(),
                config.sendSlackMs()));
        new TreeMap<>(config.budgets())
                .values()
                .forEach(b -> out.append(
                        ScenarioFile.budgetBlock(b, workload.modelByBudget().get(b.name()), "")));
        return out.toString();
    }

    /**
     * Checks the counts of the boxes against the capacities in the schedule; a changed capacity must not exceed them.
     */
    private static void checkBoxes(
            FaultSchedule.Workload workload,
            Map<String, ArrivalMeter> tallyByBox,
            long arrivalsWhileWarmingUp,
            List<String> violations) {
        for (BudgetConfig.Budget budget : workload.config().budgets().values()) {
            for (Map.Entry<String, ArrivalMeter> entry : tallyByBox.entrySet()) {
                int index = Integer.parseInt(entry.getKey().substring(2));
                String model = index < workload.cacheCount()
                        ? "cache"
                        : index < workload.cacheCount() + PARENTS ? "parent" : "origin";
                ArrivalMeter tally = entry.getValue();
                if (!model.equals(workload.modelByBudget().get(budget.name()))) {
                    continue;
                }
                if (budget.kind() == BudgetKind.PLACES && tally.peakConcurrency() > budget.capacity()) {
                    violations.add("at the box: " + entry.getKey() + " had " + tally.peakConcurrency() + " at once of "
                            + budget.capacity());
                } else if (budget.kind() == BudgetKind.RATE
                        && tally.maxOverRateWithoutStalls() > budget.burst() + 1e-6) {
                    violations.add("at the box: " + entry.getKey() + " got " + tally.maxOverRateWithoutStalls()
                            + " over its rate, the burst is " + budget.burst());
                } else if (budget.kind() == BudgetKind.AMOUNT
                        && index == 0
                        && arrivalsWhileWarmingUp > budget.capacity()) {
                    violations.add("at the box: " + entry.getKey() + " got " + arrivalsWhileWarmingUp
                            + " while warming up, of " + budget.capacity());
                }
            }
        }
    }
}
