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

/** Hard cases for the checker: boxes that change during a request, delayed list updates and several doormans. */
class CheckerTest {

    private static Checker.Verdict verdict(Checker.Result result, String name) {
        return resultOf(result, name).verdict();
    }

    private static Checker.ExpectationResult resultOf(Checker.Result result, String name) {
        return result.expectationResults().stream()
                .filter(candidate -> candidate.expectation().name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Expectations with a fleet block of one station that has this many caches and doormans. */
    private static String withFleet(int caches, int doormans, String expectations) {
        return "fleet \"small\" {\n stations = 1\n caches = " + caches + "\n district_caches = 2\n doormans = "
                + doormans + "\n}\n" + expectations;
    }

    // ---- boxes that change during a request -------------------------------------------------------------

    /** Attempts sent before a drain may end at the box; only those sent after the grace period are violations. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        // Between the drain and the list update the box is still used; told_for then counts from the start.
        assertEquals(Checker.Verdict.REFUTED, verdict(result, "in flight"));
        Checker.Counterexample counterexample = resultOf(result, "in flight").counterexample();
        assertEquals(1, counterexample.scenario().faults().size());
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "after the grace"));
    }

    /** If a box ends during a request, each attempt is evaluated with the state of the doorman's list at its time. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "not named when missing"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "served all the same"));
        assertTrue(resultOf(result, "the reset is seen").evaluated() > 0, "no try had a second attempt");
    }

    /** If a box restarts during a request, further attempts are evaluated with its new start time. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertFalse(verdict(result, "further attempts spare it") == Checker.Verdict.REFUTED);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "it is used while cold"));
    }

    // ---- replaced boxes, stale lists, purges ------------------------------------------------------------

    /** A box that replaces another one under a new id is cold from its start and inherits no state. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "the old one is out"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "the new one is cold"));
    }

    /** With a stale list a box that has ended is still used, and an expectation on the listed state holds. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "by the list"));
        assertEquals(Checker.Verdict.REFUTED, verdict(result, "in truth"));
        // The list update arrives up to 20 ms after the lag; until then a few attempts may still go to the box.
        Checker.ExpectationResult late = resultOf(result, "told late");
        assertTrue(
                late.evaluated() - late.satisfied() <= 3,
                (late.evaluated() - late.satisfied()) + " attempts after the list update");
    }

    /** Without district caches fills come from the head office, and an expectation on sources detects it. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "filled from the head office"));
        assertEquals(Checker.Verdict.REFUTED, verdict(result, "never from the head office"));
        Checker.Counterexample counterexample =
                resultOf(result, "never from the head office").counterexample();
        assertEquals(1, counterexample.scenario().requests().size());
    }

    /** When the only box of a station drains, requests go to district caches or the head office. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "the drain is kept"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "round it"));
    }

    /** One expectation can test the target and the source of its fill together. */
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
        Checker.ExpectationResult f = resultOf(
                ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 60), "small files by way of a district");
        assertEquals(Checker.Verdict.REFUTED, f.verdict());
        // Only faults of district caches lead to fills from other sources, so no slow box remains after shrinking.
        assertTrue(f.counterexample().scenario().faults().stream()
                .allMatch(fault -> f.counterexample().scenario().deployment().boxes().stream()
                                .noneMatch(b -> b.nodeId() == fault.nodeId())
                        || fault.kind() != Fault.Kind.SLOW));
    }

