package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.fleet.Datagram;
import barleyspur.fleet.Message;
import barleyspur.fleet.Saying;
import barleyspur.fleet.Standing;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The view's decisions in virtual time: whatever the schedule, the promises hold. Seeds are in the messages. */
class VirtualFleetTest {

    private static final double SETTLE_MS = 30_000;

    private static FaultSchedule quiet(int doormans, int started, List<FaultSchedule.Step> steps) {
        return new FaultSchedule("test", doormans, started, List.of(0, 1), 500, steps, SETTLE_MS, 7);
    }

    private static List<MembershipMonitor.ReportedChange> verdicts(MembershipMonitor watch) {
        return watch.allChanges().stream().filter(t -> t.kind().equals("Lost")).toList();
    }

    /** Guards: no random schedule of faults breaks a promise; 10,000 are played by hand, some hundred here. */
    @ParameterizedTest
    @CsvSource({"3, 8, 100", "5, 8, 150", "14, 12, 40"})
    void randomSchedulesBreakNothing(int doormans, int faults, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            assertEquals(List.of(), Shrinker.broken(doormans, faults, seed), "seed " + seed);
        }
    }

    /** Guards: a schedule that is written reads as the same, so that a broken seed's file replays it. */
    @Test
    void aWrittenScheduleReplays() throws Exception {
        FaultSchedule s = FaultSchedule.random(5, 10, 500, SETTLE_MS, 3);
        FaultSchedule again = ScenarioFile.read("x.hcl", ScenarioFile.write(s));
        assertEquals(ScenarioFile.write(s), ScenarioFile.write(again));
        assertEquals(s.steps().size(), again.steps().size());
        // Also when it was drawn: other seeds draw others, but what is written out is played as it stands.
        FaultSchedule shrunk = s.with(s.steps().subList(0, 3));
        assertEquals(
                3,
                ScenarioFile.read("x.hcl", ScenarioFile.write(shrunk))
                        .with(9)
                        .steps()
                        .size());
        assertEquals(
                FaultSchedule.random(5, 10, 500, SETTLE_MS, 9).steps(),
                s.with(9).steps());
    }

    /** Guards: 900 that join a fleet of 100 within a second are all known to all, and nobody is given up meanwhile. */
    @Test
    void nineHundredJoinAHundred() {
        MembershipMonitor watch = new MembershipMonitor(false);
        VirtualFleet fleet = new VirtualFleet(
                quiet(
                        1_000,
                        100,
                        List.of(new FaultSchedule.Step(
                                true, 1_000, new Fault.Start(FaultSchedule.slotRange(100, 1_000), "", 0, 2)))),
                watch,
                false);
        fleet.run();
        assertEquals(List.of(), watch.violations());
        assertEquals(1_000, fleet.process(500).membership.members());
    }

    /** A member that says of everybody else, all the time, that they are dead, or tells news of foreign incarnations. */
    private static MembershipMonitor withLiar(Standing standing, long ahead) {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        assertNull(fleet.unsettledReason());
        int before = verdicts(watch).size();
        fleet.tamperWithSent(0, d -> {
            List<Saying> lies = new ArrayList<>();
            for (int slot = 1; slot < 7; slot++) {
                Saying s = fleet.process(slot).membership.self();
                lies.add(new Saying(s.name(), s.life(), s.nonce(), s.incarnation() + ahead, standing, "d1", s.about()));
            }
            return new Datagram(d.sender(), d.digest(), d.message(), lies);
        });
        fleet.runUntil(65_000);
        assertEquals(before, verdicts(watch).size(), "verdicts");
        fleet.tamperWithSent(-1, null);
        fleet.runUntil(75_000);
        assertNull(fleet.unsettledReason());
        assertEquals(List.of(), watch.violations());
        return watch;
    }

    /** Guards: a liar that declares everyone dead for a minute brings nobody out of any view. */
    @Test
    void aLiarGivesNobodyUp() {
        withLiar(Standing.DEAD, 0);
        withLiar(Standing.SUSPECT, 0);
    }

    /** Guards: a member of which foreign incarnations are told, alive or dead, goes above them and stays. */
    @Test
    void foreignIncarnationsAreOvertaken() {
        withLiar(Standing.ALIVE, 5);
        withLiar(Standing.DEAD, 5);
    }

    /** Guards: leaving is not dying: who has SIGTERM is out of all views as one that left, at once. */
    @Test
    void leavingIsSeenAsSuch() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Term(Set.of(4)));
        fleet.runUntil(5_500);
        assertEquals(13, verdicts(watch).size());
        assertTrue(verdicts(watch).stream()
                .allMatch(t -> t.state().equals("LEFT") && t.member().equals("d5")));
    }

    /**
     * Guards: two processes of one name end up with the newer one holding it, and stay so; the older one has it back
     * once the newer one is gone for good.
     */
    @Test
    void ofTwoWithOneNameTheNewerHoldsIt() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(6, 5, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Start(Set.of(5), "d2", 0, 2));
        fleet.runUntil(10_000);
        assertNull(fleet.unsettledReason());
        assertTrue(fleet.process(1).membership.view(fleet.nowMs).nameGivenUp());
        long changes = watch.allChanges().size();
        fleet.runUntil(60_000);
        assertEquals(changes, watch.allChanges().size(), "neither flaps the other");
        fleet.apply(new Fault.Kill(Set.of(5)));
        fleet.runUntil(90_000);
        assertNull(fleet.unsettledReason());
        assertTrue(!fleet.process(1).membership.view(fleet.nowMs).nameGivenUp());
    }

    /** Guards: a process that stood still knows that its view is in doubt before anything else is done with it. */
    @Test
    void afterAStandstillTheViewIsInDoubt() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(5, 5, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Freeze(Set.of(2)));
        fleet.runUntil(15_000);
        assertTrue(fleet.process(2).membership.inDoubt(15_000), "asked before it is told the time");
        fleet.apply(new Fault.Thaw(Set.of(2)));
        fleet.runUntil(16_500);
        assertNull(fleet.unsettledReason());
        List<MembershipMonitor.ReportedChange> own = watch.allChanges().stream()
                .filter(t -> t.slot() == 2 && t.timeMs() >= 15_000)
                .toList();
        assertEquals("Doubt", own.get(0).kind());
    }

    /** Guards: where one way between two is cut the others ask for them, and nobody is given up. */
    @Test
    void oneWayCutGivesNobodyUp() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(9, 9, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Cut(Set.of(2), Set.of(4), false));
        fleet.runUntil(120_000);
        assertEquals(0, verdicts(watch).size());
        assertEquals(
                0,
                watch.allChanges().stream()
                        .filter(t -> t.state().equals("SUSPECT"))
                        .count(),
                "nor suspected");
    }

    /** Guards: with all seeds dead, parts that were cut off find each other by whom they remember. */
    @Test
    void partsFindEachOtherWithoutSeeds() {
        VirtualFleet fleet = new VirtualFleet(
                quiet(
                        8,
                        8,
                        List.of(
                                new FaultSchedule.Step(true, 0, new Fault.Kill(Set.of(0, 1))),
                                new FaultSchedule.Step(
                                        true, 0, new Fault.Split(List.of(Set.of(2, 3, 4), Set.of(5, 6, 7)))),
                                new FaultSchedule.Step(true, 0, new Fault.Heal()))),
                new MembershipMonitor(false),
                true);
        assertTrue(fleet.run().get(3) < SETTLE_MS);
    }

    /** Guards: who missed a change while it was cut off for a second has it soon after, though nobody tells it any more. */
    @Test
    void missedNewsAreMadeUpFor() {
        VirtualFleet fleet = new VirtualFleet(quiet(100, 100, List.of()), new MembershipMonitor(false), true);
        fleet.startInitialProcesses();
        fleet.runUntil(20_000);
        fleet.apply(new Fault.Cut(FaultSchedule.slotRange(0, 100), Set.of(4), false));
        fleet.apply(new Fault.Quiesce(Set.of(3), true));
        fleet.runUntil(21_500);
        fleet.apply(new Fault.Heal());
        fleet.runUntil(26_500);
        assertNull(fleet.unsettledReason());
    }

    /** Guards: no false verdict in ten minutes of 10% loss, nor beside doormans at a fifth of a core. */
    @Test
    void lossAndSlownessGiveNobodyUp() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Weather(
                FaultSchedule.slotRange(0, 14), FaultSchedule.slotRange(0, 14), new Fault.Noise(0.1, 20, 0, 0)));
        fleet.runUntil(605_000);
        fleet.apply(
                new Fault.Weather(FaultSchedule.slotRange(0, 14), FaultSchedule.slotRange(0, 14), Fault.Noise.NONE));
        fleet.apply(new Fault.Starve(Set.of(1, 5, 9, 13), 0.2));
        fleet.runUntil(905_000);
        assertEquals(List.of(), verdicts(watch));
    }

    /** Guards: a quiesce is seen in all views within a second, by a new incarnation. */
    @Test
    void quiesceIsSeen() {
        MembershipMonitor watch = new MembershipMonitor(false);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Quiesce(Set.of(3), true));
        fleet.runUntil(6_000);
        for (int slot = 0; slot < 14; slot++) {
            assertTrue(
                    fleet.process(slot).membership.view(6_000).members().stream()
                            .anyMatch(m -> m.saying().name().equals("d4")
                                    && m.saying().about().phase().equals("quiesced")),
                    "slot " + slot);
        }
    }

    /** Guards: traffic in calm doesn't grow with the fleet, beside its digests. */
    @Test
    void calmTrafficDoesNotGrowWithTheFleet() {
        double[] perSecond = new double[2];
        for (int i = 0; i < 2; i++) {
            VirtualFleet fleet = new VirtualFleet(
                    quiet(i == 0 ? 14 : 140, i == 0 ? 14 : 140, List.of()), new MembershipMonitor(false), true);
            fleet.startInitialProcesses();
            fleet.runUntil(20_000);
            long before =
                    fleet.allProcesses().stream().mapToLong(p -> p.sentBytes).sum();
            fleet.runUntil(40_000);
            perSecond[i] =
                    (fleet.allProcesses().stream().mapToLong(p -> p.sentBytes).sum() - before)
                            / 20.0
                            / fleet.allProcesses().size();
        }
        assertTrue(perSecond[0] < 2_000 && perSecond[1] < 1.1 * perSecond[0], perSecond[0] + " and " + perSecond[1]);
    }

    /** Guards: a datagram that was caught on the way and comes again long after changes nothing. */
    @Test
    void datagramsOfAnEarlierLifeChangeNothing() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(5, 5, List.of()), watch, true);
        List<Datagram> caught = new ArrayList<>();
        fleet.tamperWithSent(2, d -> {
            if (d.message() instanceof Message.Ping) {
                caught.add(d);
            }
            return d;
        });
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Kill(Set.of(2)));
        fleet.runUntil(5_200);
        fleet.apply(new Fault.Start(Set.of(2), "", -3_600_000, 2));
        fleet.runUntil(12_000);
        assertNull(fleet.unsettledReason());
        int before = watch.allChanges().size();
        for (Datagram d : caught) {
            for (int slot = 0; slot < 5; slot++) {
                fleet.process(slot).membership.receive(fleet.nowMs, d);
            }
        }
        fleet.runUntil(20_000);
        assertNull(fleet.unsettledReason());
        assertEquals(before, watch.allChanges().size());
    }
}
