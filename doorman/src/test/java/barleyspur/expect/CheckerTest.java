package barleyspur.expect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Decide;
import barleyspur.decision.Director;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What makes checking routing hard: boxes that change under a request, news that is late, and many doormans. */
class CheckerTest {

    private static Checker.Verdict verdict(Checker.Result result, String name) {
        return resultOf(result, name).verdict();
    }

    private static Checker.ExpectationResult resultOf(Checker.Result result, String name) {
        return result.expectationResults().stream()
                .filter(f -> f.expectation().name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** The text of an expectation in a fleet of one station with this many caches. */
    private static String withFleet(int caches, int doormans, String expectations) {
        return "fleet \"small\" {\n stations = 1\n caches = " + caches + "\n district_caches = 2\n doormans = "
                + doormans + "\n}\n" + expectations;
    }

    // ---- a box that changes while a request is in flight ------------------------------------------------

    /** Guards: what was sent before a drain may end there; only what is sent after the grace breaks an expectation. */
    @Test
    void aBoxThatDrainsWhileARequestIsInFlight() {
        String text = withFleet(
                2,
                1,
                """
            case "drain" {
              event "drain" {
                kind = "cache"
                at   = "1s"
                told = "200ms"
              }
            }
            expectation "in flight" {
              cases = ["drain"]
              given { target { actual = "terminating" } }
              must { target { told_for = "<= 0" } }
            }
            expectation "after the grace" {
              cases = ["drain"]
              never { target {
                state    = "terminating"
                told_for = "> drain_grace"
              } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        // Between the drain and its news the box is named: told_for counts since the start, when it was in service.
        assertEquals(Checker.Verdict.REFUTED, verdict(result, "in flight"));
        Checker.Counterexample counterexample = resultOf(result, "in flight").counterexample();
        assertEquals(1, counterexample.scenario().faults().size());
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "after the grace"));
    }

    /** Guards: a request whose box ends under it is judged with what the doorman was told at each of its attempts. */
    @Test
    void aBoxThatGoesMissingWhileARequestIsInFlight() {
        String text = withFleet(
                3,
                1,
                """
            case "gone" {
              event "missing" {
                kind = "cache"
                at   = "1s"
                told = "100ms"
              }
              event "gone" {
                kind = "cache"
                at   = "1200ms"
                told = "100ms"
              }
            }
            expectation "not named when missing" {
              cases = ["gone"]
              never { target { state = ["missing", "terminated"] } }
            }
            expectation "served all the same" {
              cases = ["gone"]
              given { request { effect = "safe" } }
              share {
                at_least = "90%"
                answer { outcome = "served" }
              }
            }
            expectation "the reset is seen" {
              cases = ["gone"]
              given { attempt { number = 2 } }
              must { attempt { maybe_ran = true } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "not named when missing"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "served all the same"));
        assertTrue(resultOf(result, "the reset is seen").evaluated() > 0, "no attempt followed another");
    }

    /** Guards: a box that turns cold under a request counts with its new start, at attempts that follow as well. */
    @Test
    void aBoxThatTurnsColdWhileARequestIsInFlight() {
        String text = withFleet(
                2,
                2,
                """
            case "restart" {
              event "restart" {
                kind = "cache"
                at   = "1s"
                told = "50ms"
              }
            }
            expectation "further attempts spare it" {
              cases = ["restart"]
              given {
                attempt { number = ">= 2" }
                target { cold = true }
              }
              must { target { pressure = "<= 1" } }
            }
            expectation "it is used while cold" {
              cases = ["restart"]
              after {
                told   = "started"
                kind   = "cache"
                own    = true
                within = "7s"
              }
              given { target { own = true } }
              eventually { target {
                same = true
                cold = true
              } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertFalse(verdict(result, "further attempts spare it") == Checker.Verdict.REFUTED);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "it is used while cold"));
    }

    // ---- identity, staleness, loss ----------------------------------------------------------------------

    /** Guards: a new box in the place of another is another box, cold from its start, and what was known is void. */
    @Test
    void aBoxReplacedUnderANewId() {
        String text = withFleet(
                2,
                1,
                """
            case "replaced" {
              event "replace" {
                kind = "cache"
                at   = "1s"
                told = "300ms"
              }
            }
            expectation "the old one is out" {
              cases = ["replaced"]
              never { target { state = "terminated" } }
            }
            expectation "the new one is cold" {
              cases = ["replaced"]
              given { target { box = ["cache-1-1'", "cache-1-2'"] } }
              must { target {
                cold     = true
                cold_for = "< cache_warm"
              } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "the old one is out"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "the new one is cold"));
    }

    /** Guards: with a stale list a box that has gone is named, and an expectation about what a doorman was told holds. */
    @Test
    void aStaleListNamesABoxThatHasEnded() {
        String text = withFleet(
                3,
                1,
                """
            case "stale" {
              event "stale" {
                at    = "100ms"
                lasts = "5s"
                size  = "4s"
              }
              event "gone" {
                kind = "cache"
                at   = "1s"
                told = "0ms"
              }
            }
            expectation "by the list" {
              cases = ["stale"]
              never { target { state = "terminated" } }
            }
            expectation "in truth" {
              cases = ["stale"]
              never { target { actual = "terminated" } }
            }
            expectation "told late" {
              cases = ["stale"]
              after {
                happens = "gone"
                from    = "3900ms"
                within  = "8s"
              }
              never { target { same = true } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "by the list"));
        assertEquals(Checker.Verdict.REFUTED, verdict(result, "in truth"));
        // The news comes up to 20 ms after the lag: a trial may be under way until then, nothing after it.
        Checker.ExpectationResult late = resultOf(result, "told late");
        assertTrue(
                late.evaluated() - late.satisfied() <= 3,
                (late.evaluated() - late.satisfied()) + " attempts after the news");
    }

    /** Guards: with all district caches out, fills come from the head office, and an expectation on sources sees it. */
    @Test
    void allDistrictCachesEnd() {
        String text = withFleet(
                3,
                2,
                """
            case "hub out" {
              event "gone" {
                kind  = "district"
                boxes = "all"
                at    = "1s"
                told  = "100ms"
              }
            }
            expectation "filled from the head office" {
              cases = ["hub out"]
              after {
                told   = "terminated"
                kind   = "district"
                from   = "1s"
                within = "6s"
              }
              given {
                request { write = false }
                attempt { fill = true }
              }
              must { source { kind = "head-office" } }
            }
            expectation "never from the head office" {
              cases = ["hub out"]
              given { request { class = "small-files" } }
              never { source { kind = "head-office" } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "filled from the head office"));
        assertEquals(Checker.Verdict.REFUTED, verdict(result, "never from the head office"));
        Checker.Counterexample counterexample =
                resultOf(result, "never from the head office").counterexample();
        assertEquals(1, counterexample.scenario().requests().size());
    }

    /** Guards: a station with one box, which has nowhere to turn to when that box drains. */
    @Test
    void aStationWithOneBox() {
        String text = withFleet(
                1,
                1,
                """
            case "its only box drains" {
              event "drain" {
                kind = "cache"
                at   = "1s"
                told = "100ms"
              }
            }
            expectation "the drain is kept" {
              cases = ["its only box drains"]
              never { target {
                kind     = "cache"
                state    = "terminating"
                told_for = "> drain_grace"
              } }
            }
            expectation "round it" {
              cases = ["its only box drains"]
              after {
                told   = "terminating"
                from   = "drain_grace"
                within = "6s"
              }
              eventually { target { kind = ["district", "head-office"] } }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "the drain is kept"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "round it"));
    }

    /** Guards: one expectation about the box and the source of its fill at once. */
    @Test
    void anExpectationOnTargetAndSource() {
        String text = withFleet(
                2,
                1,
                """
            expectation "small files by way of a district" {
              given {
                request { class = "small-files" }
                attempt { fill = true }
                target {
                  kind  = "cache"
                  fault = "none"
                }
              }
              must {
                target { own = true }
                source {
                  kind  = "district"
                  state = "in_service"
                }
              }
            }
            """);
        Checker.ExpectationResult f =
                resultOf(ExpectationFixtures.check(text, Decide::new, 60), "small files by way of a district");
        assertEquals(Checker.Verdict.REFUTED, f.verdict());
        // Only events at district caches can bring a fill from elsewhere: what is left of the scenario shows it.
        assertTrue(f.counterexample().scenario().faults().stream()
                .allMatch(fault -> f.counterexample().scenario().deployment().boxes().stream()
                                .noneMatch(b -> b.nodeId() == fault.nodeId())
                        || fault.kind() != Fault.Kind.SLOW));
    }

    /** Guards: a second purge does not bring back what boxes dropped for the first one. */
    @Test
    void aSecondPurgeOfTheSameObject() {
        String text = withFleet(
                3,
                1,
                """
            load "one video" {
              objects = 1
              hot     = 1
              once    = 0
              length  = "9s"
            }
            case "purged twice" {
              event "purge" {
                at   = "100ms"
                told = "100ms"
                size = 1
              }
              event "purge" {
                at   = "4300ms"
                told = "5s"
                size = 1
              }
            }
            expectation "no copy from before a purge is served" {
              cases = ["purged twice"]
              never { answer { purged_copy = true } }
            }
            expectation "copies are served" {
              cases = ["purged twice"]
              share {
                at_least = "50%"
                answer { copy_age = "< 1min" }
              }
            }
            """);
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "no copy from before a purge is served"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "copies are served"));
    }

    // ---- many doormans ----------------------------------------------------------------------------------

    /**
     * Sends what a doorman with the whole budget to itself may send: the rule's multiple of a cold box's capacity,
     * but for a seventh. Alone it keeps to the rule; nothing tells it of the others.
     */
    private static ScenarioSimulation.PolicyFactory policyOverusingColdBox(double share) {
        return (settings, seed) -> new Director() {
            private double tokens;
            private double at = Double.NaN;
            private Node cold;
            private final Decide rest = new Decide(settings, seed);

            @Override
            public void handle(double now, Event event, java.util.function.Consumer<Action> out) {
                if (event instanceof Members m) {
                    m.nodes().stream()
                            .filter(n -> n.startedAtMs() > 0 && n.kind() == 0)
                            .forEach(n -> cold = n);
                }
                rest.handle(now, event, a -> {
                    if (cold == null || !(a instanceof Get g)) {
                        out.accept(a);
                        return;
                    }
                    double age =
                            (now - cold.startedAtMs()) / settings.coldCache().warmAfterMs();
                    double can = settings.coldCache().fromShare()
                            + (1 - settings.coldCache().fromShare()) * age;
                    double rate = share * settings.coldCache().fallMultiple() * can * cold.size();
                    tokens = Math.min(2_000, tokens + (Double.isNaN(at) ? 0 : now - at) * rate);
                    at = now;
                    boolean may = tokens > 0;
                    tokens -= may ? 200 : 0;
                    out.accept(
                            may
                                    ? new Get(
                                            g.request(),
                                            cold.id(),
                                            g.timeoutMs(),
                                            g.source(),
                                            g.rank(),
                                            g.maxAgeMs(),
                                            g.join(),
                                            g.onlyHeld(),
                                            g.parentKeepsNone(),
                                            g.renew())
                                    : g);
                });
            }
        };
    }

    private static final String COLD_CACHE_EXPECTATIONS =
            """
        load "rush" {
          utilisation = 4
          requests    = 2500
          length      = "5s"
          retries     = 0
        }
        case "restart" {
          event "restart" {
            kind = "cache"
            at   = "500ms"
            told = "50ms"
          }
        }
        expectation "no cold cache is pushed over" {
          cases = ["restart"]
          given { target { cold = true } }
          must { target { pressure = "<= 1" } }
        }
        """;

    /** Guards: a cold box's budget is one for all doormans; each keeps to it alone, and two together push it over. */
    @Test
    void twoDoormansTogetherOverloadAColdBox() {
        String name = "no cold cache is pushed over";
        Checker.Result alone =
                ExpectationFixtures.check(withFleet(4, 1, COLD_CACHE_EXPECTATIONS), policyOverusingColdBox(0.7), 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(alone, name));
        Checker.Result both =
                ExpectationFixtures.check(withFleet(4, 2, COLD_CACHE_EXPECTATIONS), policyOverusingColdBox(0.7), 1);
        assertEquals(Checker.Verdict.REFUTED, verdict(both, name));
        // What is left of the counterexample still needs both.
        assertEquals(
                2,
                resultOf(both, name).counterexample().scenario().requests().stream()
                        .map(ClientRequest::doormanIndex)
                        .distinct()
                        .count());
        assertEquals(
                Checker.Verdict.HOLDS,
                verdict(ExpectationFixtures.check(withFleet(4, 2, COLD_CACHE_EXPECTATIONS), Decide::new, 1), name));
    }

    // ---- long orders ------------------------------------------------------------------------------------

    /** A module that forgets drains from the tenth piece of news on. */
    private static Director policyIgnoringLateDrains(Director.Settings settings, long seed) {
        Decide decide = new Decide(settings, seed);
        int[] news = {0};
        return (now, event, out) -> {
            boolean late =
                    event instanceof Director.Members m && m.kind() == Director.ListKind.DELTA && ++news[0] >= 10;
            decide.handle(
                    now,
                    late
                            ? new Director.Members(
                                    Director.ListKind.DELTA,
                                    ((Director.Members) event)
                                            .nodes().stream()
                                                    .map(n -> new Director.Node(
                                                            n.id(),
                                                            n.zone(),
                                                            n.kind(),
                                                            n.cell(),
                                                            Director.State.READY,
                                                            n.size(),
                                                            n.startedAtMs()))
                                                    .toList())
                            : event,
                    out);
        };
    }

    /** Guards: what only fails with the tenth event is found by random orders, and its ten events stay. */
    @Test
    void aViolationThatNeedsTenEventsIsFound() {
        String text = withFleet(
                3,
                1,
                """
            expectation "drains are kept" {
              never { target {
                state    = ["terminating", "terminated"]
                told_for = "> 50ms"
              } }
            }
            """);
        Checker.ExpectationResult f = resultOf(
                ExpectationFixtures.check(text, CheckerTest::policyIgnoringLateDrains, 400), "drains are kept");
        assertEquals(Checker.Verdict.REFUTED, f.verdict());
        int events = f.counterexample().scenario().faults().size();
        assertTrue(events >= 5 && events <= 12, events + " events");
        long news = f.counterexample().scenario().faults().stream()
                .mapToInt(x -> switch (x.kind()) {
                    case REPLACE -> 2;
                    case DRAIN, RETURN, GONE, RESTART -> 1;
                    default -> 0;
                })
                .sum();
        assertTrue(news >= 10, "only " + news + " pieces of news are left");
    }

    /** Guards: repeats reach the module where clients mark them, and further tries are told from first ones. */
    @Test
    void retriesAreMarkedIfTheWorkloadSaysSo() {
        String text =
                """
            load "marked" {
              utilisation   = 1.5
              requests      = 1500
              marks_retries = true
            }
            expectation "told" {
              given {
                request { try = ">= 2" }
                attempt { number = 1 }
              }
              must { request { repeat = true } }
            }
            expectation "one station at a time" {
              count {
                of       = "targets"
                per      = "station"
                at_least = 2
                at_most  = 8
                target { kind = "cache" }
              }
            }
            """;
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "told"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "one station at a time"));
    }

    // ---- the checker's own honesty ----------------------------------------------------------------------

    /** Guards: an expectation that nothing met is said to be vacuous, and two that no moment meets both of are named. */
    @Test
    void vacuousAndContradictingExpectationsAreReported() {
        String text =
                """
            expectation "of a class with no such state" {
              given { target { state = "missing" } }
              must { target { own = true } }
            }
            expectation "always filled" {
              given { request { class = "small-files" } }
              must { attempt { renew = true } }
            }
            expectation "never filled" {
              given { request { class = "small-files" } }
              never { attempt { renew = true } }
            }
            """;
        Checker.Result result = ExpectationFixtures.check(text, Decide::new, 3);
        assertEquals(Checker.Verdict.VACUOUS, verdict(result, "of a class with no such state"));
        assertFalse(result.isSuccess(true));
        assertEquals(1, result.conflicts().size());
        assertEquals("always filled", result.conflicts().get(0).first().name());
    }

    /** Guards: the same input gives the same verdicts, counts and counterexamples. */
    @Test
    void theSameSeedGivesTheSameResult() {
        String text = withFleet(
                2,
                2,
                """
            expectation "never a second attempt" {
              never { attempt { number = 2 } }
            }
            """);
        Checker.ExpectationResult one =
                resultOf(ExpectationFixtures.check(text, Decide::new, 20), "never a second attempt");
        Checker.ExpectationResult two =
                resultOf(ExpectationFixtures.check(text, Decide::new, 20), "never a second attempt");
        assertNotNull(one.counterexample());
        assertEquals(one.counterexample(), two.counterexample());
        assertEquals(Map.of(one.evaluated(), one.satisfied()), Map.of(two.evaluated(), two.satisfied()));
        List<TraceNarrative.Step> told =
                TraceNarrative.narrate(one.counterexample().scenario(), one.expectation());
        assertEquals(told, TraceNarrative.narrate(two.counterexample().scenario(), two.expectation()));
        String all = told.stream().map(TraceNarrative.Step::text).collect(Collectors.joining("\n"));
        assertTrue(
                all.contains("NOT as expected by \"never a second attempt\" (test.hcl:7): test.hcl:8: attempt.number"),
                all);
    }
}
