package barleyspur.lab.fleet;

import barleyspur.budget.BudgetAction;
import barleyspur.budget.BudgetAgent;
import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.budget.BudgetLimiter;
import barleyspur.budget.BudgetMessage;
import barleyspur.budget.BudgetSnapshot;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Bounded model checker of the budget logic. It explores a small model exhaustively: three doormans whose clocks drift
 * apart, one budget of two units, and every placement of a bounded number of faults on a bounded number of steps.
 * Schedules with fewer faults are tried first, so that the first counterexample is a shortest one. In each step the
 * time advances, messages sent in the step before are delivered, and each doorman runs its timers and acquires all
 * units it can get.
 */
final class BudgetModelChecker {

    /** A kind of fault that hits one doorman in one step. */
    enum FaultKind {
        /** The messages that it sent in the step before are lost. */
        LOSE,
        /** These messages arrive {@value #LATE_STEPS} steps late, after newer ones. */
        LATE,
        /** These messages arrive in time, and once more {@value #LATE_STEPS} steps later. */
        TWICE,
        /** It is killed, and another process starts at its address. */
        RESTART,
        /** It is killed for good. */
        KILL,
        /** It is paused for {@value #SHORT_OUTAGE_STEPS} steps. */
        FREEZE,
        /** It is paused for longer than a lease. */
        FREEZE_LONG,
        /** It is isolated from the network for longer than a lease. */
        CUT,
        /** It leaves and returns its leases, and another process starts at its address. */
        LEAVE
    }

    /** A fault of a schedule: its step, its kind and the index of the doorman that it hits. */
    record PlacedFault(int step, FaultKind kind, int doorman) {
        @Override
        public String toString() {
            return step + ":" + kind + ":" + (doorman + 1);
        }
    }

    /**
     * Parses faults in their printed form, separated by spaces.
     *
     * @throws IllegalArgumentException where the text has another form
     */
    static List<PlacedFault> parse(String text) {
        List<PlacedFault> faults = new ArrayList<>();
        for (String item : text.strip().split(" +")) {
            String[] parts = item.split(":");
            try {
                faults.add(new PlacedFault(
                        Integer.parseInt(parts[0]), FaultKind.valueOf(parts[1]), Integer.parseInt(parts[2]) - 1));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("--replay expects faults of the form 27:RESTART:1, not " + item, e);
            }
        }
        return faults;
    }

    /** The result of an exploration; the counterexample and its violation are null where none was found. */
    record ExplorationResult(
            long schedules, long steps, int states, List<PlacedFault> counterexample, String violation) {}

    private static final int DOORMANS = 3;
    static final double STEP_MS = 50;
    private static final double LEADER_LEASE_MS = 600;
    private static final double LEASE_MS = 500;
    private static final double MAX_HOLD_MS = 60;
    private static final int LATE_STEPS = 6;
    private static final int LONG_OUTAGE_STEPS = 14;
    private static final int SHORT_OUTAGE_STEPS = 2;
    /**
     * Steps before the first fault; after them all abstention and recovery periods are over and all units are leased.
     */
    private static final int WARM_UP_STEPS = 34;
    /** Lease of an amount; amounts are used for less than that, from {@link #AMOUNT_FIRST_STEP} on. */
    private static final int AMOUNT_STEPS = 14;

    /** First step in which amounts are used, so that the first units are spent in the warm-up. */
    private static final int AMOUNT_FIRST_STEP = 30;

    private static final double[] CLOCK_RATES = {1, 1 + BudgetConfig.MAX_CLOCK_DRIFT, 1 - BudgetConfig.MAX_CLOCK_DRIFT};

    private final BudgetConfig config;
    private final int stepsWithFaults;

