package barleyspur.budget;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What the parts of one process share: the terms, the time, the hint of who is there, and the way out. */
final class Shared {

    final Terms terms;
    final long digest;
    /** As retuned since the start. */
    final Map<String, Terms.Budget> budgets;
    /** This process's own address. */
    final String self;

    final SplittableRandom random;
    final double shortestLeaseMs;
    private final Consumer<Action> out;
    /** What this process says to itself. */
    final ArrayDeque<Word> own = new ArrayDeque<>();

    double now;
    private Set<String> there = Set.of();

    Shared(Terms terms, String self, long seed, Consumer<Action> out) {
        this.terms = terms;
        this.digest = terms.digest();
        this.budgets = new HashMap<>(terms.budgets());
        this.self = self;
        this.random = new SplittableRandom(seed);
        this.out = out;
        shortestLeaseMs = terms.budgets().values().stream()
                .mapToDouble(Terms.Budget::leaseMs)
                .min()
                .orElse(1);
    }

    /** How long a process that has just started promises nothing: as long as a promise made from here before may last. */
    double silenceMs() {
        return terms.termMs() * Terms.WAIT;
    }

    /** How long one that has just started uses no floor: as long as what was taken of it before may be in use. */
    double floorsAfterMs() {
        return terms.holdMs() * Terms.WAIT;
    }

    /** The terms by which a budget goes now, or null. */
    Terms.Budget of(String name) {
        return budgets.get(Terms.root(name));
    }

    void there(Set<String> addresses) {
        there = addresses;
    }

    boolean isThere(String address) {
        return address.equals(self) || there.contains(address);
    }

    void send(String address, Word word) {
        if (address.equals(self)) {
            own.add(word);
        } else if (!address.isEmpty()) {
            out.accept(new Action.Send(address, word));
        }
    }

    void emit(Action action) {
        out.accept(action);
    }
}
