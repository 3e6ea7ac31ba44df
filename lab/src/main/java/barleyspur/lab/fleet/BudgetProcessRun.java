package barleyspur.lab.fleet;

import barleyspur.budget.Kind;
import barleyspur.budget.Terms;
import barleyspur.lab.stand.NodeList;
import barleyspur.lab.stand.StandBoxes;
import barleyspur.lab.stand.StandChannel;
import barleyspur.lab.stand.StandClients;
import barleyspur.lab.stand.Tally;
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
 * Plays a schedule with budgets on real processes: real doormans behind relays, stand-in boxes that count what arrives, and
 * clients that ask at a rate whatever becomes of it. Judged by what the processes told of their shares, joined on the
 * machine's clock, and independently by what the boxes counted.
 */
final class BudgetProcessRun {

    private static final int PORT = 7001;
    private static final int PARENTS = 2;
    /** The part of a whole that has to be held for it to count as divided anew, over that time. */
    private static final double ANEW = 0.9;

    private static final double ANEW_OVER_MS = 2_000;
    private static final double PATIENCE_MS = 40_000;
    private static final double RELOAD_MS = 3_000;
    private static final AtomicInteger PLAYS = new AtomicInteger();
    /** So far from the ends of a young box's time it surely is one. */
    private static final long CLOCKS_MS = 200;

    /** What a play came to; {@code young}: what came to the young box while it surely was one. */
    record RunResult(
            MembershipMonitor views,
            BudgetMonitor shares,
            List<String> broken,
            List<Double> times,
            Map<String, Tally> boxes,
            List<String> rows,
            long young,
            List<RealFleet.InjectedFault> struck,
            List<double[]> traffic,
            double endMs,
            double anewMs) {}

    private BudgetProcessRun() {}

