package barleyspur.lab.fleet;

import barleyspur.budget.Action;
import barleyspur.budget.Budgets;
import barleyspur.budget.Kind;
import barleyspur.budget.Ledger;
import barleyspur.budget.Share;
import barleyspur.budget.Terms;
import barleyspur.budget.Word;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Explores the decisions on a small world without leaving anything out: three doormans with clocks that drift apart, one
 * budget of two units, and every way to place a bounded number of faults on a bounded number of steps. Fewer faults come
 * first, so that the first counterexample is a shortest one. In each step the time moves, what was sent in the step before
 * arrives, everybody ticks and takes what it can get.
 */
final class BudgetModelChecker {

    /** What may be done to one doorman in one step. */
    enum FaultKind {
        /** What it sent in the step before is lost. */
        LOSE,
        /** The same arrives six steps later, after what was sent since. */
        LATE,
        /** The same arrives now, and once more six steps later. */
        TWICE,
        /** It is killed, and another process starts at its address. */
        RESTART,
        /** It is killed for good. */
        KILL,
        /** It stands still for two steps. */
        FREEZE,
        /** It stands still for longer than a lease. */
        FREEZE_LONG,
        /** Nothing comes to it or from it for longer than a lease. */
        CUT,
        /** It goes by itself, and another process starts at its address. */
        LEAVE
    }

    /** A fault: in which step, what, and to whom. */
    record PlacedFault(int step, FaultKind blow, int doorman) {
        @Override
        public String toString() {
            return step + ":" + blow + ":" + (doorman + 1);
        }
    }

    /** Faults as they are printed. */
    static List<PlacedFault> parse(String text) {
        List<PlacedFault> faults = new ArrayList<>();
        for (String word : text.strip().split(" +")) {
            String[] parts = word.split(":");
            try {
                faults.add(new PlacedFault(
                        Integer.parseInt(parts[0]), FaultKind.valueOf(parts[1]), Integer.parseInt(parts[2]) - 1));
            } catch (RuntimeException e) {
                throw new IllegalArgumentException("--replay is no fault, as 27:RESTART:1: " + word, e);
            }
        }
        return faults;
    }

    /** What an exploration came to. */
    record ExplorationResult(long schedules, long steps, int states, List<PlacedFault> counterexample, String broken) {}

    private static final int DOORMANS = 3;
    static final double STEP_MS = 50;
    private static final double TERM_MS = 600;
    private static final double LEASE_MS = 500;
    private static final double HOLD_MS = 60;
    private static final int LATER = 6;
    private static final int LONG = 14;
    private static final int SHORT = 2;
    /** Steps before the first fault: all silences and waits are over and the units are held. */
    private static final int WARM_UP = 34;
    /** An amount lasts so long, and is wanted for less from then on: its first units are spent in the warm-up. */
    private static final int AMOUNT_STEPS = 14;

    private static final int AMOUNT_FROM = 30;
    private static final double[] RATES = {1, 1 + Terms.DRIFT, 1 - Terms.DRIFT};

    private final Terms terms;
    private final int steps;

    BudgetModelChecker(Kind kind, int steps) {
        this.steps = steps;
        double lease = kind == Kind.AMOUNT ? AMOUNT_STEPS * STEP_MS : LEASE_MS;
        terms = new Terms(
                BudgetSimulation.voterAddresses(DOORMANS),
                DOORMANS,
                TERM_MS,
                HOLD_MS,
                1,
                Map.of("b", new Terms.Budget("b", kind, 2, DOORMANS, 0, 1, lease)));
    }

    private record InFlightMessage(int atStep, int from, int to, Word word) {}

    /** The world, played from its beginning for each schedule. */
    private final class Model {
        private final Budgets[] budgets = new Budgets[DOORMANS];
        private final Share[] shares = new Share[DOORMANS];
        private final long[] nonces = new long[DOORMANS];
        private final int[] frozenTo = new int[DOORMANS];
        private final int[] cutTo = new int[DOORMANS];
        /** Units in use: who took them, when they are given back there, and whether that process lives. */
        private final List<double[]> inUse = new ArrayList<>();

        private List<InFlightMessage> flying = new ArrayList<>();
        private List<InFlightMessage> sentNow = new ArrayList<>();
        private int step;
        private long lives;
        private long spentByDead;
        private String broken;

