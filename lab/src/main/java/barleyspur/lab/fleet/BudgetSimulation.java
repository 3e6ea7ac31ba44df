package barleyspur.lab.fleet;

import barleyspur.budget.BudgetAction;
import barleyspur.budget.BudgetAgent;
import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.budget.BudgetLimiter;
import barleyspur.budget.BudgetMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Discrete-event simulation of the logic in {@code barleyspur.budget} under a schedule of faults. Each process has its
 * own clock with a random offset and drift, its view of the fleet is late and sometimes wrong, and every acquired unit
 * arrives at a simulated box that counts it. After each event the simulation checks that the units which all processes
 * together could use at that time do not exceed the capacity.
 */
final class BudgetSimulation {

    private static final double MIN_LATENCY_MS = 0.1;
    private static final double LATENCY_JITTER_MS = 0.6;
    /** Mean interval; each interval is drawn from half to one and a half of it. */
    private static final double VIEW_UPDATE_INTERVAL_MS = 500;
    /** Per peer and update. */
    private static final double WRONG_VIEW_PROBABILITY = 0.1;
    /** Attempts per budget that a frozen process makes before it reads its messages. */
    private static final int QUEUED_ATTEMPTS_AFTER_THAW = 20;
    /** Time from SIGTERM until the process gives back its leases. */
    private static final double DRAIN_DELAY_MS = 750;

    private static final double MIN_SAMPLES_PER_S = 20;
    private static final int MAX_VIOLATIONS = 20;

    /** The rate at which a doorman tries to acquire units of a budget. */
    interface Demand {
        double attemptsPerSecond(String budget, int slot, double nowMs);
    }

    /** A doorman with its budget agent and its own clock. */
    final class SimulatedProcess {
        final int slot;
        final String address;
        final long nonce = random.nextLong() >>> 12;
        final BudgetAgent agent;
        private final double clockOffsetMs;
        private final double clockRate;
        boolean frozen;
        boolean leaving;
        boolean terminated;
        private double nextTickMs = Double.POSITIVE_INFINITY;
        private final List<Runnable> pendingDeliveries = new ArrayList<>();
        final TreeMap<String, BudgetLimiter> limiters = new TreeMap<>();

        SimulatedProcess(int slot) {
            this.slot = slot;
            this.address = addressOf(slot);
            clockOffsetMs = random.nextDouble() * 1e6;
            clockRate = 1 + (random.nextDouble() * 2 - 1) * maxClockDrift;
            agent = new BudgetAgent(
                    config, "d" + (slot + 1), address, nonce, random.nextLong(), localTimeMs(), this::execute);
        }

        /** Returns the time on this process's own clock. */
        double localTimeMs() {
            return clockOffsetMs + nowMs * clockRate;
        }

        /** Converts a time on this process's clock to the time of the simulation. */
        double toSimulationTimeMs(double localMs) {
            return (localMs - clockOffsetMs) / clockRate;
        }

        private void execute(BudgetAction action) {
            if (action instanceof BudgetAction.SendMessage sendAction) {
                send(this, sendAction.address(), sendAction.message());
            } else if (action instanceof BudgetAction.LogWarning warning) {
                warningCounts.merge(warning.event(), 1, Integer::sum);
            }
            traceListener.accept("d" + (slot + 1), action);
        }

        /** Returns whether the process exists and is not frozen. */
        boolean isRunning() {
            return !terminated && !frozen;
        }

        /** Returns the limiter of a budget's subject and records it for the capacity check. */
        BudgetLimiter limiter(String subject) {
            BudgetLimiter limiter = agent.limiter(localTimeMs(), subject);
            limiters.put(subject, limiter);
            return limiter;
        }
    }

    /** An action at a time of the simulation; events at the same time run in the order of their sequence numbers. */
    private record ScheduledEvent(double timeMs, long sequence, Runnable action) {}

