package barleyspur.reload;

import barleyspur.decision.RoutingPolicy.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The request classes of a running doorman: the classes by number, as the routing policy knows them, and the current
 * number of each class name. Reloaded settings may add, drop and reorder classes and change their effects. A number
 * keeps its class for the lifetime of the process, so an open request keeps the class that it was accepted under. A
 * new or changed class gets the next free number. A name that is dropped from the settings keeps its last class,
 * since clients may use it for a while after the change. This class has no I/O, clock or randomness and is
 * immutable: an update creates a new instance.
 */
public final class RequestClassRegistry {

    /**
     * The result of an update: the new registry, and the names of the classes that were added, changed and dropped, for
     * the log.
     */
    public record Update(
            RequestClassRegistry registry, List<String> added, List<String> changed, List<String> dropped) {

        /** Returns whether the update left all classes as they were. */
        public boolean isUnchanged() {
            return added.isEmpty() && changed.isEmpty() && dropped.isEmpty();
        }
    }

    private final List<RequestClass> classes;
    /** The current number of each class name. */
    private final Map<String, Integer> numbers;
    /** The class names in the latest settings, in their order. */
    private final List<String> latestNames;

    private RequestClassRegistry(List<RequestClass> classes, Map<String, Integer> numbers, List<String> latestNames) {
        this.classes = List.copyOf(classes);
        this.numbers = Map.copyOf(numbers);
        this.latestNames = List.copyOf(latestNames);
    }

    /** Creates the registry at process start; the numbers are the places of the classes in the settings. */
    public static RequestClassRegistry of(List<String> names, List<RequestClass> classes) {
        if (names.size() != classes.size()) {
            throw new IllegalArgumentException(names.size() + " class names for " + classes.size() + " classes");
        }
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            if (numbers.put(names.get(i), i) != null) {
                throw new IllegalArgumentException("class " + names.get(i) + " is defined twice");
            }
        }
        return new RequestClassRegistry(classes, numbers, names);
    }

    /** Returns the registry for changed settings with these classes, and what changed. */
    public Update update(List<String> names, List<RequestClass> nextClasses) {
        RequestClassRegistry latest = of(names, nextClasses);
        List<RequestClass> allClasses = new ArrayList<>(classes);
        Map<String, Integer> nextNumbers = new HashMap<>(numbers);
        List<String> added = new ArrayList<>();
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i);
            Integer previousNumber = numbers.get(name);
            if (previousNumber != null && classes.get(previousNumber).equals(nextClasses.get(i))) {
                continue;
            }
            (previousNumber == null ? added : changed).add(name);
            nextNumbers.put(name, allClasses.size());
            allClasses.add(nextClasses.get(i));
        }
        List<String> dropped = new ArrayList<>(latestNames);
        dropped.removeAll(latest.latestNames);
        return new Update(new RequestClassRegistry(allClasses, nextNumbers, names), added, changed, dropped);
    }

    /** Returns the number of the class with this name, or -1 if the name was never defined. */
    public int numberOf(String name) {
        Integer number = numbers.get(name);
        return number == null ? -1 : number;
    }

    /** Returns all classes by number, as passed to the routing policy. */
    public List<RequestClass> classes() {
        return classes;
    }

    /** Returns the longest deadline of all classes in milliseconds; 0 without classes. */
    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    }
}
