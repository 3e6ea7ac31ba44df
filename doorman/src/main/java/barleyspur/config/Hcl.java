package barleyspur.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Parser for the HCL files of this program, based on hcl4j. That library accepts malformed input (a block without an
 * end, a sum of which it keeps only a part) and reports no line numbers. Therefore a first pass over the text records
 * the line of each key and block, and accepts only the supported subset: blocks with quoted labels, and keys whose
 * values are strings, numbers, booleans, or lists of these.
 */
public final class Hcl {

    /** Signals an invalid file; the message begins with {@code FILE:LINE:} and names the key or block. */
    public static final class InvalidHclException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception for an error on a line of a file. */
        public InvalidHclException(String file, int line, String message) {
            super(file + ":" + line + ": " + message);
        }
    }

    /**
     * A value with its location in the file.
     *
     * @param value a {@link String}, {@link Double}, {@link Boolean} or a {@link List} of these
     */
    public record Value(String file, int line, String key, Object value) {

        /** Creates an exception whose message begins with this location. */
        public InvalidHclException invalid(String message) {
            return new InvalidHclException(file, line, "key " + key + " " + message);
        }

        /** Returns the location as {@code FILE:LINE}. */
        public String location() {
            return file + ":" + line;
        }

        /** Returns the value if it is a string; throws if it is not. */
        public String asString() throws InvalidHclException {
            if (value instanceof String string) {
                return string;
            }
            throw invalid("is not a string: " + value);
        }

        /** Returns the value if it is a number; throws if it is not. */
        public double asNumber() throws InvalidHclException {
            if (value instanceof Double number) {
                return number;
            }
            throw invalid("is not a number: " + value);
        }

        /** Returns the value if it is a boolean; throws if it is not. */
        public boolean asBoolean() throws InvalidHclException {
            if (value instanceof Boolean flag) {
                return flag;
            }
            throw invalid("is neither true nor false: " + value);
        }

        /** Returns the value as a list of strings; a single string counts as a list of one. */
        public List<String> asStrings() throws InvalidHclException {
            List<String> strings = new ArrayList<>();
            for (Object item : value instanceof List<?> list ? list : List.of(value)) {
                if (!(item instanceof String string)) {
                    throw invalid("contains an item that is not a string: " + item);
                }
                strings.add(string);
            }
            return strings;
        }
    }

    /** A block, or the root of a file, whose {@code type} is empty. */
    public static final class Block {
        private final String file;
        private final int line;
        private final String type;
        private final List<String> labels;
        private final Map<String, Value> values = new LinkedHashMap<>();
        private final List<Block> blocks = new ArrayList<>();
        private final Set<String> knownKeys = new HashSet<>();

        private Block(String file, int line, String type, List<String> labels) {
            this.file = file;
            this.line = line;
            this.type = type;
            this.labels = labels;
        }

        /** Returns the identifier that the block begins with. */
        public String type() {
            return type;
        }

        /** Returns the line on which the block begins. */
        public int line() {
            return line;
        }

        /** Returns the location as {@code FILE:LINE}. */
        public String location() {
            return file + ":" + line;
        }

        /** Creates an exception whose message begins with this location. */
        public InvalidHclException invalid(String message) {
            return new InvalidHclException(file, line, (type.isEmpty() ? "" : "block " + type + " ") + message);
        }

        /** Returns the label of the block; throws if it has none or several. */
        public String label() throws InvalidHclException {
            if (labels.size() != 1) {
                throw invalid("needs one label in quotes, as in " + type + " \"name\" { ... }");
            }
            return labels.get(0);
        }

        /** Returns the value of a key, or null if the block doesn't have it; marks the key as known. */
        public Value value(String key) {
            knownKeys.add(key);
            return values.get(key);
        }

        /** Returns the number of a key, or {@code defaultValue} if it is missing; throws if it is out of range. */
        public double number(String key, double defaultValue, double min, double max) throws InvalidHclException {
            Value value = value(key);
            double number = value == null ? defaultValue : value.asNumber();
            if (!(number >= min && number <= max)) {
                throw value.invalid("is out of range: " + number + " is not from " + min + " to " + max);
            }
            return number;
        }

        /** Returns all values in the order of the file, and marks their keys as known. */
        public Collection<Value> values() {
            knownKeys.addAll(values.keySet());
            return values.values();
        }

        /** Returns the blocks inside this one, in the order of the file. */
        public List<Block> blocks() {
            return blocks;
        }

        /** Returns the blocks of a type inside this one. */
        public List<Block> blocks(String wanted) {
            return blocks.stream().filter(b -> b.type.equals(wanted)).toList();
        }

        /** Rejects keys that the caller has not asked for, and blocks of other than these types. */
        public void rejectUnknown(Collection<String> types) throws InvalidHclException {
            for (Value value : values.values()) {
                if (!knownKeys.contains(value.key)) {
                    throw new InvalidHclException(
                            file,
                            value.line,
                            "key " + value.key + " is unknown" + (type.isEmpty() ? "" : " in block " + type)
                                    + suggestion(value.key, knownKeys));
                }
            }
            for (Block block : blocks) {
                if (!types.contains(block.type)) {
                    throw new InvalidHclException(
                            file,
                            block.line,
                            "block " + block.type + " is unknown" + (type.isEmpty() ? "" : " in block " + type)
                                    + suggestion(block.type, types));
                }
            }
        }
    }

    private static final Pattern DURATION = Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)(ms|s|min|h)");

    /** Parses a duration such as {@code 500ms}, {@code 2s} or {@code 10min} to ms; returns NaN if it isn't one. */
    public static double parseMillis(String text) {
        Matcher matcher = DURATION.matcher(text.strip());
        if (!matcher.matches()) {
            return Double.NaN;
        }
        return Double.parseDouble(matcher.group(1))
                * switch (matcher.group(2)) {
                    case "ms" -> 1;
                    case "s" -> 1_000;
                    case "min" -> 60_000;
                    default -> 3_600_000;
                };
    }

    /** Returns the end of an error message: the known name closest to an unknown one, or else all known names. */
    public static String suggestion(String name, Collection<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(Math.max(2, name.length() / 3));
        String closest = null;
        int smallest = Integer.MAX_VALUE;
        for (String candidate : known) {
            int candidateDistance = distance.apply(name, candidate);
            if (candidateDistance >= 0 && candidateDistance < smallest) {
                smallest = candidateDistance;
                closest = candidate;
            }
        }
        return closest != null
                ? ": did you mean " + closest + "?"
                : ": known are " + known.stream().sorted().collect(Collectors.joining(", "));
    }

    private final String file;
    private final String text;
    private int position;
    private int line = 1;

    private Hcl(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /** Parses {@code text} and returns its root; {@code file} is the name for error messages. */
    public static Block read(String file, String text) throws InvalidHclException {
        Block root = new Block(file, 1, "", List.of());
        Hcl hcl = new Hcl(file, text);
        hcl.parseBody(root, 0);
        try {
            fillValues(root, new HCLParser().parse(text, false));
        } catch (HCLParserException | IOException | RuntimeException e) {
            throw new InvalidHclException(file, 1, "is not valid HCL: " + e.getMessage());
        }
        return root;
    }

    // ---- first pass: syntax and lines ------------------------------------------------------------------

    private InvalidHclException error(String message) {
        return new InvalidHclException(file, line, message);
    }

    private void parseBody(Block parent, int depth) throws InvalidHclException {
        for (skipBlanks(true); position < text.length() && text.charAt(position) != '}'; skipBlanks(true)) {
            int startLine = line;
            String name = parseName();
            skipBlanks(false);
            if (peek() == '=') {
                position++;
                skipBlanks(false);
                if (parent.values.containsKey(name)) {
                    throw error("key " + name + " stands twice");
                }
                int from = position;
                scanExpression(name);
                parent.values.put(name, new Value(file, startLine, name, text.substring(from, position)));
                checkRestOfLine(name);
            } else {
                parseBlock(parent, name, startLine, depth);
            }
        }
        if (depth > 0 && position >= text.length()) {
            throw new InvalidHclException(file, parent.line, "block " + parent.type + " has no end: a } is missing");
        }
        if (depth == 0 && position < text.length()) {
            throw error("a } without a {");
        }
    }

    private void parseBlock(Block parent, String name, int startLine, int depth) throws InvalidHclException {
        List<String> labels = new ArrayList<>();
        while (peek() == '"') {
            int from = position;
            scanString(name);
            labels.add(text.substring(from + 1, position - 1));
            skipBlanks(false);
        }
        if (peek() != '{') {
            throw error("name " + name + " is not followed by = or a block");
        }
        position++;
        Block block = new Block(file, startLine, name, List.copyOf(labels));
        parent.blocks.add(block);
        parseBody(block, depth + 1);
        position++;
    }

    private String parseName() throws InvalidHclException {
        int from = position;
        while (position < text.length() && (Character.isLetterOrDigit(peek()) || peek() == '_' || peek() == '-')) {
            position++;
        }
        if (from == position) {
            throw error("expected a name, not " + peek());
        }
        return text.substring(from, position);
    }

    private void scanExpression(String key) throws InvalidHclException {
        if (peek() == '"') {
            scanString(key);
        } else if (peek() == '[') {
            position++;
            for (skipBlanks(true); peek() != ']'; skipBlanks(true)) {
                if (position >= text.length()) {
                    throw error("key " + key + ": a list has no end");
                }
                scanExpression(key);
                skipBlanks(true);
                if (peek() == ',') {
                    position++;
                } else if (peek() != ']') {
                    throw error("key " + key + ": between items of a list comes a comma");
                }
            }
            position++;
        } else {
            int from = position;
            while (position < text.length() && " \t\r\n,]}#".indexOf(peek()) < 0) {
                position++;
            }
            String plain = text.substring(from, position);
            if (!plain.matches("-?[0-9]+(\\.[0-9]+)?|true|false")) {
                throw error(
                        "key " + key + " is neither a number, true, false, a string in quotes nor a list: " + plain);
            }
        }
    }

    private void scanString(String key) throws InvalidHclException {
        position++;
        while (peek() != '"') {
            if (position >= text.length() || peek() == '\n') {
                throw error("key " + key + ": a string has no end");
            }
            if (peek() == '$' && text.startsWith("${", position)) {
                throw error("key " + key + ": strings are taken as they are, without ${...}");
            }
            position += peek() == '\\' ? 2 : 1;
        }
        position++;
    }

    /** Rejects anything but a comment or the end of the block between a value and the end of its line. */
    private void checkRestOfLine(String key) throws InvalidHclException {
        skipBlanks(false);
        if (position < text.length() && peek() != '\n' && peek() != '}') {
            throw error("key " + key + ": after its value comes " + peek());
        }
    }

    private char peek() {
        return position < text.length() ? text.charAt(position) : 0;
    }

    private void skipBlanks(boolean includingLineEnds) {
        while (position < text.length()) {
            char character = peek();
            if (character == '#' || text.startsWith("//", position)) {
                while (position < text.length() && peek() != '\n') {
                    position++;
                }
            } else if (character == '\n' && includingLineEnds) {
                line++;
                position++;
            } else if (character == ' ' || character == '\t' || character == '\r') {
                position++;
            } else {
                return;
            }
        }
    }

    // ---- second pass: values from hcl4j ----------------------------------------------------------------

    private static void fillValues(Block block, Map<?, ?> parsed) throws InvalidHclException {
        for (Map.Entry<String, Value> entry : block.values.entrySet()) {
            Value value = entry.getValue();
            entry.setValue(new Value(value.file, value.line, value.key, convertValue(parsed.get(value.key), value)));
        }
        for (int i = 0; i < block.blocks.size(); i++) {
            Block child = block.blocks.get(i);
            Object node = parsed.get(child.type);
            for (String label : child.labels) {
                node = node instanceof Map<?, ?> map ? map.get(label) : null;
            }
            if (node instanceof List<?> list) {
                int index = 0;
                for (Block previous : block.blocks.subList(0, i)) {
                    index += previous.type.equals(child.type) && previous.labels.equals(child.labels) ? 1 : 0;
                }
                node = list.get(index);
            }
            if (!(node instanceof Map<?, ?> map)) {
                throw child.invalid("can't be read: some blocks of this type have labels and others have none");
            }
            fillValues(child, map);
        }
    }

    private static Object convertValue(Object parsed, Value source) throws InvalidHclException {
        if (parsed instanceof String || parsed instanceof Boolean) {
            return parsed;
        }
        if (parsed instanceof Number number) {
            return number.doubleValue();
        }
        if (parsed instanceof List<?> list) {
            List<Object> items = new ArrayList<>();
            for (Object item : list) {
                items.add(convertValue(item, source));
            }
            return List.copyOf(items);
        }
        throw source.invalid("can't be read: " + source.value);
    }
}
