package barleyspur.reload;

import barleyspur.decision.RoutingPolicy.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes of a running doorman by number, as the director knows them, and the number that each name stands for.
 * Settings that SIGHUP brings may add classes, drop them, reorder them and change their effects; a number once given
 * keeps its class for as long as the process runs, so an open request keeps the class that it was taken under. A
 * class that is new or changed gets the next number; a name that the new settings no longer have goes on standing for
 * its last class, since clients may name it for a while after the change. Decisions only: no I/O, clock or randomness.
 * An instance is never changed: a retune makes a new one.
 */
public final class RequestClassRegistry {

    /** What a retune brought, by name, for the log. */
    public record Retune(RequestClassRegistry table, List<String> added, List<String> changed, List<String> dropped) {

        /** Whether the classes are as before. */
        public boolean same() {
            return added.isEmpty() && changed.isEmpty() && dropped.isEmpty();
        }
    }

    private final List<RequestClass> classes;
    /** The number that each name stands for now. */
    private final Map<String, Integer> numbers;
    /** The names that the latest settings have, in their order. */
    private final List<String> named;

    private RequestClassRegistry(List<RequestClass> classes, Map<String, Integer> numbers, List<String> named) {
        this.classes = List.copyOf(classes);
        this.numbers = Map.copyOf(numbers);
        this.named = List.copyOf(named);
    }

    /** The classes of the start: their numbers are their places in the settings. */
    public static RequestClassRegistry of(List<String> names, List<RequestClass> classes) {
        if (names.size() != classes.size()) {
            throw new IllegalArgumentException(names.size() + " names for " + classes.size() + " classes");
        }
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            if (numbers.put(names.get(i), i) != null) {
                throw new IllegalArgumentException("class " + names.get(i) + " is named twice");
            }
        }
        return new RequestClassRegistry(classes, numbers, names);
    }

    /** The table after settings that have these classes, and what changed. */
    public Retune retune(List<String> names, List<RequestClass> next) {
        RequestClassRegistry fresh = of(names, next);
        List<RequestClass> all = new ArrayList<>(classes);
        Map<String, Integer> to = new HashMap<>(numbers);
        List<String> added = new ArrayList<>();
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i);
            Integer was = numbers.get(name);
            if (was != null && classes.get(was).equals(next.get(i))) {
                continue;
            }
            (was == null ? added : changed).add(name);
            to.put(name, all.size());
            all.add(next.get(i));
        }
        List<String> dropped = new ArrayList<>(named);
        dropped.removeAll(fresh.named);
        return new Retune(new RequestClassRegistry(all, to, names), added, changed, dropped);
    }

    /** The number that a client's class name stands for; -1 for a name that was never one. */
    public int number(String name) {
        Integer n = numbers.get(name);
        return n == null ? -1 : n;
    }

    /** All classes by number: what the director is given. */
    public List<RequestClass> classes() {
        return classes;
    }

    /** The longest that a request of any class may take, in milliseconds; 0 without classes. */
    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    }
}
