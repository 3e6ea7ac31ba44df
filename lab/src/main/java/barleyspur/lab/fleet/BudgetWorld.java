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
 * Plays a schedule on the decisions of {@code barleyspur.budget} in virtual time: each process has a clock of its own that
 * starts anywhere and drifts, views of the fleet are late and wrong, and every unit that is taken comes to a box that
 * counts. After each event it is looked at what all processes together might use at that moment.
 */
final class BudgetWorld {

    private static final double LEAST_LATENCY_MS = 0.1;
    private static final double MORE_LATENCY_MS = 0.6;
    private static final double VIEW_MS = 500;
    private static final double WRONG_VIEWS = 0.1;
    private static final int BURST_AFTER_THAW = 20;
    private static final double DRAIN_MS = 750;
    private static final double LEAST_LOOKS_PER_S = 20;
    private static final int MOST_BROKEN = 20;

    /** How many attempts a second a doorman has at a moment. */
    interface Demand {
        double perS(String budget, int slot, double nowMs);
    }

    /** A process. */
    final class Process {
        final int slot;
        final String address;
        final long nonce = random.nextLong() >>> 12;
        final BudgetAgent budgets;
        private final double offsetMs;
        private final double rate;
        boolean frozen;
        boolean leaving;
        boolean gone;
        private double tickAtMs = Double.POSITIVE_INFINITY;
        private final List<Runnable> unread = new ArrayList<>();
        final TreeMap<String, BudgetLimiter> shares = new TreeMap<>();

        Process(int slot) {
            this.slot = slot;
            this.address = address(slot);
            offsetMs = random.nextDouble() * 1e6;
            rate = 1 + (random.nextDouble() * 2 - 1) * drift;
            budgets = new BudgetAgent(
                    terms, "d" + (slot + 1), address, nonce, random.nextLong(), clock(), this::carryOut);
        }

        /** The time on this process's own clock. */
        double clock() {
            return offsetMs + nowMs * rate;
        }

        double fromClock(double ms) {
            return (ms - offsetMs) / rate;
        }

        private void carryOut(BudgetAction action) {
            if (action instanceof BudgetAction.SendMessage s) {
                send(this, s.address(), s.message());
            } else if (action instanceof BudgetAction.LogWarning w) {
                warnings.merge(w.event(), 1, Integer::sum);
            }
            log.accept("d" + (slot + 1), action);
        }

        boolean runs() {
            return !gone && !frozen;
        }

        BudgetLimiter share(String budget) {
            BudgetLimiter share = budgets.limiter(clock(), budget);
            shares.put(budget, share);
            return share;
        }
    }

    private record Event(double atMs, long order, Runnable what) {}

    final Schedule schedule;
    final BudgetConfig terms;
    private final double drift;
    private final SplittableRandom random;
    private final Links links;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    final Process[] running;
    private final TreeMap<String, Box> boxes = new TreeMap<>();
    private final List<String> broken = new ArrayList<>();
    final TreeMap<String, Integer> warnings = new TreeMap<>();
    private final Demand demand;
    private final List<String> subjects;
    /** Told what each process does, and each fault: for a trace. */
    BiConsumer<String, Object> log = (who, what) -> {};
    /** Changes words on their way from this slot; a null result is not sent. */
    UnaryOperator<BudgetMessage> tampering;

    int tamperedSlot = -1;
    private long order;
    long sent;
    double nowMs;

    /** What a box or a parent sees: counts of its own, whatever the doormans say. */
    final class Box {
        private final String name;
        final BudgetConfig.Budget budget;
        final TreeMap<Process, Integer> inFlight = new TreeMap<>(Comparator.comparingLong(p -> p.nonce));
        int atOnce;
        int most;
        long arrived;
        final TreeMap<Integer, Long> bySlot = new TreeMap<>();
        private double level;
        private double levelMs;
        double mostLevel;

        Box(String name) {
            this.name = name;
            this.budget = terms.budgetFor(name);
        }

