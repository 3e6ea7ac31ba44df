package barleyspur.budget;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** State shared by the components of one process: configuration, current time, reachability hint and outputs. */
final class Shared {

    final Terms terms;
    final long digest;
    /** The budgets by name, with changes applied since the start. */
    final Map<String, Terms.Budget> budgets;
    /** The address of this process. */
    final String self;

    final SplittableRandom random;
    final double shortestLeaseMs;
    private final Consumer<Action> out;
    /** Messages of this process to itself. */
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

    /** Returns how long a voter abstains after its start: as long as a promise made before the restart may last. */
    double silenceMs() {
        return terms.termMs() * Terms.WAIT;
    }

    /** Returns how long no floor is used after a start: as long as units acquired before the restart may be in use. */
    double floorsAfterMs() {
        return terms.holdMs() * Terms.WAIT;
    }

    /** Returns the current configuration of a budget, or null. */
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
