package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * What clients ask in a scenario. Arrivals don't wait for answers.
 *
 * @param utilisation how much of what the caches can send is asked for, over 0
 * @param lengthMs    for how long clients come, in ms
 * @param most        requests at most, first tries; the load is cut short beyond
 * @param objects     how many objects are asked for again and again
 * @param hot         how many of them, the first ones, are called hot
 * @param onceShare   share of requests for objects that are wanted only once, from 0 to 1
 * @param retries     how often a client tries again by itself
 * @param marked      whether it says so, where the settings have clients mark repeats
 * @param classes     what is asked of each class, by its place
 */
public record Load(
        String name,
        double utilisation,
        double lengthMs,
        int most,
        int objects,
        int hot,
        double onceShare,
        int retries,
        boolean marked,
        List<OfClass> classes) {

    /**
     * @param share  of the requests, over 0; shares are taken in proportion
     * @param workMs how long it takes to send one on average
     */
    public record OfClass(double share, double workMs) {}

    /** Parts of an object at most. */
    static final int MOST_PARTS = 20;
    /** Objects from here on are asked for once. */
    static final long FIRST_ONCE = 1L << 40;

    private static final int GROUPS = 256;
    private static final double SIZE_SIGMA = 0.8;
    private static final double IMPATIENT = 0.01;
    private static final double ZIPF = 1.05;

    /** The usual one for a site: classes as the operators count theirs. */
    public static Load usual(RoutingPolicy.Settings settings) {
        List<OfClass> classes = new ArrayList<>();
        for (RoutingPolicy.RequestClass c : settings.classes()) {
            classes.add(c.write() ? new OfClass(0.04, 5) : c.parts() ? new OfClass(0.55, 330) : new OfClass(0.41, 55));
        }
        return new Load("usual", 0.5, 9_000, 800, 2_000, 20, 0.08, 3, false, classes);
    }

    /** Draws the requests for a site. */
    List<Ask> asks(Site site, long seed) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        SharedStateDiscreteSampler popular = RejectionInversionZipfSampler.of(random, objects, ZIPF);
        ZigguratSampler.NormalizedGaussian gauss = ZigguratSampler.NormalizedGaussian.of(random);
        ZigguratSampler.Exponential gap = ZigguratSampler.Exponential.of(random);
        double capacity = 0;
        for (Box b : site.boxes()) {
            capacity += site.role(b) == Site.Role.CACHE ? b.size() : 0;
        }
        double shares = 0;
        double work = 0;
        for (OfClass c : classes) {
            shares += c.share();
            work += c.share() * c.workMs();
        }
        double everyMs = work / shares / Math.max(1, utilisation * capacity);
        List<Ask> asks = new ArrayList<>();
        long once = FIRST_ONCE;
        double at = gap.sample() * everyMs;
        for (int n = 0; n < most && at < lengthMs; n++, at += gap.sample() * everyMs) {
            int category = category(random.nextDouble() * shares);
            RoutingPolicy.RequestClass grade = site.any().classes().get(category);
            boolean single = !grade.write() && random.nextDouble() < onceShare;
            long object = single ? once++ : (long) category << 20 | popular.sample();
            String set = single ? "once" : (object & 0xFFFFF) <= hot ? "hot" : "ordinary";
            int part = grade.parts() ? random.nextInt(MOST_PARTS) : 0;
            double size = classes.get(category).workMs()
                    * site.any().paceKbPerMs()
                    * Math.exp(SIZE_SIGMA * gauss.sample() - SIZE_SIGMA * SIZE_SIGMA / 2);
            double wait = grade.deadlineMs() * (0.5 + 0.5 * random.nextDouble());
            double leaves = random.nextDouble() < IMPATIENT ? wait * random.nextDouble() : 0;
            asks.add(new Ask(
                    n,
                    at,
                    random.nextInt(site.settings().size()),
                    category,
                    object,
                    set,
                    part,
                    (int) (object * 31 % GROUPS),
                    size,
                    wait,
                    leaves));
        }
        return asks;
    }

    private int category(double draw) {
        double left = draw;
        for (int i = 0; i < classes.size(); i++) {
            left -= classes.get(i).share();
            if (left <= 0) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
