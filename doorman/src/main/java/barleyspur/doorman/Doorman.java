package barleyspur.doorman;

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
 * The core: gives a director the events of one doorman and carries out what it orders. It knows neither the
 * clients' protocol nor the depots', and decides nothing itself. All calls come from one event loop thread.
 */
public final class Doorman implements Commands {

    private static final Logger LOG = LoggerFactory.getLogger("doorman");
    /** Ids given to the director stay below 2^32, where its timer tokens begin. */
    private static final long MOST_IDS = 1L << 32;

    private static final double PROBE_TIMEOUT_MS = 250;
    /** Ids of earlier requests that are remembered, beside those of all that may be open. */
    private static final int REMEMBERED_IDS = 8_192;

    private RoutingPolicy.Settings settings;
    private final int maxOpen;
    private final RoutingPolicy director;
    private final Clock clock;
    private final Depots depots;
    private final Map<Long, RequestContext> contexts = new HashMap<>();
    /** The clients' ids of the requests taken lately, so also of all that may be open. */
    private final Set<String> takenIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > maxOpen + REMEMBERED_IDS;
        }
    });

    private final NodeTable listings;
    private final StandstillMargin standstills = new StandstillMargin();
    private final ArrayDeque<RoutingPolicy.Event> events = new ArrayDeque<>();
    private final ArrayDeque<RoutingPolicy.Action> actions = new ArrayDeque<>();
    private boolean dispatching;
    private long lastId;
    /** Requests whose answer is owed. */
    private int pendingResponses;

    private boolean draining;
    private Runnable drained;

    /** A core that takes {@code maxOpen} open requests at most and acts as {@code director} orders. */
    public Doorman(RoutingPolicy.Settings settings, int maxOpen, RoutingPolicy director, Clock clock, Depots depots) {
        this.settings = settings;
        this.maxOpen = maxOpen;
        this.director = director;
        this.clock = clock;
        this.depots = depots;
        this.listings = new NodeTable(depots);
    }

    // ---- the front -------------------------------------------------------------------------------------

    /** A request on its way through the core, to be named when its client leaves. */
    public interface Cancellable {
        /** The client has left: no answer is owed any more. */
        void cancel();
    }

    /**
     * Takes a request and its body, which may have come to this machine as early as {@code arrivedMs}: its time counts from
     * there, however late the event loop was to read it, and is cut by what the loop may be late to end it. The handler may
     * be called from within this call.
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
        RoutingPolicy.RequestClass requestClass = settings.classes().get(request.category());
        double workMs = request.sizeKb() > 0 ? request.sizeKb() / settings.paceKbPerMs() : 0;
        double marginMs = standstills.of(request.remainingMs(), requestClass.latencyTargetMs(workMs), now);
        RequestContext context = new RequestContext(lastId, request, handler, arrivedMs, marginMs);
        contexts.put(context.id, context);
        takenIds.add(request.id());
        RequestTrace.taken(request, now - arrivedMs);
        pendingResponses++;
        // Guards rule 1 against a director that leaves a request unanswered: half the slack is left by then.
        context.guard = clock.after(
                context.deadline - now + settings.answerSlackMs() / 2, () -> abandon(context, "left unanswered"));
        dispatch(new RoutingPolicy.Request(
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
     * The settings have changed: requests are taken under these from now on. Classes keep their numbers, so open
     * requests keep theirs; the director is told in turn.
     */
    public void retune(RoutingPolicy.Settings next) {
        settings = next;
        dispatch(new RoutingPolicy.Retuned(next));
    }

    /** Whether a request under this id was taken lately: each has a new one, also where a client asks again. */
    public boolean hasTaken(String id) {
        return takenIds.contains(id);
    }

    /**
     * Goes on for {@code graceMs}, finishes what is open, then calls {@code then}, once. What is still open after
     * {@code mostMs} is failed: the process may be killed right after, which would leave it without any answer.
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
            dispatch(new RoutingPolicy.Gone(context.id));
            forgetIfDone(context);
        }
    }

    /** Fails a request without the director, and gives up all that is out for it. */
    private void abandon(RequestContext context, String why) {
        if (!context.over) {
            LogEvent.log(LOG.atError(), "failed without the director", "request", context.request.id(), "cause", why);
            close(context, "failed");
            context.handler.failed();
            dispatch(new RoutingPolicy.Gone(context.id));
            for (int i = 0; i < context.attempts.size(); i++) {
                giveUp(context, i, Result.CANCELLED);
            }
            forgetIfDone(context);
        }
    }

    /** Ends an attempt that is out, from here. */
    private void giveUp(RequestContext context, int number, Result result) {
        RequestContext.Attempt attempt = context.attempts.get(number);
        if (!attempt.ended) {
            attempt.call.cancel();
            end(context, number, Depots.Answer.of(result));
        }
    }

    /** The request is over: nothing further is sent for it. */
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
        dispatch(new RoutingPolicy.Members(change.kind(), change.nodes()));
        if (!change.invalidated().isEmpty()) {
            cancelUnsent((context, attempt) -> change.invalidated().contains(attempt.node)
                    || change.invalidated().contains(attempt.source));
        }
    }

    /**
     * What has just been told overtakes attempts of which no byte has gone out yet, for they wait for a connection: they
     * were decided before it. They end as never sent, and the director, told first, decides anew.
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
        dispatch(new RoutingPolicy.Purged(0, object, clock.nowMs() - whenMs));
        cancelUnsent((context, attempt) -> context.request.object() == object);
    }

    @Override
    public void purgedGroup(int group, double whenMs) {
        dispatch(new RoutingPolicy.Purged(group, 0, clock.nowMs() - whenMs));
        cancelUnsent((context, attempt) -> context.request.group() == group);
    }

    // ---- the director ----------------------------------------------------------------------------------

    /** Tells the director one event after another: what its actions bring about waits for its turn. */
    private void dispatch(RoutingPolicy.Event event) {
        events.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (RoutingPolicy.Event e = events.poll(); e != null; e = events.poll()) {
                handle(e);
            }
        } finally {
            dispatching = false;
        }
    }

    /** A fault in the decisions costs the request it struck, which is failed at once, not the process. */
    private void handle(RoutingPolicy.Event event) {
        try {
            director.handle(clock.nowMs(), event, actions::add);
        } catch (RuntimeException e) {
            LogEvent.log(
                    LOG.atError().setCause(e),
                    "director failed",
                    "event",
                    event.getClass().getSimpleName());
            RequestContext struck = event instanceof RoutingPolicy.Request r
                    ? contexts.get(r.id())
                    : event instanceof RoutingPolicy.Outcome o ? contexts.get(o.request()) : null;
            if (struck != null) {
                abandon(struck, "the director failed");
            }
        }
        for (RoutingPolicy.Action a = actions.poll(); a != null; a = actions.poll()) {
            carryOut(a);
        }
    }

    private void carryOut(RoutingPolicy.Action action) {
        if (action instanceof RoutingPolicy.Get a) {
            send(a.request(), a.node(), a.timeoutMs(), a);
        } else if (action instanceof RoutingPolicy.Send a) {
            send(a.request(), a.node(), a.timeoutMs(), null);
        } else if (action instanceof RoutingPolicy.Cancel a) {
            cancel(a);
        } else if (action instanceof RoutingPolicy.Refuse a) {
            complete(a.request(), "refused", context -> context.handler.refused(a.pauseMs()));
        } else if (action instanceof RoutingPolicy.Fail a) {
            fail(a.request());
        } else if (action instanceof RoutingPolicy.WakeAt a) {
            clock.after(a.atMs() - clock.nowMs(), () -> dispatch(new RoutingPolicy.Alarm(a.token())));
        } else if (action instanceof RoutingPolicy.Probe a) {
            probe(a.node());
        } else if (action instanceof RoutingPolicy.HangUp a) {
            depots.closeIdle(a.node());
        } else if (action instanceof RoutingPolicy.Log a) {
            LOG.info("director: {}", a.line());
        } else {
            // Peers and a list that must be asked for do not exist on these sockets.
            LogEvent.log(
                    LOG.atWarn(),
                    "director ordered what this platform lacks",
                    "action",
                    action.getClass().getSimpleName());
        }
    }

    /** Fails a request; one of which no byte has gone out has surely not run, so that trying again is harmless. */
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
                answer -> dispatch(
                        new RoutingPolicy.Probed(node, answer.result(), clock.nowMs() - sentAt, answer.load())));
    }

    // ---- attempts --------------------------------------------------------------------------------------

    private void send(long id, long node, double timeoutMs, RoutingPolicy.Get get) {
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
     * Whether a repeat of a keyed request would go out later than its repeats are known to be dropped, counted from the
     * first attempt that may have run: it was decided in time, but had to wait for a connection.
     */
    private boolean pastKeyWindow(RequestContext context, RequestContext.Attempt next) {
        RoutingPolicy.RequestClass c = settings.classes().get(context.request.category());
        if (c.effect() != RoutingPolicy.Effect.KEYED) {
            return false;
        }
        double now = clock.nowMs();
        return context.attempts.stream()
                .anyMatch(a -> a != next
                        && (a.mayHaveRun || a.written && !a.ended)
                        && now - a.writtenAt >= c.keyWindowMs() - settings.tickMs());
    }

    private Depots.Order order(RequestContext context, long node, double wait, RoutingPolicy.Get get) {
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

    private void cancel(RoutingPolicy.Cancel a) {
        RequestContext context = contexts.get(a.request());
        if (context == null || a.attempt() >= context.attempts.size()) {
            return;
        }
        giveUp(context, a.attempt(), Result.CANCELLED);
    }

    /**
     * An attempt is back; the first OK is the request's answer. It ends once, whichever of two ends that cross comes
     * first.
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
            // Only a copy that the depot has named may be called current.
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
        dispatch(new RoutingPolicy.Outcome(
                context.id, number, attempt.node, answer.result(), ms, context.over, answer.note(), 0, answer.load()));
        forgetIfDone(context);
    }
}