    /** A second purge of an object does not restore copies that boxes dropped for the first one. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "no copy from before a purge is served"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "copies are served"));
    }

    // ---- several doormans -------------------------------------------------------------------------------

    /**
     * A policy that sends {@code share} of the load that the cold-box rule allows for all doormans together. A single
     * doorman complies with the rule by this; the policy does not take other doormans into account.
     */
    private static ScenarioSimulation.PolicyFactory policyOverusingColdBox(double share) {
        return (settings, seed) -> new RoutingPolicy() {
            private double tokens;
            private double lastRefillMs = Double.NaN;
            private Node coldNode;
            private final LeastRecentlyLostPolicy delegate = new LeastRecentlyLostPolicy(settings, seed);

            @Override
            public void handle(double nowMs, Event event, java.util.function.Consumer<Action> out) {
                if (event instanceof Members members) {
                    members.nodes().stream()
                            .filter(node -> node.startedAtMs() > 0 && node.kind() == 0)
                            .forEach(node -> coldNode = node);
                }
                delegate.handle(nowMs, event, action -> {
                    if (coldNode == null || !(action instanceof Get get)) {
                        out.accept(action);
                        return;
                    }
                    double warmUpProgress = (nowMs - coldNode.startedAtMs())
                            / settings.coldCache().warmAfterMs();
                    double capacityShare = settings.coldCache().fromShare()
                            + (1 - settings.coldCache().fromShare()) * warmUpProgress;
                    double rate = share * settings.coldCache().overloadMultiple() * capacityShare * coldNode.size();
                    tokens = Math.min(2_000, tokens + (Double.isNaN(lastRefillMs) ? 0 : nowMs - lastRefillMs) * rate);
                    lastRefillMs = nowMs;
                    boolean mayRedirect = tokens > 0;
                    tokens -= mayRedirect ? 200 : 0;
                    out.accept(
                            mayRedirect
                                    ? new Get(
                                            get.request(),
                                            coldNode.id(),
                                            get.timeoutMs(),
                                            get.source(),
                                            get.rank(),
                                            get.maxAgeMs(),
                                            get.join(),
                                            get.onlyHeld(),
                                            get.parentKeepsNone(),
                                            get.renew())
                                    : get);
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

    /** The load limit of a cold box is shared by all doormans: each complies alone, but two together exceed it. */
    @Test
    void twoDoormansTogetherOverloadAColdBox() {
        String name = "no cold cache is pushed over";
        Checker.Result alone =
                ExpectationFixtures.check(withFleet(4, 1, COLD_CACHE_EXPECTATIONS), policyOverusingColdBox(0.7), 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(alone, name));
        Checker.Result both =
                ExpectationFixtures.check(withFleet(4, 2, COLD_CACHE_EXPECTATIONS), policyOverusingColdBox(0.7), 1);
        assertEquals(Checker.Verdict.REFUTED, verdict(both, name));
        // The shrunk counterexample still needs both doormans.
        assertEquals(
                2,
                resultOf(both, name).counterexample().scenario().requests().stream()
                        .map(ClientRequest::doormanIndex)
                        .distinct()
                        .count());
        assertEquals(
                Checker.Verdict.HOLDS,
                verdict(
                        ExpectationFixtures.check(
                                withFleet(4, 2, COLD_CACHE_EXPECTATIONS), LeastRecentlyLostPolicy::new, 1),
                        name));
    }

    // ---- long sequences ---------------------------------------------------------------------------------

    /** A policy that ignores drains from the tenth list update on. */
    private static RoutingPolicy policyIgnoringLateDrains(RoutingPolicy.Settings settings, long seed) {
        LeastRecentlyLostPolicy decide = new LeastRecentlyLostPolicy(settings, seed);
        int[] updateCount = {0};
        return (nowMs, event, out) -> {
            boolean ignored = event instanceof RoutingPolicy.Members members
                    && members.kind() == RoutingPolicy.ListKind.DELTA
                    && ++updateCount[0] >= 10;
            decide.handle(
                    nowMs,
                    ignored
                            ? new RoutingPolicy.Members(
                                    RoutingPolicy.ListKind.DELTA,
                                    ((RoutingPolicy.Members) event)
                                            .nodes().stream()
                                                    .map(node -> new RoutingPolicy.Node(
                                                            node.id(),
                                                            node.zone(),
                                                            node.kind(),
                                                            node.cell(),
                                                            RoutingPolicy.State.READY,
                                                            node.size(),
                                                            node.startedAtMs()))
                                                    .toList())
                            : event,
                    out);
        };
    }

    /** Random sequences find a violation that needs ten list updates, and shrinking keeps the faults behind them. */
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
        long updates = f.counterexample().scenario().faults().stream()
                .mapToInt(fault -> switch (fault.kind()) {
                    case REPLACE -> 2;
                    case DRAIN, RETURN, GONE, RESTART -> 1;
                    default -> 0;
                })
                .sum();
        assertTrue(updates >= 10, "only " + updates + " list updates are left");
    }

    /** The policy sees retries as repeats if the workload marks them, and retries can be told from first tries. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 1);
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "told"));
        assertEquals(Checker.Verdict.HOLDS, verdict(result, "one station at a time"));
    }

    // ---- reports ----------------------------------------------------------------------------------------

    /** An expectation that applied to no event is vacuous; two that no event satisfied together are in conflict. */
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
        Checker.Result result = ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 3);
        assertEquals(Checker.Verdict.VACUOUS, verdict(result, "of a class with no such state"));
        assertFalse(result.isSuccess(true));
        assertEquals(1, result.conflicts().size());
        assertEquals("always filled", result.conflicts().get(0).first().name());
    }

    /** The same input gives the same verdicts, counts and counterexamples. */
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
        Checker.ExpectationResult first =
                resultOf(ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 20), "never a second attempt");
        Checker.ExpectationResult second =
                resultOf(ExpectationFixtures.check(text, LeastRecentlyLostPolicy::new, 20), "never a second attempt");
        assertNotNull(first.counterexample());
        assertEquals(first.counterexample(), second.counterexample());
        assertEquals(Map.of(first.evaluated(), first.satisfied()), Map.of(second.evaluated(), second.satisfied()));
        List<TraceNarrative.Step> steps =
                TraceNarrative.narrate(first.counterexample().scenario(), first.expectation());
        assertEquals(steps, TraceNarrative.narrate(second.counterexample().scenario(), second.expectation()));
        String narrative = steps.stream().map(TraceNarrative.Step::text).collect(Collectors.joining("\n"));
        assertTrue(
                narrative.contains(
                        "NOT as expected by \"never a second attempt\" (test.hcl:7): test.hcl:8: attempt.number"),
                narrative);
    }
}
