package barleyspur.lab.fleet;

import barleyspur.budget.Action;
import barleyspur.budget.Budgets;
import barleyspur.budget.Kind;
import barleyspur.budget.Share;
import barleyspur.budget.Terms;
import barleyspur.budget.Word;
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
 * Plays a schedule on the decisions of {@code barleyspur.budget} in virtual time: each process has a clock of its own that
 * starts anywhere and drifts, views of the fleet are late and wrong, and every unit that is taken comes to a box that
 * counts. After each event it is looked at what all processes together might use at that moment.
 */
final class BudgetSimulation {

    private static final double MIN_LATENCY_MS = 0.1;
    private static final double LATENCY_JITTER_MS = 0.6;
    private static final double VIEW_UPDATE_INTERVAL_MS = 500;
    private static final double WRONG_VIEW_PROBABILITY = 0.1;
    private static final int QUEUED_ATTEMPTS_AFTER_THAW = 20;
    private static final double DRAIN_DELAY_MS = 750;
    private static final double MIN_SAMPLES_PER_S = 20;
    private static final int MAX_VIOLATIONS = 20;

    /** How many attempts a second a doorman has at a moment. */
    interface Demand {
        double attemptsPerSecond(String budget, int slot, double nowMs);
    }

    /** A process. */
    final class SimulatedProcess {
        final int slot;
        final String address;
        final long nonce = random.nextLong() >>> 12;
        final Budgets agent;
        private final double clockOffsetMs;
        private final double clockRate;
        boolean frozen;
        boolean leaving;
        boolean terminated;
        private double nextTickMs = Double.POSITIVE_INFINITY;
        private final List<Runnable> pendingDeliveries = new ArrayList<>();
        final TreeMap<String, Share> limiters = new TreeMap<>();

        SimulatedProcess(int slot) {
            this.slot = slot;
            this.address = addressOf(slot);
            clockOffsetMs = random.nextDouble() * 1e6;
            clockRate = 1 + (random.nextDouble() * 2 - 1) * maxClockDrift;
            agent = new Budgets(
                    config, "d" + (slot + 1), address, nonce, random.nextLong(), localTimeMs(), this::execute);
        }

        /** The time on this process's own clock. */
        double localTimeMs() {
            return clockOffsetMs + nowMs * clockRate;
        }

        double toSimulationTimeMs(double localMs) {
            return (localMs - clockOffsetMs) / clockRate;
        }

        private void execute(Action action) {
            if (action instanceof Action.Send sendAction) {
                send(this, sendAction.address(), sendAction.word());
            } else if (action instanceof Action.Warn warning) {
                warningCounts.merge(warning.event(), 1, Integer::sum);
            }
            traceListener.accept("d" + (slot + 1), action);
        }

        boolean isRunning() {
            return !terminated && !frozen;
        }

        Share limiter(String subject) {
            Share limiter = agent.share(localTimeMs(), subject);
            limiters.put(subject, limiter);
            return limiter;
        }
    }

    private record ScheduledEvent(double timeMs, long sequence, Runnable action) {}

    final FaultSchedule schedule;
    final Terms config;
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
    /** Told what each process does, and each fault: for a trace. */
    BiConsumer<String, Object> traceListener = (who, what) -> {};
    /** Changes words on their way from this slot; a null result is not sent. */
    UnaryOperator<Word> messageTamperer;

    int tamperedSlot = -1;
    private long nextSequence;
    long sentMessages;
    double nowMs;

    /** What a box or a parent sees: counts of its own, whatever the doormans say. */
    final class Box {
        private final String subject;
        final Terms.Budget budget;
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
            this.budget = config.of(subject);
        }

