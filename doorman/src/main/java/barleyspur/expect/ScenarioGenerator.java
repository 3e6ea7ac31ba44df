package barleyspur.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the scenarios of a check: first the fault scripts of the files, then all sequences of a few faults in a
 * reduced deployment, shortest first, then random sequences of increasing length in the reduced and the full
 * deployment.
 *
 * <p>Uses symmetry reduction: boxes of the same role, station, model and size are interchangeable, so of all sequences
 * that differ only in which of these boxes are affected, one is generated. It is the one in which the boxes are first
 * affected in the order of the list.
 */
final class ScenarioGenerator {

    /**
     * A scenario and its origin.
     *
     * @param caseName name of the fault script; empty if there is none
     */
    record PlannedScenario(Scenario scenario, String caseName, String workloadName) {}

    private static final double FIRST_FAULT_MS = 1_000;
    private static final double FAULT_GAP_MS = 700;
    private static final double LIST_DELAY_MS = 300;
    private static final double FAULT_DURATION_MS = 3_000;
    private static final int MAX_RANDOM_FAULTS = 16;
    /** Number of scenarios, with different seeds, for each fault script and workload. */
    static final int VARIANTS_PER_SCRIPT = 3;

    /** A kind of fault at a box, the element of a sequence; {@code box} is null for faults of the whole deployment. */
    private record FaultChoice(Fault.Kind kind, Box box, String equivalenceClass) {}

    private final Deployment fullDeployment;
    private final Deployment reducedDeployment;
    private final List<Workload> workloads;
    private final List<FaultScript> faultScripts;
    private final long seed;
    private final int maxSequenceLength;
    private final boolean exploresBeyondScripts;
    private final UniformRandomProvider random;
    private final List<FaultChoice> faultChoices = new ArrayList<>();
    private final Map<String, List<Box>> boxesByEquivalenceClass = new HashMap<>();
    private int scriptRunCount;
    private int nextWorkload;
    private int[] sequence = new int[0];
    private boolean exhausted;
    private int sequenceLength;
    private long randomCount;
    private long skippedCount;
    private long sequenceCount;

    /**
     * Creates a generator.
     *
     * @param maxSequenceLength     maximum length of the sequences that are enumerated exhaustively
     * @param exploresBeyondScripts whether to generate other scenarios than those of the fault scripts
     */
    ScenarioGenerator(
            Deployment deployment,
            List<Workload> workloads,
            List<FaultScript> faultScripts,
            long seed,
            int maxSequenceLength,
            boolean exploresBeyondScripts) {
        this.fullDeployment = deployment;
        this.reducedDeployment = deployment.reduced();
        this.workloads = workloads;
        this.faultScripts = faultScripts;
        this.seed = seed;
        this.maxSequenceLength = maxSequenceLength;
        this.exploresBeyondScripts = exploresBeyondScripts;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        for (Box box : reducedDeployment.boxes()) {
            String equivalenceClass = reducedDeployment.roleOf(box) + "/" + box.zoneIndex() + "/" + box.modelIndex()
                    + "/" + box.concurrentTransfers();
            boxesByEquivalenceClass
                    .computeIfAbsent(equivalenceClass, key -> new ArrayList<>())
                    .add(box);
            for (Fault.Kind kind : Fault.Kind.values()) {
                if (canAffect(kind, reducedDeployment.roleOf(box))) {
                    faultChoices.add(new FaultChoice(kind, box, equivalenceClass));
                }
            }
        }
        for (int zone : new HashSet<>(reducedDeployment.doormanZones())) {
            reducedDeployment.boxes().stream()
                    .filter(box -> box.zoneIndex() == zone)
                    .findFirst()
                    .ifPresent(box -> faultChoices.add(new FaultChoice(Fault.Kind.LINK, box, "link")));
        }
        faultChoices.add(new FaultChoice(Fault.Kind.STALE, null, ""));
        faultChoices.add(new FaultChoice(Fault.Kind.PURGE, null, ""));
    }

    private static boolean canAffect(Fault.Kind kind, Deployment.Role role) {
        return switch (kind) {
            case LINK, STALE, PURGE -> false;
            case HANG, SLOW, FULL, FAIL -> true;
            default -> role != Deployment.Role.HEAD_OFFICE;
        };
    }

    /** A description of what the exhaustive enumeration has covered so far. */
    String coverageSummary() {
        return sequenceCount + " orders of up to " + (exhausted ? maxSequenceLength : Math.max(1, sequenceLength))
                + " of " + faultChoices.size()
                + " events in " + reducedDeployment.name() + " ("
                + reducedDeployment.boxes().size() + " boxes, "
                + reducedDeployment.doormanSettings().size()
                + " doormans), " + skippedCount + " left out as equal or without effect"
                + (exhausted ? ": all there are" : ": not all");
    }

    /** The next scenario; null if there are none left. */
    PlannedScenario next() {
        if (scriptRunCount < faultScripts.size() * VARIANTS_PER_SCRIPT * workloads.size()) {
            FaultScript script = faultScripts.get(scriptRunCount / workloads.size() / VARIANTS_PER_SCRIPT);
            long variant = seed + scriptRunCount / workloads.size() % VARIANTS_PER_SCRIPT;
            Workload workload = workloads.get(scriptRunCount % workloads.size());
            scriptRunCount++;
            return plan(
                    fullDeployment, workload, script.generateFaults(fullDeployment, variant), variant, script.name());
        }
        if (!exploresBeyondScripts) {
            return null;
        }
        if (nextWorkload > 0 && !exhausted) {
            return planSequence();
        }
        while (!exhausted) {
            if (!advanceSequence()) {
                exhausted = true;
                break;
            }
            if (isCanonical()) {
                sequenceCount++;
                return planSequence();
            }
            skippedCount++;
        }
        randomCount++;
        Deployment deployment = randomCount % 8 == 0 ? fullDeployment : reducedDeployment;
        Workload workload = workloads.get((int) (randomCount % workloads.size()));
        return plan(deployment, workload, randomFaults(deployment, workload), seed + randomCount, "");
    }

