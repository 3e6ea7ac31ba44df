package barleyspur.expect;

import barleyspur.decision.Director;
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
 * @param durationMs    for how long clients come, in ms
 * @param maxRequests        requests at most, first tries; the load is cut short beyond
 * @param objectCount     how many objects are asked for again and again
 * @param hotObjectCount         how many of them, the first ones, are called hot
 * @param singleUseShare   share of requests for objects that are wanted only once, from 0 to 1
 * @param maxRetries     how often a client tries again by itself
 * @param marksRetries      whether it says so, where the settings have clients mark repeats
 * @param classes     what is asked of each class, by its place
 */
public record Workload(
        String name,
        double utilisation,
        double durationMs,
        int maxRequests,
        int objectCount,
        int hotObjectCount,
        double singleUseShare,
        int maxRetries,
        boolean marksRetries,
        List<ClassShare> classes) {

    /**
     * @param share  of the requests, over 0; shares are taken in proportion
     * @param workMs how long it takes to send one on average
     */
    public record ClassShare(double share, double workMs) {}

    /** Parts of an object at most. */
    static final int MAX_PARTS = 20;
    /** Objects from here on are asked for once. */
    static final long FIRST_SINGLE_USE_OBJECT = 1L << 40;

    private static final int GROUP_COUNT = 256;
    private static final double SIZE_SIGMA = 0.8;
    private static final double IMPATIENT_SHARE = 0.01;
    private static final double ZIPF_EXPONENT = 1.05;

    /** The usual one for a site: classes as the operators count theirs. */
    public static Workload defaultFor(Director.Settings settings) {
        List<ClassShare> classes = new ArrayList<>();
        for (Director.RequestClass requestClass : settings.classes()) {
            classes.add(
                    requestClass.write()
                            ? new ClassShare(0.04, 5)
                            : requestClass.parts() ? new ClassShare(0.55, 330) : new ClassShare(0.41, 55));
        }
        return new Workload("usual", 0.5, 9_000, 800, 2_000, 20, 0.08, 3, false, classes);
    }

    /** Draws the requests for a site. */
    List<ClientRequest> drawRequests(Deployment deployment, long seed) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        SharedStateDiscreteSampler popularity = RejectionInversionZipfSampler.of(random, objectCount, ZIPF_EXPONENT);
        ZigguratSampler.NormalizedGaussian gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        ZigguratSampler.Exponential interarrival = ZigguratSampler.Exponential.of(random);
        double capacity = 0;
        for (Box box : deployment.boxes()) {
            capacity += deployment.roleOf(box) == Deployment.Role.CACHE ? box.concurrentTransfers() : 0;
        }
        double totalShare = 0;
        double totalWorkMs = 0;
        for (ClassShare classShare : classes) {
            totalShare += classShare.share();
            totalWorkMs += classShare.share() * classShare.workMs();
        }
        double meanInterarrivalMs = totalWorkMs / totalShare / Math.max(1, utilisation * capacity);
        List<ClientRequest> requests = new ArrayList<>();
        long nextSingleUse = FIRST_SINGLE_USE_OBJECT;
        double arrivalMs = interarrival.sample() * meanInterarrivalMs;
        for (int index = 0;
                index < maxRequests && arrivalMs < durationMs;
                index++, arrivalMs += interarrival.sample() * meanInterarrivalMs) {
            int classIndex = drawClass(random.nextDouble() * totalShare);
            Director.RequestClass requestClass =
                    deployment.sharedSettings().classes().get(classIndex);
            boolean singleUse = !requestClass.write() && random.nextDouble() < singleUseShare;
            long objectId = singleUse ? nextSingleUse++ : (long) classIndex << 20 | popularity.sample();
            String objectSet = singleUse ? "once" : (objectId & 0xFFFFF) <= hotObjectCount ? "hot" : "ordinary";
            int partIndex = requestClass.parts() ? random.nextInt(MAX_PARTS) : 0;
            double sizeKb = classes.get(classIndex).workMs()
                    * deployment.sharedSettings().paceKbPerMs()
                    * Math.exp(SIZE_SIGMA * gaussian.sample() - SIZE_SIGMA * SIZE_SIGMA / 2);
            double timeoutMs = requestClass.deadlineMs() * (0.5 + 0.5 * random.nextDouble());
            double leavesAfterMs = random.nextDouble() < IMPATIENT_SHARE ? timeoutMs * random.nextDouble() : 0;
            requests.add(new ClientRequest(
                    index,
                    arrivalMs,
                    random.nextInt(deployment.doormanSettings().size()),
                    classIndex,
                    objectId,
                    objectSet,
                    partIndex,
                    (int) (objectId * 31 % GROUP_COUNT),
                    sizeKb,
                    timeoutMs,
                    leavesAfterMs));
        }
        return requests;
    }

    private int drawClass(double drawn) {
        double remaining = drawn;
        for (int i = 0; i < classes.size(); i++) {
            remaining -= classes.get(i).share();
            if (remaining <= 0) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
