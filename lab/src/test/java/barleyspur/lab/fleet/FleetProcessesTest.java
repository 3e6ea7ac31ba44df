package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Runs fault scenarios on several real processes of the built jar. Invariants are checked on every change that a
 * process reports. Each step waits up to half a minute for the views to converge; how long that takes is not asserted.
 */
@Execution(ExecutionMode.CONCURRENT)
class FleetProcessesTest {

    private static final Path JAR = Path.of("..", "doorman", "target", "barleyspur.jar");

    @TempDir
    Path folder;

    private MembershipMonitor play(String file) throws Exception {
        assertTrue(Files.isReadable(JAR), "the jar of the doorman is missing; run mvn verify first");
        MembershipMonitor watch = new MembershipMonitor(true);
        try (RealFleet fleet = new RealFleet(
                ScenarioFile.load(Path.of("..", "examples", "fleet", file)), watch, JAR, folder, System.out::println)) {
            fleet.run();
        }
        assertEquals(List.of(), watch.violations());
        return watch;
    }

    private static List<MembershipMonitor.ReportedChange> lostChanges(MembershipMonitor watch) {
        return watch.allChanges().stream()
                .filter(t -> t.kind().equals("Lost") && !t.reason().equals("STOOD_STILL"))
                .toList();
    }

    /**
     * Kills of one member, a third and all but one; a freeze shorter and one longer than the suspicion; partitions into
     * halves, and into thirds of which two are rejoined first. Views converge within each part, and overall after the
     * heal.
     */
    @Test
    void viewsConvergeAfterCrashesFreezesAndPartitions() throws Exception {
        play("faults.hcl");
    }

    /**
     * Nobody is declared dead with one direction between two cut, or with doormans at a tenth and a fifth of a core.
     */
    @Test
    void asymmetricPartitionAndSlowProcessesRemoveNobody() throws Exception {
        assertEquals(List.of(), lostChanges(play("ways.hcl")));
    }

    /**
     * A member that nobody receives leaves all other views and returns later; a third of packets lost and garbage do no
     * harm.
     */
    @Test
    void unreachableMemberIsRemoved() throws Exception {
        MembershipMonitor watch = play("noise.hcl");
        long reporters = lostChanges(watch).stream()
                .filter(t -> t.member().equals("d4"))
                .map(MembershipMonitor.ReportedChange::slot)
                .distinct()
                .count();
        assertEquals(8, reporters);
    }

    /**
     * The newest process holds its name after a restart within the suspicion, one with the clock an hour back, one at
     * another member's former address, a second process of one name, a leave, mixed formats and a quiesce.
     */
    @Test
    void newerProcessesReplaceOlderOnes() throws Exception {
        MembershipMonitor watch = play("lives.hcl");
        assertTrue(watch.allChanges().stream()
                .anyMatch(t -> t.kind().equals("Lost") && t.state().equals("LEFT")));
        Set<String> kinds = Set.copyOf(watch.allChanges().stream()
                .map(MembershipMonitor.ReportedChange::kind)
                .toList());
        assertTrue(kinds.contains("Name"), "a second process of the same name must be reported, kinds: " + kinds);
    }

    /** In a rolling restart with mixed formats each member is reported as LEFT and never as DEAD. */
    @Test
    void rollingRestartWithMixedFormatsConverges() throws Exception {
        MembershipMonitor watch = play("rolling.hcl");
        assertEquals(
                Set.of("LEFT"),
                Set.copyOf(lostChanges(watch).stream()
                        .map(MembershipMonitor.ReportedChange::state)
                        .toList()));
    }

    /**
     * Members started at once with their seed down find each other when it starts, and again after all are restarted.
     */
    @Test
    void simultaneousStartConverges() throws Exception {
        play("storm.hcl");
    }
}