        Model() {
            for (int i = 0; i < DOORMANS; i++) {
                start(i);
            }
        }

        private double clock(int i) {
            return 1_000 * (i + 1) + step * STEP_MS * RATES[i];
        }

        private void start(int i) {
            int self = i;
            nonces[i] = ++lives;
            frozenTo[i] = 0;
            budgets[i] =
                    new Budgets(terms, "d" + (i + 1), BudgetSimulation.addressOf(i), nonces[i], lives, clock(i), a -> {
                        if (a instanceof Action.Send s) {
                            sentNow.add(new InFlightMessage(
                                    step + 1, self, Integer.parseInt(s.address().substring(8, 9)) - 1, s.word()));
                        }
                    });
            Set<String> others = new HashSet<>(terms.voters());
            others.remove(BudgetSimulation.addressOf(i));
            budgets[i].there(others);
        }

        private void kill(int i) {
            if (kind() == Kind.AMOUNT && shares[i] != null) {
                spentByDead += shares[i].using();
            }
            inUse.forEach(u -> u[2] = u[0] == i ? 0 : u[2]);
            budgets[i] = null;
            shares[i] = null;
        }

        private Kind kind() {
            return terms.of("b").kind();
        }

        private boolean runs(int i) {
            return budgets[i] != null && step >= frozenTo[i];
        }

        void play(List<PlacedFault> faults, int to) {
            while (step < to && broken == null) {
                step++;
                List<InFlightMessage> now = new ArrayList<>(sentNow);
                sentNow = new ArrayList<>();
                for (PlacedFault f : faults) {
                    if (f.step == step) {
                        strike(f, now);
                    }
                }
                flying.addAll(now);
                List<InFlightMessage> later = new ArrayList<>();
                for (InFlightMessage f : flying) {
                    boolean cut = step < cutTo[f.from] || step < cutTo[f.to];
                    if (f.atStep > step || step < frozenTo[f.to] && budgets[f.to] != null) {
                        later.add(f);
                    } else if (!cut && budgets[f.to] != null) {
                        budgets[f.to].receive(
                                clock(f.to),
                                BudgetSimulation.addressOf(f.from),
                                "d" + (f.from + 1),
                                nonces[f.from],
                                f.word);
                    }
                }
                flying = later;
                for (int i = 0; i < DOORMANS; i++) {
                    if (runs(i)) {
                        budgets[i].tick(clock(i));
                        if (kind() != Kind.AMOUNT || step >= AMOUNT_FROM && step < AMOUNT_FROM + AMOUNT_STEPS - 1) {
                            use(i);
                        }
                    }
                    check();
                }
            }
        }

        private void use(int i) {
            // A share that was forgotten for want of use is a new one.
            shares[i] = budgets[i].share(clock(i), "b");
            inUse.removeIf(u -> {
                boolean done = u[0] == i && u[2] == 1 && clock(i) - u[1] >= HOLD_MS * 0.8;
                if (done) {
                    shares[i].release(u[1], clock(i));
                }
                return done;
            });
            while (shares[i].take(clock(i))) {
                if (kind() == Kind.PLACES) {
                    inUse.add(new double[] {i, clock(i), 1, step});
                }
            }
            budgets[i].wantsMore(clock(i), shares[i]);
        }

        private void strike(PlacedFault f, List<InFlightMessage> now) {
            int i = f.doorman;
            switch (f.blow) {
                case LOSE -> now.removeIf(m -> m.from == i);
                case LATE, TWICE -> {
                    for (InFlightMessage m : List.copyOf(now)) {
                        if (m.from == i) {
                            flying.add(new InFlightMessage(step + LATER, m.from, m.to, m.word));
                            if (f.blow == FaultKind.LATE) {
                                now.remove(m);
                            }
                        }
                    }
                }
                case RESTART, KILL -> {
                    if (budgets[i] != null) {
                        kill(i);
                    }
                    if (f.blow == FaultKind.RESTART) {
                        start(i);
                    }
                }
                case LEAVE -> {
                    if (runs(i)) {
                        budgets[i].leave(clock(i));
                        kill(i);
                        start(i);
                    }
                }
                case FREEZE, FREEZE_LONG -> frozenTo[i] = step + (f.blow == FaultKind.FREEZE ? SHORT : LONG);
                default -> cutTo[i] = step + LONG;
            }
        }

