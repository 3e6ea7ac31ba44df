package barleyspur.expect;

import java.util.List;
import java.util.Set;

/** What an expectation asks of a moment. */
public sealed interface Condition permits Condition.All, Condition.Either, Condition.Not, Condition.Test {

    /** Of which moments it speaks. */
    enum Kind {
        ANY,
        ATTEMPT,
        ANSWER
    }

    /**
     * Whether it holds of a moment.
     *
     * @param trigger the box of the change that opened the window, or -1
     */
    boolean holds(Moment moment, long trigger);

    /** What kind of values it compares. */
    Kind kind();

    /** The first part of it, in the order of the file, that does not hold; null where it holds. */
    Test broken(Moment moment, long trigger);

    /** Each of them holds; of none it holds always. */
    record All(List<Condition> parts) implements Condition {
        @Override
        public boolean holds(Moment moment, long trigger) {
            for (Condition part : parts) {
                if (!part.holds(moment, trigger)) {
                    return false;
                }
            }
            return true;
        }

        @Override
        public Kind kind() {
            return common(parts);
        }

        @Override
        public Test broken(Moment moment, long trigger) {
            for (Condition part : parts) {
                Test broken = part.broken(moment, trigger);
                if (broken != null) {
                    return broken;
                }
            }
            return null;
        }
    }

    /** At least one of them holds. */
    record Either(List<Condition> parts) implements Condition {
        @Override
        public boolean holds(Moment moment, long trigger) {
            for (Condition part : parts) {
                if (part.holds(moment, trigger)) {
                    return true;
                }
            }
            return false;
        }

        @Override
        public Kind kind() {
            return common(parts);
        }

        @Override
        public Test broken(Moment moment, long trigger) {
            return holds(moment, trigger) ? null : parts.get(parts.size() - 1).broken(moment, trigger);
        }
    }

    /** It does not hold. */
    record Not(Condition part) implements Condition {
        @Override
        public boolean holds(Moment moment, long trigger) {
            return !part.holds(moment, trigger);
        }

        @Override
        public Kind kind() {
            return part.kind();
        }

        @Override
        public Test broken(Moment moment, long trigger) {
            return holds(moment, trigger) ? null : first(part);
        }
    }

    /**
     * One line of an expectation: a field and what its value is to be. A field that has no value at that moment
     * (the source, where nothing is filled) fails every test.
     *
     * @param place where it stands, as {@code FILE:LINE: KEY}
     */
    record Test(Field field, Matcher matcher, String place, String text) implements Condition {
        @Override
        public boolean holds(Moment moment, long trigger) {
            Object value = field.of(moment, trigger);
            return value != null && matcher.matches(value);
        }

        @Override
        public Kind kind() {
            return field.kind();
        }

        @Override
        public Test broken(Moment moment, long trigger) {
            return holds(moment, trigger) ? null : this;
        }
    }

    /** What a value is compared with. */
    sealed interface Matcher permits Words, Range, Flag {
        /** Whether a value meets it. */
        boolean matches(Object value);
    }

    /** One of these words, or with {@code not} none of them. */
    record Words(Set<String> words, boolean not) implements Matcher {
        @Override
        public boolean matches(Object value) {
            return words.contains(value.toString()) != not;
        }
    }

    /** From least to most; ends that are not {@code open} belong to it. */
    record Range(double least, boolean leastOpen, double most, boolean mostOpen) implements Matcher {
        @Override
        public boolean matches(Object value) {
            double v = ((Number) value).doubleValue();
            return (leastOpen ? v > least : v >= least) && (mostOpen ? v < most : v <= most);
        }
    }

    /** Exactly this. */
    record Flag(boolean wanted) implements Matcher {
        @Override
        public boolean matches(Object value) {
            return wanted == (Boolean) value;
        }
    }

    private static Kind common(List<Condition> parts) {
        Kind kind = Kind.ANY;
        for (Condition part : parts) {
            kind = part.kind() == Kind.ANY ? kind : part.kind();
        }
        return kind;
    }

    private static Test first(Condition condition) {
        if (condition instanceof Test test) {
            return test;
        }
        List<Condition> parts = condition instanceof All all
                ? all.parts()
                : condition instanceof Either either ? either.parts() : List.of(((Not) condition).part());
        return parts.isEmpty() ? null : first(parts.get(0));
    }
}
