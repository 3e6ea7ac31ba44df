package barleyspur.expect;

import java.util.List;
import java.util.Set;

/** What an expectation asks of a moment. */
public sealed interface Condition permits Condition.AllOf, Condition.AnyOf, Condition.Not, Condition.FieldTest {

    /** Of which moments it speaks. */
    enum EventKind {
        ANY,
        ATTEMPT,
        ANSWER
    }

    /**
     * Whether it holds of a moment.
     *
     * @param triggerNode the box of the change that opened the window, or -1
     */
    boolean holds(RoutingEvent event, long triggerNode);

    /** What kind of values it compares. */
    EventKind eventKind();

    /** The first part of it, in the order of the file, that does not hold; null where it holds. */
    FieldTest firstFailure(RoutingEvent event, long triggerNode);

    /** Each of them holds; of none it holds always. */
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

    /** At least one of them holds. */
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

    /** It does not hold. */
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
     * One line of an expectation: a field and what its value is to be. A field that has no value at that moment
     * (the source, where nothing is filled) fails every test.
     *
     * @param location where it stands, as {@code FILE:LINE: KEY}
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

    /** What a value is compared with. */
    sealed interface Matcher permits OneOfWords, Range, BooleanValue {
        /** Whether a value meets it. */
        boolean matches(Object value);
    }

    /** One of these words, or with {@code not} none of them. */
    record OneOfWords(Set<String> words, boolean negated) implements Matcher {
        @Override
        public boolean matches(Object value) {
            return words.contains(value.toString()) != negated;
        }
    }

    /** From least to most; ends that are not {@code open} belong to it. */
    record Range(double min, boolean minExclusive, double max, boolean maxExclusive) implements Matcher {
        @Override
        public boolean matches(Object value) {
            double number = ((Number) value).doubleValue();
            return (minExclusive ? number > min : number >= min) && (maxExclusive ? number < max : number <= max);
        }
    }

    /** Exactly this. */
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
