package barleyspur.lab;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A synthetic trace of the requests of several days at one doorman. Its load follows the operators' description: a Zipf
 * distribution whose popular objects change over time, objects that are requested each morning or evening, heavy-tailed
 * sizes, videos requested part after part, scans of objects requested only once, and firmware pushed to all kiosks. The
 * trace is stored in columns, ordered by time.
 */
final class TierTrace {

    static final double DAY_MS = 86_400_000;
    private static final double HOUR_MS = 3_600_000;
    private static final int STEADY = 20_000;
    private static final int DAILY = 2_500;
    private static final int KIOSKS = 40;
    private static final int FIRMWARE = 30;
    private static final int MOST_PARTS = 20;
    private static final double PART_GAP_MS = 650;

    final double[] atMs;
    final long[] object;
    final int[] part;
    final int[] kb;
    private int size;

    private TierTrace(int most) {
        atMs = new double[most];
        object = new long[most];
        part = new int[most];
        kb = new int[most];
    }

    int size() {
        return size;
    }

    private void add(double at, long what, int which, int size) {
        if (this.size < atMs.length) {
            atMs[this.size] = at;
            object[this.size] = what;
            part[this.size] = which;
            kb[this.size++] = size;
        }
    }

    /**
     * Generates a trace.
     *
     * @param days the number of days
     * @param perDay the approximate number of requests a day
     * @param scan the share of the requests during scans that are for objects requested only once
     */
    static TierTrace draw(int days, int perDay, double scan, long seed) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        SharedStateDiscreteSampler steady = RejectionInversionZipfSampler.of(random, STEADY, 0.95);
        SharedStateDiscreteSampler daily = RejectionInversionZipfSampler.of(random, DAILY, 0.6);
        long[] ranks = new long[STEADY + 1];
        long next = 1;
        for (int i = 0; i <= STEADY; i++) {
            ranks[i] = next++;
        }
        long morning = 1L << 32;
        long evening = 2L << 32;
        long once = 3L << 32;
        long firmware = 4L << 32;
        TierTrace t = new TierTrace(days * perDay * 3 + 1_000_000);
        for (int day = 0; day < days; day++) {
            double start = day * DAY_MS;
            for (int i = 0; i < STEADY / 25; i++) {
                ranks[1 + random.nextInt(STEADY)] = next++;
            }
            // Each day has a scan of 4 hours, and every other day a firmware push in the afternoon.
            double scanAt = start + random.nextDouble() * 18 * HOUR_MS;
            for (int i = 0; i < perDay / 4; i++) {
                double hour = random.nextDouble();
                double at = start + 24 * HOUR_MS * hour;
                boolean scanned = at >= scanAt && at < scanAt + 4 * HOUR_MS && random.nextDouble() < scan * 4
                        || random.nextDouble() < 0.03;
                t.view(scanned ? once++ : ranks[steady.sample()], at, random);
            }
            for (int i = 0; i < perDay / 10; i++) {
                t.view(morning + daily.sample(), start + (6.5 + 3 * random.nextDouble()) * HOUR_MS, random);
                t.view(evening + daily.sample(), start + (16.5 + 3 * random.nextDouble()) * HOUR_MS, random);
            }
            for (int f = 0; day % 2 == 1 && f < FIRMWARE; f++) {
                firmware++;
                for (int kiosk = 0; kiosk < KIOSKS; kiosk++) {
                    double at = start + (12 + 3 * random.nextDouble()) * HOUR_MS;
                    for (int p = 0; p < MOST_PARTS; p++) {
                        t.add(at + p * PART_GAP_MS, firmware, p, 6_000);
                    }
                }
            }
        }
        t.sort();
        return t;
    }

    /** Adds the requests of one viewing: a small file, or the first parts of a video. */
    private void view(long what, double at, UniformRandomProvider random) {
        // The properties of an object depend on its number only, so that they are the same in all its requests.
        UniformRandomProvider own = RandomSource.SPLIT_MIX_64.create(what);
        boolean video = own.nextInt(4) == 0;
        double gauss = ZigguratSampler.NormalizedGaussian.of(own).sample();
        int size = (int) Math.max(1, (video ? 1_500 : 250) * Math.exp(gauss) * (own.nextInt(100) == 0 ? 15 : 1));
        int parts = video ? 13 + own.nextInt(8) : 1;
        int seen = video && random.nextInt(3) > 0 ? 1 + random.nextInt(parts) : parts;
        for (int p = 0; p < seen; p++) {
            add(at + p * PART_GAP_MS, what, p, size);
        }
    }

    private void sort() {
        Integer[] order = new Integer[size];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> Double.compare(atMs[a], atMs[b]));
        double[] at = new double[size];
        long[] what = new long[size];
        int[] which = new int[size];
        int[] sizes = new int[size];
        for (int i = 0; i < size; i++) {
            at[i] = atMs[order[i]];
            what[i] = object[order[i]];
            which[i] = part[order[i]];
            sizes[i] = kb[order[i]];
        }
        System.arraycopy(at, 0, atMs, 0, size);
        System.arraycopy(what, 0, object, 0, size);
        System.arraycopy(which, 0, part, 0, size);
        System.arraycopy(sizes, 0, kb, 0, size);
    }
}
