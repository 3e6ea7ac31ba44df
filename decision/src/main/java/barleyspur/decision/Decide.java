package barleyspur.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * All decisions of one director: which cache serves a request, where a miss is filled from, what is kept.
 * The ordinary path, {@link #route}, is least-recently-lost (LRL) replication from "Adaptive Content
 * Replication in Edge-Assisted CDNs (loss-network model)": objects gain copies where requests for them find
 * every believed holder busy. The guards around it each say what they guard against.
 */
public final class Decide implements Director {

    // ---- Tuned values: all of them, each with what it trades. Times in milliseconds. -------------------

    /** A belief lapses this long after the last sign of the copy; about as long as pooled caches keep. */
    private static final double BELIEF_MS = 10_000;
    /** Parts that beliefs are held about. */
    private static final int MOST_BELIEFS = 20_000;
    /** Objects on the list of recently lost ones, whose copies take the top rank. */
    private static final int LOST_LIST = 64;
    /** Ranks of copies made by a loss, and of first fills and hits. */
    private static final int RANK_LOST = 3;

    private static final int RANK_PLAIN = 2;
    /** Weight of the newest sample in a node's error share and slowness. */
    private static final double NEWEST = 1 / 6.0;
    /** Error share beyond which a node is left out, unless its peers do no better. */
    private static final double BAD_SHARE = 0.4;
    /** Fills turned away in a row, each the first in a row at its cache, that leave their source out. */
    private static final int REFUSALS = 3;
    /** Fills overdue in a row, none served between, that leave a source out which is later than its peers. */
    private static final int SILENT = 5;
    /** First and longest time that a node is left out before it is tried again. */
    private static final double OUT_FIRST_MS = 500;

    private static final double OUT_MOST_MS = 2_000;
    /** Trials in a row that must succeed before a node is back. */
    private static final int TRIALS = 3;
    /** With fewer than this share of the location's caches in use, exclusions are ignored. */
    private static final double LEAST_IN_USE = 0.34;
    /** Further attempts earned by each request, and the most that are saved up. */
    private static final double RETRY_EARNED = 0.3;

    private static final double RETRY_SAVED = 30;
    /** Backup copies earned by a hit whose answer never came, or lost by a late one; the most saved up. */
    private static final double BACKUP_EARNED = 3;

    private static final double BACKUP_SAVED = 10;
    /** Share of late answers beyond which fewer are let in, what a cut leaves, its pace, the least let in. */
    private static final double LATE_SHARE = 0.25;

    private static final double CUT_TO = 0.85;
    private static final double CUT_EVERY_MS = 500;
    private static final double LEAST_INSIDE = 0.1;
    /** How many are let past the caches until answers that came that way in time let in more. */
    private static final double PAST_FIRST = 2;
    /** How busy a cache may report to be for a backup: the report is written by the whole fleet. */
    private static final String BUSY_FIELD = "load_share";

    private static final double BUSY = 0.85;
    /** Least time left that is worth another attempt, in ticks. */
    private static final double LEAST_TICKS = 5;
    /** How far a request's worth for its work may stretch or shrink a limit for it. */
    private static final double FAVOUR_MOST = 4;
    /** Weight of the newest sample in the worth and work asked for. */
    private static final double WORK_DOWN = 0.02;
    /** Time over which the work that nodes carry is averaged. */
    private static final double CARRIED_MS = 10_000;
    /** The part used of a cold node's budget, which leaves it about as much as it can do in time. */
    private static final double BUDGET_USED = 0.25;
    /** Objects and groups whose purges are remembered. */
    private static final int MOST_PURGES = 4_096;
    /** How long to wait before a failed subscription is asked for again. */
    private static final double ASK_AGAIN_MS = 1_000;

    // ---- State -----------------------------------------------------------------------------------------

    private Settings settings;
    private final SplittableRandom random;
    private final Fleet fleet;
    /** Looked up only, never walked. An entry goes when the request is over and its attempts are back. */
    private final Map<Long, Open> open = new HashMap<>();

    private final Bounded<Part, Copies> beliefs = new Bounded<>(MOST_BELIEFS);
    private final Bounded<Long, Boolean> lost = new Bounded<>(LOST_LIST);
    private final Bounded<Long, Double> purgedObjects = new Bounded<>(MOST_PURGES);
    private final Bounded<Integer, Double> purgedGroups = new Bounded<>(MOST_PURGES);
    private final Work meanWork;
    private final Carried byCaches = new Carried(CARRIED_MS);
    private final Carried byParents = new Carried(CARRIED_MS);
    private double retryTokens = RETRY_SAVED;
    private double backupTokens;
    private final Gate fills = new Gate();
    /** What goes past the caches, straight to a parent or the origin: not tried yet, it opens by answers. */
    private final Gate past = new Gate(PAST_FIRST);

    private boolean watching;
    private double worthAsked;
    private double workAsked;
    /** How much the request being routed is favoured where limits bind. */
    private double favour = 1;
    /** Where the request being routed stands among those that a limit under one lets in. */
    private double draw;

    private double now;
    private Consumer<Action> out;

    /** Creates the decisions of one director, which start with nothing but their settings. */
    public Decide(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.fleet = new Fleet(settings);
        this.meanWork = new Work(settings.classes());
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> sink) {
        now = nowMs;
        out = sink;
        if (event instanceof Request e) {
            onRequest(e);
        } else if (event instanceof Outcome e) {
            onOutcome(e);
        } else if (event instanceof Alarm e) {
            onAlarm(e.token());
        } else if (event instanceof Gone e && open.containsKey(e.request())) {
            end(open.get(e.request()));
        } else if (event instanceof Members e) {
            onMembers(e);
        } else if (event instanceof Purged e) {
            onPurged(e);
        } else if (event instanceof FirstByte e && open.containsKey(e.request())) {
            open.get(e.request()).over = true;
        } else if (event instanceof Retuned e) {
            settings = e.settings();
            meanWork.retune(settings.classes());
        }
    }

    // ---- The ordinary path -----------------------------------------------------------------------------

    private void onRequest(Request r) {
        retryTokens = Math.min(RETRY_SAVED, retryTokens + RETRY_EARNED);
        if (r.sizeKb() > 0) {
            meanWork.learn(r.category(), r.sizeKb() / settings.paceKbPerMs());
        }
        double newest = workAsked == 0 ? 1 : WORK_DOWN;
        worthAsked += (settings.classes().get(r.category()).worth() - worthAsked) * newest;
        workAsked += (sizeOf(r) - workAsked) * newest;
        Open o = new Open(r, now + r.remainingMs(), random.nextDouble());
        open.put(r.id(), o);
        // Rule 1: the clock moves in ticks, so the last moment to answer in time is two of them early.
        out.accept(new WakeAt(o.deadline - 2 * settings.tickMs(), r.id()));
        route(o);
        if (settings.mayDuplicate() && settings.classes().get(r.category()).effect() == Effect.SAFE) {
            out.accept(new WakeAt(now + aim(o) / 2, AlarmToken.backup(r.id())));
        }
    }

    /**
     * At half its aim a request goes on elsewhere from a cache silent since; else a copy goes to another
     * holder or where the first went, earned by hits never answered and lost by late ones, against jams.
     */
    private void backUp(Open o) {
        Attempt first = o.attempts.size() == 1 ? o.attempts.get(0) : null;
        boolean silent = first != null && first.target.heardAt < first.sentAt && retryTokens >= 1;
        if (first == null || first.back || backupTokens < 1 && !silent) {
            return;
        }
        if (silent) {
            tryAgain(o, false);
            return;
        }
        favour = favour(o.request);
        draw = o.draw;
        List<Server> others = holders(o.request, beliefs.get(Part.of(o.request)), candidates(o));
        List<Server> free = Lists.where(others, s -> !o.tried(s) && free(s));
        Server target = free.isEmpty() ? first.target : pick(free);
        boolean able = fleet.caches.contains(target) && coldAllows(target, meanWork.of(o.request.category()));
        if (able && target.busy < BUSY && !shut(target.gate)) {
            backupTokens--;
            boolean fill = free.isEmpty() && first.fill;
            attempt(o, target, first.fill ? source(o, fill) : target, first.rank, fill);
        }
    }

    /** Sends a request where LRL replication says: a free holder, else a keeping fill at the next cache. */
    private void route(Open o) {
        favour = favour(o.request);
        draw = o.draw;
        boolean spent = o.attempts.size() >= settings.maxAttempts();
        if (spent || o.deadline - now < LEAST_TICKS * settings.tickMs()) {
            giveUp(o);
            return;
        }
        List<Server> caches = candidates(o);
        if (caches.isEmpty()) {
            bypass(o);
            return;
        }
        boolean keeps = !settings.classes().get(o.request.category()).write() && !o.request.write();
        Copies copies = keeps ? beliefs.get(Part.of(o.request)) : null;
        Server filling = copies == null || copies.fillsOpen == 0 ? null : fleet.listed.get(copies.fillAt);
        List<Server> holders = holders(o.request, copies, caches);
        List<Server> free = Lists.where(holders, this::free);
        if (!keeps) {
            send(o, pick(caches), 0, true);
        } else if (!free.isEmpty()) {
            send(o, pick(free), rank(o.request), false);
        } else if (caches.contains(filling)) {
            // A fill under way is no loss: the request joins it where it runs.
            send(o, filling, rank(o.request), true);
        } else {
            lose(o, caches, holders);
        }
    }

    /**
     * While many answers come late, lets in only so many as came in time. Guards against jams of a cache, a
     * location's link, a parent or the origin: in them open fills hold the caches' places,
     * and hits are turned away. Covers slowness of any cause. Could harm where answers are late for a
     * reason other than their number.
     */
    private boolean shut(Gate g) {
        return g.inside + draw >= g.limit * favour;
    }

    private void learn(Gate g, boolean late, boolean mayCut) {
        g.lateShare += ((late ? 1 : 0) - g.lateShare) * NEWEST / 2;
        if (!late) {
            g.limit += Math.min(g.limit / 2, 1 / g.limit);
        } else if (mayCut && g.lateShare > LATE_SHARE && now - g.cutAt > CUT_EVERY_MS) {
            g.limit = Math.max(LEAST_INSIDE, Math.min(g.limit, g.inside) * CUT_TO);
            g.cutAt = now;
        }
    }

    /**
     * A late hit is its cache's; a late fill also the node's that is late far more than its peers. Learned
     * once for an attempt, at its aim where it is still out. Guards against nodes that swallow requests: they
     * show no later so than slow ones; other fills stay let in. Could harm where an aim is too short.
     */
    private void learnLateness(Attempt a, boolean late, boolean byTarget, boolean bySource) {
        if (a.learned) {
            return;
        }
        a.learned = true;
        a.target.hitLate += a.fill ? 0 : ((late ? 1 : 0) - a.target.hitLate) * NEWEST;
        // A cache whose hits are late too is crowded itself: there a late fill tells nothing of its way.
        boolean crowded = a.target.hitLate > LATE_SHARE;
        learn(a.target.gate, late, byTarget || crowded);
        if (a.fetches()) {
            learn(a.source.sourceGate, late, bySource);
        }
        if (a.fill && !a.joined && !(late && (bySource || crowded))) {
            learn(way(a), late, true);
        }
    }

    /** The gate of the way that an attempt's bytes come by, beside the node's own. */
    private Gate way(Attempt a) {
        return fleet.isCache(a.target) ? fills : past;
    }

    private void overdue(Attempt a) {
        if (!a.back) {
            learnLateness(a, true, a.surelyHeld || lateTarget(a), lateSource(a));
            if (a.fetches() && ++a.source.silent >= SILENT && !a.source.isOut && lateSource(a)) {
                leaveOut(a.source, "serves nothing in time");
            }
        }
    }

    private boolean lateTarget(Attempt a) {
        return worse(a.target, s -> s.gate.lateShare);
    }

    /** A source is late by the measure of others in use: one that is out is never late, and shows none. */
    private boolean lateSource(Attempt a) {
        return a.source != null
                && worse(a.source, s -> s.sourceGate.lateShare)
                && !Lists.where(fleet.peers(a.source), p -> p != a.source && !p.isOut)
                        .isEmpty();
    }

    private void learnOutcome(Open o, Attempt a, Outcome e) {
        boolean late = e.latencyMs() > aim(o);
        boolean full = e.result() == Result.FULL;
        boolean untold = e.note() == Note.NONE && settings.notes() == Notes.ALL;
        boolean notSource = full && (e.note() == Note.NO_FILL_PLACE || untold);
        boolean toldSource = e.note() == Note.SOURCE_FAILED || e.note() == Note.SOURCE_REFUSED;
        boolean bad = late || e.result() != Result.OK;
        if (late || full || e.result() == Result.OK || e.result() == Result.TIMEOUT) {
            boolean served = e.note() == Note.HIT || settings.notes() != Notes.ALL;
            boolean byTarget = a.surelyHeld && served || notSource || bad && !toldSource && lateTarget(a);
            learnLateness(a, bad, byTarget, toldSource || bad && lateSource(a));
        }
    }

    private double aim(Open o) {
        return settings.classes().get(o.request.category()).wantedWithinMs(sizeOf(o.request));
    }

    /** While limits bind, what is worth most for its work goes first: its share of a limit, around 1. */
    private double favour(Request r) {
        double density = settings.classes().get(r.category()).worth() / Math.max(1, sizeOf(r));
        return Math.max(1 / FAVOUR_MOST, Math.min(FAVOUR_MOST, density * workAsked / worthAsked));
    }

    /** A loss: every believed holder is busy, or there is none. */
    private void lose(Open o, List<Server> caches, List<Server> holders) {
        // A client's repeat or our own further attempt is no new demand and adds no copy.
        boolean demand = !o.request.repeat() && o.attempts.isEmpty();
        if (!holders.isEmpty()) {
            if (!demand) {
                send(o, leastBusy(holders), rank(o.request), false);
                return;
            }
            lost.put(o.request.object(), true);
        }
        Server next = null;
        double best = 0;
        long key = Rendezvous.mix(o.request.object()) + o.request.part();
        boolean anyOpen = !Lists.where(caches, s -> !shut(s.gate)).isEmpty();
        for (Server s : caches) {
            if (anyOpen && shut(s.gate)) {
                continue;
            }
            double score = holders.contains(s) ? -1 : Rendezvous.score(key, s.hash, s.weight, 0);
            if (next == null || score > best) {
                next = s;
                best = score;
            }
        }
        boolean all = holders.contains(next);
        if (all || !shut(fills)) {
            send(o, all ? leastBusy(holders) : next, rank(o.request), !all);
        } else if (shut(next.gate) || cold(next)) {
            bypass(o);
        } else {
            // No fill is let in, but where directors meet, not talking, others have often filled it.
            attempt(o, next, next, rank(o.request), false);
        }
    }

    private int rank(Request r) {
        return lost.containsKey(r.object()) ? RANK_LOST : RANK_PLAIN;
    }

    private List<Server> holders(Request r, Copies copies, List<Server> caches) {
        if (copies == null) {
            return List.of();
        }
        double since = Math.max(now - BELIEF_MS, purgedAt(r));
        return Lists.where(caches, s -> {
            Double seen = copies.seen.get(s.id());
            return seen != null && seen > Math.max(since, s.forgetBefore);
        });
    }

    /** A holder is free while ours in flight to it stay under one more than our mean to a cache here. */
    private boolean free(Server s) {
        return !shut(s.gate) && s.serving < 1 + (double) fleet.serving / fleet.caches.size();
    }

    private Server leastBusy(List<Server> from) {
        int[] least = {Integer.MAX_VALUE};
        from.forEach(s -> least[0] = Math.min(least[0], s.serving));
        return pick(Lists.where(from, s -> s.serving == least[0]));
    }

    private Server pick(List<Server> from) {
        return from.get(random.nextInt(from.size()));
    }

    // ---- Candidates ------------------------------------------------------------------------------------

    /**
     * The location's caches that may take this request: first those in use and not yet tried. One out of
     * reach is none, however few are left: where a whole location is lost, requests pass it by.
     */
    private List<Server> candidates(Open o) {
        double work = meanWork.of(o.request.category());
        List<Server> reachable = Lists.where(fleet.caches, s -> !s.unreachable || inUse(s));
        List<Server> local = Lists.where(reachable, s -> mayTake(o, s) && coldAllows(s, work));
        List<Server> inUse = Lists.where(local, this::inUse);
        List<Server> good = inUse.size() < LEAST_IN_USE * local.size() ? local : inUse;
        List<Server> fresh = Lists.where(good, s -> !o.tried(s));
        if (!fresh.isEmpty()) {
            return fresh;
        }
        List<Server> untried = Lists.where(local, s -> !o.tried(s));
        return untried.isEmpty() ? good : untried;
    }

    /** Rule 2: once a keyed request may have run, it stays in the group that drops its repeats. */
    private boolean mayTake(Open o, Server s) {
        RequestClass c = settings.classes().get(o.request.category());
        if (c.effect() == Effect.SAFE || !o.maybeRan) {
            return true;
        }
        if (c.effect() == Effect.UNSAFE) {
            return false;
        }
        Node first = o.attempts.get(0).target.node;
        boolean inTime = now - o.attempts.get(0).sentAt < c.keyWindowMs() - settings.tickMs();
        return inTime
                && switch (c.scope()) {
                    case ALL -> true;
                    case ZONE -> first.zone() == s.node.zone();
                    case CELL -> first.cell() == s.node.cell();
                };
    }

    /**
     * The source of a fill: the next parent in the object's hash, the origin when no parent is up. What is
     * believed held may turn into a fill after all, beside every budget: it names no cold parent.
     */
    private Server source(Open o, boolean fill) {
        // With the origin failing more, a parent is not at fault for what it lacks, and serves what it holds.
        double failing = fleet.origin == null ? 0 : fleet.origin.failShare;
        double blameless = failing > BAD_SHARE ? failing : 0;
        double work = meanWork.of(o.request.category());
        Server first = null;
        Server open = null;
        double firstScore = 0;
        double openScore = 0;
        long object = o.request.object();
        for (int i = 0; i < fleet.parents.size(); i++) {
            double score = fleet.ring.score(i, object, openScore);
            if (open != null && score <= openScore) {
                continue;
            }
            Server s = fleet.parents.get(i);
            if ((s.failShare < blameless || inUse(s))
                    && !o.failedFrom(s)
                    && !o.tried(s)
                    && (fill ? coldAllows(s, work) : !cold(s))) {
                if (first == null || score > firstScore) {
                    first = s;
                    firstScore = score;
                }
                if (!shut(s.sourceGate)) {
                    open = s;
                    openScore = score;
                }
            }
        }
        return open != null ? open : first != null ? first : fleet.origin;
    }

    /**
     * No cache may take it, or none is let: straight to a parent, else to the origin, else refused. The bytes
     * come by the location's link but load no cache: each of these ways is shut by its own late answers.
     */
    private void bypass(Open o) {
        Server source = settings.direct() ? source(o, true) : null;
        boolean unfit = source == null || !mayTake(o, source) || fleet.origin == null || shut(past);
        if (unfit || source == fleet.origin && o.tried(fleet.origin)) {
            giveUp(o);
        } else {
            attempt(o, source, source, 0, true);
        }
    }

    // ---- Attempts and answers --------------------------------------------------------------------------

    /** Also a repeat, a joined fill or a further attempt finds a shut cache shut. */
    private void send(Open o, Server target, int rank, boolean fill) {
        if (shut(target.gate)) {
            bypass(o);
            return;
        }
        attempt(o, target, source(o, fill && !joins(beliefs.get(Part.of(o.request)), target)), rank, fill);
    }

    private void attempt(Open o, Server target, Server source, int rank, boolean fill) {
        Attempt a = new Attempt();
        a.target = target;
        a.source = source;
        a.fill = fill;
        a.sentAt = now;
        a.work = meanWork.of(o.request.category());
        a.rank = rank;
        a.trial = takeTrial(target);
        a.sourceTrial = source != null && fill && takeTrial(source);
        o.attempts.add(a);
        out.accept(new WakeAt(now + aim(o), AlarmToken.attempt(o.request.id(), o.attempts.size())));
        enter(o.request, a, 1);
        target.cold.spend(a.work);
        if (a.reaches()) {
            source.cold.spend(a.work);
        }
        RequestClass c = settings.classes().get(o.request.category());
        a.surelyHeld = !fill && c.freshMs() == 0;
        Server from = !fleet.isCache(target) ? fleet.origin : source == null ? target : source;
        double age = maxAge(o.request, risky(a, c));
        boolean join = settings.joins() && !c.write();
        boolean renew = c.freshMs() > 0;
        out.accept(Get.of(o.request.id(), target.id(), o.deadline - now, from.id(), rank, age, join, renew));
    }

    private boolean joins(Copies c, Server target) {
        return settings.joins() && c != null && c.fillsOpen > 0 && c.fillAt == target.id();
    }

    /** Counts an attempt in, or with {@code change} -1 out. */
    private void enter(Request r, Attempt a, int change) {
        a.target.gate.inside += change;
        if (!a.fill) {
            a.target.serving += change;
            fleet.serving += fleet.caches.contains(a.target) ? change : 0;
            return;
        }
        Copies c = beliefs.computeIfAbsent(Part.of(r), k -> new Copies());
        if (change > 0) {
            a.joined = joins(c, a.target);
        }
        if (!a.joined) {
            way(a).inside += change;
            if (a.source != null) {
                a.source.sourceGate.inside += change;
            }
        }
        c.fillsOpen = Math.max(0, c.fillsOpen + change);
        if (change > 0) {
            c.fillAt = a.target.id();
        }
    }

    private void onOutcome(Outcome e) {
        Open o = open.get(e.request());
        if (o == null || e.attempt() >= o.attempts.size() || o.attempts.get(e.attempt()).back) {
            return;
        }
        Attempt a = o.attempts.get(e.attempt());
        a.back = true;
        o.back++;
        int busy = settings.reportFields().indexOf(BUSY_FIELD);
        a.target.busy = busy >= 0 && busy < e.load().size() ? e.load().get(busy) : a.target.busy;
        boolean never = e.result() == Result.TIMEOUT || e.result() == Result.CANCELLED;
        a.target.heardAt = never ? a.target.heardAt : now;
        enter(o.request, a, -1);
        learnOutcome(o, a, e);
        judge(o, a, e);
        believe(o.request, a, e);
        o.maybeRan |= e.result().mayHaveRun();
        boolean late = e.latencyMs() > aim(o);
        double earned = a.fill || !never && !late ? 0 : !never ? -BACKUP_EARNED : late ? BACKUP_EARNED : 1;
        backupTokens = Math.max(0, Math.min(BACKUP_SAVED, backupTokens + earned));
        if (e.closed() && o.waiting()) {
            end(o);
        }
        o.over |= e.closed();
        if (!o.over && !o.waiting()) {
            tryAgain(o, !a.fill && a.source == a.target && e.result() == Result.MISS);
        }
        forgetIfDone(o);
    }

    /** Further attempts come out of a budget, not to feed overload; a look in vain is the last at caches. */
    private void tryAgain(Open o, boolean inVain) {
        if (inVain) {
            bypass(o);
        } else if (retryTokens < 1) {
            giveUp(o);
        } else {
            retryTokens--;
            route(o);
        }
    }

    private void believe(Request r, Attempt a, Outcome e) {
        // What was sent before a restart tells nothing of what the new process holds.
        boolean current = a.sentAt >= a.target.forgetBefore;
        boolean kept = e.result() == Result.OK && a.rank > 0 && fleet.isCache(a.target) && current;
        if (kept) {
            beliefs.computeIfAbsent(Part.of(r), k -> new Copies()).seen.put(a.target.id(), now);
        } else if (e.result() == Result.MISS) {
            Copies c = beliefs.get(Part.of(r));
            if (c != null) {
                c.seen.remove(a.target.id());
            }
        }
    }

    private void onAlarm(long token) {
        if (token == AlarmToken.WATCH) {
            out.accept(new Watch(true));
            return;
        }
        Open o = open.get(AlarmToken.request(token));
        if (o == null || o.over) {
            return;
        }
        if (AlarmToken.isBackup(token)) {
            backUp(o);
            return;
        }
        if (AlarmToken.attempt(token) >= 0) {
            overdue(o.attempts.get(AlarmToken.attempt(token)));
            return;
        }
        o.attempts.forEach(this::overdue);
        giveUp(o);
    }

    /** The final answer for what we can't serve: at once, and with advice where a repeat is harmless. */
    private void giveUp(Open o) {
        RequestClass c = settings.classes().get(o.request.category());
        boolean mayRun = o.maybeRan || o.waiting();
        boolean drops = c.effect() == Effect.SAFE || c.effect() == Effect.KEYED && c.scope() == Scope.ALL;
        long id = o.request.id();
        out.accept(drops || !mayRun ? new Refuse(id, settings.maxRetryAfterMs()) : new Fail(id));
        end(o);
    }

    private void end(Open o) {
        o.over = true;
        for (int i = 0; i < o.attempts.size(); i++) {
            if (!o.attempts.get(i).back && settings.mayCancel()) {
                out.accept(new Cancel(o.request.id(), i));
            }
        }
        forgetIfDone(o);
    }

    private void forgetIfDone(Open o) {
        if (o.over && !o.waiting()) {
            open.remove(o.request.id());
        }
    }

    // ---- Work and cold nodes (rule 4) ------------------------------------------------------------------

    private double sizeOf(Request r) {
        return r.sizeKb() > 0 ? r.sizeKb() / settings.paceKbPerMs() : meanWork.of(r.category());
    }

    private void carry(Server s, double work) {
        (fleet.isCache(s) ? byCaches : byParents).add(work, fleet.peers(s).size(), now);
    }

    private ColdRule coldRule(Server s) {
        return fleet.isCache(s) ? settings.coldCache() : settings.coldParent();
    }

    private boolean cold(Server s) {
        return s.node.kind() != settings.originKind()
                && (now < s.presumedUntil
                        || s.node.startedAtMs() > 0
                                && now - s.node.startedAtMs() < coldRule(s).warmAfterMs());
    }

    /**
     * A cold node takes from us a share of what a warm peer carries for us: about as much as it can do, and
     * under the rule's budget when summed over all directors, since peers carry no more than they can. It
     * accrues with time, from a debt that differs from director to director, so that few send at once however
     * many there are. Guards rule 4 and against late answers of a node that is still cold. Could harm where
     * peers carried little before: the node warms slowly.
     */
    private boolean coldAllows(Server s, double work) {
        if (!cold(s)) {
            return true;
        }
        ColdRule rule = coldRule(s);
        double startedAt = now < s.presumedUntil ? s.presumedStart : s.node.startedAtMs();
        double load = BUDGET_USED * rule.fallMultiple() * rule.shareAt(now - startedAt);
        s.cold.earn(load * warmRate(s), meanWork.most(), now);
        return s.cold.covers(work);
    }

    /** The debt that a cold node starts with: spread evenly over the directors, up to one request. */
    private void startCold(Server s) {
        double turn = (double) settings.me() / settings.directors() + Rendezvous.unit(s.id());
        s.cold.start(meanWork.most() * (turn - Math.floor(turn)), now);
    }

    /** What a warm peer of this node has carried for us at most, in work a millisecond. */
    private double warmRate(Server cold) {
        boolean cache = fleet.isCache(cold);
        int sharers = cache ? settings.zoneDirectors().get(settings.zone()) : settings.directors();
        double told = settings.sizesCount() ? cold.node.size() / Math.max(1, sharers) : 0;
        return Math.max(told, (cache ? byCaches : byParents).best());
    }

    // ---- Health ----------------------------------------------------------------------------------------

    private boolean inUse(Server s) {
        return !s.isOut || now >= s.outUntil && !s.onTrial;
    }

    private boolean takeTrial(Server s) {
        if (s.isOut && now >= s.outUntil && !s.onTrial) {
            s.onTrial = true;
            return true;
        }
        return false;
    }

    /** Books an outcome to the node that caused it: the target, or the source of its fill. */
    private void judge(Open o, Attempt a, Outcome e) {
        if (a.trial) {
            a.target.onTrial = false;
        }
        if (a.sourceTrial) {
            a.source.onTrial = false;
        }
        boolean sourced = a.reaches() && e.note() != Note.HIT && e.note() != Note.JOINED;
        if (e.result() == Result.OK || e.result() == Result.MISS || e.result() == Result.ERROR) {
            a.target.turnedAway = 0;
        }
        if (a.reaches() && !sourced) {
            a.source.cold.giveBack(a.work);
        }
        switch (e.result()) {
            case OK -> served(o, a, e, sourced);
            case CONNECT_FAILED -> failed(a.target, a, true);
            case RESET -> failed(a.target, a, false);
            case ERROR, TIMEOUT, FULL -> blame(a, e, sourced);
            default -> {}
        }
    }

    /**
     * Notes tell a failed source from a failed cache. Without them a failed fill counts against both, and
     * the comparison with peers clears the one that merely stood beside the other. Who turned a fill away is
     * told by who else does: a cache that drains, which the list tells late, turns away all that comes, and
     * its sources are well; a source that is gone fails at every cache.
     */
    private void blame(Attempt a, Outcome e, boolean sourced) {
        boolean untold = sourced && settings.notes() != Notes.ALL;
        switch (e.note()) {
            case SOURCE_REFUSED, SOURCE_FAILED ->
                failed(a.source == null ? a.target : a.source, a, e.note() == Note.SOURCE_FAILED);
            case NO_FILL_PLACE, ORIGIN_FAILED, SOURCE_LACKS -> {}
            default -> {
                boolean full = e.result() == Result.FULL;
                if (!full || a.target.turnedAway++ > 0 || !untold) {
                    failed(a.target, a, false);
                    untold &= !full;
                }
                if (untold) {
                    failed(a.source, a, full && ++a.source.refused >= REFUSALS);
                }
            }
        }
    }

    private void served(Open o, Attempt a, Outcome e, boolean sourced) {
        if (o.request.sizeKb() <= 0) {
            meanWork.learn(o.request.category(), e.latencyMs());
        }
        carry(a.target, a.work);
        succeeded(a.target, a.trial);
        if (sourced) {
            carry(a.source, a.work);
            succeeded(a.source, a.sourceTrial);
        }
    }

    private void succeeded(Server s, boolean trial) {
        s.failShare -= s.failShare * NEWEST;
        s.silent = 0;
        s.refused = 0;
        if (s.unreachable) {
            presumeRestart(s);
        }
        s.unreachable = false;
        if (trial && s.isOut && --s.trialsLeft <= 0) {
            s.isOut = false;
            s.failShare = 0;
            s.outFor /= 2;
            log(s, "is back in use");
        }
    }

    /**
     * A node that was not there and answers again has most likely restarted: it is cold and empty, and the
     * list tells late. Guards against pushing it over before that, which no rule counts but which lasts.
     * Could harm where a path and no process was down: the node takes less for a while.
     */
    private void presumeRestart(Server s) {
        s.presumedStart = now;
        s.presumedUntil = now + coldRule(s).warmAfterMs();
        s.forgetBefore = now;
        startCold(s);
    }

    private void failed(Server s, Attempt a, boolean hard) {
        s.failShare += (1 - s.failShare) * NEWEST;
        s.unreachable |= hard;
        boolean fresh = !s.isOut || a.sentAt >= s.outUntil;
        boolean bad = s.failShare > BAD_SHARE && worse(s, p -> p.failShare);
        if (fresh && (s.isOut || s.unreachable || bad)) {
            leaveOut(s, hard ? "does not answer" : "fails");
        }
    }

    /** Whether a node does far worse than its median peer: what troubles all alike is not a node's fault. */
    private boolean worse(Server s, ToDoubleFunction<Server> measure) {
        return Lists.overTwiceMedian(s, fleet.peers(s), measure);
    }

    private void leaveOut(Server s, String why) {
        if (s.node.kind() == settings.originKind()) {
            return;
        }
        if (!s.isOut) {
            log(s, why + ": left out");
        }
        s.outFor = Math.min(OUT_MOST_MS, Math.max(OUT_FIRST_MS, 2 * s.outFor));
        s.isOut = true;
        s.outUntil = now + s.outFor;
        s.trialsLeft = TRIALS;
    }

    private void log(Server s, String what) {
        out.accept(new Log("node " + s.id() + " " + what));
    }

    // ---- The list of nodes (rule 3: a node not ready is no target and no source from now on) ------------

    private void onMembers(Members e) {
        if (e.kind() == ListKind.FAILED) {
            out.accept(new WakeAt(now + ASK_AGAIN_MS, AlarmToken.WATCH));
            return;
        }
        if (e.kind() != ListKind.DELTA) {
            fleet.listed.keySet().retainAll(e.nodes().stream().map(Node::id).collect(Collectors.toSet()));
        }
        for (Node n : e.nodes()) {
            list(n);
        }
        fleet.index();
        if (settings.mustAsk() && !watching) {
            watching = true;
            out.accept(new Watch(true));
        }
    }

    private void list(Node n) {
        if (n.state() == State.GONE || fleet.isElsewhere(n)) {
            fleet.listed.remove(n.id());
            return;
        }
        Server s = fleet.listed.get(n.id());
        if (s == null) {
            s = new Server(n);
            fleet.listed.put(n.id(), s);
            startCold(s);
        }
        if (n.startedAtMs() > s.node.startedAtMs()) {
            startCold(s);
            // A restarted process is cold and empty: beliefs about it are void, and so is its record.
            s.restarted(now);
            log(s, "has restarted: cold");
        }
        s.node = n;
        s.weight = settings.sizesCount() && n.size() > 0 ? n.size() : 1;
    }

    // ---- Purges (rule 5) -------------------------------------------------------------------------------

    private void onPurged(Purged e) {
        double at = now - e.ageMs();
        if (e.object() == 0) {
            purgedGroups.merge(e.group(), at, Math::max);
        } else {
            purgedObjects.merge(e.object(), at, Math::max);
        }
    }

    private double purgedAt(Request r) {
        return Math.max(
                purgedObjects.getOrDefault(r.object(), Double.NEGATIVE_INFINITY),
                purgedGroups.getOrDefault(r.group(), Double.NEGATIVE_INFINITY));
    }

    /**
     * Whether a copy past its fresh time is worth more than the fill in its place, as fills have gone lately:
     * then it will do, and is renewed behind. Guards against all that keeps fills out; it costs worth.
     */
    private boolean risky(Attempt a, RequestClass c) {
        double served = 1 - (a.source == null ? 0 : Math.max(a.source.sourceGate.lateShare, fills.lateShare));
        return !a.fill && a.source == a.target || served < c.staleWorth();
    }

    /** The oldest copy that will do: while older ones may still be about, none from before the purge. */
    private double maxAge(Request r, boolean risky) {
        RequestClass c = settings.classes().get(r.category());
        double fresh = risky && c.freshMs() > 0 ? c.freshMs() + c.graceMs() : c.freshMs();
        double since = now - purgedAt(r);
        if (since > settings.purgeDoneMs() + settings.tickMs()) {
            return fresh;
        }
        double bound = Math.max(settings.tickMs() / 100, since - settings.tickMs());
        return fresh > 0 ? Math.min(fresh, bound) : bound;
    }
}
