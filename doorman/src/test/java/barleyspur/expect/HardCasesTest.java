package barleyspur.expect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What makes checking routing hard: boxes that change under a request, news that is late, and many doormans. */
class HardCasesTest {

    private static Checker.Verdict verdict(Checker.Result r, String name) {
        return finding(r, name).verdict();
    }

    private static Checker.Finding finding(Checker.Result r, String name) {
        return r.findings().stream()
                .filter(f -> f.expectation().name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** The text of an expectation in a fleet of one station with this many caches. */
    private static String fleet(int caches, int doormans, String rest) {
        return "fleet \"small\" {\n stations = 1\n caches = " + caches + "\n district_caches = 2\n doormans = "
                + doormans + "\n}\n" + rest;
    }

    // ---- a box that changes while a request is in flight ------------------------------------------------

    /** Guards: what was sent before a drain may end there; only what is sent after the grace breaks an expectation. */
    @Test
    void aBoxThatDrainsWhileARequestIsInFlight() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        // Between the drain and its news the box is named: told_for counts since the start, when it was in service.
        assertEquals(Checker.Verdict.REFUTED, verdict(r, "in flight"));
        Checker.Counterexample c = finding(r, "in flight").counterexample();
        assertEquals(1, c.scenario().faults().size());
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "after the grace"));
    }

    /** Guards: a request whose box ends under it is judged with what the doorman was told at each of its attempts. */
    @Test
    void aBoxThatGoesMissingWhileARequestIsInFlight() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "not named when missing"));
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "served all the same"));
        assertTrue(finding(r, "the reset is seen").judged() > 0, "no attempt followed another");
    }

    /** Guards: a box that turns cold under a request counts with its new start, at attempts that follow as well. */
    @Test
    void aBoxThatTurnsColdWhileARequestIsInFlight() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertFalse(verdict(r, "further attempts spare it") == Checker.Verdict.REFUTED);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "it is used while cold"));
    }

    // ---- identity, staleness, loss ----------------------------------------------------------------------

    /** Guards: a new box in the place of another is another box, cold from its start, and what was known is void. */
    @Test
    void aBoxReplacedUnderANewId() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "the old one is out"));
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "the new one is cold"));
    }

    /** Guards: with a stale list a box that has gone is named, and an expectation about what a doorman was told holds. */
    @Test
    void aListThatIsStaleWhileTheBoxHasGone() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "by the list"));
        assertEquals(Checker.Verdict.REFUTED, verdict(r, "in truth"));
        // The news comes up to 20 ms after the lag: a trial may be under way until then, nothing after it.
        Checker.Finding late = finding(r, "told late");
        assertTrue(late.judged() - late.held() <= 3, (late.judged() - late.held()) + " attempts after the news");
    }

    /** Guards: with all district caches out, fills come from the head office, and an expectation on sources sees it. */
    @Test
    void allDistrictCachesOfAHubOut() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "filled from the head office"));
        assertEquals(Checker.Verdict.REFUTED, verdict(r, "never from the head office"));
        Checker.Counterexample c = finding(r, "never from the head office").counterexample();
        assertEquals(1, c.scenario().asks().size());
    }

    /** Guards: a station with one box, which has nowhere to turn to when that box drains. */
    @Test
    void aStationWithOneBox() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "the drain is kept"));
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "round it"));
    }

    /** Guards: one expectation about the box and the source of its fill at once. */
    @Test
    void theSourceOfAFillAsWellAsTheBox() {
        String text = fleet(
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
        Checker.Finding f =
                finding(Texts.check(text, LeastRecentlyLostPolicy::new, 60), "small files by way of a district");
        assertEquals(Checker.Verdict.REFUTED, f.verdict());
        // Only events at district caches can bring a fill from elsewhere: what is left of the scenario shows it.
        assertTrue(f.counterexample().scenario().faults().stream()
                .allMatch(fault ->
                        f.counterexample().scenario().site().boxes().stream().noneMatch(b -> b.node() == fault.node())
                                || fault.kind() != Fault.Kind.SLOW));
    }

    /** Guards: a second purge does not bring back what boxes dropped for the first one. */
    @Test
    void aSecondPurgeOfTheSameObject() {
        String text = fleet(
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "no copy from before a purge is served"));
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "copies are served"));
    }

    // ---- many doormans ----------------------------------------------------------------------------------

    /**
     * Sends what a doorman with the whole budget to itself may send: the rule's multiple of a cold box's capacity,
     * but for a seventh. Alone it keeps to the rule; nothing tells it of the others.
     */
    private static World.Maker greedy(double share) {
        return (settings, seed) -> new RoutingPolicy() {
            private double tokens;
            private double at = Double.NaN;
            private Node cold;
            private final LeastRecentlyLostPolicy rest = new LeastRecentlyLostPolicy(settings, seed);

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
                    double rate = share * settings.coldCache().overloadMultiple() * can * cold.size();
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

    private static final String COLD =
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
    void twoDoormansThatAreEachFineAndTogetherPushAColdBoxOver() {
        String name = "no cold cache is pushed over";
        Checker.Result alone = Texts.check(fleet(4, 1, COLD), greedy(0.7), 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(alone, name));
        Checker.Result both = Texts.check(fleet(4, 2, COLD), greedy(0.7), 1);
        assertEquals(Checker.Verdict.REFUTED, verdict(both, name));
        // What is left of the counterexample still needs both.
        assertEquals(
                2,
                finding(both, name).counterexample().scenario().asks().stream()
                        .map(Ask::doorman)
                        .distinct()
                        .count());
        assertEquals(
                Checker.Verdict.HOLDS, verdict(Texts.check(fleet(4, 2, COLD), LeastRecentlyLostPolicy::new, 1), name));
    }

    // ---- long orders ------------------------------------------------------------------------------------

    /** A module that forgets drains from the tenth piece of news on. */
    private static RoutingPolicy forgetful(RoutingPolicy.Settings settings, long seed) {
        LeastRecentlyLostPolicy decide = new LeastRecentlyLostPolicy(settings, seed);
        int[] news = {0};
        return (now, event, out) -> {
            boolean late = event instanceof RoutingPolicy.Members m
                    && m.kind() == RoutingPolicy.ListKind.DELTA
                    && ++news[0] >= 10;
            decide.handle(
                    now,
                    late
                            ? new RoutingPolicy.Members(
                                    RoutingPolicy.ListKind.DELTA,
                                    ((RoutingPolicy.Members) event)
                                            .nodes().stream()
                                                    .map(n -> new RoutingPolicy.Node(
                                                            n.id(),
                                                            n.zone(),
                                                            n.kind(),
                                                            n.cell(),
                                                            RoutingPolicy.State.READY,
                                                            n.size(),
                                                            n.startedAtMs()))
                                                    .toList())
                            : event,
                    out);
        };
    }

    /** Guards: what only fails with the tenth event is found by random orders, and its ten events stay. */
    @Test
    void anExpectationThatOnlyFailsWithTheTenthEvent() {
        String text = fleet(
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
        Checker.Finding f = finding(Texts.check(text, HardCasesTest::forgetful, 400), "drains are kept");
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
    void clientsRepeatsAreMarkedWhereTheLoadSaysSo() {
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "told"));
        assertEquals(Checker.Verdict.HOLDS, verdict(r, "one station at a time"));
    }

    // ---- the checker's own honesty ----------------------------------------------------------------------

    /** Guards: an expectation that nothing met is said to be vacuous, and two that no moment meets both of are named. */
    @Test
    void vacuousAndContradictingExpectationsAreNamed() {
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
        Checker.Result r = Texts.check(text, LeastRecentlyLostPolicy::new, 3);
        assertEquals(Checker.Verdict.VACUOUS, verdict(r, "of a class with no such state"));
        assertFalse(r.good(true));
        assertEquals(1, r.conflicts().size());
        assertEquals("always filled", r.conflicts().get(0).one().name());
    }

    /** Guards: the same input gives the same verdicts, counts and counterexamples. */
    @Test
    void theSameSeedFindsTheSame() {
        String text = fleet(
                2,
                2,
                """
            expectation "never a second attempt" {
              never { attempt { number = 2 } }
            }
            """);
        Checker.Finding one = finding(Texts.check(text, LeastRecentlyLostPolicy::new, 20), "never a second attempt");
        Checker.Finding two = finding(Texts.check(text, LeastRecentlyLostPolicy::new, 20), "never a second attempt");
        assertNotNull(one.counterexample());
        assertEquals(one.counterexample(), two.counterexample());
        assertEquals(Map.of(one.judged(), one.held()), Map.of(two.judged(), two.held()));
        List<Story.Step> told = Story.of(one.counterexample().scenario(), one.expectation());
        assertEquals(told, Story.of(two.counterexample().scenario(), two.expectation()));
        String all = told.stream().map(Story.Step::text).collect(Collectors.joining("\n"));
        assertTrue(
                all.contains("NOT as expected by \"never a second attempt\" (test.hcl:7): test.hcl:8: attempt.number"),
                all);
    }
}