    /** Creates a checker of one kind of budget, which places faults on the steps after the warm-up. */
    BudgetModelChecker(BudgetKind kind, int stepsWithFaults) {
        this.stepsWithFaults = stepsWithFaults;
        double leaseMs = kind == BudgetKind.AMOUNT ? AMOUNT_STEPS * STEP_MS : LEASE_MS;
        config = new BudgetConfig(
                BudgetSimulation.voterAddresses(DOORMANS),
                DOORMANS,
                LEADER_LEASE_MS,
                MAX_HOLD_MS,
                1,
                Map.of("b", new BudgetConfig.Budget("b", kind, 2, DOORMANS, 0, 1, leaseMs)));
    }

    /** A sent message and the step in which it arrives; sender and receiver are indices of doormans. */
    private record InFlightMessage(int deliveryStep, int from, int to, BudgetMessage message) {}

    /** The state of the model; each schedule is run on a new one. */
    private final class Model {
        private final BudgetAgent[] agents = new BudgetAgent[DOORMANS];
        private final BudgetLimiter[] limiters = new BudgetLimiter[DOORMANS];
        private final long[] nonces = new long[DOORMANS];
        private final int[] frozenUntilStep = new int[DOORMANS];
        private final int[] isolatedUntilStep = new int[DOORMANS];
        /**
         * Units in use: index of the doorman, its local time of the acquisition, 1 while the process lives, and the
         * step.
         */
        private final List<double[]> unitsInUse = new ArrayList<>();

        private List<InFlightMessage> inFlight = new ArrayList<>();
        private List<InFlightMessage> sentThisStep = new ArrayList<>();
        private int step;
        private long startedProcesses;
        private long spentByTerminated;
        private String violation;

        Model() {
            for (int i = 0; i < DOORMANS; i++) {
                start(i);
            }
        }

        private double localTimeMs(int doorman) {
            return 1_000 * (doorman + 1) + step * STEP_MS * CLOCK_RATES[doorman];
        }

        private void start(int doorman) {
            int sender = doorman;
            nonces[doorman] = ++startedProcesses;
            frozenUntilStep[doorman] = 0;
            agents[doorman] = new BudgetAgent(
                    config,
                    "d" + (doorman + 1),
                    BudgetSimulation.addressOf(doorman),
                    nonces[doorman],
                    startedProcesses,
                    localTimeMs(doorman),
                    action -> {
                        if (action instanceof BudgetAction.SendMessage sendAction) {
                            sentThisStep.add(new InFlightMessage(
                                    step + 1,
                                    sender,
                                    Integer.parseInt(sendAction.address().substring(8, 9)) - 1,
                                    sendAction.message()));
                        }
                    });
            Set<String> peers = new HashSet<>(config.voters());
            peers.remove(BudgetSimulation.addressOf(doorman));
            agents[doorman].setReachable(peers);
        }

        private void kill(int doorman) {
            if (kind() == BudgetKind.AMOUNT && limiters[doorman] != null) {
                spentByTerminated += limiters[doorman].inUse();
            }
            unitsInUse.forEach(unit -> unit[2] = unit[0] == doorman ? 0 : unit[2]);
            agents[doorman] = null;
            limiters[doorman] = null;
        }

        private BudgetKind kind() {
            return config.budgetFor("b").kind();
        }

        private boolean isRunning(int doorman) {
            return agents[doorman] != null && step >= frozenUntilStep[doorman];
        }

        void runTo(List<PlacedFault> faults, int lastStep) {
            while (step < lastStep && violation == null) {
                step++;
                List<InFlightMessage> arriving = new ArrayList<>(sentThisStep);
                sentThisStep = new ArrayList<>();
                for (PlacedFault item : faults) {
                    if (item.step == step) {
                        inject(item, arriving);
                    }
                }
                inFlight.addAll(arriving);
                List<InFlightMessage> delayed = new ArrayList<>();
                for (InFlightMessage item : inFlight) {
                    boolean isolated = step < isolatedUntilStep[item.from] || step < isolatedUntilStep[item.to];
                    if (item.deliveryStep > step || step < frozenUntilStep[item.to] && agents[item.to] != null) {
                        delayed.add(item);
                    } else if (!isolated && agents[item.to] != null) {
                        agents[item.to].receive(
                                localTimeMs(item.to),
                                BudgetSimulation.addressOf(item.from),
                                "d" + (item.from + 1),
                                nonces[item.from],
                                item.message);
                    }
                }
                inFlight = delayed;
                for (int i = 0; i < DOORMANS; i++) {
                    if (isRunning(i)) {
                        agents[i].tick(localTimeMs(i));
                        if (kind() != BudgetKind.AMOUNT
                                || step >= AMOUNT_FIRST_STEP && step < AMOUNT_FIRST_STEP + AMOUNT_STEPS - 1) {
                            acquireAndRelease(i);
                        }
                    }
                    checkCapacity();
                }
            }
        }