        void onArrival(SimulatedProcess sender) {
            arrivals++;
            arrivalsBySlot.merge(sender.slot, 1L, Long::sum);
            if (budget.kind() == Kind.PLACES) {
                concurrent++;
                maxConcurrent = Math.max(maxConcurrent, concurrent);
                inFlightByProcess.merge(sender, 1, Integer::sum);
                double serviceTimeMs = random.nextDouble() * config.holdMs() * 0.9;
                double acquiredAtMs = sender.localTimeMs();
                scheduleAt(nowMs + serviceTimeMs, () -> {
                    concurrent--;
                    inFlightByProcess.merge(sender, -1, Integer::sum);
                    if (!sender.terminated) {
                        // A frozen one hears of it later: till then the place counts as in use there.
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
            } else if (budget.kind() == Kind.RATE) {
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

    /** The whole at this moment; a schedule's player may lower it. */
    private final TreeMap<String, Long> checkedCapacities = new TreeMap<>();

    private long checkedCapacity(Terms.Budget budget) {
        return checkedCapacities.getOrDefault(budget.name(), budget.whole());
    }

    /**
     * @param maxClockDrift    by which each clock's rate may differ from the true one
     * @param subjects names of budgets that are used
     */
    BudgetSimulation(FaultSchedule schedule, Terms config, double maxClockDrift, List<String> subjects, Demand demand) {
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

    /** A schedule's own budgets and load: each has one subject, and demand of its nodes' part of the requests. */
    static BudgetSimulation forSchedule(FaultSchedule schedule, double maxClockDrift) {
        FaultSchedule.Workload workload = schedule.workload();
        Terms config = workload.configWithVoters(voterAddresses(workload.voterCount()));
        double longestLeaseMs = config.budgets().values().stream()
                .mapToDouble(Terms.Budget::leaseMs)
                .max()
                .orElse(0);
        // After all silences and waits, and for less than a lease, as a young box is.
        double amountsFromMs = config.termMs() + 3 * longestLeaseMs;
        return new BudgetSimulation(
                schedule,
                config,
                maxClockDrift,
                new ArrayList<>(new TreeMap<>(config.budgets()).keySet()),
                (budget, slot, now) -> config.of(budget).kind() == Kind.AMOUNT
                                && (now < amountsFromMs || now > amountsFromMs + longestLeaseMs * 0.9)
                        ? 0
                        : workload.requestsPerSecondAt(slot, schedule.initialDoormans(), now) / 3);
    }

    static String addressOf(int slot) {
        return "127.0.0." + (slot + 1) + ":7301";
    }

    private static int slotOf(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf('.') + 1, address.indexOf(':'))) - 1;
    }

    /** The addresses of the first so many slots. */
    static List<String> voterAddresses(int count) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            addresses.add(addressOf(i));
        }
        return addresses;
    }

    void scheduleAt(double timeMs, Runnable action) {
        events.add(new ScheduledEvent(timeMs, nextSequence++, action));
    }

    List<String> violations() {
        return foundViolations;
    }

    Box box(String subject) {
        return boxBySubject.get(subject);
    }

    private void addViolation(String promise, String detail) {
        if (foundViolations.size() < MAX_VIOLATIONS) {
            foundViolations.add(String.format("%s: at %.1f ms: %s", promise, nowMs, detail));
        }
    }

    /** Plays the whole schedule, and to its settling time after it. */
    void run() {
        startInitialProcesses();
        for (FaultSchedule.Step step : schedule.steps()) {
            runUntil(nowMs + step.delayMs());
            apply(step.fault());
        }
        runUntil(nowMs + schedule.settleTimeoutMs());
    }

    void startInitialProcesses() {
        for (int i = 0; i < schedule.initialDoormans(); i++) {
            startProcess(i);
        }
    }

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

    /** Never over the whole: what each process might take at this moment, or has in flight, is summed up. */
    private void checkCapacity() {
        for (String subject : subjects) {
            Box box = boxBySubject.get(subject);
            long usable = 0;
            for (SimulatedProcess process : processBySlot) {
                if (process != null) {
                    Share limiter = process.limiters.get(subject);
                    long allowed = limiter == null || process.leaving ? 0 : limiter.allowed(process.localTimeMs());
                    long inUse =
                            switch (box.budget.kind()) {
                                case RATE -> 0;
                                // Of a frozen process the box knows better.
                                case PLACES -> box.inFlightByProcess.getOrDefault(process, 0);
                                case AMOUNT -> limiter == null ? 0 : limiter.using();
                            };
                    usable += Math.max(allowed, inUse);
                }
            }
            if (box.budget.kind() == Kind.PLACES) {
                for (var entry : box.inFlightByProcess.entrySet()) {
                    usable += entry.getKey().terminated ? entry.getValue() : 0;
                }
            } else if (box.budget.kind() == Kind.AMOUNT) {
                long usedByRunning = 0;
                for (SimulatedProcess process : processBySlot) {
                    usedByRunning += process == null || process.limiters.get(subject) == null
                            ? 0
                            : process.limiters.get(subject).using();
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
            Share limiter = process == null ? null : process.limiters.get(subject);
            if (limiter != null) {
                text.append(" d")
                        .append(process.slot + 1)
                        .append(process.frozen ? " frozen" : "")
                        .append(process.leaving ? " leaving" : "")
                        .append(" may take ")
                        .append(limiter.allowed(process.localTimeMs()))
                        .append(", uses ")
                        .append(limiter.using());
            }
        }
        return text.toString();
    }

    /** What can be used at this moment of a budget, as a share of the whole. */
    double usableFraction(String subject) {
        double sum = 0;
        for (SimulatedProcess process : processBySlot) {
            if (process != null && process.isRunning() && !process.leaving && process.limiters.get(subject) != null) {
                sum += process.limiters.get(subject).allowed(process.localTimeMs());
            }
        }
        return sum / checkedCapacity(config.of(subject));
    }

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
            process.agent.there(reachable);
        }
        scheduleAt(nowMs + VIEW_UPDATE_INTERVAL_MS * (0.5 + random.nextDouble()), () -> updateView(process));
    }

    private void generateLoad(SimulatedProcess process, String subject) {
        double attemptsPerS = demand.attemptsPerSecond(subject, process.slot, nowMs);
        if (process.terminated) {
            return;
        }
        // By thinning, so that a demand that jumps from little to much isn't noticed with the next of the few only.
        double samplesPerS = Math.max(attemptsPerS, MIN_SAMPLES_PER_S);
        if (process.isRunning() && !process.leaving && random.nextDouble() * samplesPerS < attemptsPerS) {
            attempt(process, subject);
        }
        scheduleAt(nowMs - Math.log(1 - random.nextDouble()) * 1e3 / samplesPerS, () -> generateLoad(process, subject));
    }

    private void attempt(SimulatedProcess process, String subject) {
        Share limiter = process.limiter(subject);
        if (limiter.take(process.localTimeMs())) {
            boxBySubject.get(subject).onArrival(process);
        } else {
            process.agent.wantsMore(process.localTimeMs(), limiter);
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
            // A little late, as timers are, so that rounding of clocks makes no circles.
            scheduleAt(dueMs + 0.01, () -> {
                if (process.nextTickMs == dueMs) {
                    tick(process);
                }
            });
        }
    }

    private void send(SimulatedProcess from, String address, Word sentMessage) {
        int to = slotOf(address);
        Word message = from.slot == tamperedSlot ? messageTamperer.apply(sentMessage) : sentMessage;
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

    /** Sets another whole for all that run, as a reload of the settings does; lower, it counts once it holds. */
    void reconfigureCapacity(String budget, long capacity) {
        for (SimulatedProcess process : processBySlot) {
            if (process != null) {
                process.agent.retune(process.localTimeMs(), config.of(budget).whole(capacity));
                scheduleTick(process);
            }
        }
    }

    /** From now on no more than this may be used: broken where more still is. */
    void setCheckedCapacity(String budget, long capacity) {
        checkedCapacities.put(budget, capacity);
    }

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
                    // Requests that waited go first: not one may go out on an old share.
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
                    // It serves on for a while after the signal, then gives back and is gone when all is answered.
                    process.agent.resign(process.localTimeMs());
                    scheduleTick(process);
                    scheduleAt(nowMs + DRAIN_DELAY_MS, () -> {
                        if (process.isRunning()) {
                            process.leaving = true;
                            process.agent.leave(process.localTimeMs());
                            scheduleAt(nowMs + config.holdMs(), () -> terminate(process));
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
