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
 * Mutation tests of the membership protocol: each mutation changes one piece of its source, and must be caught by
 * random fault schedules or by the named test of {@link VirtualFleetTest}. Guards against checks that can't fail.
 */
class MembershipMutationTest {

    private static final Path SOURCES = Path.of("..", "doorman", "src", "main", "java", "barleyspur", "fleet");
    private static final String RANDOM_SCHEDULES = "random";

    @TempDir
    Path folder;

    static Stream<Arguments> versions() {
        return Stream.of(
                Arguments.of(
                        "a suspicion is not refuted",
                        "Membership.java",
                        "updateSelf(context.self.withIncarnationAbove(record.incarnation(), context.self.metadata()));",
                        "updateSelf(context.self);",
                        "falseAccusationsRemoveNobody"),
                Arguments.of(
                        "records of an older generation are accepted",
                        "MembershipRecord.java",
                        "Comparator.comparingLong(MembershipRecord::generation)\n"
                                + "            .thenComparingLong(MembershipRecord::nonce)",
                        "Comparator.comparingLong(MembershipRecord::nonce)",
                        RANDOM_SCHEDULES),
                Arguments.of(
                        "a DEAD record from elsewhere is accepted at once",
                        "Membership.java",
                        "            failureDetector.probeSoon(entry);\n"
                                + "            sendClaim(entry, record, entry.record.metadata().address());",
                        "            apply(entry, record, ChangeReason.PASSED_ON, source);",
                        "falseAccusationsRemoveNobody"),
                Arguments.of(
                        "a leaving member does not announce it",
                        "Membership.java",
                        "context.self = context.self.withState(MemberState.LEFT, \"\");",
                        "context.self = context.self;",
                        "leavingIsReportedAsLeft"),
                Arguments.of(
                        "a suspicion never expires",
                        "Membership.java",
                        "if (context.nowMs < entry.suspicion.endsMs) {",
                        "if (context.nowMs < entry.suspicion.endsMs + 1e9) {",
                        RANDOM_SCHEDULES),
                Arguments.of(
                        "a query does not detect a process pause",
                        "Membership.java",
                        "return inDoubt || nowMs - lastTimeMs > context.timings.pauseThresholdMs();",
                        "return inDoubt;",
                        "viewIsInDoubtAfterProcessPause"),
                Arguments.of(
                        "a process pause is not reported",
                        "Membership.java",
                        "notifyChange(new Change.Doubt(++version, true));\n        for (",
                        "for (",
                        "viewIsInDoubtAfterProcessPause"),
                Arguments.of(
                        "dead members are never contacted again",
                        "AntiEntropy.java",
                        "if (!entry.listed && !candidates.contains(address)) {",
                        "if (entry.name.isEmpty()) {",
                        "partitionsMergeWithoutSeeds"),
                Arguments.of(
                        "the digest ignores incarnations and states",
                        "MemberTable.java",
                        "return HASH.hashLong(hash\n"
                                + "                ^ (record.incarnation() * MemberState.values().length\n"
                                + "                        + record.state().ordinal()));",
                        "return hash;",
                        "antiEntropyRepairsMissedGossip"),
                Arguments.of(
                        "the generation is not raised after the clock was set back",
                        "Membership.java",
                        "if (sameAddress || !record.state().isMember()) {\n            raiseGenerationAbove(record);",
                        "if (sameAddress || !record.state().isMember()) {\n            unverifiedProcess = null;",
                        RANDOM_SCHEDULES),
                Arguments.of(
                        "two processes of one name outbid each other",
                        "Membership.java",
                        "        newerProcessHeardMs = context.nowMs;\n        unverifiedProcess = null;",
                        "        newerProcessHeardMs = context.nowMs;\n        raiseGenerationAbove(record);\n"
                                + "        if (generationRaises > 0) {\n            return;\n        }",
                        "newerProcessKeepsSharedName"),
                Arguments.of(
                        "indirect probes are not sent",
                        "FailureDetector.java",
                        "if (helper.record.state() == MemberState.ALIVE) {",
                        "if (helper.name.isEmpty()) {",
                        "asymmetricPartitionRemovesNobody"),
                Arguments.of(
                        "a view version is skipped",
                        "Membership.java",
                        "notifyChange(new Change.Lost(++version, record, reason, source));",
                        "notifyChange(new Change.Lost(version += 2, record, reason, source));",
                        RANDOM_SCHEDULES),
                Arguments.of(
                        "the older record wins",
                        "Membership.java",
                        "int order = record.compareTo(entry.record);",
                        "int order = entry.record.compareTo(record);",
                        RANDOM_SCHEDULES),
                Arguments.of(
                        "one failed probe makes a member DEAD",
                        "Membership.java",
                        "entry.record.withState(MemberState.SUSPECT, context.self.name()),\n"
                                + "                    ChangeReason.NO_ANSWER",
                        "entry.record.withState(MemberState.DEAD, context.self.name()),\n"
                                + "                    ChangeReason.NO_ANSWER",
                        "packetLossAndSlowProcessesRemoveNobody"),
                Arguments.of(
                        "new metadata has no new incarnation",
                        "Membership.java",
                        "updateSelf(context.self.withIncarnationAbove(0, metadata));",
                        "updateSelf(new MembershipRecord(context.self.name(), context.self.generation(), "
                                + "context.self.nonce(), context.self.incarnation(), "
                                + "MemberState.ALIVE, \"\", metadata));",
                        "quiesceReachesAllViews"));
    }

    /** The unchanged sources pass when compiled and loaded in the same way as a mutation. */
    @Test
    void unchangedVersionPasses() throws Exception {
        check(loader("Membership.java", "++version", "++version"), "falseAccusationsRemoveNobody");
        check(loader("Membership.java", "++version", "++version"), RANDOM_SCHEDULES);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("versions")
    void mutationIsCaught(String description, String file, String from, String to, String caughtBy) throws Exception {
        assertEquals(
                2,
                Files.readString(SOURCES.resolve(file)).split(java.util.regex.Pattern.quote(from), -1).length,
                "must occur exactly once: " + from);
        ClassLoader mutated = loader(file, from, to);
        assertThrows(AssertionError.class, () -> check(mutated, caughtBy));
    }

    /** Runs random schedules or a test of {@link VirtualFleetTest} on the classes of {@code loader}. */
    private static void check(ClassLoader loader, String name) throws Exception {
        if (name.equals(RANDOM_SCHEDULES)) {
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
