package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import barleyspur.budget.Kind;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Wrong versions of the division's decisions, made by changing one piece of their source, each caught by a named check:
 * random schedules, the exploration of a small world, or a test of {@link BudgetWorldTest}. Guards the checks.
 */
class BudgetWrongVersionsTest {

    private static final Path SOURCES = Path.of("..", "doorman", "src", "main", "java", "barleyspur", "budget");
    private static final String RANDOM = "random";
    private static final String EXPLORE = "explore ";

    @TempDir
    Path folder;

    static Stream<Arguments> versions() {
        return Stream.of(
                Arguments.of(
                        "a share is handed out anew before its lease is over",
                        "Divider.java",
                        "h.out.add(new Out(c.number(), amount, s.now + lastsMs * Terms.WAIT));",
                        "h.out.add(new Out(c.number(), amount, s.now + lastsMs / 2));",
                        EXPLORE + "PLACES"),
                Arguments.of(
                        "the silence after a restart is skipped",
                        "Shared.java",
                        "return terms.termMs() * Terms.WAIT;",
                        "return 0;",
                        "whoHasJustStartedPromisesNothing"),
                Arguments.of(
                        "use in flight is not counted",
                        "Divider.java",
                        "h.using = other ? 0 : Math.max(0, c.using());",
                        "h.using = 0;",
                        RANDOM),
                Arguments.of(
                        "the burst is not divided",
                        "Share.java",
                        "1 + (budget.burst() - terms.largest()) * Math.min(rate, budget.whole()) / budget.whole()",
                        "budget.burst()",
                        RANDOM),
                Arguments.of(
                        "half of the voters are enough",
                        "Terms.java",
                        "return voters.size() / 2 + 1;",
                        "return voters.size() / 2;",
                        RANDOM),
                Arguments.of(
                        "the largest whole that anybody tells counts",
                        "Divider.java",
                        "whole = Math.min(whole, h.whole);",
                        "whole = Math.max(whole, h.whole);",
                        "aLargerWholeCountsWhenAllHaveIt"),
                Arguments.of(
                        "a lease is counted from when its grant comes",
                        "Holder.java",
                        "return ask.atMs;",
                        "return s.now;",
                        RANDOM),
                Arguments.of(
                        "a new divider doesn't wait",
                        "Divider.java",
                        "return fromMs + b.leaseMs() * Terms.WAIT;",
                        "return fromMs;",
                        EXPLORE + "PLACES"),
                Arguments.of(
                        "reports from before a term count as of it",
                        "Divider.java",
                        "boolean fresh = ask.heard() == term || s.now >= waitsUntilMs(b);",
                        "boolean fresh = true;",
                        "aReportFromBeforeATermDoesntCount"),
                Arguments.of(
                        "a grant of an earlier ask is taken",
                        "Holder.java",
                        "share == null || g.number() <= share.took ? Double.NaN",
                        "share == null ? Double.NaN",
                        EXPLORE + "PLACES"),
                Arguments.of(
                        "asks of each life are numbered from one",
                        "Holder.java",
                        "number = s.random.nextLong() >>> FIRST_NUMBER_BITS;",
                        "number = 0;",
                        "aGrantOfAnEarlierLifeFitsNothing"),
                Arguments.of(
                        "a promise goes by its ballot alone",
                        "Voter.java",
                        "ask.ballot() == ballot && from.equals(promised);",
                        "ask.ballot() == ballot;",
                        "aPromiseIsToOneCandidate"),
                Arguments.of(
                        "a voter promises two at once",
                        "Voter.java",
                        "boolean yes = s.now >= untilMs || ask.ballot() == ballot && from.equals(promised);",
                        "boolean yes = true;",
                        RANDOM),
                Arguments.of(
                        "a term is counted from when the votes come",
                        "Candidate.java",
                        "confirmedMs.merge(from, sent, Math::max);",
                        "confirmedMs.merge(from, s.now + s.terms.termMs(), Math::max);",
                        RANDOM),
                Arguments.of(
                        "places are taken up to the end of the lease",
                        "Share.java",
                        "return endMs - terms.slackMs() - (budget.kind() == Kind.PLACES ? terms.holdMs() : 0);",
                        "return endMs - terms.slackMs();",
                        "aHolderThatIsCutOffIsDoneWhenItsLeaseIsOver"),
                Arguments.of(
                        "floors are not set aside",
                        "Divider.java",
                        "long divided = whole - Math.min(b.floor(), whole / s.terms.largest()) * s.terms.largest();",
                        "long divided = whole;",
                        RANDOM),
                Arguments.of(
                        "a smaller share is believed before it is taken",
                        "Divider.java",
                        "h.out.add(new Out(c.number(), amount, s.now + lastsMs * Terms.WAIT));",
                        "h.out.clear(); h.out.add(new Out(c.number(), amount, s.now + lastsMs * Terms.WAIT));",
                        RANDOM),
                Arguments.of(
                        "anybody's release frees a promise",
                        "Voter.java",
                        "if (r.ballot() == ballot && from.equals(promised)) {",
                        "if (ballot != 0) {",
                        RANDOM),
                Arguments.of(
                        "an amount is opened before the wait is over",
                        "Divider.java",
                        "if (pool.opening == 0 && s.now >= waitsUntilMs(b)) {",
                        "if (pool.opening == 0) {",
                        "anAmountIsNotOpenedAnewByTheNextDivider"),
                Arguments.of(
                        "what is claimed to be in use is believed",
                        "Divider.java",
                        "h.using = Math.min(h.using, Math.max(h.most, c.held()));",
                        "",
                        "aLiarIsBoundedByItsWeight"),
                Arguments.of(
                        "other terms are listened to",
                        "Budgets.java",
                        "if (ask.terms() != s.digest) {",
                        "if (ask.terms() == 0) {",
                        "otherTermsGetNothing"),
                Arguments.of(
                        "all get what they ask for",
                        "Divider.java",
                        "long amount = Math.max(0, Math.min(h.target, limit - others));",
                        "long amount = h.wants;",
                        RANDOM));
    }