    static RunResult play(FaultSchedule schedule, Path jar, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        FaultSchedule.Workload use = schedule.workload();
        MembershipMonitor views = new MembershipMonitor(true);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        String network =
                "127." + (20 + ProcessHandle.current().pid() % 200) + "." + (252 - PLAYS.getAndIncrement() % 40) + ".";
        double[] rates = new double[StandBoxes.Kind.values().length];
        for (Terms.Budget b : use.config().budgets().values()) {
            if (b.kind() == Kind.RATE) {
                rates[kind(use.modelByBudget().get(b.name())).ordinal()] = b.whole();
            }
        }
        StandBoxes boxes = new StandBoxes(group, "record", (int) use.hitServiceMs(), rates);
        Map<String, InetSocketAddress> addresses = new TreeMap<>();
        NodeList nodes = new NodeList();
        long bootMs = System.currentTimeMillis() + (long) use.firstCacheStartMs();
        for (int i = 0; i < use.cacheCount() + PARENTS + 1; i++) {
            StandBoxes.Kind kind = i < use.cacheCount()
                    ? StandBoxes.Kind.CACHE
                    : i < use.cacheCount() + PARENTS ? StandBoxes.Kind.PARENT : StandBoxes.Kind.ORIGIN;
            InetSocketAddress at = new InetSocketAddress(network + (i + 1), PORT);
            boxes.listen(at, kind);
            addresses.put("s-" + i, at);
            nodes.add(NodeList.node("s-" + i, at, kind, i % 2, 64, i == 0 && use.firstCacheStartMs() > 0 ? bootMs : 0));
        }
        InetSocketAddress channel = new InetSocketAddress(network + "100", PORT);
        StandChannel.listen(group, channel, 1);
        List<Double> times;
        List<String> rows;
        BudgetMonitor shares;
        List<String> broken;
        List<RealFleet.InjectedFault> struck;
        List<double[]> traffic;
        double endMs;
        double anewMs;
        long young;
        Map<String, Tally> tallies = new TreeMap<>();
        addresses.forEach((uid, at) -> tallies.put(uid, boxes.tally(at)));
        try (RealFleet fleet = new RealFleet(schedule, views, jar, folder, progress)) {
            Terms terms = use.terms(fleet.advertised());
            shares = new BudgetMonitor(terms);
            fleet.budgets(settings(terms, use), shares);
            fleet.configure(json -> {
                json.put("channel", channel.getHostString() + ":" + PORT).put("known", nodes.known());
                json.getJSONObject("settings")
                        .getJSONObject("familyInfo")
                        .put("zoneBalancers", new JSONArray().put(schedule.initialDoormans()));
                return json;
            });
            List<InetSocketAddress> fronts = new ArrayList<>();
            for (int slot = 0; slot < schedule.slotCount(); slot++) {
                fronts.add(fleet.front(slot));
            }
            StandClients clients = new StandClients(
                    group,
                    List.of(
                            new StandClients.Class("parts", 0.7, 600, 4_000),
                            new StandClients.Class("files", 0.2, 300, 2_500),
                            new StandClients.Class("record", 0.1, 700, 3_000)),
                    fronts,
                    schedule.randomSeed());
            clients.start(
                    use.requestsPerS(),
                    (slot, now) -> use.perS(slot, schedule.initialDoormans(), now) / use.requestsPerS());
            // Doormans read the wall clock at their starts, each a little otherwise.
            tallies.get("s-0").watch(bootMs + CLOCKS_MS, bootMs + (long) youngMs(use) - CLOCKS_MS);
            times = fleet.play();
            anewMs = untilAnew(fleet, shares, terms);
            endMs = fleet.nowMs();
            struck = fleet.struck();
            traffic = fleet.traffic();
            rows = clients.rows();
            Map<String, Long> wholes = new TreeMap<>();
            for (RealFleet.InjectedFault s : struck) {
                if (s.fault() instanceof Fault.Whole w) {
                    Long before = wholes.put(w.budget(), w.whole());
                    // Less has to hold once what was given of more must be over, and everybody has read its settings.
                    shares.whole(
                            w.budget(),
                            w.whole() > (before == null ? terms.of(w.budget()).whole() : before)
                                    ? s.atMs()
                                    : s.atMs() + terms.of(w.budget()).leaseMs() + RELOAD_MS,
                            w.whole());
                }
            }
            broken = new ArrayList<>(views.broken());
            broken.addAll(shares.broken());
            young = tallies.get("s-0").watched();
            judge(use, tallies, young, broken);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        if (!boxes.runsTwice().startsWith("0 ")) {
            broken.add("runs at most once: " + boxes.runsTwice() + " ran twice");
        }
        if (Double.isInfinite(anewMs)) {
            broken.add("divided anew: not within " + PATIENCE_MS + " ms after the last fault");
        }
        return new RunResult(views, shares, broken, times, tallies, rows, young, struck, traffic, endMs, anewMs);
    }

    /** Waits until all that is divided for good is held again; one that can't be shared out changes hands now and then. */
    private static double untilAnew(RealFleet fleet, BudgetMonitor shares, Terms terms)
            throws IOException, InterruptedException {
        double from = fleet.nowMs();
        while (fleet.nowMs() - from < PATIENCE_MS) {
            fleet.pause(100);
            double now = fleet.nowMs();
            boolean all = now - from >= ANEW_OVER_MS;
            for (Terms.Budget b : terms.budgets().values()) {
                if (b.kind() != Kind.AMOUNT) {
                    double part = shares.held(b.name(), now - ANEW_OVER_MS, now);
                    all &= b.whole() < terms.largest() ? part > 0 : part >= ANEW;
                }
            }
            if (all) {
                return now - from;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static StandBoxes.Kind kind(String model) {
        return StandBoxes.Kind.valueOf(model.toUpperCase(Locale.ROOT));
    }

    /** How long a box that has just started is young: as long as an amount lasts. */
    private static double youngMs(FaultSchedule.Workload use) {
        return use.config().budgets().values().stream()
                .filter(b -> b.kind() == Kind.AMOUNT)
                .mapToDouble(Terms.Budget::leaseMs)
                .min()
                .orElse(0);
    }

    private static String settings(Terms terms, FaultSchedule.Workload use) {
        StringBuilder out = new StringBuilder("budgets {\n  voters = [");
        for (int i = 0; i < terms.voters().size(); i++) {
            out.append(i > 0 ? ", " : "")
                    .append('"')
                    .append(terms.voters().get(i))
                    .append('"');
        }
        out.append(String.format(
                Locale.ROOT,
                "]%n  largest = %d%n  term = \"%.0fms\"%n  hold = \"%.0fms\"%n  slack = " + "\"%.0fms\"%n}%n",
                terms.largest(),
                terms.termMs(),
                terms.holdMs(),
                terms.slackMs()));
        new TreeMap<>(terms.budgets())
                .values()
                .forEach(b ->
                        out.append(ScenarioFile.budget(b, use.modelByBudget().get(b.name()), "")));
        return out.toString();
    }

    /** What the boxes counted, against the wholes; a whole that was changed is judged by its largest. */
    private static void judge(FaultSchedule.Workload use, Map<String, Tally> tallies, long young, List<String> broken) {
        for (Terms.Budget b : use.config().budgets().values()) {
            for (Map.Entry<String, Tally> e : tallies.entrySet()) {
                int at = Integer.parseInt(e.getKey().substring(2));
                String model = at < use.cacheCount() ? "cache" : at < use.cacheCount() + PARENTS ? "parent" : "origin";
                Tally t = e.getValue();
                if (!model.equals(use.modelByBudget().get(b.name()))) {
                    continue;
                }
                if (b.kind() == Kind.PLACES && t.mostAtOnce() > b.whole()) {
                    broken.add("at the box: " + e.getKey() + " had " + t.mostAtOnce() + " at once of " + b.whole());
                } else if (b.kind() == Kind.RATE && t.mostSurelyOverRate() > b.burst() + 1e-6) {
                    broken.add("at the box: " + e.getKey() + " got " + t.mostSurelyOverRate()
                            + " over its rate, the burst is " + b.burst());
                } else if (b.kind() == Kind.AMOUNT && at == 0 && young > b.whole()) {
                    broken.add("at the box: " + e.getKey() + " got " + young + " while young of " + b.whole());
                }
            }
        }
    }
}
