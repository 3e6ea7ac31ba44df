package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.budget.BudgetAction;
import barleyspur.budget.BudgetAgent;
import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.budget.BudgetLimiter;
import barleyspur.budget.BudgetMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs the budget logic in virtual time and checks that no schedule exceeds a capacity. Messages contain the seeds. */
class BudgetSimulationTest {

    private static final List<String> ALL_BUDGETS = List.of("calls", "rate", "cold");

    static BudgetConfig config(int doormans, int voters) {
        return new BudgetConfig(
                BudgetSimulation.voterAddresses(voters),
                doormans,
                1_500,
                300,
                50,
                Map.of(
                        "calls", new BudgetConfig.Budget("calls", BudgetKind.PLACES, 20, 0, 0, 1, 2_000),
                        "rate", new BudgetConfig.Budget("rate", BudgetKind.RATE, 200, 40, 2, 1, 2_000),
                        "cold", new BudgetConfig.Budget("cold", BudgetKind.AMOUNT, 30, 0, 0, 1, 3_000)));
    }

    private static BudgetSimulation newSimulation(FaultSchedule schedule, BudgetConfig config, List<String> budgets) {
        return new BudgetSimulation(
                schedule,
                config,
                BudgetCommands.MAX_CLOCK_DRIFT,
                budgets,
                (budget, slot, nowMs) -> budget.equals("cold")
                        ? nowMs > 12_000 && nowMs < 14_800 ? 20 : 0
                        : slot % 3 == (int) (nowMs / 1_000) % 3 ? 80 : 10);
    }

    private static BudgetSimulation startedWithoutFaults(int doormans, BudgetConfig config, List<String> budgets) {
        BudgetSimulation simulation = newSimulation(
                new FaultSchedule("calm", doormans, doormans, List.of(0), 500, List.of(), 0, 5), config, budgets);
        simulation.startInitialProcesses();
        simulation.runUntil(10_000);
        return simulation;
    }

    /** Averages over two jumps of the demand, as capacity is briefly unavailable while it is reassigned. */
    private static void assertUsable(BudgetSimulation simulation, String budget) {
        double sum = 0;
        for (int i = 0; i < 40; i++) {
            simulation.runUntil(simulation.nowMs + 50);
            sum += simulation.usableFraction(budget) / 40;
        }
        assertTrue(sum >= 0.85, budget + ": " + sum + " of the capacity was usable");
    }

    static BudgetSimulation playRandom(int doormans, int faults, long seed) {
        BudgetSimulation simulation = newSimulation(
                FaultSchedule.random(doormans, faults, 500, 6_000, seed), config(doormans, 3), ALL_BUDGETS);
        simulation.run();
        return simulation;
    }

