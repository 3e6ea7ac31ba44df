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

    private static final int HISTORY = 200_000;

    /**
     * Hit ratios from 0 to 1.
     *
     * @param requests by the number of requests
     * @param bytes by bytes
     * @param morning by the number of requests, from 6:30 to 9:30 only
     */
    record Ratio(double requests, double bytes, double morning) {}

    private TierReplay() {}

    static Map<String, LongFunction<RetentionPolicy>> policies() {
        Map<String, LongFunction<RetentionPolicy>> policies = new LinkedHashMap<>();
        policies.put("lru", Keepers.Lru::new);
        policies.put("aged lfu", Keepers.AgedLfu::new);
        policies.put("s3-fifo", Keepers.S3Fifo::new);
        policies.put("w-tinylfu", Keepers.Tiny::new);
        policies.put("recurrent", kb -> new RecurrencePolicy(kb, HISTORY, 5));
        return policies;
    }

    /** Replays a trace through one policy and returns its hit ratios. */
    static Ratio replay(TierTrace t, RetentionPolicy keeper) {
        Count count = new Count();
        for (int i = 0; i < t.size(); i++) {
            boolean hit = keeper.recordRequest(t.object[i], t.part[i], t.kb[i], t.atMs[i]);
            if (!hit) {
                keeper.admit(t.object[i], t.part[i], t.kb[i], t.atMs[i], (object, part) -> {});
            }
            count.add(t, i, hit);
        }
        return count.ratio();
    }

    private static final class Count {
        private long asked;
        private long hits;
        private double askedKb;
        private double hitKb;
        private long morning;
        private long morningHits;

        void add(TierTrace t, int i, boolean hit) {
            if (t.atMs[i] < WARM_UP_DAYS * TierTrace.DAY_MS) {
                return;
            }
            double hour = t.atMs[i] % TierTrace.DAY_MS / 3_600_000;
            boolean early = hour >= 6.5 && hour < 9.5;
            asked++;
            askedKb += t.kb[i];
            morning += early ? 1 : 0;
            if (hit) {
                hits++;
                hitKb += t.kb[i];
                morningHits += early ? 1 : 0;
            }
        }

        Ratio ratio() {
            return new Ratio((double) hits / asked, hitKb / askedKb, (double) morningHits / morning);
        }
    }

    /**
     * Returns the hit ratios of the clairvoyant policy: it keeps the parts that are requested soonest, and does not
     * admit a part whose next request is later than that of all parts it would evict (Belady 1966, with bypass). As
     * the parts differ in size, this is not a strict upper bound but close to one.
     */
    static Ratio bound(TierTrace t, long mostKb) {
        int[] next = new int[t.size()];
        Map<Keepers.Part, Integer> seen = new HashMap<>();
        for (int i = t.size() - 1; i >= 0; i--) {
            Keepers.Part p = new Keepers.Part(t.object[i], t.part[i]);
            Integer later = seen.put(p, i);
            next[i] = later == null ? Integer.MAX_VALUE : later;
        }
        // A kept part is identified by the index of its next request, which is unique.
        TreeSet<Integer> kept = new TreeSet<>();
        Map<Integer, Integer> sizes = new HashMap<>();
        long keptKb = 0;
        Count count = new Count();
        for (int i = 0; i < t.size(); i++) {
            boolean hit = kept.remove(i);
            if (hit) {
                keptKb -= sizes.remove(i);
            }
            count.add(t, i, hit);
            if (next[i] == Integer.MAX_VALUE || t.kb[i] > mostKb) {
                continue;
            }
            kept.add(next[i]);
            sizes.put(next[i], t.kb[i]);
            keptKb += t.kb[i];
            while (keptKb > mostKb) {
                keptKb -= sizes.remove(kept.pollLast());
            }
        }
        return count.ratio();
    }

    /** Prints a table of the hit ratios, and writes a plot of them unless {@code plot} is null. */
    static void report(int days, int perDay, double scan, long seed, List<Integer> sizesMb, Path plot)
            throws IOException {
        System.err.println("generating a trace of " + days + " days");
        TierTrace t = TierTrace.draw(days, perDay, scan, seed);
        System.out.printf(
                Locale.ROOT, "%d requests in %d days, scans of %.1f%%, seed %d%n", t.size(), days, 100 * scan, seed);
        System.out.println("MB     policy      hits by requests  by bytes  of the mornings  us a request");
        Map<String, List<Double>> lines = new LinkedHashMap<>();
        for (int mb : sizesMb) {
            for (Map.Entry<String, LongFunction<RetentionPolicy>> p : policies().entrySet()) {
                long start = System.nanoTime();
                Ratio r = replay(t, p.getValue().apply(mb * 1_000L));
                print(mb, p.getKey(), r, (System.nanoTime() - start) / 1e3 / t.size());
                lines.computeIfAbsent(p.getKey(), k -> new ArrayList<>()).add(r.requests());
            }
            Ratio bound = bound(t, mb * 1_000L);
            print(mb, "belady", bound, Double.NaN);
            lines.computeIfAbsent("belady", k -> new ArrayList<>()).add(bound.requests());
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
            lines.forEach((name, ys) -> chart.addSeries(name, xs, ys));
            BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapEncoder.BitmapFormat.PNG);
            System.out.println("plot: " + plot);
        }
    }

    private static void print(int mb, String policy, Ratio r, double micros) {
        System.out.printf(
                Locale.ROOT,
                "%-6d %-11s %16.3f %9.3f %16.3f %s%n",
                mb,
                policy,
                r.requests(),
                r.bytes(),
                r.morning(),
                Double.isNaN(micros) ? "" : String.format(Locale.ROOT, "%13.2f", micros));
    }
}
