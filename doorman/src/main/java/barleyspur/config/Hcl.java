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
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception for an error on a line of a file. */
        public Invalid(String file, int line, String message) {
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
        public Invalid invalid(String message) {
            return new Invalid(file, line, "key " + key + " " + message);
        }

        /** Returns the location as {@code FILE:LINE}. */
        public String place() {
            return file + ":" + line;
        }

        /** Returns the value if it is a string; throws if it is not. */
        public String text() throws Invalid {
            if (value instanceof String s) {
                return s;
            }
            throw invalid("is not a string: " + value);
        }

        /** Returns the value if it is a number; throws if it is not. */
        public double number() throws Invalid {
            if (value instanceof Double d) {
                return d;
            }
            throw invalid("is not a number: " + value);
        }

        /** Returns the value if it is a boolean; throws if it is not. */
        public boolean flag() throws Invalid {
            if (value instanceof Boolean b) {
                return b;
            }
            throw invalid("is neither true nor false: " + value);
        }

        /** Returns the value as a list of strings; a single string counts as a list of one. */
        public List<String> texts() throws Invalid {
            List<String> texts = new ArrayList<>();
            for (Object item : value instanceof List<?> list ? list : List.of(value)) {
                if (!(item instanceof String s)) {
                    throw invalid("contains an item that is not a string: " + item);
                }
                texts.add(s);
            }
            return texts;
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
        private final Set<String> asked = new HashSet<>();

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
        public String place() {
            return file + ":" + line;
        }

        /** Creates an exception whose message begins with this location. */
        public Invalid invalid(String message) {
            return new Invalid(file, line, (type.isEmpty() ? "" : "block " + type + " ") + message);
        }

        /** Returns the label of the block; throws if it has none or several. */
        public String label() throws Invalid {
            if (labels.size() != 1) {
                throw invalid("needs one label in quotes, as in " + type + " \"name\" { ... }");
            }
            return labels.get(0);
        }

        /** Returns the value of a key, or null if the block doesn't have it; marks the key as known. */
        public Value value(String key) {
            asked.add(key);
            return values.get(key);
        }

        /** Returns the number of a key, or {@code defaultValue} if it is missing; throws if it is out of range. */
        public double number(String key, double otherwise, double least, double most) throws Invalid {
            Value v = value(key);
            double number = v == null ? otherwise : v.number();
            if (!(number >= least && number <= most)) {
                throw v.invalid("is out of range: " + number + " is not from " + least + " to " + most);
            }
            return number;
        }

        /** Returns all values in the order of the file, and marks their keys as known. */
        public Collection<Value> values() {
            asked.addAll(values.keySet());
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
        public void close(Collection<String> types) throws Invalid {
            for (Value v : values.values()) {
                if (!asked.contains(v.key)) {
                    throw new Invalid(
                            file,
                            v.line,
                            "key " + v.key + " is unknown" + (type.isEmpty() ? "" : " in block " + type)
                                    + near(v.key, asked));
                }
            }
            for (Block b : blocks) {
                if (!types.contains(b.type)) {
                    throw new Invalid(
                            file,
                            b.line,
                            "block " + b.type + " is unknown" + (type.isEmpty() ? "" : " in block " + type)
                                    + near(b.type, types));
                }
            }
        }
    }

    private static final Pattern TIME = Pattern.compile("(-?[0-9]+(?:\\.[0-9]+)?)(ms|s|min|h)");

    /** Parses a duration such as {@code 500ms}, {@code 2s} or {@code 10min} to ms; returns NaN if it isn't one. */
    public static double millis(String text) {
        Matcher m = TIME.matcher(text.strip());
        if (!m.matches()) {
            return Double.NaN;
        }
        return Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "ms" -> 1;
                    case "s" -> 1_000;
                    case "min" -> 60_000;
                    default -> 3_600_000;
                };
    }

    /** Returns the end of an error message: the known name closest to an unknown one, or else all known names. */
    public static String near(String name, Collection<String> known) {
        LevenshteinDistance distance = new LevenshteinDistance(Math.max(2, name.length() / 3));
        String best = null;
        int least = Integer.MAX_VALUE;
        for (String candidate : known) {
            int d = distance.apply(name, candidate);
            if (d >= 0 && d < least) {
                least = d;
                best = candidate;
            }
        }
        return best != null
                ? ": did you mean " + best + "?"
                : ": known are " + known.stream().sorted().collect(Collectors.joining(", "));
    }

    private final String file;
    private final String text;
    private int at;
    private int line = 1;

    private Hcl(String file, String text) {
        this.file = file;
        this.text = text;
    }

    /** Parses {@code text} and returns its root; {@code file} is the name for error messages. */
    public static Block read(String file, String text) throws Invalid {
        Block root = new Block(file, 1, "", List.of());
        Hcl hcl = new Hcl(file, text);
        hcl.body(root, 0);
        try {
            fill(root, new HCLParser().parse(text, false));
        } catch (HCLParserException | IOException | RuntimeException e) {
            throw new Invalid(file, 1, "is not valid HCL: " + e.getMessage());
        }
        return root;
    }

    // ---- first pass: syntax and lines ------------------------------------------------------------------

    private Invalid wrong(String message) {
        return new Invalid(file, line, message);
    }

    private void body(Block into, int depth) throws Invalid {
        for (skip(true); at < text.length() && text.charAt(at) != '}'; skip(true)) {
            int start = line;
            String name = word();
            skip(false);
            if (peek() == '=') {
                at++;
                skip(false);
                if (into.values.containsKey(name)) {
                    throw wrong("key " + name + " stands twice");
                }
                int from = at;
                expression(name);
                into.values.put(name, new Value(file, start, name, text.substring(from, at)));
                end(name);
            } else {
                block(into, name, start, depth);
            }
        }
        if (depth > 0 && at >= text.length()) {
            throw new Invalid(file, into.line, "block " + into.type + " has no end: a } is missing");
        }
        if (depth == 0 && at < text.length()) {
            throw wrong("a } without a {");
        }
    }

    private void block(Block into, String name, int start, int depth) throws Invalid {
        List<String> labels = new ArrayList<>();
        while (peek() == '"') {
            int from = at;
            string(name);
            labels.add(text.substring(from + 1, at - 1));
            skip(false);
        }
        if (peek() != '{') {
            throw wrong("expected = or a block after " + name);
        }
        at++;
        Block block = new Block(file, start, name, List.copyOf(labels));
        into.blocks.add(block);
        body(block, depth + 1);
        at++;
    }

    private String word() throws Invalid {
        int from = at;
        while (at < text.length() && (Character.isLetterOrDigit(peek()) || peek() == '_' || peek() == '-')) {
            at++;
        }
        if (from == at) {
            throw wrong("expected a name, not " + peek());
        }
        return text.substring(from, at);
    }

    private void expression(String key) throws Invalid {
        if (peek() == '"') {
            string(key);
        } else if (peek() == '[') {
            at++;
            for (skip(true); peek() != ']'; skip(true)) {
                if (at >= text.length()) {
                    throw wrong("key " + key + ": a list has no end");
                }
                expression(key);
                skip(true);
                if (peek() == ',') {
                    at++;
                } else if (peek() != ']') {
                    throw wrong("key " + key + ": between items of a list comes a comma");
                }
            }
            at++;
        } else {
            int from = at;
            while (at < text.length() && " \t\r\n,]}#".indexOf(peek()) < 0) {
                at++;
            }
            String plain = text.substring(from, at);
            if (!plain.matches("-?[0-9]+(\\.[0-9]+)?|true|false")) {
                throw wrong(
                        "key " + key + " is neither a number, true, false, a string in quotes nor a list: " + plain);
            }
        }
    }

    private void string(String key) throws Invalid {
        at++;
        while (peek() != '"') {
            if (at >= text.length() || peek() == '\n') {
                throw wrong("key " + key + ": a string has no end");
            }
            if (peek() == '$' && text.startsWith("${", at)) {
                throw wrong("key " + key + ": strings are taken as they are, without ${...}");
            }
            at += peek() == '\\' ? 2 : 1;
        }
        at++;
    }

    /** Rejects anything but a comment or the end of the block between a value and the end of its line. */
    private void end(String key) throws Invalid {
        skip(false);
        if (at < text.length() && peek() != '\n' && peek() != '}') {
            throw wrong("key " + key + ": after its value comes " + peek());
        }
    }

    private char peek() {
        return at < text.length() ? text.charAt(at) : 0;
    }

    private void skip(boolean lines) {
        while (at < text.length()) {
            char c = peek();
            if (c == '#' || text.startsWith("//", at)) {
                while (at < text.length() && peek() != '\n') {
                    at++;
                }
            } else if (c == '\n' && lines) {
                line++;
                at++;
            } else if (c == ' ' || c == '\t' || c == '\r') {
                at++;
            } else {
                return;
            }
        }
    }

    // ---- second pass: values from hcl4j ----------------------------------------------------------------

    private static void fill(Block block, Map<?, ?> parsed) throws Invalid {
        for (Map.Entry<String, Value> e : block.values.entrySet()) {
            Value v = e.getValue();
            e.setValue(new Value(v.file, v.line, v.key, value(parsed.get(v.key), v)));
        }
        for (int i = 0; i < block.blocks.size(); i++) {
            Block b = block.blocks.get(i);
            Object at = parsed.get(b.type);
            for (String label : b.labels) {
                at = at instanceof Map<?, ?> map ? map.get(label) : null;
            }
            if (at instanceof List<?> list) {
                int place = 0;
                for (Block before : block.blocks.subList(0, i)) {
                    place += before.type.equals(b.type) && before.labels.equals(b.labels) ? 1 : 0;
                }
                at = list.get(place);
            }
            if (!(at instanceof Map<?, ?> map)) {
                throw b.invalid("can't be read: some blocks of this type have labels and others have none");
            }
            fill(b, map);
        }
    }

    private static Object value(Object parsed, Value of) throws Invalid {
        if (parsed instanceof String || parsed instanceof Boolean) {
            return parsed;
        }
        if (parsed instanceof Number n) {
            return n.doubleValue();
        }
        if (parsed instanceof List<?> list) {
            List<Object> items = new ArrayList<>();
            for (Object item : list) {
                items.add(value(item, of));
            }
            return List.copyOf(items);
        }
        throw of.invalid("can't be read: " + of.value);
    }
}