    /** No random schedule of faults, clock drifts and wrong views exceeds a capacity. */
    @ParameterizedTest
    @CsvSource({"3, 8, 200", "5, 8, 200", "14, 12, 25"})
    void randomSchedulesNeverExceedTheCapacity(int doormans, int faults, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            BudgetSimulation simulation = playRandom(doormans, faults, seed);
            assertEquals(List.of(), simulation.violations(), "seed " + seed);
            assertTrue(simulation.box("calls").arrivals > 0, "seed " + seed);
        }
    }

    /** With three doormans and two units, no placement of up to two faults in twelve steps exceeds the capacity. */
    @ParameterizedTest
    @EnumSource(BudgetKind.class)
    void noTwoFaultsExceedTheCapacity(BudgetKind kind) {
        BudgetModelChecker checker = new BudgetModelChecker(kind, 12);
        assertTrue(checker.isWarm(), "both units must be leased when the faults begin");
        BudgetModelChecker.ExplorationResult result = checker.explore(2);
        assertNull(result.violation(), () -> result.counterexample() + ": " + result.violation());
    }

    /** Demand that jumps each second is followed: without faults nearly the full capacity is usable. */
    @Test
    void capacityIsUsable() {
        BudgetSimulation simulation = startedWithoutFaults(14, config(14, 3), List.of("calls", "rate"));
        double leastUsable = 1;
        for (int i = 0; i < 100; i++) {
            simulation.runUntil(simulation.nowMs + 100);
            leastUsable = Math.min(
                    leastUsable, Math.min(simulation.usableFraction("rate"), simulation.usableFraction("calls")));
        }
        assertTrue(leastUsable > 0.6, "usable part of the capacity: at least " + leastUsable);
        assertEquals(List.of(), simulation.violations());
    }

    /** The lease of a dead holder becomes available within its duration and two seconds, and not before it expires. */
    @Test
    void leasesOfDeadHoldersAreReassigned() {
        BudgetSimulation simulation = startedWithoutFaults(5, config(5, 3), List.of("calls", "rate"));
        simulation.apply(new Fault.Kill(Set.of(3, 4)));
        simulation.runUntil(simulation.nowMs + 2_500);
        assertUsable(simulation, "calls");
        assertUsable(simulation, "rate");
        assertEquals(List.of(), simulation.violations());
    }

    /** A leaving process returns its leases at once; they don't have to expire. */
    @Test
    void leavingReturnsLeasesAtOnce() {
        BudgetSimulation simulation = startedWithoutFaults(3, config(3, 3), List.of("rate"));
        simulation.apply(new Fault.Term(Set.of(2)));
        simulation.runUntil(simulation.nowMs + 800);
        assertUsable(simulation, "rate");
    }

    /** A minority keeps its floors, and nothing else once its leases have expired. */
    @Test
    void minorityKeepsItsFloors() {
        BudgetSimulation simulation = startedWithoutFaults(5, config(5, 3), List.of("calls", "rate"));
        simulation.apply(new Fault.Split(List.of(Set.of(0, 4), Set.of(1, 2, 3))));
        simulation.runUntil(simulation.nowMs + 6_000);
        assertEquals(
                2,
                simulation
                        .process(4)
                        .limiter("rate")
                        .limit(simulation.process(4).localTimeMs()));
        assertEquals(
                0,
                simulation
                        .process(4)
                        .limiter("calls")
                        .limit(simulation.process(4).localTimeMs()));
        assertUsable(simulation, "calls");
        assertEquals(List.of(), simulation.violations());
    }

    /** A reduced capacity is kept within one lease duration even if all of it is in use. */
    @Test
    void reducedCapacityIsKeptWithinALease() {
        BudgetSimulation simulation = startedWithoutFaults(5, config(5, 3), List.of("calls"));
        simulation.reconfigureCapacity("calls", 10);
        simulation.runUntil(simulation.nowMs + 2_100);
        simulation.setCheckedCapacity("calls", 10);
        simulation.runUntil(simulation.nowMs + 5_000);
        assertEquals(List.of(), simulation.violations());
        assertUsable(simulation, "calls");
    }

    /** The smallest capacity that any process has configured applies, so an increase takes effect when all have it. */
    @Test
    void smallestConfiguredCapacityApplies() {
        BudgetSimulation simulation = startedWithoutFaults(3, config(3, 3), List.of("calls"));
        simulation
                .process(0)
                .agent
                .reconfigure(
                        simulation.process(0).localTimeMs(),
                        simulation.config.budgetFor("calls").withCapacity(40));
        simulation.runUntil(simulation.nowMs + 5_000);
        assertEquals(List.of(), simulation.violations());
        simulation.setCheckedCapacity("calls", 40);
        simulation.reconfigureCapacity("calls", 40);
        simulation.runUntil(simulation.nowMs + 5_000);
        assertUsable(simulation, "calls");
    }

    /** Excessive demand gets no more than the sender's weight allows, and a false report of use has no effect. */
    @Test
    void falseReportsAreBoundedByWeight() {
        BudgetSimulation simulation = startedWithoutFaults(4, config(4, 3), List.of("calls"));
        simulation.tamperedSlot = 3;
        simulation.messageTamperer = message -> message instanceof BudgetMessage.LeaseRequest request
                ? new BudgetMessage.LeaseRequest(
                        request.configDigest(),
                        request.lastEpoch(),
                        request.sentAtMs(),
                        request.reports().stream()
                                .map(report -> new BudgetMessage.HolderReport(
                                        report.budget(),
                                        report.sequence(),
                                        report.acceptedSequence(),
                                        report.epoch(),
                                        report.leasedAmount(),
                                        1_000,
                                        1_000_000,
                                        1,
                                        report.capacity(),
                                        report.periodId(),
                                        report.remainingMs()))
                                .toList())
                : message;
        double others = 0;
        for (int i = 0; i < 200; i++) {
            simulation.runUntil(simulation.nowMs + 50);
            assertTrue(simulation
                            .process(3)
                            .limiter("calls")
                            .limit(simulation.process(3).localTimeMs())
                    <= 20);
            for (int slot = 0; slot < 3; slot++) {
                others += simulation
                                .process(slot)
                                .limiter("calls")
                                .limit(simulation.process(slot).localTimeMs())
                        / 200.0;
            }
        }
        assertTrue(others >= 11, "the others had " + others + " of 15 on average");
        assertEquals(List.of(), simulation.violations());
    }

    private static BudgetSimulation startedWithFastLeases(
            BudgetKind kind, double termMs, double leaseMs, BudgetSimulation.Demand demand) {
        BudgetConfig config = new BudgetConfig(
                BudgetSimulation.voterAddresses(3),
                5,
                termMs,
                1_000,
                20,
                Map.of("b", new BudgetConfig.Budget("b", kind, 20, 25, 0, 1, leaseMs)));
        BudgetSimulation simulation = new BudgetSimulation(
                new FaultSchedule("quick", 5, 5, List.of(0), 500, List.of(), 0, 5),
                config,
                BudgetCommands.MAX_CLOCK_DRIFT,
                List.of("b"),
                demand);
        simulation.startInitialProcesses();
        return simulation;
    }

    private static void playUntilCoordinator(BudgetSimulation simulation, int slot) {
        for (int i = 0;
                i < 3_000
                        && !simulation
                                .process(slot)
                                .agent
                                .snapshot(simulation.process(slot).localTimeMs())
                                .coordinating();
                i++) {
            simulation.runUntil(simulation.nowMs + 1);
        }
    }

    /**
     * A report that was sent before the coordinator's epoch, of units that were granted to others since, must not count
     * as available capacity. Otherwise the lease of the previous coordinator, which is frozen, would be granted again.
     */
    @Test
    void reportFromAnEarlierEpochDoesntCount() {
        // First slot 3 demands everything, then slot 4 does; slot 0, the coordinator, always demands some.
        BudgetSimulation simulation = startedWithFastLeases(
                BudgetKind.RATE,
                500,
                3_000,
                (budget, slot, nowMs) ->
                        slot == 0 ? 10 : slot == 3 && nowMs < 8_000 || slot == 4 && nowMs >= 8_000 ? 60 : 0);
        List<BudgetMessage> oldRequests = new ArrayList<>();
        simulation.tamperedSlot = 3;
        simulation.messageTamperer = message -> {
            if (message instanceof BudgetMessage.LeaseRequest request
                    && simulation.nowMs > 7_000
                    && simulation.nowMs < 8_000) {
                oldRequests.add(request);
            }
            return message;
        };
        simulation.runUntil(12_000);
        simulation.apply(new Fault.Freeze(Set.of(0)));
        playUntilCoordinator(simulation, 1);
        BudgetSimulation.SimulatedProcess next = simulation.process(1);
        assertTrue(
                !oldRequests.isEmpty()
                        && next.agent.snapshot(next.localTimeMs()).coordinating(),
                "the scenario was not reached");
        next.agent.receive(
                next.localTimeMs(),
                simulation.process(3).address,
                "d4",
                simulation.process(3).nonce,
                oldRequests.get(oldRequests.size() - 1));
        simulation.runUntil(simulation.nowMs + 4_000);
        assertEquals(List.of(), simulation.violations());
    }

    /** Restarted voters must not vote while the coordinator they may have voted for is cut off. */
    @Test
    void restartedVotersAbstain() {
        BudgetSimulation simulation = startedWithFastLeases(BudgetKind.RATE, 1_000, 1_000, (budget, slot, nowMs) -> 20);
        simulation.runUntil(8_000);
        simulation.apply(new Fault.Cut(Set.of(0), Set.of(1, 2, 3, 4), false));
        simulation.apply(new Fault.Cut(Set.of(1, 2, 3, 4), Set.of(0), false));
        simulation.apply(new Fault.Kill(Set.of(1, 2)));
        simulation.apply(new Fault.Start(Set.of(1, 2), "", 0, 2));
        simulation.runUntil(simulation.nowMs + 6_000);
        assertEquals(List.of(), simulation.violations());
        assertUsable(simulation, "b");
    }

    /** Places acquired at the end of a lease are released before others get them. */
    @Test
    void placesAreReleasedBeforeTheLeaseExpires() {
        BudgetSimulation simulation = startedWithFastLeases(
                BudgetKind.PLACES,
                500,
                3_000,
                (budget, slot, nowMs) -> slot == 4 ? 150 : slot == 3 && nowMs > 9_000 ? 150 : 0);
        simulation.runUntil(9_000);
        simulation.apply(new Fault.Split(List.of(Set.of(4), Set.of(0, 1, 2, 3))));
        simulation.runUntil(16_000);
        assertEquals(List.of(), simulation.violations());
        assertUsable(simulation, "b");
    }

    /** A late grant to an earlier run of a doorman must not match a request of its next run. */
    @Test
    void grantToAnEarlierRunIsIgnored() {
        BudgetConfig config = config(3, 3);
        List<BudgetMessage.LeaseRequest> requests = new ArrayList<>();
        for (int run = 1; run <= 2; run++) {
            BudgetAgent holder = new BudgetAgent(config, "d9", BudgetSimulation.addressOf(8), run, run, 0, action -> {
                if (action instanceof BudgetAction.SendMessage send
                        && send.message() instanceof BudgetMessage.LeaseRequest request) {
                    requests.add(request);
                }
            });
            BudgetLimiter limiter = holder.limiter(1, "rate");
            holder.tick(1);
            BudgetMessage.LeaseGrants lateGrants = new BudgetMessage.LeaseGrants(
                    config.digest(),
                    7,
                    List.of(new BudgetMessage.LeaseGrant(
                            "rate", requests.get(0).reports().get(0).sequence(), 50, 1_000, 0)));
            holder.receive(2, BudgetSimulation.addressOf(0), "d1", 9, lateGrants);
            assertEquals(run == 1 ? 50 : 0, limiter.limit(3));
        }
    }

    /** Two candidates whose ballots happen to be equal don't share a promise. */
    @Test
    void promiseIsToOneCandidate() {
        List<BudgetMessage> sentMessages = new ArrayList<>();
        BudgetConfig config = config(3, 3);
        BudgetAgent voter = new BudgetAgent(config, "d3", BudgetSimulation.addressOf(2), 3, 3, 0, action -> {
            if (action instanceof BudgetAction.SendMessage send && send.message() instanceof BudgetMessage.VoteReply) {
                sentMessages.add(send.message());
            }
        });
        voter.receive(
                2_000, BudgetSimulation.addressOf(0), "d1", 1, new BudgetMessage.VoteRequest(config.digest(), 7, 1));
        voter.receive(
                2_100, BudgetSimulation.addressOf(1), "d2", 2, new BudgetMessage.VoteRequest(config.digest(), 7, 1));
        voter.receive(2_200, BudgetSimulation.addressOf(1), "d2", 2, new BudgetMessage.VoteRelease(7));
        voter.receive(
                2_300, BudgetSimulation.addressOf(1), "d2", 2, new BudgetMessage.VoteRequest(config.digest(), 8, 2));
        assertEquals(
                List.of(
                        new BudgetMessage.VoteReply(7, 1, true, BudgetSimulation.addressOf(0)),
                        new BudgetMessage.VoteReply(7, 1, false, BudgetSimulation.addressOf(0)),
                        new BudgetMessage.VoteReply(8, 2, false, BudgetSimulation.addressOf(0))),
                sentMessages);
    }

    /** Spent units of an amount don't become available again when their holder dies and another process coordinates. */
    @Test
    void amountIsNotReopenedByTheNextCoordinator() {
        BudgetSimulation simulation = startedWithFastLeases(
                BudgetKind.AMOUNT,
                500,
                3_000,
                (budget, slot, nowMs) -> slot == 0 && nowMs > 9_000 && nowMs < 9_500
                        ? 200
                        : slot == 4 && nowMs > 10_500 && nowMs < 11_800 ? 50 : 0);
        simulation.runUntil(9_600);
        assertEquals(20, simulation.box("b").arrivals);
        simulation.apply(new Fault.Kill(Set.of(0)));
        simulation.runUntil(16_000);
        assertEquals(20, simulation.box("b").arrivals);
        assertEquals(List.of(), simulation.violations());
    }

    /**
     * Doormans that start at the same time don't keep requesting in lockstep: no millisecond has half of the requests.
     */
    @Test
    void requestsDontStayInLockstep() {
        BudgetSimulation simulation = new BudgetSimulation(
                new FaultSchedule("step", 30, 30, List.of(0), 500, List.of(), 0, 5),
                config(30, 3),
                BudgetCommands.MAX_CLOCK_DRIFT,
                List.of("calls"),
                (budget, slot, nowMs) -> 5);
        Map<Long, Integer> byMs = new TreeMap<>();
        simulation.traceListener = (process, action) -> {
            if (simulation.nowMs > 8_000
                    && action instanceof BudgetAction.SendMessage send
                    && send.message() instanceof BudgetMessage.LeaseRequest) {
                byMs.merge((long) simulation.nowMs, 1, Integer::sum);
            }
        };
        simulation.startInitialProcesses();
        simulation.runUntil(12_000);
        assertTrue(byMs.size() > 20, byMs.toString());
        assertTrue(byMs.values().stream().allMatch(n -> n <= 10), byMs.toString());
    }

    /** A clock that drifts beyond the bound is reported. */
    @Test
    void clockBeyondTheBoundIsReported() {
        BudgetSimulation simulation = new BudgetSimulation(
                new FaultSchedule("drift", 5, 5, List.of(0), 500, List.of(), 0, 4),
                config(5, 3),
                0.2,
                List.of("calls"),
                (budget, slot, nowMs) -> 20);
        simulation.startInitialProcesses();
        simulation.runUntil(60_000);
        assertTrue(
                simulation.warningCounts.containsKey("a clock drifts beyond the bound: shares may overlap"),
                simulation.warningCounts.toString());
    }

    /** Doormans with a different configuration don't vote for each other and get no leases. */
    @Test
    void otherConfigurationsGetNothing() {
        BudgetSimulation simulation = startedWithoutFaults(3, config(3, 3), List.of("calls"));
        simulation.tamperedSlot = 2;
        simulation.messageTamperer = message -> message instanceof BudgetMessage.LeaseRequest request
                ? new BudgetMessage.LeaseRequest(
                        request.configDigest() + 1, request.lastEpoch(), request.sentAtMs(), request.reports())
                : message;
        simulation.runUntil(simulation.nowMs + 5_000);
        assertEquals(
                0,
                simulation
                        .process(2)
                        .limiter("calls")
                        .limit(simulation.process(2).localTimeMs()));
        assertTrue(simulation.warningCounts.containsKey("a doorman goes by other terms of budgets: it gets nothing"));
    }

    /** Schedules with budgets survive a round trip. */
    @Test
    void schedulesSurviveARoundTrip() throws Exception {
        for (String file : List.of("holders.hcl", "whole.hcl", "cold.hcl", "random.hcl")) {
            FaultSchedule schedule = ScenarioFile.load(java.nio.file.Path.of("..", "examples", "budget", file));
            String written = ScenarioFile.write(schedule);
            assertEquals(written, ScenarioFile.write(ScenarioFile.read("x.hcl", written)));
        }
    }

    /** The printed faults of a counterexample can be parsed. */
    @Test
    void printedFaultsCanBeParsed() {
        List<BudgetModelChecker.PlacedFault> faults = BudgetModelChecker.parse("36:RESTART:1 40:CUT:3");
        assertEquals(
                List.of(
                        new BudgetModelChecker.PlacedFault(36, BudgetModelChecker.FaultKind.RESTART, 0),
                        new BudgetModelChecker.PlacedFault(40, BudgetModelChecker.FaultKind.CUT, 2)),
                new ArrayList<>(faults));
        assertEquals("36:RESTART:1", faults.get(0).toString());
    }
}
