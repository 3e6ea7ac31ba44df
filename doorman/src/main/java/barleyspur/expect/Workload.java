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
 * The client requests of a scenario. Arrivals are an open process: they don't depend on answers.
 *
 * @param utilisation    requested load relative to the capacity of the caches, over 0
 * @param durationMs     how long clients send requests
 * @param maxRequests    maximum number of requests, without retries; the workload ends early if it is reached
 * @param objectCount    number of objects that are requested repeatedly
 * @param hotObjectCount how many of them, the first ones, form the hot set
 * @param singleUseShare share of requests for objects that are requested only once, from 0 to 1
 * @param maxRetries     maximum number of retries of a client
 * @param marksRetries   whether clients mark retries as repeats
 * @param classes        the request mix, by class index
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
     * One class in the request mix.
     *
     * @param share  relative share of the requests, over 0; the shares need not add up to 1
     * @param workMs mean time to send a response
     */
    public record ClassShare(double share, double workMs) {}

    /** Maximum number of parts of an object. */
    static final int MAX_PARTS = 20;
    /** Objects with this id or a higher one are requested only once. */
    static final long FIRST_SINGLE_USE_OBJECT = 1L << 40;

    private static final int GROUP_COUNT = 256;
    private static final double SIZE_SIGMA = 0.8;
    private static final double IMPATIENT_SHARE = 0.01;
    private static final double ZIPF_EXPONENT = 1.05;

    /** The default workload; its request mix corresponds to the operators' statistics. */
    public static Workload defaultFor(RoutingPolicy.Settings settings) {
        List<ClassShare> classes = new ArrayList<>();
        for (RoutingPolicy.RequestClass requestClass : settings.classes()) {
            classes.add(
                    requestClass.write()
                            ? new ClassShare(0.04, 5)
                            : requestClass.parts() ? new ClassShare(0.55, 330) : new ClassShare(0.41, 55));
        }
        return new Workload("usual", 0.5, 9_000, 800, 2_000, 20, 0.08, 3, false, classes);
    }

    /** Generates the requests for a deployment; the same seed gives the same requests. */
    List<ClientRequest> generateRequests(Deployment deployment, long seed) {
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
            int classIndex = sampleClass(random.nextDouble() * totalShare);
            RoutingPolicy.RequestClass requestClass =
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

    private int sampleClass(double point) {
        double remaining = point;
        for (int i = 0; i < classes.size(); i++) {
            remaining -= classes.get(i).share();
            if (remaining <= 0) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
