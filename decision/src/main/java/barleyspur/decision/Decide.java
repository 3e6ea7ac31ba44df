package barleyspur.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * The routing policy of one doorman: it decides which cache serves a request, where a miss is filled from
 * and which copies are kept.
 *
 * <p>The ordinary path, {@link #route}, is least-recently-lost (LRL) replication from "Adaptive Content
 * Replication in Edge-Assisted CDNs (loss-network model)": an object gains a copy when a request for it
 * finds all caches that are believed to hold it busy. This is called a loss. Each guard around the ordinary
 * path documents the failure that it prevents and the case in which it could do harm.
 *
 * <p>Comments refer to five rules by number: (1) one final answer to each request before its deadline, (2)
 * no effect of a request twice, (3) no new work for a node that is not ready, (4) no more work for a cold
 * node than its budget, (5) no copy from before a purge.
 */
public final class Decide implements Director {

    // ---- Tuned values. Times are in milliseconds. -------------------------------------------------------

    /**
     * How long after its last sign a copy is believed to be held: about as long as caches with pooled
     * storage keep one.
     */
    private static final double BELIEF_MS = 10_000;
    /** The most object parts whose copies are tracked. */
    private static final int MOST_BELIEFS = 20_000;
    /** The most objects remembered as recently lost. Their copies take the top rank. */
    private static final int LOST_LIST = 64;
    /** The rank of copies of objects on the list of recently lost ones. */
    private static final int RANK_LOST = 3;
    /** The rank of all other copies: first fills and hits. */
    private static final int RANK_PLAIN = 2;
    /** The weight of the newest sample in a node's error share and share of late hits. */
    private static final double NEWEST = 1 / 6.0;
    /** The error share above which a node is excluded, unless its peers do no better. */
    private static final double BAD_SHARE = 0.4;
    /**
     * The number of refused fills in a row after which their source is excluded. Only the first refusal in
     * a row of each cache counts.
     */
    private static final int REFUSALS = 3;
    /**
     * The number of overdue fills in a row, with none served in between, after which their source is
     * excluded if it is also late more often than its peers.
     */
    private static final int SILENT = 5;
    /**
     * How long a node is excluded at first before it is tried again. The time doubles with each failure.
     */
    private static final double OUT_FIRST_MS = 500;
    /** The longest time that a node is excluded before it is tried again. */
    private static final double OUT_MOST_MS = 2_000;
    /** The number of trials in a row that must succeed to end the exclusion of a node. */
    private static final int TRIALS = 3;
    /** If fewer than this share of the location's caches is usable, exclusions are ignored. */
    private static final double LEAST_IN_USE = 0.34;
    /** Retry tokens that each request adds. A further attempt costs one. */
    private static final double RETRY_EARNED = 0.3;
    /** The most retry tokens that are saved up. */
    private static final double RETRY_SAVED = 30;
    /**
     * Backup tokens added by a hit that is unanswered past its latency target, or taken by a hit answered
     * late. A backup attempt costs one token.
     */
    private static final double BACKUP_EARNED = 3;
    /** The most backup tokens that are saved up. */
    private static final double BACKUP_SAVED = 10;
    /** The share of late answers above which a concurrency limit is decreased. */
    private static final double LATE_SHARE = 0.25;
    /** The factor by which a concurrency limit is decreased. */
    private static final double CUT_TO = 0.85;
    /** The shortest time between two decreases of the same limit. */
    private static final double CUT_EVERY_MS = 500;
    /** The lowest value of a limit. Under 1 a limit admits only a share of the requests. */
    private static final double LEAST_INSIDE = 0.1;
    /** The initial limit on requests that bypass the caches. Answers in time raise it. */
    private static final double PAST_FIRST = 2;
    /** The load report field with the load of a cache under the traffic of all doormans. */
    private static final String BUSY_FIELD = "load_share";
    /** The reported load from which on a cache gets no backup attempts. */
    private static final double BUSY = 0.85;
    /** The least remaining time, in ticks, in which another attempt is still made. */
    private static final double LEAST_TICKS = 5;
    /** The factor by which the priority of a request may at most raise or lower a limit for it. */
    private static final double FAVOUR_MOST = 4;
    /** The weight of the newest request in the mean worth and the mean work of requests. */
    private static final double WORK_DOWN = 0.02;
    /** The time constant of the average work that nodes serve. */
    private static final double CARRIED_MS = 10_000;
    /** The share of a cold node's budget that is used: about as much as the node can answer in time. */
    private static final double BUDGET_USED = 0.25;
    /** The most objects, and the most groups, whose purges are remembered. */
    private static final int MOST_PURGES = 4_096;
    /** The delay before a subscription to the list of nodes is requested again after a failure. */
    private static final double ASK_AGAIN_MS = 1_000;

    // ---- State -----------------------------------------------------------------------------------------

    private Settings settings;
    private final SplittableRandom random;
    private final Fleet fleet;
    /**
     * Pending requests by id. It is never iterated, as its order is undefined. An entry is removed once the
     * request is closed and all its attempts have ended.
     */
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
    /** The limit on fills through the caches of this location. */
    private final Gate fills = new Gate();
    /**
     * The limit on requests that bypass the caches and go straight to a parent or the origin. It starts
     * low, as nothing is known about this path, and grows with answers in time.
     */
    private final Gate past = new Gate(PAST_FIRST);

    private boolean watching;
    /** The mean worth of recent requests. */
    private double worthAsked;
    /** The mean work of recent requests, in milliseconds. */
    private double workAsked;
    /** The priority of the request that is being routed, by which limits are multiplied. */
    private double favour = 1;
    /** {@link Open#draw} of the request that is being routed. */
    private double draw;

    private double now;
    private Consumer<Action> out;

    /**
     * Creates a policy that knows nothing but its settings. The seed makes its random choices repeatable.
     */
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
        if (event instanceof Request request) {
            onRequest(request);
        } else if (event instanceof Outcome outcome) {
            onOutcome(outcome);
        } else if (event instanceof Alarm alarm) {
            onAlarm(alarm.token());
        } else if (event instanceof Gone gone && open.containsKey(gone.request())) {
            end(open.get(gone.request()));
        } else if (event instanceof Members members) {
            onMembers(members);
        } else if (event instanceof Purged purge) {
            onPurged(purge);
        } else if (event instanceof FirstByte firstByte && open.containsKey(firstByte.request())) {
            open.get(firstByte.request()).over = true;
        } else if (event instanceof Retuned retune) {
            settings = retune.settings();
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
        // Rule 1: the clock advances in ticks, so an alarm that is surely in time is set two ticks early.
        out.accept(new WakeAt(o.deadline - 2 * settings.tickMs(), r.id()));
        route(o);
        if (settings.mayDuplicate() && settings.classes().get(r.category()).effect() == Effect.SAFE) {
            out.accept(new WakeAt(now + aim(o) / 2, AlarmToken.backup(r.id())));
        }
    }

    /**
     * Handles the backup timer, which is due at half the latency target. If the cache has answered nothing
     * since the attempt was sent, the request is retried elsewhere. Otherwise a backup attempt goes to
     * another free holder, or to the first target again. Backup tokens, which unanswered hits add and late
     * hits take away, keep backups from feeding congestion.
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

    /**
     * Routes a request by LRL replication: to a cache that holds the object and is free, otherwise as a
     * fill that is kept at the next cache.
     */
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
            // A fill in progress is no loss: the request joins it at its cache.
            send(o, filling, rank(o.request), true);
        } else {
            lose(o, caches, holders);
        }
    }

    /**
     * Returns whether a limit is reached for the request that is being routed. While many answers are late,
     * a limit admits only as many attempts as were answered in time. It guards against congestion of a
     * cache, the location's link, a parent or the origin, during which open fills occupy the slots of the
     * caches and hits are refused. It reacts to slowness of any cause, and could do harm where answers are
     * late for a reason other than their number.
     */
    private boolean shut(Gate g) {
        return g.inside + draw >= g.limit * favour;
    }

    /**
     * Adapts a limit to an answer: additive increase after an answer in time, multiplicative decrease once
     * too many answers are late.
     */
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
     * Records once for each attempt whether it was late: at its latency target if it is still in flight
     * then, otherwise when it ends. A late hit counts against its cache. A late fill counts against the
     * node that is late far more often than its peers, or else against the path that it took. It guards
     * against nodes that take requests and never answer: they are noticed as early as slow ones, and fills
     * by way of other nodes stay admitted. It could do harm where a latency target is too short.
     */
    private void learnLateness(Attempt a, boolean late, boolean byTarget, boolean bySource) {
        if (a.learned) {
            return;
        }
        a.learned = true;
        a.target.hitLate += a.fill ? 0 : ((late ? 1 : 0) - a.target.hitLate) * NEWEST;
        // If a cache's hits are late too, the cache itself is overloaded: its late fills say nothing of the
        // path.
        boolean overloaded = a.target.hitLate > LATE_SHARE;
        learn(a.target.gate, late, byTarget || overloaded);
        if (a.fetches()) {
            learn(a.source.sourceGate, late, bySource);
        }
        if (a.fill && !a.joined && !(late && (bySource || overloaded))) {
            learn(way(a), late, true);
        }
    }

    /**
     * Returns the limit of the path that an attempt takes, which applies besides the limits of its nodes.
     */
    private Gate way(Attempt a) {
        return fleet.isCache(a.target) ? fills : past;
    }

    /** Handles an attempt that has reached its latency target or the deadline of its request. */
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

    /**
     * Returns whether an attempt's source is late far more often than its peers. At least one peer must not
     * be excluded, as an excluded node serves nothing, is never late and so gives no measure.
     */
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

    /**
     * Returns the factor, around 1, by which limits are multiplied for a request: its worth for its work
     * against the mean. Where limits are reached, the requests worth most for their work are admitted
     * first.
     */
    private double favour(Request r) {
        double density = settings.classes().get(r.category()).worth() / Math.max(1, sizeOf(r));
        return Math.max(1 / FAVOUR_MOST, Math.min(FAVOUR_MOST, density * workAsked / worthAsked));
    }

    /** Handles a loss: all believed holders are busy, or there are none. */
    private void lose(Open o, List<Server> caches, List<Server> holders) {
        // A client's repeat or a retry of this policy is no new demand and adds no copy.
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
            // No fill is admitted. Another doorman may have filled the object at the same cache, as all of
            // them choose it by the same hash, so the cache is asked for a copy without a fill.
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

    /**
     * Returns whether a holder is free: below its limit, and with fewer hits in flight from this doorman
     * than the mean over the location's caches plus one.
     */
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
     * Returns the location's caches that may take this request. Usable caches that the request has not
     * tried come first. An unreachable cache is never a candidate, however few are left: if a whole
     * location is lost, its requests bypass it.
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

    /**
     * Rule 2: returns whether a node may take this request. An unsafe request that may have run is not sent
     * again, and a keyed one only within its key window and to the group of nodes that drops its repeats.
     */
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
     * Returns the source of a fill: the parent with the highest rendezvous score for the object, or the
     * origin if no parent is usable. A request that is expected to hit may still turn into a fill that no
     * budget covers, so for it ({@code fill} false) no cold parent is named.
     */
    private Server source(Open o, boolean fill) {
        // While the origin fails more often than a parent, the parent is not at fault for what it lacks and
        // still serves what it holds, so it is named although it is excluded.
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
     * Sends a request straight to a parent, else to the origin, as no cache may take it or all are at their
     * limits; refuses it if that is impossible. The answer takes the location's link but loads no cache, so
     * this path has a limit of its own, which its own late answers lower.
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

    /**
     * Sends a request to a cache, or past the caches if the cache is at its limit. The limit holds for
     * repeats, joined fills and retries too.
     */
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

    /** Adds an attempt to the counts of attempts in flight, or with {@code change} -1 removes it. */
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

    /**
     * Makes a further attempt if the retry budget covers it, so that retries don't feed an overload. After
     * a lookup at a cache that had no copy, the request bypasses the caches at no cost.
     */
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

    /** Updates which caches are believed to hold the part that was requested. */
    private void believe(Request r, Attempt a, Outcome e) {
        // An attempt from before a restart doesn't show what the new process holds.
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

    /**
     * Gives the final answer to a request that can't be served, without waiting for the deadline: a refusal
     * that says when to come back where a repeat is harmless, otherwise a failure.
     */
    private void giveUp(Open o) {
        RequestClass c = settings.classes().get(o.request.category());
        boolean mayRun = o.maybeRan || o.waiting();
        boolean drops = c.effect() == Effect.SAFE || c.effect() == Effect.KEYED && c.scope() == Scope.ALL;
        long id = o.request.id();
        out.accept(drops || !mayRun ? new Refuse(id, settings.maxRetryAfterMs()) : new Fail(id));
        end(o);
    }

    /** Closes a request and cancels its attempts in flight. */
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

    /**
     * Returns the work of a request in milliseconds: by its size if that is known, else the mean of its
     * class.
     */
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
     * Rule 4: returns whether the budget of a cold node covers this work. A cold node gets a share of the
     * work that a warm peer serves for this doorman: about as much as it can do, and summed over all
     * doormans less than the rule's budget, since peers serve no more than they can. The budget accrues
     * with time from a debt that differs from doorman to doorman, so that few send at once however many
     * there are. It also guards against late answers of a node that is still cold. It could do harm where
     * peers served little before: the node then warms up slowly.
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

    /** Sets the debt of a node that has started: up to one request, spread evenly over the doormans. */
    private void startCold(Server s) {
        double turn = (double) settings.me() / settings.directors() + Rendezvous.unit(s.id());
        s.cold.start(meanWork.most() * (turn - Math.floor(turn)), now);
    }

    /**
     * Returns the work in a millisecond that a warm peer of a cold node serves for this doorman: the
     * highest average seen, or this doorman's share of the node's size if that is more.
     */
    private double warmRate(Server cold) {
        boolean cache = fleet.isCache(cold);
        int sharers = cache ? settings.zoneDirectors().get(settings.zone()) : settings.directors();
        double told = settings.sizesCount() ? cold.node.size() / Math.max(1, sharers) : 0;
        return Math.max(told, (cache ? byCaches : byParents).best());
    }

    // ---- Health ----------------------------------------------------------------------------------------

    /** Returns whether a node may get new work: it is not excluded, or is due for a trial. */
    private boolean inUse(Server s) {
        return !s.isOut || now >= s.outUntil && !s.onTrial;
    }

    /** Starts a trial of an excluded node if one is due. Only one is in flight at a time. */
    private boolean takeTrial(Server s) {
        if (s.isOut && now >= s.outUntil && !s.onTrial) {
            s.onTrial = true;
            return true;
        }
        return false;
    }

    /** Attributes an outcome to the node that caused it: the target, or the source of its fill. */
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
     * Attributes a failure to the target or to the source. Notes distinguish a failed source from a failed
     * cache. Without them a failed fill counts against both, and the comparison with their peers clears the
     * one that is not at fault. For a refused fill, other refusals show which one it is: a draining cache,
     * of which the list reports late, refuses everything while its sources are healthy, and a source that
     * is gone fails at every cache.
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
     * Treats a node as restarted. One that was unreachable and answers again most likely has restarted: it
     * is cold and empty, and the list reports that late. It guards against overloading the node until then;
     * no rule counts that, but its effects last. It could do harm where the network path and not the
     * process was down: the node gets less work for a while.
     */
    private void presumeRestart(Server s) {
        s.presumedStart = now;
        s.presumedUntil = now + coldRule(s).warmAfterMs();
        s.forgetBefore = now;
        startCold(s);
    }

    /**
     * Records a failure of a node and excludes it if it is unreachable, or fails too often and more than
     * its peers. Attempts from before an exclusion don't prolong it.
     */
    private void failed(Server s, Attempt a, boolean hard) {
        s.failShare += (1 - s.failShare) * NEWEST;
        s.unreachable |= hard;
        boolean fresh = !s.isOut || a.sentAt >= s.outUntil;
        boolean bad = s.failShare > BAD_SHARE && worse(s, p -> p.failShare);
        if (fresh && (s.isOut || s.unreachable || bad)) {
            leaveOut(s, hard ? "does not answer" : "fails");
        }
    }

    /**
     * Returns whether a node does far worse than its median peer. What affects all alike is no node's
     * fault.
     */
    private boolean worse(Server s, ToDoubleFunction<Server> measure) {
        return Lists.overTwiceMedian(s, fleet.peers(s), measure);
    }

    /** Excludes a node for a time that doubles with each exclusion. The origin is never excluded. */
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
            // A restarted process is cold and empty: its believed copies and its error record are void.
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
     * Returns whether a stale copy is accepted, as it is worth more than the fill in its place given the
     * recent share of late fills. The copy is then renewed in the background. It guards against all causes
     * that keep fills from being admitted, at the cost of the lower worth of stale answers. A lookup
     * without a fill always accepts a stale copy.
     */
    private boolean risky(Attempt a, RequestClass c) {
        double served = 1 - (a.source == null ? 0 : Math.max(a.source.sourceGate.lateShare, fills.lateShare));
        return !a.fill && a.source == a.target || served < c.staleWorth();
    }

    /**
     * Rule 5: returns the highest age of a copy that is accepted, or 0 where it is not bounded. While
     * copies from before a purge may still exist, none of them is accepted.
     */
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
