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

    private static Schedule quiet(int doormans, int started, List<Schedule.Step> steps) {
        return new Schedule("test", doormans, started, List.of(0, 1), 500, steps, SETTLE_MS, 7);
    }

    private static List<Watch.Told> lostChanges(Watch watch) {
        return watch.all().stream().filter(t -> t.kind().equals("Lost")).toList();
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
        Schedule schedule = Schedule.random(5, 10, 500, SETTLE_MS, 3);
        Schedule again = ScenarioFile.read("x.hcl", ScenarioFile.write(schedule));
        assertEquals(ScenarioFile.write(schedule), ScenarioFile.write(again));
        assertEquals(schedule.steps().size(), again.steps().size());
        // Another seed generates other steps, except for a schedule whose steps are written in the file.
        Schedule shrunk = schedule.with(schedule.steps().subList(0, 3));
        assertEquals(
                3,
                ScenarioFile.read("x.hcl", ScenarioFile.write(shrunk))
                        .with(9)
                        .steps()
                        .size());
        assertEquals(
                Schedule.random(5, 10, 500, SETTLE_MS, 9).steps(),
                schedule.with(9).steps());
    }

    /**
     * 900 members that join a fleet of 100 within a second reach all views, and no member is declared dead meanwhile.
     */
    @Test
    void nineHundredMembersJoinFleetOfOneHundred() {
        Watch watch = new Watch(false);
        VirtualFleet fleet = new VirtualFleet(
                quiet(
                        1_000,
                        100,
                        List.of(new Schedule.Step(true, 1_000, new Fault.Start(Schedule.range(100, 1_000), "", 0, 2)))),
                watch,
                false);
        fleet.play();
        assertEquals(List.of(), watch.broken());
        assertEquals(1_000, fleet.in(500).membership.memberCount());
    }

    /**
     * Plays a minute in which one member puts forged records of six others into all its gossip, and checks that no
     * member leaves any view.
     *
     * @param state             the state in the forged records
     * @param incarnationsAhead how far their incarnations are ahead of the real ones
     */
    private static Watch playWithForgedGossip(MemberState state, long incarnationsAhead) {
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        assertNull(fleet.settled());
        int before = lostChanges(watch).size();
        fleet.tamper(0, datagram -> {
            List<MembershipRecord> forged = new ArrayList<>();
            for (int slot = 1; slot < 7; slot++) {
                MembershipRecord real = fleet.in(slot).membership.self();
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
        fleet.playTo(65_000);
        assertEquals(before, lostChanges(watch).size(), "changes of kind Lost");
        fleet.tamper(-1, null);
        fleet.playTo(75_000);
        assertNull(fleet.settled());
        assertEquals(List.of(), watch.broken());
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
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Term(Set.of(4)));
        fleet.playTo(5_500);
        assertEquals(13, lostChanges(watch).size());
        assertTrue(lostChanges(watch).stream()
                .allMatch(t -> t.standing().equals("LEFT") && t.member().equals("d5")));
    }

    /**
     * Of two processes with one name the newer one keeps it, and the views stay stable; the older one takes the name
     * back after the newer one is gone for good.
     */
    @Test
    void newerProcessKeepsSharedName() {
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(6, 5, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Start(Set.of(5), "d2", 0, 2));
        fleet.playTo(10_000);
        assertNull(fleet.settled());
        assertTrue(fleet.in(1).membership.view(fleet.nowMs).nameGivenUp());
        long changes = watch.all().size();
        fleet.playTo(60_000);
        assertEquals(changes, watch.all().size(), "the two processes must not replace each other repeatedly");
        fleet.apply(new Fault.Kill(Set.of(5)));
        fleet.playTo(90_000);
        assertNull(fleet.settled());
        assertTrue(!fleet.in(1).membership.view(fleet.nowMs).nameGivenUp());
    }

    /** After a pause a process reports its view as in doubt, even when asked before it has processed any input. */
    @Test
    void viewIsInDoubtAfterProcessPause() {
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(5, 5, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Freeze(Set.of(2)));
        fleet.playTo(15_000);
        assertTrue(fleet.in(2).membership.isInDoubt(15_000), "asked before the membership has seen the new time");
        fleet.apply(new Fault.Thaw(Set.of(2)));
        fleet.playTo(16_500);
        assertNull(fleet.settled());
        List<Watch.Told> own = watch.all().stream()
                .filter(t -> t.slot() == 2 && t.atMs() >= 15_000)
                .toList();
        assertEquals("Doubt", own.get(0).kind());
    }

    /** With one direction between two members cut, indirect probes succeed and nobody is suspected. */
    @Test
    void asymmetricPartitionRemovesNobody() {
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(9, 9, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Cut(Set.of(2), Set.of(4), false));
        fleet.playTo(120_000);
        assertEquals(0, lostChanges(watch).size());
        assertEquals(
                0,
                watch.all().stream().filter(t -> t.standing().equals("SUSPECT")).count(),
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
                                new Schedule.Step(true, 0, new Fault.Kill(Set.of(0, 1))),
                                new Schedule.Step(true, 0, new Fault.Split(List.of(Set.of(2, 3, 4), Set.of(5, 6, 7)))),
                                new Schedule.Step(true, 0, new Fault.Heal()))),
                new Watch(false),
                true);
        assertTrue(fleet.play().get(3) < SETTLE_MS);
    }

    /** A member that missed a change while cut off gets it by anti-entropy, after gossip no longer spreads it. */
    @Test
    void antiEntropyRepairsMissedGossip() {
        VirtualFleet fleet = new VirtualFleet(quiet(100, 100, List.of()), new Watch(false), true);
        fleet.begin();
        fleet.playTo(20_000);
        fleet.apply(new Fault.Cut(Schedule.range(0, 100), Set.of(4), false));
        fleet.apply(new Fault.Quiesce(Set.of(3), true));
        fleet.playTo(21_500);
        fleet.apply(new Fault.Heal());
        fleet.playTo(26_500);
        assertNull(fleet.settled());
    }

    /** Nobody is declared dead in ten minutes of 10% packet loss, nor while some doormans get a fifth of a core. */
    @Test
    void packetLossAndSlowProcessesRemoveNobody() {
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Weather(Schedule.range(0, 14), Schedule.range(0, 14), new Fault.Noise(0.1, 20, 0, 0)));
        fleet.playTo(605_000);
        fleet.apply(new Fault.Weather(Schedule.range(0, 14), Schedule.range(0, 14), Fault.Noise.NONE));
        fleet.apply(new Fault.Starve(Set.of(1, 5, 9, 13), 0.2));
        fleet.playTo(905_000);
        assertEquals(List.of(), lostChanges(watch));
    }

    /** A quiesce reaches all views within a second, by a new incarnation. */
    @Test
    void quiesceReachesAllViews() {
        Watch watch = new Watch(false);
        VirtualFleet fleet = new VirtualFleet(quiet(14, 14, List.of()), watch, true);
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Quiesce(Set.of(3), true));
        fleet.playTo(6_000);
        for (int slot = 0; slot < 14; slot++) {
            assertTrue(
                    fleet.in(slot).membership.view(6_000).members().stream()
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
            VirtualFleet fleet =
                    new VirtualFleet(quiet(i == 0 ? 14 : 140, i == 0 ? 14 : 140, List.of()), new Watch(false), true);
            fleet.begin();
            fleet.playTo(20_000);
            long before = fleet.processes().stream().mapToLong(p -> p.sentBytes).sum();
            fleet.playTo(40_000);
            perSecond[i] =
                    (fleet.processes().stream().mapToLong(p -> p.sentBytes).sum() - before)
                            / 20.0
                            / fleet.processes().size();
        }
        assertTrue(perSecond[0] < 2_000 && perSecond[1] < 1.1 * perSecond[0], perSecond[0] + " and " + perSecond[1]);
    }

    /** Datagrams of an earlier process that are captured and replayed after its restart change nothing. */
    @Test
    void replayedDatagramsChangeNothing() {
        Watch watch = new Watch(true);
        VirtualFleet fleet = new VirtualFleet(quiet(5, 5, List.of()), watch, true);
        List<Datagram> captured = new ArrayList<>();
        fleet.tamper(2, datagram -> {
            if (datagram.message() instanceof Message.Ping) {
                captured.add(datagram);
            }
            return datagram;
        });
        fleet.begin();
        fleet.playTo(5_000);
        fleet.apply(new Fault.Kill(Set.of(2)));
        fleet.playTo(5_200);
        fleet.apply(new Fault.Start(Set.of(2), "", -3_600_000, 2));
        fleet.playTo(12_000);
        assertNull(fleet.settled());
        int before = watch.all().size();
        for (Datagram datagram : captured) {
            for (int slot = 0; slot < 5; slot++) {
                fleet.in(slot).membership.receive(fleet.nowMs, datagram);
            }
        }
        fleet.playTo(20_000);
        assertNull(fleet.settled());
        assertEquals(before, watch.all().size());
    }
}
