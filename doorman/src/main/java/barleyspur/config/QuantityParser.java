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
final class QuantityParser {

    private static final Pattern TERM = Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)\\s*(ms|s|min|h|%)?");
    private static final Pattern NAME = Pattern.compile("[a-z_][a-zA-Z0-9_.-]*");

    private final Map<String, Double> namedValues;

    QuantityParser(Map<String, Double> namedValues) {
        this.namedValues = namedValues;
    }

    /** Parses a single number or duration. */
    double parse(Hcl.Value value) throws Hcl.InvalidHclException {
        return value.value() instanceof Double number ? number : evaluateSum(value, value.asString());
    }

    /** Parses a range or a comparison; without an operator it matches exactly that number. */
    Condition.Range parseRange(Hcl.Value value) throws Hcl.InvalidHclException {
        if (value.value() instanceof Double number) {
            return new Condition.Range(number, false, number, false);
        }
        String text = value.asString().strip();
        int dots = text.indexOf("..");
        if (dots >= 0) {
            return new Condition.Range(
                    evaluateSum(value, text.substring(0, dots)),
                    false,
                    evaluateSum(value, text.substring(dots + 2)),
                    false);
        }
        double infinity = Double.POSITIVE_INFINITY;
        if (text.startsWith(">=")) {
            return new Condition.Range(evaluateSum(value, text.substring(2)), false, infinity, false);
        } else if (text.startsWith(">")) {
            return new Condition.Range(evaluateSum(value, text.substring(1)), true, infinity, false);
        } else if (text.startsWith("<=")) {
            return new Condition.Range(-infinity, false, evaluateSum(value, text.substring(2)), false);
        } else if (text.startsWith("<")) {
            return new Condition.Range(-infinity, false, evaluateSum(value, text.substring(1)), true);
        }
        double exactly = evaluateSum(value, text.startsWith("=") ? text.substring(1) : text);
        return new Condition.Range(exactly, false, exactly, false);
    }

    private double evaluateSum(Hcl.Value value, String text) throws Hcl.InvalidHclException {
        double sum = 0;
        int sign = 1;
        String[] tokens = text.strip().split("\\s+(?=[+-]\\s)|(?<=\\s[+-])\\s+");
        for (String token : tokens) {
            if (token.equals("+") || token.equals("-")) {
                sign = token.equals("+") ? 1 : -1;
            } else {
                sum += sign * evaluateProduct(value, token);
            }
        }
        return sum;
    }

    private double evaluateProduct(Hcl.Value value, String text) throws Hcl.InvalidHclException {
        double product = 1;
        for (String factor : text.split("\\s*\\*\\s*")) {
            product *= evaluateTerm(value, factor.strip());
        }
        return product;
    }

    private double evaluateTerm(Hcl.Value value, String text) throws Hcl.InvalidHclException {
        Matcher matcher = TERM.matcher(text);
        if (matcher.matches()) {
            double unit = matcher.group(2) == null
                    ? 1
                    : switch (matcher.group(2)) {
                        case "s" -> 1_000;
                        case "min" -> 60_000;
                        case "h" -> 3_600_000;
                        case "%" -> 0.01;
                        default -> 1;
                    };
            return Double.parseDouble(matcher.group(1)) * unit;
        }
        Double named = namedValues.get(text);
        if (named != null) {
            return named;
        }
        throw value.invalid(
                NAME.matcher(text).matches()
                        ? "names " + text + ", which nothing defines" + Hcl.suggestion(text, namedValues.keySet())
                        : "is no time or number: '" + text + "'");
    }
}