        void arrives(Process from) {
            arrived++;
            bySlot.merge(from.slot, 1L, Long::sum);
            if (budget.kind() == BudgetKind.PLACES) {
                atOnce++;
                most = Math.max(most, atOnce);
                inFlight.merge(from, 1, Integer::sum);
                double serviceMs = random.nextDouble() * terms.maxHoldMs() * 0.9;
                double takenMs = from.clock();
                at(nowMs + serviceMs, () -> {
                    atOnce--;
                    inFlight.merge(from, -1, Integer::sum);
                    if (!from.gone) {
                        // A frozen one hears of it later: till then the place counts as in use there.
                        if (from.frozen) {
                            from.unread.add(() -> from.shares.get(name).release(takenMs, from.clock()));
                        } else {
                            from.shares.get(name).release(takenMs, from.clock());
                        }
                    }
                });
                if (atOnce > whole(budget)) {
                    broken("at the box", name + " has " + atOnce + " at once");
                }
            } else if (budget.kind() == BudgetKind.RATE) {
                level = Math.max(0, level - whole(budget) * (nowMs - levelMs) / 1e3) + 1;
                levelMs = nowMs;
                mostLevel = Math.max(mostLevel, level);
                if (level > budget.burst() + 1e-6) {
                    broken("at the box", name + " got " + level + " over its rate, the burst is " + budget.burst());
                }
            } else if (arrived > whole(budget)) {
                broken("at the box", name + " got " + arrived);
            }
        }
    }

    /** The whole at this moment; a schedule's player may lower it. */
    private final TreeMap<String, Long> wholes = new TreeMap<>();

    private long whole(BudgetConfig.Budget b) {
        return wholes.getOrDefault(b.name(), b.capacity());
    }

    /**
     * @param drift    by which each clock's rate may differ from the true one
     * @param subjects names of budgets that are used
     */
    BudgetWorld(Schedule schedule, BudgetConfig terms, double drift, List<String> subjects, Demand demand) {
        this.schedule = schedule;
        this.terms = terms;
        this.drift = drift;
        this.demand = demand;
        this.subjects = subjects;
        random = new SplittableRandom(schedule.seed());
        links = new Links(schedule.slots(), schedule.seed() + 1);
        running = new Process[schedule.slots()];
        for (String subject : subjects) {
            boxes.put(subject, new Box(subject));
        }
    }

    /** A schedule's own budgets and load: each has one subject, and demand of its nodes' part of the requests. */
    static BudgetWorld of(Schedule schedule, double drift) {
        Schedule.Use use = schedule.use();
        BudgetConfig terms = use.terms(voters(use.voters()));
        double young = terms.budgets().values().stream()
                .mapToDouble(BudgetConfig.Budget::leaseMs)
                .max()
                .orElse(0);
        // After all silences and waits, and for less than a lease, as a young box is.
        double fromMs = terms.leaderLeaseMs() + 3 * young;
        return new BudgetWorld(
                schedule,
                terms,
                drift,
                new ArrayList<>(new TreeMap<>(terms.budgets()).keySet()),
                (budget, slot, now) -> terms.budgetFor(budget).kind() == BudgetKind.AMOUNT
                                && (now < fromMs || now > fromMs + young * 0.9)
                        ? 0
                        : use.perS(slot, schedule.started(), now) / 3);
    }

    static String address(int slot) {
        return "127.0.0." + (slot + 1) + ":7301";
    }

