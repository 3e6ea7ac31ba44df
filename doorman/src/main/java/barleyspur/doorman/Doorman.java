package barleyspur.doorman;

import barleyspur.decision.RepeatRule;
import barleyspur.decision.RoutingPolicy;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.log.LogEvent;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The core of a doorman: passes events to a {@link RoutingPolicy} and executes the actions that it returns. It is
 * independent of the client and depot protocols and makes no routing decisions itself. All calls have to come from the
 * same event loop thread.
 */
public final class Doorman implements CommandListener {

    private static final Logger LOG = LoggerFactory.getLogger("doorman");
    /** Request ids passed to the policy stay below 2^32, where its timer tokens begin. */
    private static final long ID_LIMIT = 1L << 32;

    private static final double PROBE_TIMEOUT_MS = 250;
    /** How many ids of earlier requests are remembered, in addition to {@code maxOpen}. */
    private static final int EXTRA_REMEMBERED_IDS = 8_192;

    private RoutingPolicy.Settings settings;
    private final int maxOpen;
    private final RoutingPolicy policy;
    private final Clock clock;
    private final Depots depots;
    private final Map<Long, RequestContext> contexts = new HashMap<>();
    /** The client ids of recently accepted requests. The capacity covers all requests that can be open. */
    private final Set<String> recentIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > maxOpen + EXTRA_REMEMBERED_IDS;
        }
    });

    private final NodeTable nodeTable;
    private final StallMargin stallMargin = new StallMargin();
    private final ArrayDeque<RoutingPolicy.Event> pendingEvents = new ArrayDeque<>();
    private final ArrayDeque<RoutingPolicy.Action> pendingActions = new ArrayDeque<>();
    private boolean dispatching;
    private long lastId;
    /** The number of requests that have not been answered yet. */
    private int pendingResponses;
    /** The number of attempts that have not ended, of all requests. */
    private int openAttempts;

    private boolean draining;
    private Runnable drainCallback;

    /**
     * Creates a core that accepts at most {@code maxOpen} open requests and executes the actions of {@code policy}.
     */
    public Doorman(RoutingPolicy.Settings settings, int maxOpen, RoutingPolicy policy, Clock clock, Depots depots) {
        this.settings = settings;
        this.maxOpen = maxOpen;
        this.policy = policy;
        this.clock = clock;
        this.depots = depots;
        this.nodeTable = new NodeTable(depots);
    }

    // ---- client requests --------------------------------------------------------------------------------

    /** A handle on an open request by which the client connection reports that its client has left. */
    public interface Cancellable {
        /** Reports that the client has left and needs no answer any more. */
        void cancel();
    }

    /**
     * Accepts a request and takes ownership of its body. The request's time limit starts at {@code arrivedMs}, the
     * earliest time at which it may have reached this machine, and is shortened by a margin for process stalls at its
     * end. The handler may be called from within this call.
     */
    public Cancellable accept(Request request, double arrivedMs, ResponseHandler handler) {
        if (pendingResponses >= maxOpen) {
            LogEvent.log(
                    LOG.atWarn(),
                    "refused: too many requests are open",
                    "request",
                    request.id(),
                    "open",
                    pendingResponses);
            request.body().release();
            handler.refused(settings.maxRetryAfterMs());
            handler.released();
            return () -> {};
        }
        double nowMs = clock.nowMs();
        lastId = (lastId + 1) % ID_LIMIT;
        stallMargin.observe(nowMs, nowMs - arrivedMs);
        RoutingPolicy.RequestClass requestClass = settings.classes().get(request.category());
        double marginMs = stallMargin.marginMs(request.remainingMs(), nowMs);
        RequestContext context =
                new RequestContext(lastId, request, handler, arrivedMs, marginMs, new RequestTimers(clock));
        contexts.put(context.id, context);
        recentIds.add(request.id());
        RequestTrace.requestAccepted(request, nowMs - arrivedMs);
        pendingResponses++;
        // Guarantees every request an answer even if the policy never gives one: at this time half of the answer
        // slack remains.
        context.latestEndMs = context.deadlineMs + settings.answerSlackMs() / 2;
        context.timers.schedule(context.latestEndMs - nowMs, () -> failWithoutPolicy(context, "left unanswered"));
        dispatch(new RoutingPolicy.Request(
                context.id,
                request.category(),
                0,
                request.object(),
                request.part(),
                request.group(),
                Math.max(0, context.deadlineMs - nowMs),
                request.sizeKb(),
                false,
                requestClass.write()));
        return () -> onClientLeft(context);
    }

    /**
     * Applies changed settings to the requests accepted from now on and passes them to the policy. Classes keep their
     * numbers, so open requests keep their classes.
     */
    public void applySettings(RoutingPolicy.Settings next) {
        settings = next;
        dispatch(new RoutingPolicy.Retuned(next));
    }

    /** Returns the number of requests that are not answered yet, or of which an attempt has not ended. */
    public int openRequests() {
        return contexts.size();
    }

    /** Returns the number of attempts that have not ended. */
    public int openAttempts() {
        return openAttempts;
    }

    /** Returns the longest time for which a refused client may be asked to stay away. */
    public double maxRetryAfterMs() {
        return settings.maxRetryAfterMs();
    }

    /**
     * Returns whether a request with this id was accepted recently. Every request needs a new id, retries by clients
     * included.
     */
    public boolean hasRecentId(String id) {
        return recentIds.contains(id);
    }

    /**
     * Drains: keeps accepting requests for {@code graceMs}, waits until all are answered, then calls {@code callback}
     * once. Requests still open after {@code maxMs} are failed, because the process may be killed right afterwards,
     * which would leave them without any answer.
     */
    public void drain(double graceMs, double maxMs, Runnable callback) {
        if (draining) {
            return;
        }
        draining = true;
        clock.schedule(maxMs, () -> List.copyOf(contexts.values())
                .forEach(context -> failWithoutPolicy(context, "the process ends")));
        LogEvent.log(LOG.atInfo(), "drain: asked to stop", "open", pendingResponses);
        clock.schedule(graceMs, () -> {
            drainCallback = callback;
            endDrainIfIdle();
        });
    }

    private void endDrainIfIdle() {
        if (drainCallback != null && pendingResponses == 0) {
            Runnable callback = drainCallback;
            drainCallback = null;
            LOG.info("drain: all requests answered");
            callback.run();
        }
    }

    private void onClientLeft(RequestContext context) {
        if (!context.finished) {
            finishRequest(context, "gone");
            dispatch(new RoutingPolicy.Gone(context.id));
            removeIfDone(context);
        }
    }

    /** Fails a request without asking the policy, and cancels all its open attempts. */
    private void failWithoutPolicy(RequestContext context, String cause) {
        if (!context.finished) {
            LogEvent.log(LOG.atError(), "failed without the director", "request", context.request.id(), "cause", cause);
            finishRequest(context, "failed");
            context.handler.failed();
            dispatch(new RoutingPolicy.Gone(context.id));
            for (int i = 0; i < context.attempts.size(); i++) {
                cancelAttempt(context, i, Result.CANCELLED);
            }
            removeIfDone(context);
        }
    }

    /** Cancels an open attempt and ends it with {@code result}. */
    private void cancelAttempt(RequestContext context, int number, Result result) {
        RequestContext.Attempt attempt = context.attempts.get(number);
        if (!attempt.ended) {
            attempt.call.cancel();
            endAttempt(context, number, Depots.Answer.of(result));
        }
    }

    /** Marks the request as finished: nothing more is sent for it. */
    private void finishRequest(RequestContext context, String outcome) {
        context.finished = true;
        RequestTrace.requestFinished(context, outcome, clock.nowMs() - context.arrivedAtMs);
        context.timers.end();
        context.request.body().release();
        pendingResponses--;
        if (drainCallback != null) {
            clock.schedule(0, this::endDrainIfIdle);
        }
    }

    private void removeIfDone(RequestContext context) {
        if (context.finished && context.openAttempts == 0) {
            contexts.remove(context.id);
            context.handler.released();
        }
    }

    // ---- the command channel ---------------------------------------------------------------------------

    @Override
    public void onNodeList(boolean full, List<NodeListing> listings) {
        NodeTable.Change change = nodeTable.apply(full, listings);
        dispatch(new RoutingPolicy.Members(change.kind(), change.nodes()));
        if (!change.invalidated().isEmpty()) {
            cancelUnsent((context, attempt) -> change.invalidated().contains(attempt.node)
                    || change.invalidated().contains(attempt.source));
        }
    }

    /**
     * Cancels the affected attempts that wait for a connection and have not written a byte yet: they were decided
     * before the change that has just been reported. They end as never sent. The policy has received the change
     * first, so it decides again with current information.
     */
    private void cancelUnsent(BiPredicate<RequestContext, RequestContext.Attempt> affected) {
        for (RequestContext context : List.copyOf(contexts.values())) {
            for (int i = 0; i < context.attempts.size(); i++) {
                RequestContext.Attempt attempt = context.attempts.get(i);
                if (!attempt.ended && !attempt.written && affected.test(context, attempt)) {
                    cancelAttempt(context, i, Result.MOOT);
                }
            }
        }
    }

    @Override
    public void onObjectPurged(long object, double purgedAtMs) {
        dispatch(new RoutingPolicy.Purged(0, object, clock.nowMs() - purgedAtMs));
        cancelUnsent((context, attempt) -> context.request.object() == object);
    }

    @Override
    public void onGroupPurged(int group, double purgedAtMs) {
        dispatch(new RoutingPolicy.Purged(group, 0, clock.nowMs() - purgedAtMs));
        cancelUnsent((context, attempt) -> context.request.group() == group);
    }

    // ---- the routing policy ----------------------------------------------------------------------------

    /**
     * Passes an event to the policy. Events caused by the resulting actions are queued and handled one after another.
     */
    private void dispatch(RoutingPolicy.Event event) {
        pendingEvents.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (RoutingPolicy.Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                runPolicy(next);
            }
        } finally {
            dispatching = false;
        }
    }

    /**
     * Runs the policy on one event and executes its actions. An exception in the policy fails the affected request at
     * once instead of ending the process.
     */
    private void runPolicy(RoutingPolicy.Event event) {
        try {
            policy.handle(clock.nowMs(), event, pendingActions::add);
        } catch (RuntimeException e) {
            LogEvent.log(
                    LOG.atError().setCause(e),
                    "director failed",
                    "event",
                    event.getClass().getSimpleName());
            RequestContext affected = event instanceof RoutingPolicy.Request request
                    ? contexts.get(request.id())
                    : event instanceof RoutingPolicy.Outcome outcome ? contexts.get(outcome.request()) : null;
            if (affected != null) {
                failWithoutPolicy(affected, "the director failed");
            }
        }
        for (RoutingPolicy.Action action = pendingActions.poll(); action != null; action = pendingActions.poll()) {
            execute(action);
        }
    }

    private void execute(RoutingPolicy.Action action) {
        if (action instanceof RoutingPolicy.Get get) {
            send(get.request(), get.node(), get.timeoutMs(), get);
        } else if (action instanceof RoutingPolicy.Send send) {
            send(send.request(), send.node(), send.timeoutMs(), null);
        } else if (action instanceof RoutingPolicy.Cancel cancelAction) {
            cancel(cancelAction);
        } else if (action instanceof RoutingPolicy.Refuse refuse) {
            respond(refuse.request(), "refused", context -> context.handler.refused(refuse.pauseMs()));
        } else if (action instanceof RoutingPolicy.Fail fail) {
            fail(fail.request());
        } else if (action instanceof RoutingPolicy.WakeAt wake) {
            scheduleAlarm(wake);
        } else if (action instanceof RoutingPolicy.Probe probe) {
            probe(probe.node());
        } else if (action instanceof RoutingPolicy.HangUp hangUp) {
            depots.closeIdleConnections(hangUp.node());
        } else if (action instanceof RoutingPolicy.Log log) {
            LOG.info("director: {}", log.line());
        } else {
            // Messages to peers and requests for the node list are not available on this platform.
            LogEvent.log(
                    LOG.atWarn(),
                    "director ordered what this platform lacks",
                    "action",
                    action.getClass().getSimpleName());
        }
    }

    /**
     * Schedules an alarm. One that belongs to a request ends with it; one that is due only when the request must have
     * ended is left out.
     */
    private void scheduleAlarm(RoutingPolicy.WakeAt wake) {
        double delayMs = wake.atMs() - clock.nowMs();
        Runnable alarm = () -> dispatch(new RoutingPolicy.Alarm(wake.token()));
        if (!wake.belongsToRequest()) {
            clock.schedule(delayMs, alarm);
            return;
        }
        RequestContext context = contexts.get(wake.request());
        if (context != null && wake.atMs() < context.latestEndMs) {
            context.timers.schedule(delayMs, alarm);
        }
    }

    /**
     * Fails a request. If no byte of any attempt was written, the request cannot have run and is refused instead, so
     * that the client knows that a retry is safe.
     */
    private void fail(long id) {
        RequestContext found = contexts.get(id);
        if (found != null && found.nothingWritten()) {
            respond(id, "refused", context -> context.handler.refused(settings.maxRetryAfterMs()));
        } else {
            respond(id, "failed", context -> context.handler.failed());
        }
    }

    private void respond(long id, String outcome, Consumer<RequestContext> answer) {
        RequestContext context = contexts.get(id);
        if (context != null && !context.finished) {
            finishRequest(context, outcome);
            answer.accept(context);
            removeIfDone(context);
        }
    }

    private void probe(long node) {
        double sentAtMs = clock.nowMs();
        depots.probe(
                node,
                PROBE_TIMEOUT_MS,
                answer -> dispatch(
                        new RoutingPolicy.Probed(node, answer.result(), clock.nowMs() - sentAtMs, answer.load())));
    }

    // ---- attempts --------------------------------------------------------------------------------------

    private void send(long id, long node, double timeoutMs, RoutingPolicy.Get get) {
        RequestContext context = contexts.get(id);
        if (context == null) {
            return;
        }
        double nowMs = clock.nowMs();
        RequestContext.Attempt attempt = new RequestContext.Attempt(node, get == null ? node : get.source(), nowMs);
        int number = context.attempts.size();
        context.attempts.add(attempt);
        context.openAttempts++;
        openAttempts++;
        RequestTrace.attemptSent(context, number, node, get);
        double remainingMs = context.deadlineMs - nowMs;
        double attemptTimeoutMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        if (context.finished || number >= settings.maxAttempts() || attemptTimeoutMs <= 0) {
            endAttempt(context, number, Depots.Answer.of(Result.MOOT));
            return;
        }
        attempt.call =
                depots.send(node, attemptRequest(context, node, attemptTimeoutMs, get), new Depots.AttemptListener() {
                    @Override
                    public Result beforeWrite() {
                        return mayBeWritten(context, attempt) ? Result.OK : Result.MOOT;
                    }

                    @Override
                    public void onSent() {
                        attempt.written = true;
                        attempt.writtenAtMs = clock.nowMs();
                        attempt.group = groupOf(nodeTable.get(attempt.node));
                    }

                    @Override
                    public void onEnd(Depots.Answer answer) {
                        endAttempt(context, number, answer);
                    }
                });
        if (!attempt.ended) {
            attempt.timeoutTimer =
                    clock.schedule(attemptTimeoutMs, () -> cancelAttempt(context, number, Result.TIMEOUT));
        }
    }

    /**
     * Returns whether the attempt may be written now. It was allowed when it was decided, but had to wait for a
     * connection, and meanwhile other attempts may have begun or ended, or its node may have been listed anew.
     */
    private boolean mayBeWritten(RequestContext context, RequestContext.Attempt attempt) {
        NodeListing listing = nodeTable.get(attempt.node);
        if (context.finished || attempt.ended || listing == null) {
            return false;
        }
        return RepeatRule.allows(
                settings.classes().get(context.request.category()),
                context.attemptsBesides(attempt),
                groupOf(listing),
                clock.nowMs(),
                settings.tickMs());
    }

    private static RepeatRule.Group groupOf(NodeListing listing) {
        return new RepeatRule.Group(listing.zone(), listing.cell());
    }

    private Depots.AttemptRequest attemptRequest(
            RequestContext context, long node, double attemptTimeoutMs, RoutingPolicy.Get get) {
        if (get == null) {
            return new Depots.AttemptRequest(context.request, attemptTimeoutMs, null, 0, 0, false, false, false, false);
        }
        NodeListing sourceListing = get.source() == node ? null : nodeTable.get(get.source());
        String source = sourceListing == null ? null : sourceListing.uid();
        return new Depots.AttemptRequest(
                context.request,
                attemptTimeoutMs,
                source,
                get.rank(),
                get.maxAgeMs(),
                get.join(),
                get.onlyHeld(),
                get.parentKeepsNone(),
                get.renew());
    }

    private void cancel(RoutingPolicy.Cancel cancelAction) {
        RequestContext context = contexts.get(cancelAction.request());
        if (context == null || cancelAction.attempt() >= context.attempts.size()) {
            return;
        }
        cancelAttempt(context, cancelAction.attempt(), Result.CANCELLED);
    }

    /**
     * Handles the end of an attempt; the first OK becomes the answer to the request. An attempt ends only once, even if
     * two causes for its end coincide.
     */
    private void endAttempt(RequestContext context, int number, Depots.Answer reported) {
        RequestContext.Attempt attempt = context.attempts.get(number);
        if (attempt.ended) {
            if (reported.body() != null) {
                reported.body().release();
            }
            return;
        }
        Depots.Answer answer = reported;
        if (reported.result() == Result.OK
                && reported.body() == null
                && (reported.tag() == null || !reported.tag().equals(context.request.tag()))) {
            // The client's copy is confirmed only if the depot named the same tag.
            LogEvent.log(
                    LOG.atWarn(),
                    "a copy that the client does not hold was called current",
                    "node",
                    attempt.node,
                    "tag",
                    reported.tag(),
                    "held",
                    context.request.tag());
            answer = Depots.Answer.of(Result.ERROR);
        }
        attempt.ended = true;
        attempt.mayHaveRun = attempt.written && answer.result().mayHaveRun();
        context.openAttempts--;
        openAttempts--;
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel();
        }
        double latencyMs = clock.nowMs() - attempt.startedAtMs;
        RequestTrace.attemptEnded(context, number, answer, latencyMs);
        if (answer.result() == Result.OK && !context.finished) {
            finishRequest(context, "served");
            if (answer.body() == null) {
                context.handler.unchanged(answer.tag());
            } else {
                context.handler.served(answer.body(), answer.tag());
            }
        } else if (answer.body() != null) {
            answer.body().release();
        }
        dispatch(new RoutingPolicy.Outcome(
                context.id,
                number,
                attempt.node,
                answer.result(),
                latencyMs,
                context.finished,
                answer.note(),
                0,
                answer.load()));
        removeIfDone(context);
    }
}
