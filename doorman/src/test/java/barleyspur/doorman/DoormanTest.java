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

/** Tests how the core serves the routing policy, with a scripted policy and a manual clock. */
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

    /** A scheduled task; {@code cancelled} has one element. */
    private record Task(double dueMs, int sequence, Runnable action, boolean[] cancelled) {}

    private double nowMs = 1_000;
    private int taskCount;
    private final PriorityQueue<Task> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Task::dueMs).thenComparingInt(Task::sequence));
    private final List<RoutingPolicy.Event> events = new ArrayList<>();
    private final List<Depots.AttemptListener> sentAttempts = new ArrayList<>();
    private final List<Long> removedNodes = new ArrayList<>();
    private final List<String> cancelled = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final ByteBuf body = Unpooled.copiedBuffer(new byte[3]);
    private Consumer<RoutingPolicy.Event> onEvent = event -> {};
    private Consumer<RoutingPolicy.Action> actionSink;
    private Doorman doorman;
    private Doorman.Cancellable cancellable;

    private final Clock clock = new Clock() {
        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public Timer schedule(double delayMs, Runnable run) {
            Task task = new Task(nowMs + Math.max(0, delayMs), taskCount++, run, new boolean[1]);
            timers.add(task);
            return () -> task.cancelled()[0] = true;
        }
    };

    private final Depots depots = new Depots() {
        @Override
        public void updateNode(long node, NodeListing listing) {}

        @Override
        public void removeNode(long node) {
            removedNodes.add(node);
        }

        @Override
        public Call send(long node, AttemptRequest attemptRequest, AttemptListener listener) {
            int number = sentAttempts.size();
            sentAttempts.add(listener);
            return () -> cancelled.add("attempt " + number);
        }

        @Override
        public void probe(long node, double timeoutMs, AttemptListener listener) {
            sentAttempts.add(listener);
        }

        @Override
        public void closeIdleConnections(long node) {}
    };

    private final ResponseHandler responseHandler = new ResponseHandler() {
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
        public void refused(double retryAfterMs) {
            answers.add("refused " + retryAfterMs);
        }

        @Override
        public void failed() {
            answers.add("failed");
        }
    };

    @BeforeEach
    void start() {
        RoutingPolicy.Settings settings = SettingsReader.read(SettingsReader.parseLines(SETTINGS));
        doorman = new Doorman(
                settings,
                1,
                (at, event, sink) -> {
                    events.add(event);
                    actionSink = sink;
                    onEvent.accept(event);
                },
                clock,
                depots);
        doorman.onNodeList(true, List.of(NODE));
    }

    private static Request request(String id, int group, ByteBuf body) {
        return new Request(id, 0, "small", "7f3a9c21e0b4d655", 5, "0", 0, group, 1_000, 0, null, null, body);
    }

    private void acceptRequest(Consumer<RoutingPolicy.Event> decisions) {
        onEvent = decisions;
        cancellable = doorman.accept(
                request("9b1f03aa5c7e2d41", 7, body.refCnt() > 0 ? body : Unpooled.copiedBuffer(new byte[3])),
                clock.nowMs(),
                responseHandler);
    }

    private void send(long id) {
        send(id, NODE.nodeNumber());
    }

    private void send(long id, long node) {
        actionSink.accept(new RoutingPolicy.Get(id, node, 1_000, node, 2, 0, true, false, false, false));
    }

    private void sendAll(int attempts, RoutingPolicy.Event event) {
        if (event instanceof RoutingPolicy.Request request) {
            for (int i = 0; i < attempts; i++) {
                send(request.id());
            }
        }
    }

    private void advanceClockTo(double endMs) {
        while (!timers.isEmpty() && timers.peek().dueMs() <= endMs) {
            Task task = timers.poll();
            nowMs = Math.max(nowMs, task.dueMs());
            if (!task.cancelled()[0]) {
                task.action().run();
            }
        }
        nowMs = endMs;
    }

    private static Answer ok(ByteBuf bytes) {
        return new Answer(Result.OK, RoutingPolicy.Note.HIT, List.of(), bytes, "tag");
    }

    private List<RoutingPolicy.Outcome> outcomes() {
        return events.stream()
                .filter(event -> event instanceof RoutingPolicy.Outcome)
                .map(event -> (RoutingPolicy.Outcome) event)
                .toList();
    }

    @Test
    void firstOkIsTheAnswerAndALaterOneIsReleased() {
        acceptRequest(event -> sendAll(2, event));
        nowMs += 40;
        sentAttempts.get(1).onEnd(ok(Unpooled.copiedBuffer(new byte[5])));
        ByteBuf late = Unpooled.copiedBuffer(new byte[5]);
        sentAttempts.get(0).onEnd(ok(late));
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
        acceptRequest(event -> sendAll(1, event));
        sentAttempts.get(0).onEnd(Answer.of(Result.MISS));
        assertFalse(outcomes().get(0).closed());
        assertEquals(List.of(), answers);
        assertEquals(1, body.refCnt(), "a further attempt needs the body");
    }

    @Test
    void finishedRequestIsNeverSent() {
        acceptRequest(event -> {
            if (event instanceof RoutingPolicy.Request request) {
                actionSink.accept(new RoutingPolicy.Refuse(request.id(), 300));
                send(request.id());
            }
        });
        assertEquals(List.of("refused 300.0"), answers);
        assertEquals(0, sentAttempts.size());
    }

    @Test
    void attemptsAboveTheLimitNeverRun() {
        acceptRequest(event -> sendAll(3, event));
        assertEquals(2, sentAttempts.size());
        assertEquals(
                List.of(Result.MOOT),
                outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
    }

    /** An unresponsive machine keeps its connections open, so the core has to enforce the timeout. */
    @Test
    void unresponsiveDepotTimesOutAndIsCancelled() {
        acceptRequest(event -> sendAll(1, event));
        advanceClockTo(2_000);
        assertEquals(List.of("attempt 0"), cancelled);
        assertEquals(
                List.of(Result.TIMEOUT),
                outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
        assertFalse(outcomes().get(0).closed(), "the request still needs its final answer");
    }

    @Test
    void clientThatLeavesGetsNoAnswer() {
        acceptRequest(event -> {
            sendAll(1, event);
            if (event instanceof RoutingPolicy.Gone gone) {
                actionSink.accept(new RoutingPolicy.Cancel(gone.request(), 0));
            }
        });
        cancellable.cancel();
        cancellable.cancel();
        advanceClockTo(9_000);
        assertEquals(List.of(), answers);
        assertEquals(List.of("attempt 0"), cancelled);
        assertEquals(Result.CANCELLED, outcomes().get(0).result());
        assertTrue(outcomes().get(0).closed());
        assertEquals(0, body.refCnt());
    }

    /** An exception in the routing policy must neither leave the client without an answer nor end the process. */
    @Test
    void policyFailureFailsTheRequestAtOnce() {
        acceptRequest(event -> {
            throw new IllegalStateException("simulated policy failure");
        });
        assertEquals(List.of("failed"), answers);
        advanceClockTo(2_004);
        assertEquals(List.of("failed"), answers);
        assertEquals(0, body.refCnt());
    }

    /** An exception while handling an outcome must leave neither attempts nor their timers behind. */
    @Test
    void policyFailureOnAnOutcomeCancelsOtherAttempts() {
        acceptRequest(event -> {
            sendAll(2, event);
            if (event instanceof RoutingPolicy.Outcome) {
                throw new IllegalStateException("simulated policy failure");
            }
        });
        sentAttempts.get(0).onEnd(Answer.of(Result.MISS));
        assertEquals(List.of("failed"), answers);
        assertEquals(List.of("attempt 1"), cancelled);
        sentAttempts.get(1).onEnd(ok(Unpooled.copiedBuffer(new byte[5])));
        advanceClockTo(9_000);
        assertEquals(List.of("failed"), answers);
        assertEquals(2, outcomes().size());
    }

    @Test
    void requestLeftUnansweredByThePolicyFailsOnTimer() {
        acceptRequest(event -> sendAll(1, event));
        advanceClockTo(2_003);
        assertEquals(List.of(), answers);
        advanceClockTo(2_004);
        assertEquals(List.of("failed"), answers);
    }

    /** Two causes may end the same attempt, such as its timeout and its connection's end: the first one counts. */
    @Test
    void anAttemptEndsOnce() {
        acceptRequest(event -> sendAll(1, event));
        sentAttempts.get(0).onEnd(Answer.of(Result.RESET));
        ByteBuf late = Unpooled.copiedBuffer(new byte[5]);
        sentAttempts.get(0).onEnd(ok(late));
        advanceClockTo(1_999);
        assertEquals(1, outcomes().size());
        assertEquals(List.of(), answers);
        assertEquals(0, late.refCnt());
    }

    /** Once the client has left, attempts that still wait are not sent, even where cancels are not allowed. */
    @Test
    void nothingIsWrittenAfterTheClientLeft() {
        acceptRequest(event -> sendAll(1, event));
        assertEquals(Result.OK, sentAttempts.get(0).beforeWrite());
        cancellable.cancel();
        assertEquals(Result.MOOT, sentAttempts.get(0).beforeWrite());
    }

    /**
     * Guards drains, cold nodes and purges: an attempt that waits for a connection was decided before the change was
     * reported.
     */
    @Test
    void listChangesAndPurgesCancelUnsentAttempts() {
        List<Runnable> changes = List.of(
                () -> doorman.onNodeList(false, List.of(listing(RoutingPolicy.State.DRAINING, 0, 1))),
                () -> doorman.onNodeList(false, List.of(listing(RoutingPolicy.State.GONE, 0, 1))),
                () -> doorman.onNodeList(true, List.of()),
                () -> doorman.onNodeList(false, List.of(listing(RoutingPolicy.State.READY, 900, 1))),
                () -> doorman.onNodeList(false, List.of(listing(RoutingPolicy.State.READY, 0, 2))),
                () -> doorman.onObjectPurged(5, 900),
                () -> doorman.onGroupPurged(7, 900));
        for (Runnable change : changes) {
            doorman.onNodeList(true, List.of(NODE));
            events.clear();
            sentAttempts.clear();
            cancelled.clear();
            acceptRequest(event -> sendAll(2, event));
            sentAttempts.get(0).onSent();
            doorman.onNodeList(false, List.of(NODE));
            doorman.onObjectPurged(6, 900);
            doorman.onGroupPurged(8, 900);
            assertEquals(List.of(), outcomes(), "changes that concern other nodes and objects");
            change.run();
            assertEquals(List.of("attempt 1"), cancelled, "an attempt that was written continues");
            assertEquals(
                    List.of(Result.MOOT),
                    outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
            assertFalse(
                    events.get(events.size() - 2) instanceof RoutingPolicy.Outcome, "the policy gets the change first");
            sentAttempts.get(0).onEnd(ok(Unpooled.copiedBuffer(new byte[5])));
        }
    }

    private static NodeListing listing(RoutingPolicy.State state, double bootMs, int port) {
        return new NodeListing("s-1", new InetSocketAddress("127.0.0.1", port), 0, 0, 0, state, 1, bootMs);
    }

    /** A repeat that was decided in time but delayed must not be sent once its key may be forgotten. */
    @Test
    void keyedRepeatDelayedPastItsWindowIsNotSent() {
        doorman.applySettings(SettingsReader.read(
                SettingsReader.parseLines(SETTINGS + "grades.0.repeat=by_key\ngrades.0.keyTtlMs=300")));
        acceptRequest(event -> sendAll(2, event));
        assertEquals(Result.OK, sentAttempts.get(0).beforeWrite());
        sentAttempts.get(0).onSent();
        nowMs += 297;
        assertEquals(Result.OK, sentAttempts.get(1).beforeWrite());
        nowMs += 1;
        assertEquals(Result.MOOT, sentAttempts.get(1).beforeWrite());
        sentAttempts.get(0).onEnd(Answer.of(Result.FULL));
        assertEquals(Result.OK, sentAttempts.get(1).beforeWrite(), "the first attempt never ran");
    }

    /**
     * Guards against a key that runs in two cells: a repeat that waits for its connection is checked against the other
     * attempts as they are directly before its write, not as they were when it was decided.
     */
    @Test
    void keyedRepeatIsNotWrittenOutsideTheGroupOfAnAttemptThatMayHaveRun() {
        for (String scope : List.of("cell", "zone")) {
            start();
            sentAttempts.clear();
            doorman.applySettings(SettingsReader.read(SettingsReader.parseLines(SETTINGS
                    + "limits.sendCap=3\ngrades.0.repeat=by_key\ngrades.0.keyTtlMs=300\ngrades.0.keyScope=" + scope)));
            doorman.onNodeList(false, List.of(listed("s-1", 1, 1), listed("s-2", 2, 2), listed("s-3", 1, 1)));
            acceptRequest(event -> {
                if (event instanceof RoutingPolicy.Request request) {
                    send(request.id(), 1);
                    send(request.id(), 2);
                    send(request.id(), 3);
                }
            });
            assertEquals(Result.OK, sentAttempts.get(0).beforeWrite());
            assertEquals(Result.OK, sentAttempts.get(1).beforeWrite(), "nothing has been written");
            sentAttempts.get(0).onSent();
            assertEquals(Result.MOOT, sentAttempts.get(1).beforeWrite(), "another group than an outstanding attempt");
            assertEquals(Result.OK, sentAttempts.get(2).beforeWrite(), "the same group");
            sentAttempts.get(0).onEnd(Answer.of(Result.FULL));
            assertEquals(Result.OK, sentAttempts.get(1).beforeWrite(), "the first attempt never ran");
            sentAttempts.get(1).onSent();
            assertEquals(Result.MOOT, sentAttempts.get(2).beforeWrite(), "another group than the second attempt");
            sentAttempts.get(1).onEnd(Answer.of(Result.RESET));
            assertEquals(Result.MOOT, sentAttempts.get(2).beforeWrite(), "the second attempt may have run");
            doorman.onNodeList(false, List.of(listed("s-3", 2, 2)));
            assertEquals(Result.OK, sentAttempts.get(2).beforeWrite(), "listed anew in the second attempt's group");
            cancellable.cancel();
        }
    }

    private static NodeListing listed(String uid, int zone, int cell) {
        return new NodeListing(
                uid, new InetSocketAddress("127.0.0.1", 1), zone, 0, cell, RoutingPolicy.State.READY, 1, 0);
    }

    /** A damaged answer may confirm any copy: only the copy that the client holds can be current. */
    @Test
    void onlyTheCopyHeldByTheClientCanBeUnchanged() {
        acceptRequest(event -> sendAll(2, event));
        sentAttempts.get(0).onEnd(new Answer(Result.OK, RoutingPolicy.Note.HIT, List.of(), null, "tag"));
        sentAttempts.get(1).onEnd(new Answer(Result.OK, RoutingPolicy.Note.HIT, List.of(), null, null));
        assertEquals(List.of(), answers);
        assertEquals(
                List.of(Result.ERROR, Result.ERROR),
                outcomes().stream().map(RoutingPolicy.Outcome::result).toList());
    }

    /** Requests still open when SIGKILL may come are failed, not left without an answer. */
    @Test
    void drainFailsRequestsOpenAtItsDeadline() {
        boolean[] ended = new boolean[1];
        acceptRequest(event -> sendAll(1, event));
        doorman.drain(0, 500, () -> ended[0] = true);
        advanceClockTo(1_499);
        assertEquals(List.of(), answers);
        advanceClockTo(1_501);
        assertEquals(List.of("failed"), answers);
        assertEquals(List.of("attempt 0"), cancelled);
        assertTrue(ended[0]);
    }

    @Test
    void requestsBeyondTheLimitAreRefused() {
        acceptRequest(event -> {});
        doorman.accept(request("9b1f03aa5c7e2d42", 0, Unpooled.EMPTY_BUFFER), clock.nowMs(), responseHandler);
        assertEquals(List.of("refused 700.0"), answers);
    }

    @Test
    void drainAnswersOpenAndNewRequests() {
        boolean[] ended = new boolean[1];
        doorman.drain(750, 5_000, () -> ended[0] = true);
        advanceClockTo(1_600);
        acceptRequest(event -> sendAll(1, event));
        advanceClockTo(1_900);
        assertFalse(ended[0], "a request is open");
        sentAttempts.get(0).onEnd(ok(Unpooled.copiedBuffer(new byte[5])));
        advanceClockTo(1_901);
        assertTrue(ended[0]);
        assertEquals(List.of("served 5 tag"), answers);
    }

    @Test
    void nodeMissingFromAFullListIsRemoved() {
        NodeListing other = new NodeListing("s-2", NODE.address(), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);
        doorman.onNodeList(false, List.of(other));
        assertEquals(List.of(), removedNodes);
        doorman.onNodeList(true, List.of(other));
        assertEquals(List.of(NODE.nodeNumber()), removedNodes);
        assertEquals(
                List.of(RoutingPolicy.ListKind.CACHED, RoutingPolicy.ListKind.DELTA, RoutingPolicy.ListKind.FULL),
                events.stream()
                        .map(event -> ((RoutingPolicy.Members) event).kind())
                        .toList());
    }

    /**
     * The list may repeat entries, name boxes that were never listed, and list removed boxes again. None of these may
     * end the doorman or hide the other boxes of the same command.
     */
    @Test
    void duplicateOrUnknownListEntriesAreHarmless() {
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
            doorman.onNodeList(false, List.of(changed, NODE));
            assertEquals(
                    List.of(state, RoutingPolicy.State.READY),
                    ((RoutingPolicy.Members) events.get(0))
                            .nodes().stream().map(RoutingPolicy.Node::state).toList());
        }
        assertEquals(List.of(2L, 2L, 2L), removedNodes);
    }

    /** Two nodes with the same number would get each other's requests. */
    @Test
    void numberIdentifiesOneNode() {
        NodeListing same = new NodeListing("t-1", NODE.address(), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);
        NodeListing named = new NodeListing("box", NODE.address(), 0, 0, 0, RoutingPolicy.State.READY, 1, 0);
        assertEquals(NODE.nodeNumber(), same.nodeNumber());
        assertTrue(named.nodeNumber() >= 1L << 32, "above all numbers that a uid may end in");
        doorman.onNodeList(false, List.of(same, named));
        assertEquals(
                List.of(named.nodeNumber()),
                ((RoutingPolicy.Members) events.get(1))
                        .nodes().stream().map(RoutingPolicy.Node::id).toList());
    }

    @Test
    void purgesAreReportedByAge() {
        doorman.onGroupPurged(17, 900);
        assertEquals(new RoutingPolicy.Purged(17, 0, 100), events.get(events.size() - 1));
    }

    private void acceptDelayedRequest(int number, double waitedMs) {
        doorman.accept(
                request("9b1f03aa5c7e2d4" + number, 7, Unpooled.EMPTY_BUFFER),
                clock.nowMs() - waitedMs,
                responseHandler);
    }

    /** A process that has stalled may stall again when the answer is due, so later requests get earlier deadlines. */
    @Test
    void requestsGetAnEarlierDeadlineAfterAStall() {
        List<Double> remainingMs = new ArrayList<>();
        onEvent = event -> {
            if (event instanceof RoutingPolicy.Request request) {
                remainingMs.add(request.remainingMs());
                actionSink.accept(new RoutingPolicy.Refuse(request.id(), 0));
            }
        };
        acceptDelayedRequest(2, 0);
        assertEquals(1_000, remainingMs.get(0), 1e-6, "no stall was observed before");
        acceptDelayedRequest(3, 200);
        assertEquals(600, remainingMs.get(1), 1e-6, "200 ms waited, and 200 ms reserved for another stall");
        acceptDelayedRequest(4, 0);
        assertEquals(800, remainingMs.get(2), 1e-6);
        acceptDelayedRequest(5, 900);
        assertEquals(0, remainingMs.get(3), 1e-6, "its time limit has passed");
        acceptDelayedRequest(6, 0);
        assertEquals(750, remainingMs.get(4), 1e-6, "at most a quarter");
    }

    /**
     * Guards unsafe requests whose connect hung until the deadline: nothing was written, so the client may safely
     * retry.
     */
    @Test
    void requestThatWasNeverWrittenIsRefusedNotFailed() {
        acceptRequest(event -> {
            if (event instanceof RoutingPolicy.Request request) {
                send(request.id());
                actionSink.accept(new RoutingPolicy.Fail(request.id()));
            }
        });
        assertEquals(List.of("refused 700.0"), answers);
    }

    @Test
    void requestThatWasWrittenIsFailed() {
        acceptRequest(event -> {
            if (event instanceof RoutingPolicy.Request request) {
                send(request.id());
            }
        });
        sentAttempts.get(0).onSent();
        onEvent = event -> actionSink.accept(new RoutingPolicy.Fail(request()));
        doorman.onGroupPurged(1, 0);
        assertEquals(List.of("failed"), answers);
    }

    private long request() {
        return events.stream()
                .filter(RoutingPolicy.Request.class::isInstance)
                .map(event -> ((RoutingPolicy.Request) event).id())
                .findFirst()
                .orElseThrow();
    }
}
