package barleyspur.expect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.Hcl;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that the exhaustive enumeration generates each sequence, or one that differs only in equal boxes. */
class ScenarioGeneratorTest {

    private static Deployment pairDeployment() throws Hcl.InvalidHclException {
        return ExpectationFixtures.read(
                        ExpectationFixtures.stationDeployment(),
                        """
            fleet "pair" {
              stations        = 1
              caches          = 2
              district_caches = 1
              doormans        = 1
            }
            """)
                .deployments()
                .get(0);
    }

    private static Workload tinyWorkload() {
        Workload defaults =
                Workload.defaultFor(ExpectationFixtures.stationDeployment().sharedSettings());
        return new Workload("tiny", 0.5, 500, 5, 10, 1, 0, 0, false, defaults.classes());
    }

    /** A sequence with each box named by its role and the order in which boxes of that role are first affected. */
    private static String describe(Deployment deployment, List<Fault> faults) {
        Map<Long, String> names = new HashMap<>();
        Map<Deployment.Role, Integer> used = new HashMap<>();
        StringBuilder text = new StringBuilder();
        for (Fault fault : faults) {
            String name = fault.nodeId() < 0 || fault.kind() == Fault.Kind.LINK
                    ? ""
                    : names.computeIfAbsent(fault.nodeId(), nodeId -> {
                        Deployment.Role role = deployment.roleOf(deployment.boxes().stream()
                                .filter(box -> box.nodeId() == nodeId)
                                .findFirst()
                                .orElseThrow());
                        return role.label() + used.merge(role, 1, Integer::sum);
                    });
            text.append(fault.kind().label()).append(' ').append(name).append(", ");
        }
        return text.toString();
    }

    /** Symmetry reduction omits no sequence and generates none twice. */
    @Test
    void allSequencesOfTwoAreGeneratedOnce() throws Hcl.InvalidHclException {
        Deployment deployment = pairDeployment();
        ScenarioGenerator generator = new ScenarioGenerator(deployment, List.of(tinyWorkload()), List.of(), 1, 2, true);
        Set<String> generated = new HashSet<>();
        int count = 0;
        while (!generator.coverageSummary().endsWith("all there are")) {
            ScenarioGenerator.PlannedScenario plan = generator.next();
            if (!generator.coverageSummary().endsWith("all there are")) {
                count++;
                assertTrue(
                        generated.add(describe(deployment, plan.scenario().faults())),
                        "twice: " + plan.scenario().faults());
            }
        }
        assertEquals(count, generated.size());
        // Faults that always have an effect, in all sequences and at all boxes.
        EnumSet<Fault.Kind> effectiveKinds =
                EnumSet.of(Fault.Kind.HANG, Fault.Kind.SLOW, Fault.Kind.FULL, Fault.Kind.FAIL, Fault.Kind.RESTART);
        List<Fault> faults = new ArrayList<>();
        for (Box box : deployment.boxes()) {
            for (Fault.Kind kind : effectiveKinds) {
                if (kind != Fault.Kind.RESTART || deployment.roleOf(box) != Deployment.Role.HEAD_OFFICE) {
                    faults.add(new Fault(kind, box.nodeId(), 0, 0, 0, 0));
                }
            }
        }
        for (Fault first : faults) {
            assertTrue(generated.contains(describe(deployment, List.of(first))), () -> "missing: " + first);
            for (Fault second : faults) {
                assertTrue(
                        generated.contains(describe(deployment, List.of(first, second))),
                        () -> "missing: " + first + ", " + second);
            }
        }
        assertTrue(generated.contains(""), "the sequence without faults is missing");
    }

    /** Removing a request does not change the random numbers of the others; shrinking depends on this. */
    @Test
    void randomNumbersAreIndependentOfEachOther() {
        KeyedRandom random = new KeyedRandom(7);
        double before = random.uniform(3, 1, 41);
        random.uniform(9, 9, 9);
        assertEquals(before, random.uniform(3, 1, 41));
        List<ClientRequest> requests = tinyWorkload().generateRequests(ExpectationFixtures.stationDeployment(), 5);
        assertEquals(requests, tinyWorkload().generateRequests(ExpectationFixtures.stationDeployment(), 5));
    }
}