    final FaultSchedule schedule;
    final BudgetConfig config;
    private final double maxClockDrift;
    private final SplittableRandom random;
    private final LinkFaults linkFaults;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.timeMs != b.timeMs ? Double.compare(a.timeMs, b.timeMs) : Long.compare(a.sequence, b.sequence));
    final SimulatedProcess[] processBySlot;
    private final TreeMap<String, Box> boxBySubject = new TreeMap<>();
    private final List<String> foundViolations = new ArrayList<>();
    final TreeMap<String, Integer> warningCounts = new TreeMap<>();
    private final Demand demand;
    private final List<String> subjects;
    /** Receives the actions of each process and each injected fault, for traces. */
    BiConsumer<String, Object> traceListener = (who, what) -> {};
    /** Replaces the messages sent from {@link #tamperedSlot}; a message replaced by null is dropped. */
    UnaryOperator<BudgetMessage> messageTamperer;

    int tamperedSlot = -1;
    private long nextSequence;
    long sentMessages;
    double nowMs;

    /** A cache, parent or origin that counts arrivals independently of what the doormans report. */
    final class Box {
        private final String subject;
        final BudgetConfig.Budget budget;
        final TreeMap<SimulatedProcess, Integer> inFlightByProcess =
                new TreeMap<>(Comparator.comparingLong(process -> process.nonce));
        int concurrent;
        int maxConcurrent;
        long arrivals;
        final TreeMap<Integer, Long> arrivalsBySlot = new TreeMap<>();
        private double bucketLevel;
        private double bucketUpdatedMs;
        double maxBucketLevel;

        Box(String subject) {
            this.subject = subject;
            this.budget = config.budgetFor(subject);
        }

        /** Counts an arriving unit and checks the box's own limit. */
        void onArrival(SimulatedProcess sender) {
            arrivals++;
            arrivalsBySlot.merge(sender.slot, 1L, Long::sum);
            if (budget.kind() == BudgetKind.PLACES) {
                concurrent++;
                maxConcurrent = Math.max(maxConcurrent, concurrent);
                inFlightByProcess.merge(sender, 1, Integer::sum);
                double serviceTimeMs = random.nextDouble() * config.maxHoldMs() * 0.9;
                double acquiredAtMs = sender.localTimeMs();
                scheduleAt(nowMs + serviceTimeMs, () -> {
                    concurrent--;
                    inFlightByProcess.merge(sender, -1, Integer::sum);
                    if (!sender.terminated) {
                        // A frozen process learns of the release when it thaws; its place counts as in use until then.
                        if (sender.frozen) {
                            sender.pendingDeliveries.add(
                                    () -> sender.limiters.get(subject).release(acquiredAtMs, sender.localTimeMs()));
                        } else {
                            sender.limiters.get(subject).release(acquiredAtMs, sender.localTimeMs());
                        }
                    }
                });
                if (concurrent > checkedCapacity(budget)) {
                    addViolation("at the box", subject + " has " + concurrent + " at once");
                }
            } else if (budget.kind() == BudgetKind.RATE) {
                bucketLevel = Math.max(0, bucketLevel - checkedCapacity(budget) * (nowMs - bucketUpdatedMs) / 1e3) + 1;
                bucketUpdatedMs = nowMs;
                maxBucketLevel = Math.max(maxBucketLevel, bucketLevel);
                if (bucketLevel > budget.burst() + 1e-6) {
                    addViolation(
                            "at the box",
                            subject + " got " + bucketLevel + " over its rate, the burst is " + budget.burst());
                }
            } else if (arrivals > checkedCapacity(budget)) {
                addViolation("at the box", subject + " got " + arrivals);
            }
        }
    }

    /** Capacities to check against by budget, where they differ from the configured ones. */
    private final TreeMap<String, Long> checkedCapacities = new TreeMap<>();

    private long checkedCapacity(BudgetConfig.Budget budget) {
        return checkedCapacities.getOrDefault(budget.name(), budget.capacity());
    }

    /**
     * Creates a simulation in which no process runs yet.
     *
     * @param maxClockDrift largest deviation of a clock's rate from 1
     * @param subjects      names of the budgets that are used
     */
    BudgetSimulation(
            FaultSchedule schedule, BudgetConfig config, double maxClockDrift, List<String> subjects, Demand demand) {
        this.schedule = schedule;
        this.config = config;
        this.maxClockDrift = maxClockDrift;
        this.demand = demand;
        this.subjects = subjects;
        random = new SplittableRandom(schedule.randomSeed());
        linkFaults = new LinkFaults(schedule.slotCount(), schedule.randomSeed() + 1);
        processBySlot = new SimulatedProcess[schedule.slotCount()];
        for (String subject : subjects) {
            boxBySubject.put(subject, new Box(subject));
        }
    }

    /** Creates a simulation of a schedule's workload: one subject per budget, each with a third of the requests. */
    static BudgetSimulation forSchedule(FaultSchedule schedule, double maxClockDrift) {
        FaultSchedule.Workload workload = schedule.workload();
        BudgetConfig config = workload.configWithVoters(voterAddresses(workload.voterCount()));
        double longestLeaseMs = config.budgets().values().stream()
                .mapToDouble(BudgetConfig.Budget::leaseMs)
                .max()
                .orElse(0);
        // Amounts limit a box that has just started: they are used only after all abstention and recovery periods, and
        // for less than one lease.
        double amountsFromMs = config.leaderLeaseMs() + 3 * longestLeaseMs;
        return new BudgetSimulation(
                schedule,
                config,
                maxClockDrift,
                new ArrayList<>(new TreeMap<>(config.budgets()).keySet()),
                (budget, slot, now) -> config.budgetFor(budget).kind() == BudgetKind.AMOUNT
                                && (now < amountsFromMs || now > amountsFromMs + longestLeaseMs * 0.9)
                        ? 0
                        : workload.requestsPerSecondAt(slot, schedule.initialDoormans(), now) / 3);
    }

    /** Returns the address of the process in a slot. */
    static String addressOf(int slot) {
        return "127.0.0." + (slot + 1) + ":7301";
    }

    private static int slotOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf('.') + 1, address.indexOf(':'))) - 1;
    }

    /** Returns the addresses of the first {@code count} slots. */
    static List<String> voterAddresses(int count) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add(addressOf(i));
        }
        return addresses;
    }

    /** Runs an action at a time of the simulation. */
    void scheduleAt(double timeMs, Runnable action) {
        events.add(new ScheduledEvent(timeMs, nextSequence++, action));
    }

    /** Returns the violations found so far, at most {@value #MAX_VIOLATIONS}. */
    List<String> violations() {
        return foundViolations;
    }

    /** Returns the box that counts the units of a subject. */
    Box box(String subject) {
        return boxBySubject.get(subject);
    }

    private void addViolation(String invariant, String detail) {
        if (foundViolations.size() < MAX_VIOLATIONS) {
            foundViolations.add(String.format("%s: at %.1f ms: %s", invariant, nowMs, detail));
        }
    }

    /** Runs the whole schedule and the settle timeout after it. */
    void run() {
        startInitialProcesses();
        for (FaultSchedule.Step step : schedule.steps()) {
            runUntil(nowMs + step.delayMs());
            apply(step.fault());
        }
        runUntil(nowMs + schedule.settleTimeoutMs());
    }

    /** Starts the doormans that the schedule begins with. */
    void startInitialProcesses() {
        for (int i = 0; i < schedule.initialDoormans(); i++) {
            startProcess(i);
        }
    }

    /** Runs all events up to a time, and checks the capacities after each of them. */
    void runUntil(double untilMs) {
        while (!events.isEmpty() && events.peek().timeMs <= untilMs) {
            ScheduledEvent event = events.poll();
            nowMs = Math.max(nowMs, event.timeMs);
            event.action.run();
            checkCapacity();
        }
        nowMs = Math.max(nowMs, untilMs);
        checkCapacity();
    }

    /** Checks that what all processes may still acquire or have in use does not exceed the capacity of any subject. */
    private void checkCapacity() {
        for (String subject : subjects) {
            Box box = boxBySubject.get(subject);
            long usable = 0;
            for (SimulatedProcess process : processBySlot) {
                if (process != null) {
                    BudgetLimiter limiter = process.limiters.get(subject);
                    long allowed = limiter == null || process.leaving ? 0 : limiter.limit(process.localTimeMs());
                    long inUse =
                            switch (box.budget.kind()) {
                                case RATE -> 0;
                                // A frozen process has not seen releases yet, so the box's count is used.
                                case PLACES -> box.inFlightByProcess.getOrDefault(process, 0);
                                case AMOUNT -> limiter == null ? 0 : limiter.inUse();
                            };
                    usable += Math.max(allowed, inUse);
                }
            }
            if (box.budget.kind() == BudgetKind.PLACES) {
                for (var entry : box.inFlightByProcess.entrySet()) {
                    usable += entry.getKey().terminated ? entry.getValue() : 0;
                }
            } else if (box.budget.kind() == BudgetKind.AMOUNT) {
                long usedByRunning = 0;
                for (SimulatedProcess process : processBySlot) {
                    usedByRunning += process == null || process.limiters.get(subject) == null
                            ? 0
                            : process.limiters.get(subject).inUse();
                }
                usable += Math.max(0, box.arrivals - usedByRunning);
            }
            if (usable > checkedCapacity(box.budget)) {
                addViolation(
                        "never over the whole",
                        subject + ": " + usable + " of " + checkedCapacity(box.budget) + " could be used:"
                                + describeLimiters(subject));
            }
        }
    }

    private String describeLimiters(String subject) {
        StringBuilder text = new StringBuilder();
        for (SimulatedProcess process : processBySlot) {
            BudgetLimiter limiter = process == null ? null : process.limiters.get(subject);
            if (limiter != null) {
                text.append(" d")
                        .append(process.slot + 1)
                        .append(process.frozen ? " frozen" : "")
                        .append(process.leaving ? " leaving" : "")
                        .append(" may take ")
                        .append(limiter.limit(process.localTimeMs()))
                        .append(", uses ")
                        .append(limiter.inUse());
            }
        }
        return text.toString();
    }

    /** Returns the part of a subject's capacity that running processes may acquire now. */
    double usableFraction(String subject) {
        double sum = 0;
        for (SimulatedProcess process : processBySlot) {
            if (process != null && process.isRunning() && !process.leaving && process.limiters.get(subject) != null) {
                sum += process.limiters.get(subject).limit(process.localTimeMs());
            }
        }
        return sum / checkedCapacity(config.budgetFor(subject));
    }

    /** Starts a process in a slot, unless one runs there. */
    void startProcess(int slot) {
        if (processBySlot[slot] != null) {
            return;
        }
        SimulatedProcess process = new SimulatedProcess(slot);
        processBySlot[slot] = process;
        updateView(process);
        tick(process);
        for (String subject : subjects) {
            generateLoad(process, subject);
        }
    }

    /** Returns the process in a slot, or null. */
    SimulatedProcess process(int slot) {
        return processBySlot[slot];
    }

    private void updateView(SimulatedProcess process) {
        if (process.terminated) {
            return;
        }
        if (process.isRunning()) {
            Set<String> reachable = new HashSet<>();
            for (SimulatedProcess peer : processBySlot) {
                boolean wrong = random.nextDouble() < WRONG_VIEW_PROBABILITY;
                if (peer != null
                        && peer != process
                        && peer.isRunning()
                        && linkFaults.isOpen(process.slot, peer.slot)
                        && linkFaults.isOpen(peer.slot, process.slot) != wrong) {
                    reachable.add(peer.address);
                }
            }
            process.agent.setReachable(reachable);
        }
        scheduleAt(nowMs + VIEW_UPDATE_INTERVAL_MS * (0.5 + random.nextDouble()), () -> updateView(process));
    }

    private void generateLoad(SimulatedProcess process, String subject) {
        double attemptsPerS = demand.attemptsPerSecond(subject, process.slot, nowMs);
        if (process.terminated) {
            return;
        }
        // A thinned Poisson process: with few attempts, a sudden rise of the demand would otherwise be noticed only at
        // the next attempt.
        double samplesPerS = Math.max(attemptsPerS, MIN_SAMPLES_PER_S);
        if (process.isRunning() && !process.leaving && random.nextDouble() * samplesPerS < attemptsPerS) {
            attempt(process, subject);
        }
        scheduleAt(nowMs - Math.log(1 - random.nextDouble()) * 1e3 / samplesPerS, () -> generateLoad(process, subject));
    }

    private void attempt(SimulatedProcess process, String subject) {
        BudgetLimiter limiter = process.limiter(subject);
        if (limiter.tryAcquire(process.localTimeMs())) {
            boxBySubject.get(subject).onArrival(process);
        } else {
            process.agent.requestMoreSoon(process.localTimeMs(), limiter);
            scheduleTick(process);
        }
    }

    private void tick(SimulatedProcess process) {
        process.nextTickMs = Double.POSITIVE_INFINITY;
        if (process.isRunning()) {
            process.agent.tick(process.localTimeMs());
            scheduleTick(process);
        }
    }

    private void scheduleTick(SimulatedProcess process) {
        double dueMs = Math.max(nowMs, process.toSimulationTimeMs(process.agent.dueMs()));
        if (dueMs < process.nextTickMs && dueMs < Double.POSITIVE_INFINITY) {
            process.nextTickMs = dueMs;
            // Timers fire a little late, so that rounding between the clocks can't lead to an endless loop.
            scheduleAt(dueMs + 0.01, () -> {
                if (process.nextTickMs == dueMs) {
                    tick(process);
                }
            });
        }
    }

    private void send(SimulatedProcess from, String address, BudgetMessage sentMessage) {
        int to = slotOf(address);
        BudgetMessage message = from.slot == tamperedSlot ? messageTamperer.apply(sentMessage) : sentMessage;
        sentMessages++;
        if (message == null || to >= processBySlot.length) {
            return;
        }
        String senderName = "d" + (from.slot + 1);
        for (double delayMs : linkFaults.deliveryDelaysMs(from.slot, to)) {
            scheduleAt(nowMs + MIN_LATENCY_MS + random.nextDouble() * LATENCY_JITTER_MS + delayMs, () -> {
                SimulatedProcess process = processBySlot[to];
                if (process != null && process.frozen) {
                    process.pendingDeliveries.add(() -> process.agent.receive(
                            process.localTimeMs(), from.address, senderName, from.nonce, message));
                } else if (process != null) {
                    process.agent.receive(process.localTimeMs(), from.address, senderName, from.nonce, message);
                    scheduleTick(process);
                }
            });
        }
    }

    private void terminate(SimulatedProcess process) {
        process.terminated = true;
        if (processBySlot[process.slot] == process) {
            processBySlot[process.slot] = null;
        }
    }

    /**
     * Changes a budget's capacity at all running processes, as a reload of the settings does. The check goes on with
     * the capacity before; see {@link #setCheckedCapacity}.
     */
    void reconfigureCapacity(String budget, long capacity) {
        for (SimulatedProcess process : processBySlot) {
            if (process != null) {
                process.agent.reconfigure(
                        process.localTimeMs(), config.budgetFor(budget).withCapacity(capacity));
                scheduleTick(process);
            }
        }
    }

    /** Sets the capacity of a budget that may not be exceeded from now on. */
    void setCheckedCapacity(String budget, long capacity) {
        checkedCapacities.put(budget, capacity);
    }

    /** Injects a fault. */
    void apply(Fault fault) {
        traceListener.accept("fault", fault);
        if (fault instanceof Fault.Kill kill) {
            forEachProcess(kill.slots(), this::terminate);
        } else if (fault instanceof Fault.Freeze freeze) {
            forEachProcess(freeze.slots(), process -> process.frozen = true);
        } else if (fault instanceof Fault.Thaw thaw) {
            forEachProcess(thaw.slots(), process -> {
                if (process.frozen) {
                    process.frozen = false;
                    // Queued requests are tried before messages are read: none may be sent under an expired lease.
                    for (String subject : subjects) {
                        for (int i = 0; i < QUEUED_ATTEMPTS_AFTER_THAW; i++) {
                            if (demand.attemptsPerSecond(subject, process.slot, nowMs) > 0) {
                                attempt(process, subject);
                            }
                        }
                    }
                    List<Runnable> deliveries = new ArrayList<>(process.pendingDeliveries);
                    process.pendingDeliveries.clear();
                    deliveries.forEach(Runnable::run);
                    process.nextTickMs = Double.POSITIVE_INFINITY;
                    scheduleTick(process);
                }
            });
        } else if (fault instanceof Fault.Term term) {
            forEachProcess(term.slots(), process -> {
                if (process.isRunning() && !process.leaving) {
                    // It goes on serving after the signal, then returns its leases and ends when all is answered.
                    process.agent.resign(process.localTimeMs());
                    scheduleTick(process);
                    scheduleAt(nowMs + DRAIN_DELAY_MS, () -> {
                        if (process.isRunning()) {
                            process.leaving = true;
                            process.agent.leave(process.localTimeMs());
                            scheduleAt(nowMs + config.maxHoldMs(), () -> terminate(process));
                        } else {
                            terminate(process);
                        }
                    });
                } else {
                    terminate(process);
                }
            });
        } else if (fault instanceof Fault.Start start) {
            start.slots().forEach(this::startProcess);
        } else {
            linkFaults.apply(fault);
        }
        checkCapacity();
    }

    private void forEachProcess(Set<Integer> slots, Consumer<SimulatedProcess> action) {
        for (int slot : slots) {
            if (processBySlot[slot] != null) {
                action.accept(processBySlot[slot]);
            }
        }
    }
}