        private void acquireAndRelease(int doorman) {
            // The agent creates a new limiter where it has dropped one that was not used.
            limiters[doorman] = agents[doorman].limiter(localTimeMs(doorman), "b");
            unitsInUse.removeIf(unit -> {
                boolean released =
                        unit[0] == doorman && unit[2] == 1 && localTimeMs(doorman) - unit[1] >= MAX_HOLD_MS * 0.8;
                if (released) {
                    limiters[doorman].release(unit[1], localTimeMs(doorman));
                }
                return released;
            });
            while (limiters[doorman].tryAcquire(localTimeMs(doorman))) {
                if (kind() == BudgetKind.PLACES) {
                    unitsInUse.add(new double[] {doorman, localTimeMs(doorman), 1, step});
                }
            }
            agents[doorman].requestMoreSoon(localTimeMs(doorman), limiters[doorman]);
        }

        private void inject(PlacedFault fault, List<InFlightMessage> arriving) {
            int doorman = fault.doorman;
            switch (fault.kind) {
                case LOSE -> arriving.removeIf(message -> message.from == doorman);
                case LATE, TWICE -> {
                    for (InFlightMessage message : List.copyOf(arriving)) {
                        if (message.from == doorman) {
                            inFlight.add(
                                    new InFlightMessage(step + LATE_STEPS, message.from, message.to, message.message));
                            if (fault.kind == FaultKind.LATE) {
                                arriving.remove(message);
                            }
                        }
                    }
                }
                case RESTART, KILL -> {
                    if (agents[doorman] != null) {
                        kill(doorman);
                    }
                    if (fault.kind == FaultKind.RESTART) {
                        start(doorman);
                    }
                }
                case LEAVE -> {
                    if (isRunning(doorman)) {
                        agents[doorman].leave(localTimeMs(doorman));
                        kill(doorman);
                        start(doorman);
                    }
                }
                case FREEZE, FREEZE_LONG ->
                    frozenUntilStep[doorman] =
                            step + (fault.kind == FaultKind.FREEZE ? SHORT_OUTAGE_STEPS : LONG_OUTAGE_STEPS);
                default -> isolatedUntilStep[doorman] = step + LONG_OUTAGE_STEPS;
            }
        }

        /** Checks that what all may acquire or use, terminated processes included, does not exceed the capacity. */
        private void checkCapacity() {
            long usable = spentByTerminated;
            for (int i = 0; i < DOORMANS; i++) {
                long inUse = 0;
                for (double[] unit : unitsInUse) {
                    inUse += unit[0] == i && unit[2] == 1 && (step - unit[3]) * STEP_MS < MAX_HOLD_MS ? 1 : 0;
                }
                if (limiters[i] != null) {
                    usable += Math.max(
                            limiters[i].limit(localTimeMs(i)),
                            kind() == BudgetKind.AMOUNT ? limiters[i].inUse() : inUse);
                }
            }
            for (double[] unit : unitsInUse) {
                usable += unit[2] == 0 && (step - unit[3]) * STEP_MS < MAX_HOLD_MS ? 1 : 0;
            }
            if (usable > config.budgetFor("b").capacity() && violation == null) {
                violation = "in step " + step + " " + usable + " of "
                        + config.budgetFor("b").capacity() + " could be used";
            }
        }

