package barleyspur.doorman;

import barleyspur.decision.Director;
import barleyspur.decision.Director.Result;
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
 * The core of a doorman: passes events to a director and executes the actions that it returns. It is independent of the
 * client and depot protocols and makes no routing decisions itself. All calls have to come from the same event loop
 * thread.
 */
public final class Doorman implements Commands {

    private static final Logger LOG = LoggerFactory.getLogger("doorman");
    /** Request ids passed to the director stay below 2^32, where its timer tokens begin. */
    private static final long MOST_IDS = 1L << 32;

    private static final double PROBE_TIMEOUT_MS = 250;
    /** How many ids of earlier requests are remembered, in addition to {@code maxOpen}. */
    private static final int REMEMBERED_IDS = 8_192;

    private Director.Settings settings;
    private final int maxOpen;
    private final Director director;
    private final Clock clock;
    private final Depots depots;
    private final Map<Long, RequestContext> contexts = new HashMap<>();
    /** The client ids of recently accepted requests. The capacity covers all requests that can be open. */
    private final Set<String> takenIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > maxOpen + REMEMBERED_IDS;
        }
    });

    private final NodeTable listings;
    private final StandstillMargin standstills = new StandstillMargin();
    private final ArrayDeque<Director.Event> events = new ArrayDeque<>();
    private final ArrayDeque<Director.Action> actions = new ArrayDeque<>();
    private boolean dispatching;
    private long lastId;
    /** The number of requests that have not been answered yet. */
    private int pendingResponses;

    private boolean draining;
    private Runnable drained;

    /**
     * Creates a core that accepts at most {@code maxOpen} open requests and executes the actions of {@code director}.
     */
    public Doorman(Director.Settings settings, int maxOpen, Director director, Clock clock, Depots depots) {
        this.settings = settings;
        this.maxOpen = maxOpen;
        this.director = director;
        this.clock = clock;
        this.depots = depots;
        this.listings = new NodeTable(depots);
    }

    // ---- client requests --------------------------------------------------------------------------------

    /** A handle on an open request that lets a client front report that its client has left. */
    public interface Cancellable {
        /** Reports that the client has left and needs no answer any more. */
        void cancel();
    }

    /**
     * Accepts a request and takes ownership of its body. The request's time limit starts at {@code arrivedMs}, the
     * earliest time at which it may have reached this machine, and is shortened by a margin for process stalls at its
     * end. The handler may be called from within this call.
     */
    public Cancellable take(Request request, double arrivedMs, ResponseHandler handler) {
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
            return () -> {};
        }
        double now = clock.nowMs();
        lastId = (lastId + 1) % MOST_IDS;
        standstills.observe(now, now - arrivedMs);
        Director.RequestClass requestClass = settings.classes().get(request.category());
        double workMs = request.sizeKb() > 0 ? request.sizeKb() / settings.paceKbPerMs() : 0;
        double marginMs = standstills.of(request.remainingMs(), requestClass.wantedWithinMs(workMs), now);
        RequestContext context = new RequestContext(lastId, request, handler, arrivedMs, marginMs);
        contexts.put(context.id, context);
        takenIds.add(request.id());
        RequestTrace.taken(request, now - arrivedMs);
        pendingResponses++;
        // Guarantees every request an answer even if the director never gives one: at this time half of the answer
        // slack remains.
        context.guard = clock.after(
                context.deadline - now + settings.answerSlackMs() / 2, () -> abandon(context, "left unanswered"));
        dispatch(new Director.Request(
                context.id,
                request.category(),
                0,
                request.object(),
                request.part(),
                request.group(),
                Math.max(0, context.deadline - now),
                request.sizeKb(),
                false,
                requestClass.write()));
        return () -> gone(context);
    }

    /**
     * Applies changed settings to the requests accepted from now on and passes them to the director. Classes keep their
     * numbers, so open requests keep their classes.
     */
    public void retune(Director.Settings next) {
        settings = next;
        dispatch(new Director.Retuned(next));
    }

    /**
     * Returns whether a request with this id was accepted recently. Every request needs a new id, retries by clients
     * included.
     */
    public boolean hasTaken(String id) {
        return takenIds.contains(id);
    }

    /**
     * Drains: keeps accepting requests for {@code graceMs}, waits until all are answered, then calls {@code callback}
     * once. Requests still open after {@code maxMs} are failed, because the process may be killed right afterwards,
     * which would leave them without any answer.
     */
    public void drain(double graceMs, double mostMs, Runnable then) {
        if (draining) {
            return;
        }
        draining = true;
        clock.after(
                mostMs, () -> List.copyOf(contexts.values()).forEach(context -> abandon(context, "the process ends")));
        LogEvent.log(LOG.atInfo(), "drain: asked to stop", "open", pendingResponses);
        clock.after(graceMs, () -> {
            drained = then;
            leaveIfDone();
        });
    }

    private void leaveIfDone() {
        if (drained != null && pendingResponses == 0) {
            Runnable then = drained;
            drained = null;
            LOG.info("drain: all requests answered");
            then.run();
        }
    }

    private void gone(RequestContext context) {
        if (!context.over) {
            close(context, "gone");
            dispatch(new Director.Gone(context.id));
            forgetIfDone(context);
        }
    }

    /** Fails a request without asking the director, and cancels all its open attempts. */
    private void abandon(RequestContext context, String why) {
        if (!context.over) {
            LogEvent.log(LOG.atError(), "failed without the director", "request", context.request.id(), "cause", why);
            close(context, "failed");
            context.handler.failed();
            dispatch(new Director.Gone(context.id));
            for (int i = 0; i < context.attempts.size(); i++) {
                giveUp(context, i, Result.CANCELLED);
            }
            forgetIfDone(context);
        }
    }

    /** Cancels an open attempt and ends it with {@code result}. */
    private void giveUp(RequestContext context, int number, Result result) {
        RequestContext.Attempt attempt = context.attempts.get(number);
        if (!attempt.ended) {
            attempt.call.cancel();
            end(context, number, Depots.Answer.of(result));
        }
    }

    /** Marks the request as finished: nothing more is sent for it. */
    private void close(RequestContext context, String how) {
        context.over = true;
        RequestTrace.over(context, how, clock.nowMs() - context.takenAt);
        context.guard.cancel();
        context.request.body().release();
        pendingResponses--;
        if (drained != null) {
            clock.after(0, this::leaveIfDone);
        }
    }

    private void forgetIfDone(RequestContext context) {
        if (context.over && context.out == 0) {
            contexts.remove(context.id);
        }
    }

    // ---- the command channel ---------------------------------------------------------------------------

    @Override
    public void listed(boolean whole, List<NodeListing> list) {
        NodeTable.Change change = listings.apply(whole, list);
        dispatch(new Director.Members(change.kind(), change.nodes()));
        if (!change.invalidated().isEmpty()) {
            cancelUnsent((context, attempt) -> change.invalidated().contains(attempt.node)
                    || change.invalidated().contains(attempt.source));
        }
    }

    /**
     * Cancels the affected attempts that wait for a connection and have not written a byte yet: they were decided
     * before the change that has just been reported. They end as never sent. The director has received the change
     * first, so it decides again with current information.
     */
    private void cancelUnsent(BiPredicate<RequestContext, RequestContext.Attempt> concerns) {
        for (RequestContext context : List.copyOf(contexts.values())) {
            for (int i = 0; i < context.attempts.size(); i++) {
                RequestContext.Attempt attempt = context.attempts.get(i);
                if (!attempt.ended && !attempt.written && concerns.test(context, attempt)) {
                    giveUp(context, i, Result.MOOT);
                }
            }
        }
    }

    @Override
    public void purgedObject(long object, double whenMs) {
        dispatch(new Director.Purged(0, object, clock.nowMs() - whenMs));
        cancelUnsent((context, attempt) -> context.request.object() == object);
    }

    @Override
    public void purgedGroup(int group, double whenMs) {
        dispatch(new Director.Purged(group, 0, clock.nowMs() - whenMs));
        cancelUnsent((context, attempt) -> context.request.group() == group);
    }

    // ---- the director ----------------------------------------------------------------------------------

    /**
     * Passes an event to the director. Events caused by the resulting actions are queued and handled one after another.
     */
    private void dispatch(Director.Event event) {
        events.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (Director.Event e = events.poll(); e != null; e = events.poll()) {
                handle(e);
            }
        } finally {
            dispatching = false;
        }
    }

    /**
     * Runs the director on one event and executes its actions. An exception in the director fails the affected request
     * at once instead of ending the process.
     */
    private void handle(Director.Event event) {
        try {
            director.handle(clock.nowMs(), event, actions::add);
        } catch (RuntimeException e) {
            LogEvent.log(
                    LOG.atError().setCause(e),
                    "director failed",
                    "event",
                    event.getClass().getSimpleName());
            RequestContext struck = event instanceof Director.Request r
                    ? contexts.get(r.id())
                    : event instanceof Director.Outcome o ? contexts.get(o.request()) : null;
            if (struck != null) {
                abandon(struck, "the director failed");
            }
        }
        for (Director.Action a = actions.poll(); a != null; a = actions.poll()) {
            carryOut(a);
        }
    }

    private void carryOut(Director.Action action) {
        if (action instanceof Director.Get get) {
            send(get.request(), get.node(), get.timeoutMs(), get);
        } else if (action instanceof Director.Send send) {
            send(send.request(), send.node(), send.timeoutMs(), null);
        } else if (action instanceof Director.Cancel cancelAction) {
            cancel(cancelAction);
        } else if (action instanceof Director.Refuse refuse) {
            complete(refuse.request(), "refused", context -> context.handler.refused(refuse.pauseMs()));
        } else if (action instanceof Director.Fail fail) {
            fail(fail.request());
        } else if (action instanceof Director.WakeAt wake) {
            clock.after(wake.atMs() - clock.nowMs(), () -> dispatch(new Director.Alarm(wake.token())));
        } else if (action instanceof Director.Probe probe) {
            probe(probe.node());
        } else if (action instanceof Director.HangUp hangUp) {
            depots.closeIdle(hangUp.node());
        } else if (action instanceof Director.Log log) {
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
     * Fails a request. If no byte of any attempt was written, the request cannot have run and is refused instead, so
     * that the client knows that a retry is safe.
     */
    private void fail(long id) {
        RequestContext found = contexts.get(id);
        if (found != null && found.neverSent()) {
            complete(id, "refused", context -> context.handler.refused(settings.maxRetryAfterMs()));
        } else {
            complete(id, "failed", context -> context.handler.failed());
        }
    }

    private void complete(long id, String how, Consumer<RequestContext> answer) {
        RequestContext context = contexts.get(id);
        if (context != null && !context.over) {
            close(context, how);
            answer.accept(context);
            forgetIfDone(context);
        }
    }

    private void probe(long node) {
        double sentAt = clock.nowMs();
        depots.probe(
                node,
                PROBE_TIMEOUT_MS,
                answer -> dispatch(new Director.Probed(node, answer.result(), clock.nowMs() - sentAt, answer.load())));
    }

    // ---- attempts --------------------------------------------------------------------------------------

    private void send(long id, long node, double timeoutMs, Director.Get get) {
        RequestContext context = contexts.get(id);
        if (context == null) {
            return;
        }
        double now = clock.nowMs();
        RequestContext.Attempt attempt = new RequestContext.Attempt(node, get == null ? node : get.source(), now);
        int number = context.attempts.size();
        context.attempts.add(attempt);
        context.out++;
        RequestTrace.sent(context, number, node, get);
        double left = context.deadline - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        if (context.over || number >= settings.maxAttempts() || wait <= 0) {
            end(context, number, Depots.Answer.of(Result.MOOT));
            return;
        }
        attempt.call = depots.send(node, order(context, node, wait, get), new Depots.AttemptListener() {
            @Override
            public Result beforeWrite() {
                return context.over || attempt.ended || pastKeyWindow(context, attempt) ? Result.MOOT : Result.OK;
            }

            @Override
            public void sent() {
                attempt.written = true;
                attempt.writtenAt = clock.nowMs();
            }

            @Override
            public void ended(Depots.Answer answer) {
                end(context, number, answer);
            }
        });
        attempt.timeout = clock.after(wait, () -> giveUp(context, number, Result.TIMEOUT));
    }

    /**
     * Returns whether sending this repeat of a keyed request would exceed the window in which depots are known to drop
     * repeats, measured from the first attempt that may have run. The repeat was decided in time but had to wait for a
     * connection.
     */
    private boolean pastKeyWindow(RequestContext context, RequestContext.Attempt next) {
        Director.RequestClass c = settings.classes().get(context.request.category());
        if (c.effect() != Director.Effect.KEYED) {
            return false;
        }
        double now = clock.nowMs();
        return context.attempts.stream()
                .anyMatch(a -> a != next
                        && (a.mayHaveRun || a.written && !a.ended)
                        && now - a.writtenAt >= c.keyWindowMs() - settings.tickMs());
    }

    private Depots.Order order(RequestContext context, long node, double wait, Director.Get get) {
        if (get == null) {
            return new Depots.Order(context.request, wait, null, 0, 0, false, false, false, false);
        }
        NodeListing from = get.source() == node ? null : listings.get(get.source());
        String source = from == null ? null : from.uid();
        return new Depots.Order(
                context.request,
                wait,
                source,
                get.rank(),
                get.maxAgeMs(),
                get.join(),
                get.onlyHeld(),
                get.parentKeepsNone(),
                get.renew());
    }

    private void cancel(Director.Cancel a) {
        RequestContext context = contexts.get(a.request());
        if (context == null || a.attempt() >= context.attempts.size()) {
            return;
        }
        giveUp(context, a.attempt(), Result.CANCELLED);
    }

    /**
     * Handles the end of an attempt; the first OK becomes the answer to the request. An attempt ends only once, even if
     * two causes for its end coincide.
     */
    private void end(RequestContext context, int number, Depots.Answer told) {
        RequestContext.Attempt attempt = context.attempts.get(number);
        if (attempt.ended) {
            if (told.body() != null) {
                told.body().release();
            }
            return;
        }
        Depots.Answer answer = told;
        if (told.result() == Result.OK
                && told.body() == null
                && (told.tag() == null || !told.tag().equals(context.request.tag()))) {
            // The client's copy is confirmed only if the depot named the same tag.
            LogEvent.log(
                    LOG.atWarn(),
                    "a copy that the client does not hold was called current",
                    "node",
                    attempt.node,
                    "tag",
                    told.tag(),
                    "held",
                    context.request.tag());
            answer = Depots.Answer.of(Result.ERROR);
        }
        attempt.ended = true;
        attempt.mayHaveRun = attempt.written && answer.result().mayHaveRun();
        context.out--;
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        double ms = clock.nowMs() - attempt.sentAt;
        RequestTrace.ended(context, number, answer, ms);
        if (answer.result() == Result.OK && !context.over) {
            close(context, "served");
            if (answer.body() == null) {
                context.handler.unchanged(answer.tag());
            } else {
                context.handler.served(answer.body(), answer.tag());
            }
        } else if (answer.body() != null) {
            answer.body().release();
        }
        dispatch(new Director.Outcome(
                context.id, number, attempt.node, answer.result(), ms, context.over, answer.note(), 0, answer.load()));
        forgetIfDone(context);
    }
}