    /** The current sequence with the next workload. */
    private PlannedScenario planSequence() {
        Workload workload = workloads.get(nextWorkload);
        nextWorkload = (nextWorkload + 1) % workloads.size();
        return plan(reducedDeployment, workload, sequenceFaults(), seed, "");
    }

    private static PlannedScenario plan(
            Deployment deployment, Workload workload, List<Fault> faults, long variant, String caseName) {
        return new PlannedScenario(
                Scenario.of(
                        deployment,
                        variant,
                        workload.maxRetries(),
                        workload.marksRetries(),
                        faults,
                        workload.generateRequests(deployment, variant)),
                caseName,
                workload.name());
    }

    // ---- exhaustive enumeration -------------------------------------------------------------------------

    /** Advances to the next sequence of fault choices, shortest first; the first one is empty. */
    private boolean advanceSequence() {
        if (sequenceCount + skippedCount == 0) {
            return true;
        }
        for (int i = sequence.length - 1; i >= 0; i--) {
            if (++sequence[i] < faultChoices.size()) {
                return true;
            }
            sequence[i] = 0;
        }
        sequenceLength = sequence.length + 1;
        sequence = new int[sequenceLength];
        return sequenceLength <= maxSequenceLength;
    }

    private boolean isCanonical() {
        Map<String, Integer> usedByClass = new HashMap<>();
        Set<Box> gone = new HashSet<>();
        Set<Box> unavailable = new HashSet<>();
        for (int choiceIndex : sequence) {
            FaultChoice choice = faultChoices.get(choiceIndex);
            if (choice.box() == null || choice.kind() == Fault.Kind.LINK) {
                continue;
            }
            int position =
                    boxesByEquivalenceClass.get(choice.equivalenceClass()).indexOf(choice.box());
            int usedCount = usedByClass.getOrDefault(choice.equivalenceClass(), 0);
            boolean hasEffect = !gone.contains(choice.box())
                    && (choice.kind() != Fault.Kind.RETURN || unavailable.contains(choice.box()))
                    && (choice.kind() != Fault.Kind.DRAIN || !unavailable.contains(choice.box()));
            if (position > usedCount || !hasEffect) {
                return false;
            }
            usedByClass.put(choice.equivalenceClass(), Math.max(usedCount, position + 1));
            if (choice.kind() == Fault.Kind.GONE || choice.kind() == Fault.Kind.REPLACE) {
                gone.add(choice.box());
            } else if (choice.kind() == Fault.Kind.DRAIN || choice.kind() == Fault.Kind.MISSING) {
                unavailable.add(choice.box());
            } else if (choice.kind() == Fault.Kind.RETURN) {
                unavailable.remove(choice.box());
            }
        }
        return true;
    }

    private List<Fault> sequenceFaults() {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < sequence.length; i++) {
            FaultChoice choice = faultChoices.get(sequence[i]);
            faults.add(newFault(
                    choice.kind(),
                    choice.box(),
                    FIRST_FAULT_MS + i * FAULT_GAP_MS,
                    LIST_DELAY_MS,
                    FAULT_DURATION_MS,
                    1));
        }
        return faults;
    }

    private Fault newFault(
            Fault.Kind kind, Box box, double atMs, double listDelayMs, double durationMs, long objectId) {
        double magnitude = kind == Fault.Kind.PURGE ? objectId : kind.defaultMagnitude();
        return new Fault(kind, box == null ? -1 : box.nodeId(), atMs, listDelayMs, durationMs, magnitude);
    }

    // ---- random sequences ------------------------------------------------------------------------------

    /**
     * The fault choices of a random subset of kinds. Long sequences of few kinds reach states that mixtures of all
     * kinds hardly ever reach (swarm testing: Groce et al. 2012).
     */
    private List<FaultChoice> swarmSubset() {
        Set<Fault.Kind> kinds = new HashSet<>();
        for (Fault.Kind kind : Fault.Kind.values()) {
            if (random.nextInt(3) == 0) {
                kinds.add(kind);
            }
        }
        List<FaultChoice> subset = faultChoices.stream()
                .filter(choice -> kinds.contains(choice.kind()))
                .toList();
        return subset.isEmpty() ? faultChoices : subset;
    }

    private List<Fault> randomFaults(Deployment deployment, Workload workload) {
        List<Fault> faults = new ArrayList<>();
        int faultCount = 1 + random.nextInt((int) Math.min(MAX_RANDOM_FAULTS, 3 + randomCount / 8));
        List<FaultChoice> choices = swarmSubset();
        for (int i = 0; i < faultCount; i++) {
            FaultChoice choice = choices.get(random.nextInt(choices.size()));
            Box box = choice.box();
            if (box != null && deployment != reducedDeployment) {
                List<Box> sameRole = deployment.boxes().stream()
                        .filter(other -> deployment.roleOf(other) == reducedDeployment.roleOf(choice.box()))
                        .toList();
                box = sameRole.get(random.nextInt(sameRole.size()));
            }
            faults.add(newFault(
                    choice.kind(),
                    box,
                    random.nextDouble() * workload.durationMs() * 0.8,
                    100 + random.nextDouble() * random.nextDouble() * 4_700,
                    500 + random.nextDouble() * 7_500,
                    1 + random.nextInt(Math.max(1, workload.hotObjectCount()))));
        }
        faults.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
        return faults;
    }
}