        /** What all might use at this moment, and what is in use by who is no longer there. */
        private void check() {
            long sum = spentByDead;
            for (int i = 0; i < DOORMANS; i++) {
                long using = 0;
                for (double[] u : inUse) {
                    using += u[0] == i && u[2] == 1 && (step - u[3]) * STEP_MS < HOLD_MS ? 1 : 0;
                }
                if (shares[i] != null) {
                    sum += Math.max(shares[i].allowed(clock(i)), kind() == Kind.AMOUNT ? shares[i].using() : using);
                }
            }
            for (double[] u : inUse) {
                sum += u[2] == 0 && (step - u[3]) * STEP_MS < HOLD_MS ? 1 : 0;
            }
            if (sum > terms.of("b").whole() && broken == null) {
                broken = "in step " + step + " " + sum + " of " + terms.of("b").whole() + " could be used";
            }
        }

        /** What the world is, relative to its time: equal ones count once. */
        long state() {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < DOORMANS; i++) {
                if (budgets[i] == null) {
                    text.append("-;");
                    continue;
                }
                Ledger l = budgets[i].ledger(clock(i));
                text.append(step - frozenTo[i] < 0 ? frozenTo[i] - step : 0)
                        .append(',')
                        .append(cutTo[i] - step < 0 ? 0 : cutTo[i] - step)
                        .append(l.divides())
                        .append(Math.round(l.termLeftMs()))
                        .append(l.divider())
                        .append(l.silent())
                        .append(l.own())
                        .append(l.rows())
                        .append(Math.round(budgets[i].dueMs() - clock(i)))
                        .append(';');
            }
            flying.forEach(f ->
                    text.append(f.atStep - step).append(f.from).append(f.to).append(f.word.getClass()));
            sentNow.forEach(f -> text.append(f.from).append(f.to).append(f.word.getClass()));
            return LongHashFunction.xx3().hashChars(text);
        }
    }

    /** Plays one schedule; null, or what it breaks. */
    String play(List<PlacedFault> faults) {
        Model world = new Model();
        world.play(faults, WARM_UP + steps);
        return world.broken;
    }

    /** Whether both units are held when the warm-up is over: else nothing would be shown. */
    boolean isWarm() {
        Model world = new Model();
        world.play(List.of(), WARM_UP);
        long sum = 0;
        for (int i = 0; i < DOORMANS; i++) {
            Share share = world.shares[i];
            sum += share == null
                    ? 0
                    : Math.max(share.allowed(world.clock(i)), kind() == Kind.AMOUNT ? share.using() : 0);
        }
        return sum == terms.of("b").whole();
    }

    private Kind kind() {
        return terms.of("b").kind();
    }

    /** All ways to place up to so many faults; ends with the first that breaks the promise. */
    ExplorationResult explore(int most) {
        long[] counts = new long[2];
        Set<Long> states = new HashSet<>();
        for (int count = 0; count <= most; count++) {
            List<PlacedFault> found = explore(new ArrayList<>(), count, WARM_UP + 1, counts, states);
            if (found != null) {
                return new ExplorationResult(counts[0], counts[1], states.size(), found, play(found));
            }
        }
        return new ExplorationResult(counts[0], counts[1], states.size(), null, null);
    }

    private List<PlacedFault> explore(List<PlacedFault> faults, int left, int from, long[] counts, Set<Long> states) {
        if (left == 0) {
            Model world = new Model();
            int last = faults.isEmpty() ? 0 : faults.get(faults.size() - 1).step;
            world.play(faults, last);
            counts[0]++;
            // From the same world, with no faults to come, the same follows: it is played once.
            if (world.broken == null && states.add(world.state())) {
                world.play(faults, WARM_UP + steps);
            }
            counts[1] += world.step;
            return world.broken == null ? null : List.copyOf(faults);
        }
        for (int step = from; step <= WARM_UP + steps; step++) {
            for (FaultKind blow : FaultKind.values()) {
                for (int i = 0; i < DOORMANS; i++) {
                    faults.add(new PlacedFault(step, blow, i));
                    List<PlacedFault> found = explore(faults, left - 1, step + 1, counts, states);
                    faults.remove(faults.size() - 1);
                    if (found != null) {
                        return found;
                    }
                }
            }
        }
        return null;
    }
}
