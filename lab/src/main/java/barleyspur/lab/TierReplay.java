package barleyspur.lab;

import barleyspur.tier.RecurrencePolicy;
import barleyspur.tier.RetentionPolicy;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.LongFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Replays a synthetic trace through retention policies and reports the hit ratio of each. */
final class TierReplay {

    /** Days at the start of the trace that fill the empty store and are excluded from the hit ratios. */
    private static final int WARM_UP_DAYS = 2;

    /** Objects in the request history of the disk tier's own policy. */
    private static final int HISTORY_OBJECTS = 200_000;

    /**
     * Hit ratios from 0 to 1.
     *
     * @param byRequests by the number of requests
     * @param byBytes by bytes
     * @param inMornings by the number of requests, from 6:30 to 9:30 only
     */
    record HitRatios(double byRequests, double byBytes, double inMornings) {}

    private TierReplay() {}

    /** Returns constructors of all policies, which take the capacity in KB, by name. */
    static Map<String, LongFunction<RetentionPolicy>> policies() {
        Map<String, LongFunction<RetentionPolicy>> policies = new LinkedHashMap<>();
        policies.put("lru", BaselinePolicies.Lru::new);
        policies.put("aged lfu", BaselinePolicies.AgedLfu::new);
        policies.put("s3-fifo", BaselinePolicies.S3Fifo::new);
        policies.put("w-tinylfu", BaselinePolicies.WTinyLfu::new);
        policies.put("recurrent", kb -> new RecurrencePolicy(kb, HISTORY_OBJECTS, 5));
        return policies;
    }

    /** Replays a trace through one policy and returns its hit ratios. */
    static HitRatios replay(SyntheticTrace trace, RetentionPolicy policy) {
        HitCounter counter = new HitCounter();
        for (int i = 0; i < trace.size(); i++) {
            boolean hit = policy.recordRequest(trace.objects[i], trace.parts[i], trace.sizesKb[i], trace.timesMs[i]);
            if (!hit) {
                policy.admit(
                        trace.objects[i], trace.parts[i], trace.sizesKb[i], trace.timesMs[i], (object, part) -> {});
            }
            counter.add(trace, i, hit);
        }
        return counter.hitRatios();
    }

    /** Counts hits and requests after the warm-up days. */
    private static final class HitCounter {
        private long requests;
        private long hits;
        private double requestedKb;
        private double hitKb;
        private long morningRequests;
        private long morningHits;

        void add(SyntheticTrace trace, int index, boolean hit) {
            if (trace.timesMs[index] < WARM_UP_DAYS * SyntheticTrace.DAY_MS) {
                return;
            }
            double hour = trace.timesMs[index] % SyntheticTrace.DAY_MS / 3_600_000;
            boolean inMorning = hour >= 6.5 && hour < 9.5;
            requests++;
            requestedKb += trace.sizesKb[index];
            morningRequests += inMorning ? 1 : 0;
            if (hit) {
                hits++;
                hitKb += trace.sizesKb[index];
                morningHits += inMorning ? 1 : 0;
            }
        }

        HitRatios hitRatios() {
            return new HitRatios((double) hits / requests, hitKb / requestedKb, (double) morningHits / morningRequests);
        }
    }

    /**
     * Returns the hit ratios of the clairvoyant policy: it keeps the parts that are requested soonest, and does not
     * admit a part whose next request is later than that of all parts it would evict (Belady 1966, with bypass). As
     * the parts differ in size, this is not a strict upper bound but close to one.
     */
    static HitRatios beladyBound(SyntheticTrace trace, long capacityKb) {
        int[] nextUses = new int[trace.size()];
        Map<BaselinePolicies.PartKey, Integer> nextUseByPart = new HashMap<>();
        for (int i = trace.size() - 1; i >= 0; i--) {
            BaselinePolicies.PartKey key = new BaselinePolicies.PartKey(trace.objects[i], trace.parts[i]);
            Integer nextUse = nextUseByPart.put(key, i);
            nextUses[i] = nextUse == null ? Integer.MAX_VALUE : nextUse;
        }
        // A kept part is identified by the index of its next request, which is unique.
        TreeSet<Integer> keptNextUses = new TreeSet<>();
        Map<Integer, Integer> sizeKbByNextUse = new HashMap<>();
        long keptKb = 0;
        HitCounter counter = new HitCounter();
        for (int i = 0; i < trace.size(); i++) {
            boolean hit = keptNextUses.remove(i);
            if (hit) {
                keptKb -= sizeKbByNextUse.remove(i);
            }
            counter.add(trace, i, hit);
            if (nextUses[i] == Integer.MAX_VALUE || trace.sizesKb[i] > capacityKb) {
                continue;
            }
            keptNextUses.add(nextUses[i]);
            sizeKbByNextUse.put(nextUses[i], trace.sizesKb[i]);
            keptKb += trace.sizesKb[i];
            while (keptKb > capacityKb) {
                keptKb -= sizeKbByNextUse.remove(keptNextUses.pollLast());
            }
        }
        return counter.hitRatios();
    }

    /** Prints a table of the hit ratios, and writes a plot of them unless {@code plot} is null. */
    static void report(int days, int requestsPerDay, double scanShare, long seed, List<Integer> sizesMb, Path plot)
            throws IOException {
        System.err.println("generating a trace of " + days + " days");
        SyntheticTrace trace = SyntheticTrace.generate(days, requestsPerDay, scanShare, seed);
        System.out.printf(
                Locale.ROOT,
                "%d requests in %d days, scans of %.1f%%, seed %d%n",
                trace.size(),
                days,
                100 * scanShare,
                seed);
        System.out.println("MB     policy      hits by requests  by bytes  of the mornings  us a request");
        Map<String, List<Double>> series = new LinkedHashMap<>();
        for (int mb : sizesMb) {
            for (Map.Entry<String, LongFunction<RetentionPolicy>> policy :
                    policies().entrySet()) {
                long startNanos = System.nanoTime();
                HitRatios ratios = replay(trace, policy.getValue().apply(mb * 1_000L));
                printRow(mb, policy.getKey(), ratios, (System.nanoTime() - startNanos) / 1e3 / trace.size());
                series.computeIfAbsent(policy.getKey(), k -> new ArrayList<>()).add(ratios.byRequests());
            }
            HitRatios belady = beladyBound(trace, mb * 1_000L);
            printRow(mb, "belady", belady, Double.NaN);
            series.computeIfAbsent("belady", k -> new ArrayList<>()).add(belady.byRequests());
        }
        if (plot != null) {
            XYChart chart = new XYChartBuilder()
                    .width(900)
                    .height(500)
                    .title("Hits by requests, " + days + " days")
                    .xAxisTitle("MB kept")
                    .yAxisTitle("share")
                    .build();
            chart.getStyler().setXAxisLogarithmic(true);
            List<Double> xs = sizesMb.stream().map(Integer::doubleValue).toList();
            series.forEach((name, ys) -> chart.addSeries(name, xs, ys));
            BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapEncoder.BitmapFormat.PNG);
            System.out.println("plot: " + plot);
        }
    }

    private static void printRow(int mb, String policy, HitRatios ratios, double microsPerRequest) {
        System.out.printf(
                Locale.ROOT,
                "%-6d %-11s %16.3f %9.3f %16.3f %s%n",
                mb,
                policy,
                ratios.byRequests(),
                ratios.byBytes(),
                ratios.inMornings(),
                Double.isNaN(microsPerRequest) ? "" : String.format(Locale.ROOT, "%13.2f", microsPerRequest));
    }
}