    private static int slot(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf('.') + 1, address.indexOf(':'))) - 1;
    }

    /** The addresses of the first so many slots. */
    static List<String> voters(int count) {
        List<String> voters = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            voters.add(address(i));
        }
        return voters;
    }

    void at(double atMs, Runnable what) {
        events.add(new Event(atMs, order++, what));
    }

    List<String> broken() {
        return broken;
    }

    Box box(String subject) {
        return boxes.get(subject);
    }

    private void broken(String promise, String detail) {
        if (broken.size() < MOST_BROKEN) {
            broken.add(String.format("%s: at %.1f ms: %s", promise, nowMs, detail));
        }
    }

    /** Plays the whole schedule, and to its settling time after it. */
    void play() {
        begin();
        for (Schedule.Step step : schedule.steps()) {
            playTo(nowMs + step.afterMs());
            apply(step.fault());
        }
        playTo(nowMs + schedule.settleMs());
    }

    void begin() {
        for (int i = 0; i < schedule.started(); i++) {
            start(i);
        }
    }

    void playTo(double untilMs) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            Event e = events.poll();
            nowMs = Math.max(nowMs, e.atMs);
            e.what.run();
            check();
        }
        nowMs = Math.max(nowMs, untilMs);
        check();
    }

    /** Never over the whole: what each process might take at this moment, or has in flight, is summed up. */
    private void check() {
        for (String subject : subjects) {
            Box box = boxes.get(subject);
            long sum = 0;
            for (Process p : running) {
                if (p != null) {
                    BudgetLimiter share = p.shares.get(subject);
                    long allowed = share == null || p.leaving ? 0 : share.limit(p.clock());
                    long using =
                            switch (box.budget.kind()) {
                                case RATE -> 0;
                                // Of a frozen process the box knows better.
                                case PLACES -> box.inFlight.getOrDefault(p, 0);
                                case AMOUNT -> share == null ? 0 : share.inUse();
                            };
                    sum += Math.max(allowed, using);
                }
            }
            if (box.budget.kind() == BudgetKind.PLACES) {
                for (var e : box.inFlight.entrySet()) {
                    sum += e.getKey().gone ? e.getValue() : 0;
                }
            } else if (box.budget.kind() == BudgetKind.AMOUNT) {
                long live = 0;
                for (Process p : running) {
                    live += p == null || p.shares.get(subject) == null
                            ? 0
                            : p.shares.get(subject).inUse();
                }
                sum += Math.max(0, box.arrived - live);
            }
            if (sum > whole(box.budget)) {
                broken(
                        "never over the whole",
                        subject + ": " + sum + " of " + whole(box.budget) + " could be used:" + detail(subject));
            }
        }
    }

    private String detail(String subject) {
        StringBuilder text = new StringBuilder();
        for (Process p : running) {
            BudgetLimiter share = p == null ? null : p.shares.get(subject);
            if (share != null) {
                text.append(" d")
                        .append(p.slot + 1)
                        .append(p.frozen ? " frozen" : "")
                        .append(p.leaving ? " leaving" : "")
                        .append(" may take ")
                        .append(share.limit(p.clock()))
                        .append(", uses ")
                        .append(share.inUse());
            }
        }
        return text.toString();
    }

    /** What can be used at this moment of a budget, as a share of the whole. */
    double usable(String subject) {
        double sum = 0;
        for (Process p : running) {
            if (p != null && p.runs() && !p.leaving && p.shares.get(subject) != null) {
                sum += p.shares.get(subject).limit(p.clock());
            }
        }
        return sum / whole(terms.budgetFor(subject));
    }

    void start(int slot) {
        if (running[slot] != null) {
            return;
        }
        Process p = new Process(slot);
        running[slot] = p;
        view(p);
        tick(p);
        for (String subject : subjects) {
            load(p, subject);
        }
    }

    Process in(int slot) {
        return running[slot];
    }

    private void view(Process p) {
        if (p.gone) {
            return;
        }
        if (p.runs()) {
            Set<String> there = new HashSet<>();
            for (Process q : running) {
                boolean wrong = random.nextDouble() < WRONG_VIEWS;
                if (q != null
                        && q != p
                        && q.runs()
                        && links.open(p.slot, q.slot)
                        && links.open(q.slot, p.slot) != wrong) {
                    there.add(q.address);
                }
            }
            p.budgets.setReachable(there);
        }
        at(nowMs + VIEW_MS * (0.5 + random.nextDouble()), () -> view(p));
    }

    private void load(Process p, String subject) {
        double perS = demand.perS(subject, p.slot, nowMs);
        if (p.gone) {
            return;
        }
        // By thinning, so that a demand that jumps from little to much isn't noticed with the next of the few only.
        double looksPerS = Math.max(perS, LEAST_LOOKS_PER_S);
        if (p.runs() && !p.leaving && random.nextDouble() * looksPerS < perS) {
            use(p, subject);
        }
        at(nowMs - Math.log(1 - random.nextDouble()) * 1e3 / looksPerS, () -> load(p, subject));
    }

    private void use(Process p, String subject) {
        BudgetLimiter share = p.share(subject);
        if (share.tryAcquire(p.clock())) {
            boxes.get(subject).arrives(p);
        } else {
            p.budgets.requestMoreSoon(p.clock(), share);
            arm(p);
        }
    }

    private void tick(Process p) {
        p.tickAtMs = Double.POSITIVE_INFINITY;
        if (p.runs()) {
            p.budgets.tick(p.clock());
            arm(p);
        }
    }

    private void arm(Process p) {
        double due = Math.max(nowMs, p.fromClock(p.budgets.dueMs()));
        if (due < p.tickAtMs && due < Double.POSITIVE_INFINITY) {
            p.tickAtMs = due;
            // A little late, as timers are, so that rounding of clocks makes no circles.
            at(due + 0.01, () -> {
                if (p.tickAtMs == due) {
                    tick(p);
                }
            });
        }
    }

    private void send(Process from, String address, BudgetMessage spoken) {
        int to = slot(address);
        BudgetMessage word = from.slot == tamperedSlot ? tampering.apply(spoken) : spoken;
        sent++;
        if (word == null || to >= running.length) {
            return;
        }
        String name = "d" + (from.slot + 1);
        for (double delay : links.pass(from.slot, to)) {
            at(nowMs + LEAST_LATENCY_MS + random.nextDouble() * MORE_LATENCY_MS + delay, () -> {
                Process p = running[to];
                if (p != null && p.frozen) {
                    p.unread.add(() -> p.budgets.receive(p.clock(), from.address, name, from.nonce, word));
                } else if (p != null) {
                    p.budgets.receive(p.clock(), from.address, name, from.nonce, word);
                    arm(p);
                }
            });
        }
    }

    private void gone(Process p) {
        p.gone = true;
        if (running[p.slot] == p) {
            running[p.slot] = null;
        }
    }

    /** Sets another whole for all that run, as a reload of the settings does; lower, it counts once it holds. */
    void lower(String budget, long whole) {
        for (Process p : running) {
            if (p != null) {
                p.budgets.reconfigure(p.clock(), terms.budgetFor(budget).withCapacity(whole));
                arm(p);
            }
        }
    }

    /** From now on no more than this may be used: broken where more still is. */
    void judgeBy(String budget, long whole) {
        wholes.put(budget, whole);
    }

    void apply(Fault fault) {
        log.accept("fault", fault);
        if (fault instanceof Fault.Kill f) {
            each(f.slots(), this::gone);
        } else if (fault instanceof Fault.Freeze f) {
            each(f.slots(), p -> p.frozen = true);
        } else if (fault instanceof Fault.Thaw f) {
            each(f.slots(), p -> {
                if (p.frozen) {
                    p.frozen = false;
                    // Requests that waited go first: not one may go out on an old share.
                    for (String subject : subjects) {
                        for (int i = 0; i < BURST_AFTER_THAW; i++) {
                            if (demand.perS(subject, p.slot, nowMs) > 0) {
                                use(p, subject);
                            }
                        }
                    }
                    List<Runnable> unread = new ArrayList<>(p.unread);
                    p.unread.clear();
                    unread.forEach(Runnable::run);
                    p.tickAtMs = Double.POSITIVE_INFINITY;
                    arm(p);
                }
            });
        } else if (fault instanceof Fault.Term f) {
            each(f.slots(), p -> {
                if (p.runs() && !p.leaving) {
                    // It serves on for a while after the signal, then gives back and is gone when all is answered.
                    p.budgets.resign(p.clock());
                    arm(p);
                    at(nowMs + DRAIN_MS, () -> {
                        if (p.runs()) {
                            p.leaving = true;
                            p.budgets.leave(p.clock());
                            at(nowMs + terms.maxHoldMs(), () -> gone(p));
                        } else {
                            gone(p);
                        }
                    });
                } else {
                    gone(p);
                }
            });
        } else if (fault instanceof Fault.Start f) {
            f.slots().forEach(this::start);
        } else {
            links.apply(fault);
        }
        check();
    }

    private void each(Set<Integer> slots, Consumer<Process> what) {
        for (int slot : slots) {
            if (running[slot] != null) {
                what.accept(running[slot]);
            }
        }
    }
}
