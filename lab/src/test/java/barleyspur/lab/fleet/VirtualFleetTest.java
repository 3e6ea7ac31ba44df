package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.fleet.Datagram;
import barleyspur.fleet.MemberState;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of the membership protocol in virtual time. Assertion messages contain the seeds of random schedules. */
class VirtualFleetTest {

    private static final double SETTLE_MS = 30_000;

    private static FaultSchedule quiet(int doormans, int started, List<FaultSchedule.Step> steps) {
        return new FaultSchedule("test", doormans, started, List.of(0, 1), 500, steps, SETTLE_MS, 7);
    }

    private static List<MembershipMonitor.ReportedChange> lostChanges(MembershipMonitor watch) {
        return watch.allChanges().stream().filter(t -> t.kind().equals("Lost")).toList();
    }

    /** No random fault schedule violates a guarantee. A few hundred schedules run here; 10,000 are run manually. */
    @ParameterizedTest
    @CsvSource({"3, 8, 100", "5, 8, 150", "14, 12, 40"})
    void randomFaultSchedulesKeepGuarantees(int doormans, int faults, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            assertEquals(List.of(), Shrinker.broken(doormans, faults, seed), "seed " + seed);
        }
    }

    /** A schedule survives being written and read, so that the file of a failing seed reproduces the failure. */
    @Test
    void scheduleFileRoundTrips() throws Exception {
        FaultSchedule schedule = FaultSchedule.random(5, 10, 500, SETTLE_MS, 3);
        FaultSchedule again = ScenarioFile.read("x.hcl", ScenarioFile.write(schedule));
        assertEquals(ScenarioFile.write(schedule), ScenarioFile.write(again));
        assertEquals(schedule.steps().size(), again.steps().size());
        // Another seed generates other steps, except for a schedule whose steps are written in the file.
        FaultSchedule shrunk = schedule.with(schedule.steps().subList(0, 3));
        assertEquals(
                3,
                ScenarioFile.read("x.hcl", ScenarioFile.write(shrunk))
                        .with(9)
                        .steps()
                        .size());
        assertEquals(
                FaultSchedule.random(5, 10, 500, SETTLE_MS, 9).steps(),
                schedule.with(9).steps());
    }

    /**
     * 900 members that join a fleet of 100 within a second reach all views, and no member is declared dead meanwhile.
     */
    @Test
    void nineHundredMembersJoinFleetOfOneHundred() {
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
        assertEquals(1_000, fleet.process(500).membership.memberCount());
    }

    /**
     * Plays a minute in which one member puts forged records of six others into all its gossip, and checks that no
     * member leaves any view.
     *
     * @param state             the state in the forged records
     * @param incarnationsAhead how far their incarnations are ahead of the real ones
     */
    private static MembershipMonitor playWithForgedGossip(MemberState state, long incarnationsAhead) {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        assertNull(fleet.unsettledReason());
        int before = lostChanges(watch).size();
        fleet.tamperWithSent(0, datagram -> {
            List<MembershipRecord> forged = new ArrayList<>();
            for (int slot = 1; slot < 7; slot++) {
                MembershipRecord real = fleet.process(slot).membership.self();
                forged.add(new MembershipRecord(
                        real.name(),
                        real.generation(),
                        real.nonce(),
                        real.incarnation() + incarnationsAhead,
                        state,
                        "d1",
                        real.metadata()));
            }
            return new Datagram(datagram.sender(), datagram.digest(), datagram.message(), forged);
        });
        fleet.runUntil(65_000);
        assertEquals(before, lostChanges(watch).size(), "changes of kind Lost");
        fleet.tamperWithSent(-1, null);
        fleet.runUntil(75_000);
        assertNull(fleet.unsettledReason());
        assertEquals(List.of(), watch.violations());
        return watch;
    }

    /** A member that spreads false DEAD or SUSPECT records for a minute removes nobody from any view. */
    @Test
    void falseAccusationsRemoveNobody() {
        playWithForgedGossip(MemberState.DEAD, 0);
        playWithForgedGossip(MemberState.SUSPECT, 0);
    }

    /** A member for which forged higher incarnations are spread supersedes them and stays in all views. */
    @Test
    void forgedIncarnationsAreSuperseded() {
        playWithForgedGossip(MemberState.ALIVE, 5);
        playWithForgedGossip(MemberState.DEAD, 5);
    }

    /** A member that receives SIGTERM leaves all views at once, in the state LEFT rather than DEAD. */
    @Test
    void leavingIsReportedAsLeft() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Term(Set.of(4)));
        fleet.runUntil(5_500);
        assertEquals(13, lostChanges(watch).size());
        assertTrue(lostChanges(watch).stream()
                .allMatch(t -> t.state().equals("LEFT") && t.member().equals("d5")));
    }

    /**
     * Of two processes with one name the newer one keeps it, and the views stay stable; the older one takes the name
     * back after the newer one is gone for good.
     */
    @Test
    void newerProcessKeepsSharedName() {
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
        assertEquals(changes, watch.allChanges().size(), "the two processes must not replace each other repeatedly");
        fleet.apply(new Fault.Kill(Set.of(5)));
        fleet.runUntil(90_000);
        assertNull(fleet.unsettledReason());
        assertTrue(!fleet.process(1).membership.view(fleet.nowMs).nameGivenUp());
    }

    /** After a pause a process reports its view as in doubt, even when asked before it has processed any input. */
    @Test
    void viewIsInDoubtAfterProcessPause() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(5, 5, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Freeze(Set.of(2)));
        fleet.runUntil(15_000);
        assertTrue(fleet.process(2).membership.isInDoubt(15_000), "asked before the membership has seen the new time");
        fleet.apply(new Fault.Thaw(Set.of(2)));
        fleet.runUntil(16_500);
        assertNull(fleet.unsettledReason());
        List<MembershipMonitor.ReportedChange> own = watch.allChanges().stream()
                .filter(t -> t.slot() == 2 && t.timeMs() >= 15_000)
                .toList();
        assertEquals("Doubt", own.get(0).kind());
    }

    /** With one direction between two members cut, indirect probes succeed and nobody is suspected. */
    @Test
    void asymmetricPartitionRemovesNobody() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(9, 9, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Cut(Set.of(2), Set.of(4), false));
        fleet.runUntil(120_000);
        assertEquals(0, lostChanges(watch).size());
        assertEquals(
                0,
                watch.allChanges().stream()
                        .filter(t -> t.state().equals("SUSPECT"))
                        .count(),
                "suspected members");
    }

    /** With all seeds dead, the parts of a healed partition find each other through remembered members. */
    @Test
    void partitionsMergeWithoutSeeds() {
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

    /** A member that missed a change while cut off gets it by anti-entropy, after gossip no longer spreads it. */
    @Test
    void antiEntropyRepairsMissedGossip() {
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

    /** Nobody is declared dead in ten minutes of 10% packet loss, nor while some doormans get a fifth of a core. */
    @Test
    void packetLossAndSlowProcessesRemoveNobody() {
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
        assertEquals(List.of(), lostChanges(watch));
    }

    /** A quiesce reaches all views within a second, by a new incarnation. */
    @Test
    void quiesceReachesAllViews() {
        MembershipMonitor watch = new MembershipMonitor(false);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Quiesce(Set.of(3), true));
        fleet.runUntil(6_000);
        for (int slot = 0; slot < 14; slot++) {
            assertTrue(
                    fleet.process(slot).membership.view(6_000).members().stream()
                            .anyMatch(m -> m.record().name().equals("d4")
                                    && m.record().metadata().phase().equals("quiesced")),
                    "slot " + slot);
        }
    }

    /** The traffic per member without changes or faults does not grow with the fleet size. */
    @Test
    void idleTrafficIsIndependentOfFleetSize() {
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

    /** Datagrams of an earlier process that are captured and replayed after its restart change nothing. */
    @Test
    void replayedDatagramsChangeNothing() {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = new VirtualFleet(quiet(5, 5, List.of()), watch, true);
        List<Datagram> captured = new ArrayList<>();
        fleet.tamperWithSent(2, datagram -> {
            if (datagram.message() instanceof Message.Ping) {
                captured.add(datagram);
            }
            return datagram;
        });
        fleet.startInitialProcesses();
        fleet.runUntil(5_000);
        fleet.apply(new Fault.Kill(Set.of(2)));
        fleet.runUntil(5_200);
        fleet.apply(new Fault.Start(Set.of(2), "", -3_600_000, 2));
        fleet.runUntil(12_000);
        assertNull(fleet.unsettledReason());
        int before = watch.allChanges().size();
        for (Datagram datagram : captured) {
            for (int slot = 0; slot < 5; slot++) {
                fleet.process(slot).membership.receive(fleet.nowMs, datagram);
            }
        }
        fleet.runUntil(20_000);
        assertNull(fleet.unsettledReason());
        assertEquals(before, watch.allChanges().size());
    }
}