        /** Returns a hash of the state with all times relative to the current step, to detect equal states. */
        long stateHash() {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < DOORMANS; i++) {
                if (agents[i] == null) {
                    text.append("-;");
                    continue;
                }
                BudgetSnapshot snapshot = agents[i].snapshot(localTimeMs(i));
                text.append(step - frozenUntilStep[i] < 0 ? frozenUntilStep[i] - step : 0)
                        .append(',')
                        .append(isolatedUntilStep[i] - step < 0 ? 0 : isolatedUntilStep[i] - step)
                        .append(snapshot.coordinating())
                        .append(Math.round(snapshot.epochRemainingMs()))
                        .append(snapshot.coordinatorAddress())
                        .append(snapshot.abstaining())
                        .append(snapshot.ownLeases())
                        .append(snapshot.allocations())
                        .append(Math.round(agents[i].dueMs() - localTimeMs(i)))
                        .append(';');
            }
            inFlight.forEach(inFlightMessage -> text.append(inFlightMessage.deliveryStep - step)
                    .append(inFlightMessage.from)
                    .append(inFlightMessage.to)
                    .append(inFlightMessage.message.getClass()));
            sentThisStep.forEach(inFlightMessage -> text.append(inFlightMessage.from)
                    .append(inFlightMessage.to)
                    .append(inFlightMessage.message.getClass()));
            return LongHashFunction.xx3().hashChars(text);
        }
    }

    /** Runs one schedule and returns its violation, or null. */
    String run(List<PlacedFault> faults) {
        Model model = new Model();
        model.runTo(faults, WARM_UP_STEPS + stepsWithFaults);
        return model.violation;
    }

    /**
     * Returns whether both units are leased when the warm-up is over; otherwise the exploration would prove nothing.
     */
    boolean isWarm() {
        Model model = new Model();
        model.runTo(List.of(), WARM_UP_STEPS);
        long usable = 0;
        for (int i = 0; i < DOORMANS; i++) {
            BudgetLimiter limiter = model.limiters[i];
            usable += limiter == null
                    ? 0
                    : Math.max(limiter.limit(model.localTimeMs(i)), kind() == BudgetKind.AMOUNT ? limiter.inUse() : 0);
        }
        return usable == config.budgetFor("b").capacity();
    }

    private BudgetKind kind() {
        return config.budgetFor("b").kind();
    }

    /** Tries all placements of up to {@code maxFaults} faults, and stops at the first violation. */
    ExplorationResult explore(int maxFaults) {
        long[] counts = new long[2];
        Set<Long> states = new HashSet<>();
        for (int count = 0; count <= maxFaults; count++) {
            List<PlacedFault> counterexample = explore(new ArrayList<>(), count, WARM_UP_STEPS + 1, counts, states);
            if (counterexample != null) {
                return new ExplorationResult(counts[0], counts[1], states.size(), counterexample, run(counterexample));
            }
        }
        return new ExplorationResult(counts[0], counts[1], states.size(), null, null);
    }

    private List<PlacedFault> explore(
            List<PlacedFault> faults, int faultsLeft, int firstStep, long[] counts, Set<Long> states) {
        if (faultsLeft == 0) {
            Model model = new Model();
            int lastFaultStep = faults.isEmpty() ? 0 : faults.get(faults.size() - 1).step;
            model.runTo(faults, lastFaultStep);
            counts[0]++;
            // With no faults left, equal states have the same future, which is run once.
            if (model.violation == null && states.add(model.stateHash())) {
                model.runTo(faults, WARM_UP_STEPS + stepsWithFaults);
            }
            counts[1] += model.step;
            return model.violation == null ? null : List.copyOf(faults);
        }
        for (int step = firstStep; step <= WARM_UP_STEPS + stepsWithFaults; step++) {
            for (FaultKind kind : FaultKind.values()) {
                for (int i = 0; i < DOORMANS; i++) {
                    faults.add(new PlacedFault(step, kind, i));
                    List<PlacedFault> counterexample = explore(faults, faultsLeft - 1, step + 1, counts, states);
                    faults.remove(faults.size() - 1);
                    if (counterexample != null) {
                        return counterexample;
                    }
                }
            }
        }
        return null;
    }
}
