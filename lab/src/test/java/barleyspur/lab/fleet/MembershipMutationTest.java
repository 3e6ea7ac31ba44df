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
class MembershipMutationTest {

    private static final Path SOURCES = Path.of("..", "doorman", "src", "main", "java", "barleyspur", "fleet");
    private static final String RANDOM = "random";

    @TempDir
    Path folder;

    static Stream<Arguments> versions() {
        return Stream.of(
                Arguments.of(
                        "a suspicion is not refuted",
                        "Membership.java",
                        "updateSelf(context.self.withIncarnationAbove(record.incarnation(), context.self.metadata()));",
                        "updateSelf(context.self);",
                        "aLiarGivesNobodyUp"),
                Arguments.of(
                        "an old life is accepted",
                        "MembershipRecord.java",
                        "Comparator.comparingLong(MembershipRecord::generation)\n"
                                + "            .thenComparingLong(MembershipRecord::nonce)",
                        "Comparator.comparingLong(MembershipRecord::nonce)",
                        RANDOM),
                Arguments.of(
                        "a verdict from elsewhere is believed at once",
                        "Membership.java",
                        "            failureDetector.probeSoon(entry);\n"
                                + "            sendClaim(entry, record, entry.record.metadata().address());",
                        "            apply(entry, record, ChangeReason.PASSED_ON, source);",
                        "aLiarGivesNobodyUp"),
                Arguments.of(
                        "who leaves doesn't say so",
                        "Membership.java",
                        "context.self = context.self.withState(MemberState.LEFT, \"\");",
                        "context.self = context.self;",
                        "leavingIsSeenAsSuch"),
                Arguments.of(
                        "a suspicion never ends",
                        "Membership.java",
                        "if (context.nowMs < entry.suspicion.endsMs) {",
                        "if (context.nowMs < entry.suspicion.endsMs + 1e9) {",
                        RANDOM),
                Arguments.of(
                        "a standstill is not noticed by who asks",
                        "Membership.java",
                        "return inDoubt || nowMs - lastTimeMs > context.timings.pauseThresholdMs();",
                        "return inDoubt;",
                        "afterAStandstillTheViewIsInDoubt"),
                Arguments.of(
                        "a standstill is not told",
                        "Membership.java",
                        "notifyChange(new Change.Doubt(++version, true));\n        for (",
                        "for (",
                        "afterAStandstillTheViewIsInDoubt"),
                Arguments.of(
                        "the dead are never tried again",
                        "AntiEntropy.java",
                        "if (!entry.listed && !candidates.contains(address)) {",
                        "if (entry.name.isEmpty()) {",
                        "partsFindEachOtherWithoutSeeds"),
                Arguments.of(
                        "the digest leaves out incarnations and standings",
                        "MemberTable.java",
                        "return HASH.hashLong(hash\n"
                                + "                ^ (record.incarnation() * MemberState.values().length\n"
                                + "                        + record.state().ordinal()));",
                        "return hash;",
                        "missedNewsAreMadeUpFor"),
                Arguments.of(
                        "a clock that was stepped back is not overcome",
                        "Membership.java",
                        "if (sameAddress || !record.state().isMember()) {\n            raiseGenerationAbove(record);",
                        "if (sameAddress || !record.state().isMember()) {\n            unverifiedProcess = null;",
                        RANDOM),
                Arguments.of(
                        "of two with one name each goes above the other",
                        "Membership.java",
                        "        newerProcessHeardMs = context.nowMs;\n        unverifiedProcess = null;",
                        "        newerProcessHeardMs = context.nowMs;\n        raiseGenerationAbove(record);\n"
                                + "        if (generationRaises > 0) {\n            return;\n        }",
                        "ofTwoWithOneNameTheNewerHoldsIt"),
                Arguments.of(
                        "nobody is asked for others",
                        "FailureDetector.java",
                        "if (helper.record.state() == MemberState.ALIVE) {",
                        "if (helper.name.isEmpty()) {",
                        "oneWayCutGivesNobodyUp"),
                Arguments.of(
                        "a version is left out",
                        "Membership.java",
                        "notifyChange(new Change.Lost(++version, record, reason, source));",
                        "notifyChange(new Change.Lost(version += 2, record, reason, source));",
                        RANDOM),
                Arguments.of(
                        "the older saying holds",
                        "Membership.java",
                        "int order = record.compareTo(entry.record);",
                        "int order = entry.record.compareTo(record);",
                        RANDOM),
                Arguments.of(
                        "who doesn't answer once is dead",
                        "Membership.java",
                        "entry.record.withState(MemberState.SUSPECT, context.self.name()),\n"
                                + "                    ChangeReason.NO_ANSWER",
                        "entry.record.withState(MemberState.DEAD, context.self.name()),\n"
                                + "                    ChangeReason.NO_ANSWER",
                        "lossAndSlownessGiveNobodyUp"),
                Arguments.of(
                        "a change of one's own has no new incarnation",
                        "Membership.java",
                        "updateSelf(context.self.withIncarnationAbove(0, metadata));",
                        "updateSelf(new MembershipRecord(context.self.name(), context.self.generation(), "
                                + "context.self.nonce(), context.self.incarnation(), MemberState.ALIVE, \"\", metadata));",
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
                        SourceMutation.invokeCheck(
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
            SourceMutation.invokeCheck(loader, "VirtualFleetTest", name, new Class<?>[0]);
        }
    }

    private ClassLoader loader(String file, String from, String to) throws IOException {
        return SourceMutation.compile(folder, SOURCES, "barleyspur.fleet.", file, from, to);
    }
}
