package barleyspur.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Tests of the HCL parser: malformed text causes an error with file and line, not a wrong value or other exception. */
class HclPropertiesTest {

    private static final String GOOD =
            """
        # all that the language has
        include = ["a.hcl", "b.hcl"]
        let {
          patience = "2s"
        }
        expectation "x" {
          given { request { class = ["a", "b"] } } // two on a line
          must { target {
            cold = false
            pressure = 1.5
          } }
          must { attempt { number = -3 } }
        }
        """;

    private static String failure(String text) {
        return assertThrows(Hcl.InvalidHclException.class, () -> Hcl.read("f.hcl", text))
                .getMessage();
    }

    /** Values have the right location, also if several blocks have the same type. */
    @Test
    void valuesHaveTheirLocations() throws Hcl.InvalidHclException {
        Hcl.Block root = Hcl.read("f.hcl", GOOD);
        assertEquals(List.of("a.hcl", "b.hcl"), root.value("include").asStrings());
        Hcl.Block expectation = root.blocks("expectation").get(0);
        assertEquals("x", expectation.label());
        List<Hcl.Block> musts = expectation.blocks("must");
        Hcl.Value pressure = musts.get(0).blocks().get(0).value("pressure");
        assertEquals(1.5, pressure.asNumber());
        assertEquals("f.hcl:10", pressure.location());
        assertEquals(-3, musts.get(1).blocks().get(0).value("number").asNumber());
        assertEquals(false, musts.get(0).blocks().get(0).value("cold").asBoolean());
    }

    /** Malformed input that hcl4j ignores or truncates is rejected with the line. */
    @Test
    void malformedInputThatTheLibraryAcceptsIsRejected() {
        assertEquals("f.hcl:1: block a has no end: a } is missing", failure("a {\n b = 1\n"));
        assertEquals(
                "f.hcl:2: key b is neither a number, true, false, a string in quotes nor a list: ",
                failure("a {\n b = \n}"));
        assertEquals("f.hcl:1: key b: after its value comes *", failure("b = 2 * 3"));
        assertEquals(
                "f.hcl:1: key b is neither a number, true, false, a string in quotes nor a list: c.d",
                failure("b = c.d"));
        assertEquals("f.hcl:2: key b stands twice", failure("b = 1\nb = 2"));
        assertEquals("f.hcl:2: a } without a {", failure("a {}\n}"));
        assertEquals("f.hcl:1: key b: a string has no end", failure("b = \"x\n\""));
        assertEquals("f.hcl:1: key b: strings are taken as they are, without ${...}", failure("b = \"${file}\""));
        assertEquals("f.hcl:1: key b: between items of a list comes a comma", failure("b = [1 2]"));
    }

    /** The message for an unknown name suggests the closest known one, or lists all if none is close. */
    @Test
    void suggestionsForUnknownNames() {
        assertEquals(": did you mean in_service?", Hcl.suggestion("in_servce", List.of("in_service", "terminating")));
        assertEquals(": known are a, b", Hcl.suggestion("something", List.of("b", "a")));
    }

    /** Text that is truncated at any position is either read or rejected. */
    @Property(seed = "11")
    void truncatedTextIsReadOrRejected(@ForAll @IntRange(max = 330) int position) {
        readOrInvalid(GOOD.substring(0, Math.min(position, GOOD.length())));
    }

    /** Random text is either read or rejected. */
    @Property(seed = "11")
    void randomTextIsReadOrRejected(@ForAll @StringLength(max = 60) String text) {
        readOrInvalid(text);
    }

    /** Valid text with random text inserted is either read or rejected. */
    @Property(seed = "11")
    void insertedTextIsReadOrRejected(
            @ForAll @IntRange(max = 250) int position, @ForAll @StringLength(max = 4) String text) {
        readOrInvalid(GOOD.substring(0, position) + text + GOOD.substring(position));
    }

    private static void readOrInvalid(String text) {
        try {
            Hcl.read("f.hcl", text);
        } catch (Hcl.InvalidHclException e) {
            assertTrue(e.getMessage().matches("(?s)f\\.hcl:\\d+: .+"), e.getMessage());
        }
    }

    private static double evaluate(String text) throws Hcl.InvalidHclException {
        return new QuantityParser(Map.of("drain_grace", 2_000.0, "let_go", 7.0))
                .parse(new Hcl.Value("f.hcl", 3, "k", text));
    }

    /** Units, names, sums and products are evaluated; unknown names are reported. */
    @Test
    void quantitiesAreEvaluated() throws Hcl.InvalidHclException {
        assertEquals(2_000, evaluate("2s"));
        assertEquals(2_050, evaluate("drain_grace + 50ms"));
        assertEquals(1_900, evaluate("drain_grace - 100"));
        assertEquals(4_007, evaluate("2 * drain_grace + let_go"));
        assertEquals(0.3, evaluate("30%"), 1e-12);
        assertEquals(90_000, evaluate("1.5min"));
        assertEquals(
                "f.hcl:3: key k names drain_grase, which nothing defines: did you mean drain_grace?",
                assertThrows(Hcl.InvalidHclException.class, () -> evaluate("drain_grase"))
                        .getMessage());
        assertEquals(
                "f.hcl:3: key k is no time or number: '2 weeks'",
                assertThrows(Hcl.InvalidHclException.class, () -> evaluate("2 weeks"))
                        .getMessage());
    }
}
