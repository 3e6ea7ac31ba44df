package barleyspur.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The list of known failures in {@code KNOWN-RED.txt}. A line that is not indented opens an entry and names a test as
 * {@code Class.method}, or in plain words a fault that a command shows. Indented lines of the form {@code key: text}
 * are its fields, and any other indented line continues the field before it. Lines that begin with {@code #} are
 * comments.
 */
public final class KnownRedList {

    /** Fields that every entry needs, so that the next engineer can reproduce it. */
    static final List<String> REQUIRED_FIELDS = List.of("command", "seed", "seen", "issue");

    private static final String CI_FIELD = "ci";
    private static final String CI_RUNS = "runs";
    private static final Pattern TEST_NAME = Pattern.compile("(?<className>[A-Z]\\w*)\\.(?<method>[a-z]\\w*)");
    private static final Pattern FIELD = Pattern.compile("(?<key>[a-z]+): *(?<text>.*)");

    /** One entry: its opening line and its fields by key. */
    record Entry(String title, Map<String, String> fields) {

        /** Returns the named test, or empty if the entry names a fault that no test shows. */
        Optional<TestName> test() {
            Matcher name = TEST_NAME.matcher(title);
            return name.matches()
                    ? Optional.of(new TestName(name.group("className"), name.group("method")))
                    : Optional.empty();
        }

        /** Returns whether the test is run although it may fail. */
        boolean runsInCi() {
            return CI_RUNS.equals(fields.get(CI_FIELD));
        }

        /** Returns the required fields that are missing. */
        List<String> missingFields() {
            return REQUIRED_FIELDS.stream()
                    .filter(key -> fields.getOrDefault(key, "").isBlank())
                    .toList();
        }
    }

    /** A test method by the simple name of its class. */
    record TestName(String className, String method) {}

    private final List<Entry> entries;

    private KnownRedList(List<Entry> entries) {
        this.entries = List.copyOf(entries);
    }

    /** Reads the list from a file. */
    static KnownRedList read(Path file) throws IOException {
        return parse(Files.readAllLines(file));
    }

    /** Parses the lines of a list. */
    static KnownRedList parse(List<String> lines) {
        List<Entry> entries = new ArrayList<>();
        String lastKey = null;
        for (String line : lines) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            if (!Character.isWhitespace(line.charAt(0))) {
                entries.add(new Entry(line.strip(), new LinkedHashMap<>()));
                lastKey = null;
                continue;
            }
            if (entries.isEmpty()) {
                throw new IllegalArgumentException("a field before the first entry: " + line);
            }
            lastKey = addField(entries.get(entries.size() - 1).fields(), lastKey, line.strip());
        }
        return new KnownRedList(entries);
    }

    private static String addField(Map<String, String> fields, String lastKey, String line) {
        Matcher field = FIELD.matcher(line);
        if (field.matches()) {
            fields.put(field.group("key"), field.group("text"));
            return field.group("key");
        }
        if (lastKey == null) {
            throw new IllegalArgumentException("neither an entry nor a field: " + line);
        }
        fields.merge(lastKey, line, (before, more) -> before + " " + more);
        return lastKey;
    }

    /** Returns all entries in the order of the file. */
    List<Entry> entries() {
        return entries;
    }

    /** Returns the entry of a test, if it is listed. */
    Optional<Entry> find(TestName test) {
        return entries.stream()
                .filter(entry -> entry.test().filter(test::equals).isPresent())
                .findFirst();
    }
}
