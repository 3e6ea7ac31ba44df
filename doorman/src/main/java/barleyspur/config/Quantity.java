package barleyspur.config;

import barleyspur.expect.Condition;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser of the durations, numbers and ranges of expectations: {@code "2s"}, {@code "drain_grace + 50ms"},
 * {@code "> 3"}, {@code "1s..3s"}. Names refer to numeric settings and to the definitions of {@code let} blocks.
 * Durations are in ms.
 */
final class Quantity {

    private static final Pattern TERM = Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)\\s*(ms|s|min|h|%)?");
    private static final Pattern NAME = Pattern.compile("[a-z_][a-zA-Z0-9_.-]*");

    private final Map<String, Double> names;

    Quantity(Map<String, Double> names) {
        this.names = names;
    }

    /** Parses a single number or duration. */
    double of(Hcl.Value value) throws Hcl.Invalid {
        return value.value() instanceof Double d ? d : sum(value, value.text());
    }

    /** Parses a range or a comparison; without an operator it matches exactly that number. */
    Condition.Range range(Hcl.Value value) throws Hcl.Invalid {
        if (value.value() instanceof Double d) {
            return new Condition.Range(d, false, d, false);
        }
        String text = value.text().strip();
        int dots = text.indexOf("..");
        if (dots >= 0) {
            return new Condition.Range(
                    sum(value, text.substring(0, dots)), false, sum(value, text.substring(dots + 2)), false);
        }
        double infinity = Double.POSITIVE_INFINITY;
        if (text.startsWith(">=")) {
            return new Condition.Range(sum(value, text.substring(2)), false, infinity, false);
        } else if (text.startsWith(">")) {
            return new Condition.Range(sum(value, text.substring(1)), true, infinity, false);
        } else if (text.startsWith("<=")) {
            return new Condition.Range(-infinity, false, sum(value, text.substring(2)), false);
        } else if (text.startsWith("<")) {
            return new Condition.Range(-infinity, false, sum(value, text.substring(1)), true);
        }
        double exactly = sum(value, text.startsWith("=") ? text.substring(1) : text);
        return new Condition.Range(exactly, false, exactly, false);
    }

    private double sum(Hcl.Value value, String text) throws Hcl.Invalid {
        double sum = 0;
        int sign = 1;
        String[] words = text.strip().split("\\s+(?=[+-]\\s)|(?<=\\s[+-])\\s+");
        for (String word : words) {
            if (word.equals("+") || word.equals("-")) {
                sign = word.equals("+") ? 1 : -1;
            } else {
                sum += sign * product(value, word);
            }
        }
        return sum;
    }

    private double product(Hcl.Value value, String text) throws Hcl.Invalid {
        double product = 1;
        for (String factor : text.split("\\s*\\*\\s*")) {
            product *= term(value, factor.strip());
        }
        return product;
    }

    private double term(Hcl.Value value, String text) throws Hcl.Invalid {
        Matcher m = TERM.matcher(text);
        if (m.matches()) {
            double unit = m.group(2) == null
                    ? 1
                    : switch (m.group(2)) {
                        case "s" -> 1_000;
                        case "min" -> 60_000;
                        case "h" -> 3_600_000;
                        case "%" -> 0.01;
                        default -> 1;
                    };
            return Double.parseDouble(m.group(1)) * unit;
        }
        Double named = names.get(text);
        if (named != null) {
            return named;
        }
        throw value.invalid(
                NAME.matcher(text).matches()
                        ? "names " + text + ", which nothing defines" + Hcl.near(text, names.keySet())
                        : "is no time or number: '" + text + "'");
    }
}
