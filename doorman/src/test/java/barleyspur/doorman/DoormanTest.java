package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.SettingsReader;
import barleyspur.decision.RoutingPolicy;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.doorman.Depots.Answer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The director's contract, with a director that does as each test says and a clock that the test moves. */
class DoormanTest {

    private static final NodeListing NODE =
            new NodeListing("s-1", new InetSocketAddress("127.0.0.1", 1), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);

    private static final String SETTINGS =
            """
        groupSize=1\nmyNumber=0\nmyZone=0\nresolutionMs=2\ngrades.count=1\ngrades.0.promiseMs=400
        grades.0.hardLimitMs=5000\ngrades.0.repeat=repeatable\nfamilyInfo.midKind=2\nfamilyInfo.masterKind=3
        familyInfo.paceKbPerS=7600\nlimits.sendCap=2\nrules.fallMs=1500\nrules.answerSlackMs=8
        rules.drainGraceMs=1000\nrules.coldFrom=0.24\nrules.coldMs=17000\nrules.tipMultiple=4
        limits.retryAfter=true\nlimits.maxRetryAfterMs=700
        """;

    private record Task(double at, int order, Runnable run, boolean[] cancelled) {}

    private double now = 1_000;
    private int tasks;
    private final PriorityQueue<Task> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingInt(Task::order));
    private final List<RoutingPolicy.Event> events = new ArrayList<>();
    private final List<Depots.AttemptListener> sent = new ArrayList<>();
    private final List<Long> retired = new ArrayList<>();
    private final List<String> cancelled = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final ByteBuf body = Unpooled.copiedBuffer(new byte[3]);
    private Consumer<RoutingPolicy.Event> decide = e -> {};
    private Consumer<RoutingPolicy.Action> out;
    private Doorman doorman;
    private Doorman.Cancellable ticket;

    private final Clock clock = new Clock() {
        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public Timer after(double delayMs, Runnable run) {
            Task task = new Task(now + Math.max(0, delayMs), tasks++, run, new boolean[1]);
            timers.add(task);
            return () -> task.cancelled()[0] = true;
        }
    };

    private final Depots depots = new Depots() {
        @Override
        public void list(long node, NodeListing listing) {}

        @Override
        public void retire(long node) {
            retired.add(node);
        }

        @Override
        public Call send(long node, Order order, AttemptListener listener) {
            int number = sent.size();
            sent.add(listener);
            return () -> cancelled.add("attempt " + number);
        }

        @Override
        public void probe(long node, double timeoutMs, AttemptListener listener) {
            sent.add(listener);
        }

        @Override
        public void closeIdle(long node) {}
    };

    private final ResponseHandler caller = new ResponseHandler() {
        @Override
        public void served(ByteBuf served, String tag) {
            answers.add("served " + served.readableBytes() + " " + tag);
            served.release();
        }

        @Override
        public void unchanged(String tag) {
            answers.add("unchanged " + tag);
        }

        @Override
        public void refused(double pauseMs) {
            answers.add("refused " + pauseMs);
        }

        @Override
        public void failed() {
            answers.add("failed");
        }
    };

    @BeforeEach
    void start() {
        RoutingPolicy.Settings settings = SettingsReader.read(SettingsReader.lines(SETTINGS));
        doorman = new Doorman(
                settings,
                1,
                (at, event, sink) -> {
                    events.add(event);
                    out = sink;
                    decide.accept(event);
                },
                clock,
                depots);
        doorman.listed(true, List.of(NODE));
    }

    private static Request request(String id, int group, ByteBuf body) {
        return new Request(id, 0, "small", "7f3a9c21e0b4d655", 5, "0", 0, group, 1_000, 0, null, null, body);
    }

    private void take(Consumer<RoutingPolicy.Event> decisions) {
        decide = decisions;
        ticket = doorman.take(
                request("9b1f03aa5c7e2d41", 7, body.refCnt() > 0 ? body : Unpooled.copiedBuffer(new byte[3])),
                clock.nowMs(),
                caller);
    }

    private void send(long id) {
        out.accept(new RoutingPolicy.Get(id, NODE.node(), 1_000, NODE.node(), 2, 0, true, false, false, false));
    }

    private void sendAll(int attempts, RoutingPolicy.Event event) {
        if (event instanceof RoutingPolicy.Request r) {
            for (int i = 0; i < attempts; i++) {
                send(r.id());
            }
        }
    }

    private void moveTo(double to) {
        while (!timers.isEmpty() && timers.peek().at() <= to) {
            Task task = timers.poll();
            now = Math.max(now, task.at());
            if (!task.cancelled()[0]) {
                task.run().run();
            }
        }
        now = to;
    }

    private static Answer ok(ByteBuf bytes) {
        return new Answer(Result.OK, RoutingPolicy.Note.HIT, List.of(), bytes, "tag");
    }

    private List<RoutingPolicy.Outcome> outcomes() {
        return events.stream()
                .filter(e -> e instanceof RoutingPolicy.Outcome)
                .map(e -> (RoutingPolicy.Outcome) e)
                .toList();
    }

    @Test
    void theFirstOkIsTheAnswerAndALaterOneIsReleased() {
        take(e -> sendAll(2, e));
        now += 40;
        sent.get(1).ended(ok(Unpooled.copiedBuffer(new byte[5])));
        ByteBuf late = Unpooled.copiedBuffer(new byte[5]);
        sent.get(0).ended(ok(late));
        assertEquals(List.of("served 5 tag"), answers);
        assertEquals(0, late.refCnt());
        assertEquals(0, body.refCnt());
        assertEquals(
                List.of(1, 0),
                outcomes().stream().map(RoutingPolicy.Outcome::attempt).toList());
        assertTrue(outcomes().stream().allMatch(RoutingPolicy.Outcome::closed));
        assertEquals(40, outcomes().get(0).latencyMs());
    }

    @Test
    void aFailedAttemptLeavesTheRequestOpen() {
        take(e -> sendAll(1, e));
        sent.get(0).ended(Answer.of(Result.MISS));
        assertFalse(outcomes().get(0).closed());
        assertEquals(List.of(), answers);
        assertEquals(1, body.refCnt(), "a further attempt needs the body");
    }

    @Test
    void whatIsOverIsNeverSent() {
        take(e -> {
            if (e instanceof RoutingPolicy.Request r) {
                out.accept(new RoutingPolicy.Refuse(r.id(), 300));
                send(r.id());
            }
        });
        assertEquals(List.of("refused 300.0"), answers);
        assertEquals(0, sent.size());
    }

    @Test
    void moreAttemptsThanAllowedNeverRan() {
        take(e -> sendAll(3, e));
        assertEquals(2, sent.size());
        assertEquals(
                List.of(Result.MOOT),
                outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
    }

    /** A silent machine keeps its connections open: the time-out is the host's to keep. */
    @Test
    void aSilentDepotIsTimedOutAndCancelled() {
        take(e -> sendAll(1, e));
        moveTo(2_000);
        assertEquals(List.of("attempt 0"), cancelled);
        assertEquals(
                List.of(Result.TIMEOUT),
                outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
        assertFalse(outcomes().get(0).closed(), "the final answer is still owed");
    }

    @Test
    void aClientThatLeavesIsOwedNothing() {
        take(e -> {
            sendAll(1, e);
            if (e instanceof RoutingPolicy.Gone g) {
                out.accept(new RoutingPolicy.Cancel(g.request(), 0));
            }
        });
        ticket.cancel();
        ticket.cancel();
        moveTo(9_000);
        assertEquals(List.of(), answers);
        assertEquals(List.of("attempt 0"), cancelled);
        assertEquals(Result.CANCELLED, outcomes().get(0).result());
        assertTrue(outcomes().get(0).closed());
        assertEquals(0, body.refCnt());
    }

    /** A fault in the decisions must not cost the client its answer, nor the process its life. */
    @Test
    void aDirectorThatFailsCostsTheRequestAtOnce() {
        take(e -> {
            throw new IllegalStateException("as a faulty decision would");
        });
        assertEquals(List.of("failed"), answers);
        moveTo(2_004);
        assertEquals(List.of("failed"), answers);
        assertEquals(0, body.refCnt());
    }

    /** A fault over an outcome leaves nothing out for the request: neither attempts nor their timers. */
    @Test
    void aDirectorThatFailsOverAnOutcomeGivesUpTheRest() {
        take(e -> {
            sendAll(2, e);
            if (e instanceof RoutingPolicy.Outcome) {
                throw new IllegalStateException("as a faulty decision would");
            }
        });
        sent.get(0).ended(Answer.of(Result.MISS));
        assertEquals(List.of("failed"), answers);
        assertEquals(List.of("attempt 1"), cancelled);
        sent.get(1).ended(ok(Unpooled.copiedBuffer(new byte[5])));
        moveTo(9_000);
        assertEquals(List.of("failed"), answers);
        assertEquals(2, outcomes().size());
    }

    @Test
    void aRequestThatTheDirectorLeavesIsFailedByTheGuard() {
        take(e -> sendAll(1, e));
        moveTo(1_853);
        assertEquals(List.of(), answers);
        moveTo(1_854);
        assertEquals(List.of("failed"), answers);
    }

    /** Two ends of one attempt may cross, such as its time-out and its connection's end: the first counts. */
    @Test
    void anAttemptEndsOnce() {
        take(e -> sendAll(1, e));
        sent.get(0).ended(Answer.of(Result.RESET));
        ByteBuf late = Unpooled.copiedBuffer(new byte[5]);
        sent.get(0).ended(ok(late));
        moveTo(1_849);
        assertEquals(1, outcomes().size());
        assertEquals(List.of(), answers);
        assertEquals(0, late.refCnt());
    }

    /** Guards those who have gone, also where attempts may not be cancelled: what still waits does not go out. */
    @Test
    void nothingGoesOutForWhoHasGone() {
        take(e -> sendAll(1, e));
        assertEquals(Result.OK, sent.get(0).beforeWrite());
        ticket.cancel();
        assertEquals(Result.MOOT, sent.get(0).beforeWrite());
    }

    /** Guards drains, cold nodes and purges: what waits for a connection was decided before they were told. */
    @Test
    void whatIsToldOvertakesWhatHasNotGoneOut() {
        List<Runnable> news = List.of(
                () -> doorman.listed(false, List.of(listing(RoutingPolicy.State.DRAINING, 0, 1))),
                () -> doorman.listed(false, List.of(listing(RoutingPolicy.State.GONE, 0, 1))),
                () -> doorman.listed(true, List.of()),
                () -> doorman.listed(false, List.of(listing(RoutingPolicy.State.READY, 900, 1))),
                () -> doorman.listed(false, List.of(listing(RoutingPolicy.State.READY, 0, 2))),
                () -> doorman.purgedObject(5, 900),
                () -> doorman.purgedGroup(7, 900));
        for (Runnable one : news) {
            doorman.listed(true, List.of(NODE));
            events.clear();
            sent.clear();
            cancelled.clear();
            take(e -> sendAll(2, e));
            sent.get(0).sent();
            doorman.listed(false, List.of(NODE));
            doorman.purgedObject(6, 900);
            doorman.purgedGroup(8, 900);
            assertEquals(List.of(), outcomes(), "news of others");
            one.run();
            assertEquals(List.of("attempt 1"), cancelled, "what has gone out goes on");
            assertEquals(
                    List.of(Result.MOOT),
                    outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
            assertFalse(events.get(events.size() - 2) instanceof RoutingPolicy.Outcome, "the news come first");
            sent.get(0).ended(ok(Unpooled.copiedBuffer(new byte[5])));
        }
    }

    private static NodeListing listing(RoutingPolicy.State state, double bootMs, int port) {
        return new NodeListing("s-1", new InetSocketAddress("127.0.0.1", port), 0, 0, 0, state, 1, bootMs);
    }

    /** Guards repeats of keyed requests: one decided in time may not go out when its key is forgotten. */
    @Test
    void aKeyedRepeatThatWaitedPastItsWindowDoesNotGo() {
        doorman.retune(
                SettingsReader.read(SettingsReader.lines(SETTINGS + "grades.0.repeat=by_key\ngrades.0.keyTtlMs=300")));
        take(e -> sendAll(2, e));
        assertEquals(Result.OK, sent.get(0).beforeWrite());
        sent.get(0).sent();
        now += 297;
        assertEquals(Result.OK, sent.get(1).beforeWrite());
        now += 1;
        assertEquals(Result.MOOT, sent.get(1).beforeWrite());
        sent.get(0).ended(Answer.of(Result.FULL));
        assertEquals(Result.OK, sent.get(1).beforeWrite(), "the first has never run");
    }

    /** A spoilt answer may call any copy current: only the one that the client holds can be. */
    @Test
    void onlyTheCopyThatTheClientHoldsIsCurrent() {
        take(e -> sendAll(2, e));
        sent.get(0).ended(new Answer(Result.OK, RoutingPolicy.Note.HIT, List.of(), null, "tag"));
        sent.get(1).ended(new Answer(Result.OK, RoutingPolicy.Note.HIT, List.of(), null, null));
        assertEquals(List.of(), answers);
        assertEquals(
                List.of(Result.ERROR, Result.ERROR),
                outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
    }

    /** Guards the last answers: what is still open when SIGKILL may come is failed, not left. */
    @Test
    void aDrainFailsWhatIsOpenAtItsEnd() {
        boolean[] ended = new boolean[1];
        take(e -> sendAll(1, e));
        doorman.drain(0, 500, () -> ended[0] = true);
        moveTo(1_499);
        assertEquals(List.of(), answers);
        moveTo(1_501);
        assertEquals(List.of("failed"), answers);
        assertEquals(List.of("attempt 0"), cancelled);
        assertTrue(ended[0]);
    }

    @Test
    void requestsBeyondTheLimitAreRefused() {
        take(e -> {});
        doorman.take(request("9b1f03aa5c7e2d42", 0, Unpooled.EMPTY_BUFFER), clock.nowMs(), caller);
        assertEquals(List.of("refused 700.0"), answers);
    }

    @Test
    void aDrainAnswersWhatIsOpenAndWhatStillComes() {
        boolean[] ended = new boolean[1];
        doorman.drain(750, 5_000, () -> ended[0] = true);
        moveTo(1_600);
        take(e -> sendAll(1, e));
        moveTo(1_900);
        assertFalse(ended[0], "a request is open");
        sent.get(0).ended(ok(Unpooled.copiedBuffer(new byte[5])));
        moveTo(1_901);
        assertTrue(ended[0]);
        assertEquals(List.of("served 5 tag"), answers);
    }

    @Test
    void aNodeThatAWholeListLeavesOutHasGone() {
        NodeListing other = new NodeListing("s-2", NODE.address(), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);
        doorman.listed(false, List.of(other));
        assertEquals(List.of(), retired);
        doorman.listed(true, List.of(other));
        assertEquals(List.of(NODE.node()), retired);
        assertEquals(
                List.of(RoutingPolicy.ListKind.CACHED, RoutingPolicy.ListKind.DELTA, RoutingPolicy.ListKind.FULL),
                events.stream().map(e -> ((RoutingPolicy.Members) e).kind()).toList());
    }

    /**
     * The list may say a thing twice, speak of boxes that were never listed, and take up one again that had gone. Guards
     * against losing the doorman, or the other boxes of the same event, by any of these.
     */
    @Test
    void listEventsThatComeTwiceOrForUnknownBoxesHarmNothing() {
        for (RoutingPolicy.State state : List.of(
                RoutingPolicy.State.GONE,
                RoutingPolicy.State.DRAINING,
                RoutingPolicy.State.DRAINING,
                RoutingPolicy.State.GONE,
                RoutingPolicy.State.GONE,
                RoutingPolicy.State.READY,
                RoutingPolicy.State.READY)) {
            NodeListing changed = new NodeListing("s-2", NODE.address(), 0, 0, 0, state, 1, 0);
            events.clear();
            doorman.listed(false, List.of(changed, NODE));
            assertEquals(
                    List.of(state, RoutingPolicy.State.READY),
                    ((RoutingPolicy.Members) events.get(0))
                            .nodes().stream().map(RoutingPolicy.Node::state).toList());
        }
        assertEquals(List.of(2L, 2L, 2L), retired);
    }

    /** Two nodes under one number would get each other's requests. */
    @Test
    void aNumberStandsForOneNode() {
        NodeListing same = new NodeListing("t-1", NODE.address(), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);
        NodeListing named = new NodeListing("box", NODE.address(), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);
        assertEquals(NODE.node(), same.node());
        assertTrue(named.node() >= 1L << 32, "no number that an id may end in");
        doorman.listed(false, List.of(same, named));
        assertEquals(
                List.of(named.node()),
                ((RoutingPolicy.Members) events.get(1))
                        .nodes().stream().map(RoutingPolicy.Node::id).toList());
    }

    @Test
    void purgesAreToldByTheirAge() {
        doorman.purgedGroup(17, 900);
        assertEquals(new RoutingPolicy.Purged(17, 0, 100), events.get(events.size() - 1));
    }

    private void takeThatWaited(int number, double waitedMs) {
        doorman.take(request("9b1f03aa5c7e2d4" + number, 7, Unpooled.EMPTY_BUFFER), clock.nowMs() - waitedMs, caller);
    }

    /** Guards the last answer of each request: a process that has stood still for a while may do so again when it is due. */
    @Test
    void requestsEndSoonerOnceTheProcessHasStoodStill() {
        List<Double> told = new ArrayList<>();
        decide = e -> {
            if (e instanceof RoutingPolicy.Request r) {
                told.add(r.remainingMs());
                out.accept(new RoutingPolicy.Refuse(r.id(), 0));
            }
        };
        takeThatWaited(2, 0);
        assertEquals(850, told.get(0), 1e-6, "a quarter of the 600 ms after it was wanted");
        takeThatWaited(3, 200);
        assertEquals(600, told.get(1), 1e-6, "200 ms waited, and as much again may be lost at its end");
        takeThatWaited(4, 0);
        assertEquals(800, told.get(2), 1e-6);
        takeThatWaited(5, 900);
        assertEquals(0, told.get(3), 1e-6, "its time is over");
        takeThatWaited(6, 0);
        assertEquals(750, told.get(4), 1e-6, "a quarter at most");
    }

    /** Guards unsafe requests whose connect hung to the end: nothing went out, so the client may safely try again. */
    @Test
    void whatNeverWentOutIsRefusedAndNotFailed() {
        take(e -> {
            if (e instanceof RoutingPolicy.Request r) {
                send(r.id());
                out.accept(new RoutingPolicy.Fail(r.id()));
            }
        });
        assertEquals(List.of("refused 700.0"), answers);
    }

    @Test
    void whatWentOutIsFailed() {
        take(e -> {
            if (e instanceof RoutingPolicy.Request r) {
                send(r.id());
            }
        });
        sent.get(0).sent();
        decide = e -> out.accept(new RoutingPolicy.Fail(request()));
        doorman.purgedGroup(1, 0);
        assertEquals(List.of("failed"), answers);
    }

    private long request() {
        return events.stream()
                .filter(RoutingPolicy.Request.class::isInstance)
                .map(e -> ((RoutingPolicy.Request) e).id())
                .findFirst()
                .orElseThrow();
    }
}
