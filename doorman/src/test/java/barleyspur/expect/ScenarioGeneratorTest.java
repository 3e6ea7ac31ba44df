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

/** What is said to be exhaustive is: every order is played, or one that differs from it only by which equal box. */
class ScenarioGeneratorTest {

    private static Deployment pairDeployment() throws Hcl.Invalid {
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
                .fleets()
                .get(0);
    }

    private static Workload tinyWorkload() {
        Workload usual =
                Workload.defaultFor(ExpectationFixtures.stationDeployment().sharedSettings());
        return new Workload("tiny", 0.5, 500, 5, 10, 1, 0, 0, false, usual.classes());
    }

    /** An order by what it does to the first, second, ... box of each kind that it strikes. */
    private static String describe(Deployment deployment, List<Fault> faults) {
        Map<Long, String> names = new HashMap<>();
        Map<Deployment.Role, Integer> used = new HashMap<>();
        StringBuilder text = new StringBuilder();
        for (Fault f : faults) {
            String name = f.nodeId() < 0 || f.kind() == Fault.Kind.LINK
                    ? ""
                    : names.computeIfAbsent(f.nodeId(), n -> {
                        Deployment.Role role = deployment.roleOf(deployment.boxes().stream()
                                .filter(b -> b.nodeId() == n)
                                .findFirst()
                                .orElseThrow());
                        return role.label() + used.merge(role, 1, Integer::sum);
                    });
            text.append(f.kind().label()).append(' ').append(name).append(", ");
        }
        return text.toString();
    }

    /** Guards: symmetry reduction leaves nothing out and plays nothing twice. */
    @Test
    void allSequencesOfTwoAreGeneratedOnce() throws Hcl.Invalid {
        Deployment deployment = pairDeployment();
        ScenarioGenerator explorer = new ScenarioGenerator(deployment, List.of(tinyWorkload()), List.of(), 1, 2, true);
        Set<String> played = new HashSet<>();
        int all = 0;
        while (!explorer.coverageSummary().endsWith("all there are")) {
            ScenarioGenerator.PlannedScenario plan = explorer.next();
            if (!explorer.coverageSummary().endsWith("all there are")) {
                all++;
                assertTrue(
                        played.add(describe(deployment, plan.scenario().faults())),
                        "twice: " + plan.scenario().faults());
            }
        }
        assertEquals(all, played.size());
        // Those that always have an effect, in all orders and on all boxes.
        EnumSet<Fault.Kind> plain =
                EnumSet.of(Fault.Kind.HANG, Fault.Kind.SLOW, Fault.Kind.FULL, Fault.Kind.FAIL, Fault.Kind.RESTART);
        List<Fault> symbols = new ArrayList<>();
        for (Box b : deployment.boxes()) {
            for (Fault.Kind kind : plain) {
                if (kind != Fault.Kind.RESTART || deployment.roleOf(b) != Deployment.Role.HEAD_OFFICE) {
                    symbols.add(new Fault(kind, b.nodeId(), 0, 0, 0, 0));
                }
            }
        }
        for (Fault one : symbols) {
            assertTrue(played.contains(describe(deployment, List.of(one))), () -> "missing: " + one);
            for (Fault two : symbols) {
                assertTrue(
                        played.contains(describe(deployment, List.of(one, two))), () -> "missing: " + one + ", " + two);
            }
        }
        assertTrue(played.contains(""), "the day on which nothing happens");
    }

    /** Guards: a request that is left out changes no draw of the others, or counterexamples could not shrink. */
    @Test
    void drawsAreIndependentOfEachOther() {
        KeyedRandom draw = new KeyedRandom(7);
        double before = draw.uniform(3, 1, 41);
        draw.uniform(9, 9, 9);
        assertEquals(before, draw.uniform(3, 1, 41));
        List<ClientRequest> asks = tinyWorkload().drawRequests(ExpectationFixtures.stationDeployment(), 5);
        assertEquals(asks, tinyWorkload().drawRequests(ExpectationFixtures.stationDeployment(), 5));
    }
}
