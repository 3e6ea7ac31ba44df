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
final class SyntheticTrace {

    static final double DAY_MS = 86_400_000;
    private static final double HOUR_MS = 3_600_000;
    private static final int STEADY_OBJECTS = 20_000;
    private static final int DAILY_OBJECTS = 2_500;
    private static final int KIOSK_COUNT = 40;
    private static final int FILES_PER_FIRMWARE_PUSH = 30;
    private static final int PARTS_PER_FIRMWARE_FILE = 20;
    private static final double PART_GAP_MS = 650;

    final double[] timesMs;
    final long[] objects;
    final int[] parts;
    final int[] sizesKb;
    private int requestCount;

    private SyntheticTrace(int capacity) {
        timesMs = new double[capacity];
        objects = new long[capacity];
        parts = new int[capacity];
        sizesKb = new int[capacity];
    }

    /** Returns the number of requests. */
    int size() {
        return requestCount;
    }

    /** Appends a request, or ignores it if the trace is full. */
    private void add(double timeMs, long object, int part, int sizeKb) {
        if (requestCount < timesMs.length) {
            timesMs[requestCount] = timeMs;
            objects[requestCount] = object;
            parts[requestCount] = part;
            sizesKb[requestCount++] = sizeKb;
        }
    }

    /**
     * Generates a trace.
     *
     * @param days the number of days
     * @param requestsPerDay the approximate number of requests a day
     * @param scanShare the share of the requests during scans that are for objects requested only once
     */
    static SyntheticTrace generate(int days, int requestsPerDay, double scanShare, long seed) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        SharedStateDiscreteSampler steadyRanks = RejectionInversionZipfSampler.of(random, STEADY_OBJECTS, 0.95);
        SharedStateDiscreteSampler dailyRanks = RejectionInversionZipfSampler.of(random, DAILY_OBJECTS, 0.6);
        long[] objectByRank = new long[STEADY_OBJECTS + 1];
        long nextObject = 1;
        for (int i = 0; i <= STEADY_OBJECTS; i++) {
            objectByRank[i] = nextObject++;
        }
        long firstMorningObject = 1L << 32;
        long firstEveningObject = 2L << 32;
        long nextOneTimeObject = 3L << 32;
        long firmwareObject = 4L << 32;
        SyntheticTrace trace = new SyntheticTrace(days * requestsPerDay * 3 + 1_000_000);
        for (int day = 0; day < days; day++) {
            double dayStartMs = day * DAY_MS;
            for (int i = 0; i < STEADY_OBJECTS / 25; i++) {
                objectByRank[1 + random.nextInt(STEADY_OBJECTS)] = nextObject++;
            }
            // Each day has a scan of 4 hours, and every other day a firmware push in the afternoon.
            double scanStartMs = dayStartMs + random.nextDouble() * 18 * HOUR_MS;
            for (int i = 0; i < requestsPerDay / 4; i++) {
                double dayFraction = random.nextDouble();
                double timeMs = dayStartMs + 24 * HOUR_MS * dayFraction;
                boolean oneTimeObject = timeMs >= scanStartMs
                                && timeMs < scanStartMs + 4 * HOUR_MS
                                && random.nextDouble() < scanShare * 4
                        || random.nextDouble() < 0.03;
                trace.addViewing(
                        oneTimeObject ? nextOneTimeObject++ : objectByRank[steadyRanks.sample()], timeMs, random);
            }
            for (int i = 0; i < requestsPerDay / 10; i++) {
                trace.addViewing(
                        firstMorningObject + dailyRanks.sample(),
                        dayStartMs + (6.5 + 3 * random.nextDouble()) * HOUR_MS,
                        random);
                trace.addViewing(
                        firstEveningObject + dailyRanks.sample(),
                        dayStartMs + (16.5 + 3 * random.nextDouble()) * HOUR_MS,
                        random);
            }
            for (int f = 0; day % 2 == 1 && f < FILES_PER_FIRMWARE_PUSH; f++) {
                firmwareObject++;
                for (int kiosk = 0; kiosk < KIOSK_COUNT; kiosk++) {
                    double timeMs = dayStartMs + (12 + 3 * random.nextDouble()) * HOUR_MS;
                    for (int p = 0; p < PARTS_PER_FIRMWARE_FILE; p++) {
                        trace.add(timeMs + p * PART_GAP_MS, firmwareObject, p, 6_000);
                    }
                }
            }
        }
        trace.sortByTime();
        return trace;
    }

    /** Adds the requests of one viewing: a small file, or the first parts of a video. */
    private void addViewing(long object, double timeMs, UniformRandomProvider random) {
        // The properties of an object depend on its number only, so that they are the same in all its requests.
        UniformRandomProvider objectRandom = RandomSource.SPLIT_MIX_64.create(object);
        boolean video = objectRandom.nextInt(4) == 0;
        double gaussian = ZigguratSampler.NormalizedGaussian.of(objectRandom).sample();
        int sizeKb = (int)
                Math.max(1, (video ? 1_500 : 250) * Math.exp(gaussian) * (objectRandom.nextInt(100) == 0 ? 15 : 1));
        int partCount = video ? 13 + objectRandom.nextInt(8) : 1;
        int viewedParts = video && random.nextInt(3) > 0 ? 1 + random.nextInt(partCount) : partCount;
        for (int p = 0; p < viewedParts; p++) {
            add(timeMs + p * PART_GAP_MS, object, p, sizeKb);
        }
    }

    /** Sorts all columns by time; requests of the same time keep their order. */
    private void sortByTime() {
        Integer[] order = new Integer[requestCount];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> Double.compare(timesMs[a], timesMs[b]));
        double[] sortedTimesMs = new double[requestCount];
        long[] sortedObjects = new long[requestCount];
        int[] sortedParts = new int[requestCount];
        int[] sortedSizesKb = new int[requestCount];
        for (int i = 0; i < requestCount; i++) {
            sortedTimesMs[i] = timesMs[order[i]];
            sortedObjects[i] = objects[order[i]];
            sortedParts[i] = parts[order[i]];
            sortedSizesKb[i] = sizesKb[order[i]];
        }
        System.arraycopy(sortedTimesMs, 0, timesMs, 0, requestCount);
        System.arraycopy(sortedObjects, 0, objects, 0, requestCount);
        System.arraycopy(sortedParts, 0, parts, 0, requestCount);
        System.arraycopy(sortedSizesKb, 0, sizesKb, 0, requestCount);
    }
}
