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
 * Several real processes of the built jar under faults between them. What must never be is checked on every change that
 * each process told; that views settle is waited for, for as long as half a minute a step, and no speed is judged.
 */
@Execution(ExecutionMode.CONCURRENT)
class ProcessesTest {

    private static final Path JAR = Path.of("..", "doorman", "target", "barleyspur.jar");

    @TempDir
    Path folder;

    private MembershipMonitor play(String file) throws Exception {
        assertTrue(Files.isReadable(JAR), "the doorman's jar is built first: mvn verify");
        MembershipMonitor watch = new MembershipMonitor(true);
        try (RealFleet fleet = new RealFleet(
                ScenarioFile.load(Path.of("..", "examples", "fleet", file)), watch, JAR, folder, System.out::println)) {
            fleet.run();
        }
        assertEquals(List.of(), watch.violations());
        return watch;
    }

    private static List<MembershipMonitor.ReportedChange> verdicts(MembershipMonitor watch) {
        return watch.allChanges().stream()
                .filter(t -> t.kind().equals("Lost") && !t.reason().equals("STOOD_STILL"))
                .toList();
    }

    /**
     * Guards: kill -9 of one, a third, all but one; a freeze shorter and one longer than the suspicion; halves, thirds of
     * which two meet before all do: every component agrees on itself, and all agree after the heal.
     */
    @Test
    void crashesFreezesAndPartitionsSettle() throws Exception {
        play("faults.hcl");
    }

    /** Guards: with one way between two cut, and doormans at a tenth and a fifth of a core, nobody is given up. */
    @Test
    void nobodyIsGivenUpForOneWayOrForSlowness() throws Exception {
        assertEquals(List.of(), verdicts(play("ways.hcl")));
    }

    /** Guards: who is heard by none is out of all other views, and back after; a third lost and garbage break nothing. */
    @Test
    void whoIsHeardByNoneIsGivenUp() throws Exception {
        MembershipMonitor watch = play("noise.hcl");
        long by = verdicts(watch).stream()
                .filter(t -> t.member().equals("d4"))
                .map(MembershipMonitor.ReportedChange::slot)
                .distinct()
                .count();
        assertEquals(8, by);
    }

    /**
     * Guards: a restart within the suspicion, one with the clock an hour back, one at another's former address, a
     * second process under one name, leaving, older formats beside newer, quiesce: the newest life holds its name.
     */
    @Test
    void newerLivesReplaceOlderOnes() throws Exception {
        MembershipMonitor watch = play("lives.hcl");
        assertTrue(watch.allChanges().stream()
                .anyMatch(t -> t.kind().equals("Lost") && t.state().equals("LEFT")));
        Set<String> phases = Set.copyOf(watch.allChanges().stream()
                .map(MembershipMonitor.ReportedChange::kind)
                .toList());
        assertTrue(phases.contains("Name"), "a second process of a name is noticed: " + phases);
    }

    /** Guards: all are replaced one by one, older formats beside newer, and each is seen to leave and not to die. */
    @Test
    void aRollingRestartOfMixedFormatsSettles() throws Exception {
        MembershipMonitor watch = play("rolling.hcl");
        assertEquals(
                Set.of("LEFT"),
                Set.copyOf(verdicts(watch).stream()
                        .map(MembershipMonitor.ReportedChange::state)
                        .toList()));
    }

    /** Guards: all that start at once with one dead seed find each other when it comes, and again after a power cut. */
    @Test
    void aStartStormSettles() throws Exception {
        play("storm.hcl");
    }
}
