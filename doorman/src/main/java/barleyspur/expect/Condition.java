package barleyspur.expect;

import java.util.List;
import java.util.Set;

/** A condition on a routing event. */
public sealed interface Condition permits Condition.AllOf, Condition.AnyOf, Condition.Not, Condition.FieldTest {

    /** The kinds of events to which a condition applies. */
    enum EventKind {
        ANY,
        ATTEMPT,
        ANSWER
    }

    /**
     * Whether the condition holds for an event.
     *
     * @param triggerNode the box of the change that opened the window, or -1
     */
    boolean holds(RoutingEvent event, long triggerNode);

    /** The kind of events to which the condition applies. */
    EventKind eventKind();

    /** The first test, in the order of the file, that fails; null if the condition holds. */
    FieldTest firstFailure(RoutingEvent event, long triggerNode);

    /** Holds if all conditions hold; always holds for an empty list. */
    record AllOf(List<Condition> conditions) implements Condition {
        @Override
        public boolean holds(RoutingEvent event, long triggerNode) {
            for (Condition condition : conditions) {
                if (!condition.holds(event, triggerNode)) {
                    return false;
                }
            }
            return true;
        }

        @Override
        public EventKind eventKind() {
            return commonKind(conditions);
        }

        @Override
        public FieldTest firstFailure(RoutingEvent event, long triggerNode) {
            for (Condition condition : conditions) {
                FieldTest failure = condition.firstFailure(event, triggerNode);
                if (failure != null) {
                    return failure;
                }
            }
            return null;
        }
    }

    /** Holds if at least one condition holds. */
    record AnyOf(List<Condition> conditions) implements Condition {
        @Override
        public boolean holds(RoutingEvent event, long triggerNode) {
            for (Condition condition : conditions) {
                if (condition.holds(event, triggerNode)) {
                    return true;
                }
            }
            return false;
        }

        @Override
        public EventKind eventKind() {
            return commonKind(conditions);
        }

        @Override
        public FieldTest firstFailure(RoutingEvent event, long triggerNode) {
            return holds(event, triggerNode)
                    ? null
                    : conditions.get(conditions.size() - 1).firstFailure(event, triggerNode);
        }
    }

    /** Holds if the condition does not. */
    record Not(Condition condition) implements Condition {
        @Override
        public boolean holds(RoutingEvent event, long triggerNode) {
            return !condition.holds(event, triggerNode);
        }

        @Override
        public EventKind eventKind() {
            return condition.eventKind();
        }

        @Override
        public FieldTest firstFailure(RoutingEvent event, long triggerNode) {
            return holds(event, triggerNode) ? null : firstTest(condition);
        }
    }

    /**
     * One line of an expectation: a field and the values allowed for it. The test fails if the field has no value in
     * the event, such as the source of an attempt without a fill.
     *
     * @param location location in the expectation files, as {@code FILE:LINE: KEY}
     * @param text     the line for messages
     */
    record FieldTest(EventField field, Matcher matcher, String location, String text) implements Condition {
        @Override
        public boolean holds(RoutingEvent event, long triggerNode) {
            Object value = field.extract(event, triggerNode);
            return value != null && matcher.matches(value);
        }

        @Override
        public EventKind eventKind() {
            return field.eventKind();
        }

        @Override
        public FieldTest firstFailure(RoutingEvent event, long triggerNode) {
            return holds(event, triggerNode) ? null : this;
        }
    }

    /** Matches the values of a field. */
    sealed interface Matcher permits OneOfWords, Range, BooleanValue {
        /** Whether the value matches. */
        boolean matches(Object value);
    }

    /** Matches the given words or, if {@code negated}, all other words. */
    record OneOfWords(Set<String> words, boolean negated) implements Matcher {
        @Override
        public boolean matches(Object value) {
            return words.contains(value.toString()) != negated;
        }
    }

    /** Matches numbers between two bounds, which are included unless they are marked as exclusive. */
    record Range(double min, boolean minExclusive, double max, boolean maxExclusive) implements Matcher {
        @Override
        public boolean matches(Object value) {
            double number = ((Number) value).doubleValue();
            return (minExclusive ? number > min : number >= min) && (maxExclusive ? number < max : number <= max);
        }
    }

    /** Matches one boolean value. */
    record BooleanValue(boolean expected) implements Matcher {
        @Override
        public boolean matches(Object value) {
            return expected == (Boolean) value;
        }
    }

    private static EventKind commonKind(List<Condition> conditions) {
        EventKind kind = EventKind.ANY;
        for (Condition condition : conditions) {
            kind = condition.eventKind() == EventKind.ANY ? kind : condition.eventKind();
        }
        return kind;
    }

    private static FieldTest firstTest(Condition condition) {
        if (condition instanceof FieldTest test) {
            return test;
        }
        List<Condition> conditions = condition instanceof AllOf all
                ? all.conditions()
                : condition instanceof AnyOf either ? either.conditions() : List.of(((Not) condition).condition());
        return conditions.isEmpty() ? null : firstTest(conditions.get(0));
    }
}
