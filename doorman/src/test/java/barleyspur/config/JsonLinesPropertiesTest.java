package barleyspur.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Tests that the line of a key in JSON is right for any layout, and that malformed text causes no exception. */
class JsonLinesPropertiesTest {

    /** With one key per line, and lists of objects and blank lines in between, each key is found on its line. */
    @Property(seed = "51")
    void eachKeyIsFoundOnItsLine(
            @ForAll @Size(min = 1, max = 8) List<@AlphaChars @StringLength(min = 1, max = 6) String> keys,
            @ForAll @IntRange(min = 0, max = 3) int blank) {
        List<String> distinct = keys.stream().distinct().toList();
        List<String> lines = new ArrayList<>();
        lines.add("{\"top\": {");
        for (int i = 0; i < distinct.size(); i++) {
            lines.add("\n".repeat(blank) + "  \"" + distinct.get(i) + "\": [{\"a\": 1},\n {\"deep\": \"x\"}]"
                    + (i + 1 < distinct.size() ? "," : ""));
        }
        lines.add("}}");
        String text = String.join("\n", lines);
        int line = 2;
        for (String key : distinct) {
            line += blank;
            assertEquals(line, JsonLines.lineOf(text, "top." + key), key);
            assertEquals(line + 1, JsonLines.lineOf(text, "top." + key + ".1.deep"), key);
            line += 2;
        }
        assertEquals(0, JsonLines.lineOf(text, "top.nowhere"));
    }

    /** Malformed JSON has no line but causes no exception, which would hide the original error. */
    @Property(seed = "52")
    void malformedJsonHasNoLineAndCausesNoException(
            @ForAll @StringLength(max = 80) String garbage,
            @ForAll @AlphaChars @StringLength(min = 1, max = 4) String key) {
        assertTrue(JsonLines.lineOf(garbage, key) >= 0);
        assertTrue(JsonLines.lineOf("{\"" + key + "\": [" + garbage, key + ".2") >= 0);
    }

    @Example
    void anIndexBeyondTheListHasNoLine() {
        assertEquals(0, JsonLines.lineOf("{\"a\": [1, 2]}", "a.5"));
        assertEquals(1, JsonLines.lineOf("{\"a\": [1, 2]}", "a.1"));
        assertEquals(0, JsonLines.lineOf("{\"a\": [1, 2]}", "a.x"));
    }
}
