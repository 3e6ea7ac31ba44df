package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Wrong versions of the view's decisions, made by changing one piece of their source, each caught by a named check of
 * {@link VirtualFleetTest}. Guards the checks: one that can't fail would let its wrong version pass.
 */
class WrongVersionsTest {

    private static final Path SOURCES = Path.of("..", "doorman", "src", "main", "java", "barleyspur", "fleet");
    private static final String RANDOM = "random";

    @TempDir
    Path folder;

    static Stream<Arguments> versions() {
        return Stream.of(
                Arguments.of(
                        "a suspicion is not refuted",
                        "Membership.java",
                        "say(w.self.above(s.incarnation(), w.self.about()));",
                        "say(w.self);",
                        "aLiarGivesNobodyUp"),
                Arguments.of(
                        "an old life is accepted",
                        "Saying.java",
                        "Comparator.comparingLong(Saying::life)\n" + "            .thenComparingLong(Saying::nonce)",
                        "Comparator.comparingLong(Saying::nonce)",
                        RANDOM),
                Arguments.of(
                        "a verdict from elsewhere is believed at once",
                        "Membership.java",
                        "            prober.soon(e);\n            tellOf(e, s, e.saying.about().address());",
                        "            take(e, s, Why.PASSED_ON, from);",
                        "aLiarGivesNobodyUp"),
                Arguments.of(
                        "who leaves doesn't say so",
                        "Membership.java",
                        "w.self = w.self.standing(Standing.LEFT, \"\");",
                        "w.self = w.self;",
                        "leavingIsSeenAsSuch"),
                Arguments.of(
                        "a suspicion never ends",
                        "Membership.java",
                        "if (w.now < e.suspicion.endsMs) {",
                        "if (w.now < e.suspicion.endsMs + 1e9) {",
                        RANDOM),
                Arguments.of(
                        "a standstill is not noticed by who asks",
                        "Membership.java",
                        "return inDoubt || nowMs - lastMs > w.times.stillMs();",
                        "return inDoubt;",
                        "afterAStandstillTheViewIsInDoubt"),
                Arguments.of(
                        "a standstill is not told",
                        "Membership.java",
                        "tell(new Change.Doubt(++version, true));\n        for (",
                        "for (",
                        "afterAStandstillTheViewIsInDoubt"),
                Arguments.of(
                        "the dead are never tried again",
                        "Meeting.java",
                        "if (!e.listed && !candidates.contains(address)) {",
                        "if (e.name.isEmpty()) {",
                        "partsFindEachOtherWithoutSeeds"),
                Arguments.of(
                        "the digest leaves out incarnations and standings",
                        "Roster.java",
                        "return HASH.hashLong(\n"
                                + "                h ^ (s.incarnation() * Standing.values().length + s.standing().ordinal()));",
                        "return h;",
                        "missedNewsAreMadeUpFor"),
                Arguments.of(
                        "a clock that was stepped back is not overcome",
                        "Membership.java",
                        "if (mine || !s.standing().listed()) {\n            raiseAbove(s);",
                        "if (mine || !s.standing().listed()) {\n            rumour = null;",
                        RANDOM),
                Arguments.of(
                        "of two with one name each goes above the other",
                        "Membership.java",
                        "        twinHeardMs = w.now;\n        rumour = null;",
                        "        twinHeardMs = w.now;\n        raiseAbove(s);\n        if (raises > 0) {\n            return;\n        }",
                        "ofTwoWithOneNameTheNewerHoldsIt"),
                Arguments.of(
                        "nobody is asked for others",
                        "Prober.java",
                        "if (helper.saying.standing() == Standing.ALIVE) {",
                        "if (helper.name.isEmpty()) {",
                        "oneWayCutGivesNobodyUp"),
                Arguments.of(
                        "a version is left out",
                        "Membership.java",
                        "tell(new Change.Lost(++version, s, why, from));",
                        "tell(new Change.Lost(version += 2, s, why, from));",
                        RANDOM),
                Arguments.of(
                        "the older saying holds",
                        "Membership.java",
                        "int order = s.compareTo(e.saying);",
                        "int order = e.saying.compareTo(s);",
                        RANDOM),
                Arguments.of(
                        "who doesn't answer once is dead",
                        "Membership.java",
                        "take(e, e.saying.standing(Standing.SUSPECT, w.self.name()), Why.NO_ANSWER",
                        "take(e, e.saying.standing(Standing.DEAD, w.self.name()), Why.NO_ANSWER",
                        "lossAndSlownessGiveNobodyUp"),
                Arguments.of(
                        "a change of one's own has no new incarnation",
                        "Membership.java",
                        "say(w.self.above(0, about));",
                        "say(new Saying(w.self.name(), w.self.life(), w.self.nonce(), "
                                + "w.self.incarnation(), Standing.ALIVE, \"\", about));",
                        "quiesceIsSeen"));
    }

    /** Guards: the way that wrong versions are made: the right one, compiled so, passes. */
    @Test
    void theRightVersionPasses() throws Exception {
        check(loader("Membership.java", "++version", "++version"), "aLiarGivesNobodyUp");
        check(loader("Membership.java", "++version", "++version"), RANDOM);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("versions")
    void aWrongVersionIsCaught(String name, String file, String from, String to, String by) throws Exception {
        assertEquals(
                2,
                Files.readString(SOURCES.resolve(file)).split(java.util.regex.Pattern.quote(from), -1).length,
                "stands once: " + from);
        ClassLoader wrong = loader(file, from, to);
        assertThrows(AssertionError.class, () -> check(wrong, by));
    }

    /** Plays a check of {@link VirtualFleetTest} on the classes of {@code loader}. */
    private static void check(ClassLoader loader, String name) throws Exception {
        if (name.equals(RANDOM)) {
            for (long seed = 1; seed <= 60; seed++) {
                assertEquals(
                        List.of(),
                        WrongVersion.call(
                                loader,
                                "Shrinker",
                                "broken",
                                new Class<?>[] {int.class, int.class, long.class},
                                5,
                                8,
                                seed),
                        "seed " + seed);
            }
        } else {
            WrongVersion.call(loader, "VirtualFleetTest", name, new Class<?>[0]);
        }
    }

    private ClassLoader loader(String file, String from, String to) throws IOException {
        return WrongVersion.loader(folder, SOURCES, "barleyspur.fleet.", file, from, to);
    }
}