    /** Guards: the way that wrong versions are made: the right one, compiled so, passes. */
    @Test
    void theRightVersionPasses() throws Exception {
        ClassLoader right =
                WrongVersion.loader(folder, SOURCES, "barleyspur.budget.", "Share.java", "using++", "using++");
        check(right, RANDOM);
        check(right, EXPLORE + "PLACES");
        check(right, "otherTermsGetNothing");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("versions")
    void aWrongVersionIsCaught(String name, String file, String from, String to, String by) throws Exception {
        assertEquals(
                2,
                Files.readString(SOURCES.resolve(file)).split(Pattern.quote(from), -1).length,
                "stands once: " + from);
        ClassLoader wrong = WrongVersion.loader(folder, SOURCES, "barleyspur.budget.", file, from, to);
        assertThrows(AssertionError.class, () -> check(wrong, by));
    }

    private static void check(ClassLoader loader, String name) throws Exception {
        if (name.startsWith(EXPLORE)) {
            WrongVersion.call(
                    loader,
                    "BudgetWrongVersionsTest",
                    "explore",
                    new Class<?>[] {String.class},
                    name.substring(EXPLORE.length()));
        } else if (name.equals(RANDOM)) {
            for (int doormans : new int[] {3, 5}) {
                WrongVersion.call(
                        loader,
                        "BudgetWorldTest",
                        "randomSchedulesNeverGoOverTheWhole",
                        new Class<?>[] {int.class, int.class, int.class},
                        doormans,
                        8,
                        150);
            }
        } else {
            WrongVersion.call(loader, "BudgetWorldTest", name, new Class<?>[0]);
        }
    }

    /** Called on the classes of a wrong version. */
    static void explore(String kind) {
        BudgetModelChecker.ExplorationResult r = new BudgetModelChecker(Kind.valueOf(kind), 12).explore(2);
        assertEquals(null, r.violation());
    }
}
