package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Plays one scenario through unchanged decision modules, one for each doorman, on virtual time. Boxes, list, clients
 * and purges are rough likenesses with the protocol's words; what matters is that doormans hear late and each by
 * itself, that nothing is shared, and that what is true of a box is known beside what a doorman was told of it.
 */
final class World {

    /** Makes a decision module: the checker's seam, by which a mutated one can be put to the test. */
    interface Maker {
        RoutingPolicy make(RoutingPolicy.Settings settings, long seed);
    }

    /** The directors' clock when a scenario starts: ahead of it lie starts of long ago. */
    static final double EPOCH = 1_000_000_000;

    private static final double WAY_MS = 0.4;
    private static final double FAR_MS = 10;
    private static final double ORIGIN_MS = 45;
    /** How long a box waits for the source of a fill that says nothing. */
    private static final double FILL_TIMEOUT_MS = 2_000;
    /** A client waits this long before it tries again where it was told nothing. */
    private static final double AGAIN_MS = 100;
    /** Share of clients that stay away as long as they were told. */
    private static final double HONOUR = 0.6;
    /** Share of what boxes that run from the start hold then. */
    private static final double HELD_AT_START = 0.7;

    private static final int MOST_EVENTS = 4_000_000;

    private record Task(double at, long order, Runnable run) {}

    /** What a doorman's list says of a box. */
    private static final class Entry {
        Moment.Told told = Moment.Told.IN_SERVICE;
        double toldAt;
        /** NaN where it says of no late start. */
        double startedAt = Double.NaN;
    }

    private static final class Doorman {
        int number;
        RoutingPolicy.Settings settings;
        RoutingPolicy director;
        /** By node; all that were listed at the start and of which nothing was told since are not in it. */
        final Map<Long, Entry> list = new HashMap<>();
        /** Told purges by object: when told, and the purge's own time. */
        final Map<Long, double[]> purges = new HashMap<>();
        /** When what was told last arrives: the list is told in order. */
        double lastTold;
    }

    private static final class Sent {
        Plant target;
        Plant source;
        double at;
        double maxAge;
        boolean back;
        int life;
        boolean mayHaveRun = true;
    }

    /** One try of a client. */
    private static final class Try {
        long id;
        Ask ask;
        int attempt;
        double at;
        double remaining;
        Doorman doorman;
        Moment.Asked asked;
        final List<Sent> sent = new ArrayList<>(2);
        double changedAt;
        boolean over;
    }

    /** What all lists say of the boxes of the start. */
    private static final Entry AT_START = new Entry();

    private final Scenario scenario;
    private final Site site;
    private final Observer observer;
    private final Draw draw;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Map<Long, Plant> plants = new LinkedHashMap<>();
    private final List<Doorman> doormen = new ArrayList<>();
    private final Map<Long, Try> tries = new HashMap<>();
    /** The first purge of each object: what boxes held of it since before the start goes with that one. */
    private final Map<Long, Double> firstPurges = new HashMap<>();

    private final Map<Integer, Double> linkLostUntil = new HashMap<>();
    private final int[] runs;
    private double staleUntil;
    private double staleBy;
    private final double slack;
    private double now;
    private long order;
    private long lastId;
    private long lastNode;
    private final long lastAtStart;
    private long decisions;

    World(Scenario scenario, Maker maker, Observer observer) {
        this.scenario = scenario;
        this.site = scenario.site();
        this.observer = observer;
        this.draw = new Draw(scenario.seed());
        int most = 0;
        for (Ask a : scenario.asks()) {
            most = Math.max(most, a.number() + 1);
        }
        // What the rule calls a little slack for chance: three requests of the class that is longest to send.
        slack = 3 * Collections.max(scenario.meanWork());
        runs = new int[most];
        for (Box b : site.boxes()) {
            plants.put(b.node(), plant(b));
            lastNode = Math.max(lastNode, b.node());
        }
        lastAtStart = lastNode;
        for (int i = 0; i < site.settings().size(); i++) {
            Doorman d = new Doorman();
            d.number = i;
            d.settings = site.settings().get(i);
            d.director = maker.make(d.settings, scenario.seed() * 31 + i);
            doormen.add(d);
        }
    }

    private Plant plant(Box b) {
        RoutingPolicy.ColdRule rule = site.role(b) == Site.Role.DISTRICT
                ? site.any().coldParent()
                : site.any().coldCache();
        return new Plant(b, site.any(), rule);
    }

    /** What a doorman's list says of a box; null where it never said anything. */
    private Entry entry(Doorman d, Box b) {
        Entry e = d.list.get(b.node());
        return e != null || b.node() > lastAtStart ? e : AT_START;
    }

    /** How many events the decision modules were told. */
    long decisions() {
        return decisions;
    }

    void play() {
        List<RoutingPolicy.Node> nodes = new ArrayList<>(site.boxes().size());
        for (Box b : site.boxes()) {
            nodes.add(node(b, State.READY, 0));
        }
        RoutingPolicy.Members start = new RoutingPolicy.Members(RoutingPolicy.ListKind.CACHED, nodes);
        doormen.forEach(d -> tell(d, start));
        scenario.faults().forEach(f -> at(f.atMs(), () -> happen(f)));
        scenario.asks().forEach(a -> at(a.atMs(), () -> ask(a, 1, a.remainingMs())));
        for (int i = 0; !tasks.isEmpty() && i < MOST_EVENTS; i++) {
            Task t = tasks.poll();
            now = Math.max(now, t.at);
            t.run.run();
        }
    }

    private void at(double when, Runnable run) {
        tasks.add(new Task(when, order++, run));
    }

    private static RoutingPolicy.Node node(Box b, State state, double startedAt) {
        return new RoutingPolicy.Node(b.node(), b.zone(), b.kind(), b.cell(), state, b.size(), startedAt);
    }

    // ---- what happens to the fleet ---------------------------------------------------------------------

    private void happen(Fault f) {
        Plant p = plants.get(f.node());
        if (p == null && f.node() >= 0) {
            return;
        }
        observer.happened(now, f, p == null ? null : p.box);
        switch (f.kind()) {
            case DRAIN -> become(p, f, Moment.Told.TERMINATING);
            case RETURN -> become(p, f, Moment.Told.IN_SERVICE);
            case GONE -> {
                end(p);
                become(p, f, Moment.Told.TERMINATED);
            }
            case MISSING -> tellAll(f, d -> list(d, p.box, Moment.Told.MISSING, Double.NaN));
            case RESTART -> {
                end(p);
                p.start(now);
                double at = now;
                tellAll(f, d -> list(d, p.box, Moment.Told.IN_SERVICE, at));
            }
            case REPLACE -> replace(p, f);
            case HANG -> p.hangsUntil = now + f.forMs();
            case SLOW -> {
                p.slowUntil = now + f.forMs();
                p.slowBy = f.size();
            }
            case FULL -> p.fullUntil = now + f.forMs();
            case FAIL -> {
                p.failsUntil = now + f.forMs();
                p.failShare = f.size();
            }
            case LINK -> linkLostUntil.put(p.box.zone(), now + f.forMs());
            case STALE -> {
                staleUntil = now + f.forMs();
                staleBy = f.size();
            }
            case PURGE -> purge((long) f.size(), f);
        }
    }

    /** A new box takes the place of one that has ended. */
    private void replace(Plant p, Fault f) {
        end(p);
        become(p, f, Moment.Told.TERMINATED);
        Box b = new Box(p.box.uid() + "'", ++lastNode, p.box.zone(), p.box.kind(), p.box.cell(), p.box.size());
        Plant next = plant(b);
        next.start(now);
        plants.put(b.node(), next);
        double at = now;
        tellAll(f, d -> list(d, b, Moment.Told.IN_SERVICE, at));
    }

    /** A process ends: what is open there is reset. */
    private void end(Plant p) {
        int life = p.life;
        p.stop();
        for (Try t : List.copyOf(tries.values())) {
            for (int i = 0; i < t.sent.size(); i++) {
                Sent s = t.sent.get(i);
                if (s.target == p && s.life == life && !s.back) {
                    int attempt = i;
                    at(now + WAY_MS, () -> back(t, attempt, Result.RESET, Note.NONE, Double.NaN));
                }
            }
        }
    }

    private void become(Plant p, Fault f, Moment.Told state) {
        p.state = state;
        p.stateSince = now;
        double started = p.startedAt;
        tellAll(f, d -> list(d, p.box, state, started));
    }

    private interface Telling {
        void to(Doorman d);
    }

    /** Tells each doorman by itself, later where the list is stale, and never out of order. */
    private void tellAll(Fault f, Telling telling) {
        double stale = now < staleUntil ? staleBy : 0;
        for (Doorman d : doormen) {
            double spread = draw.between(0, 20, d.number, Math.round(now), 17);
            d.lastTold = Math.max(d.lastTold, now + f.toldMs() + stale + spread);
            at(d.lastTold, () -> telling.to(d));
        }
    }

    private void list(Doorman d, Box b, Moment.Told told, double startedAt) {
        Entry e = d.list.computeIfAbsent(b.node(), k -> new Entry());
        boolean started = !Double.isNaN(startedAt) && !(startedAt <= e.startedAt);
        e.toldAt = now;
        e.told = told;
        e.startedAt = Double.isNaN(startedAt) ? e.startedAt : startedAt;
        observer.told(now, d.number, b, told, started);
        double at = Double.isNaN(e.startedAt) ? 0 : EPOCH + e.startedAt;
        switch (told) {
            case IN_SERVICE -> tell(d, delta(node(b, State.READY, at)));
            case TERMINATING -> tell(d, delta(node(b, State.DRAINING, at)));
            case TERMINATED -> tell(d, delta(node(b, State.GONE, at)));
            case MISSING -> {
                List<RoutingPolicy.Node> others = new ArrayList<>();
                for (Plant p : plants.values()) {
                    Entry entry = entry(d, p.box);
                    double since = entry == null || Double.isNaN(entry.startedAt) ? 0 : EPOCH + entry.startedAt;
                    if (entry != null && entry.told == Moment.Told.IN_SERVICE) {
                        others.add(node(p.box, State.READY, since));
                    } else if (entry != null && entry.told == Moment.Told.TERMINATING) {
                        others.add(node(p.box, State.DRAINING, since));
                    }
                }
                tell(d, new RoutingPolicy.Members(RoutingPolicy.ListKind.FULL, others));
            }
        }
    }

    private static RoutingPolicy.Members delta(RoutingPolicy.Node node) {
        return new RoutingPolicy.Members(RoutingPolicy.ListKind.DELTA, List.of(node));
    }

    private void purge(long object, Fault f) {
        double at = now;
        firstPurges.putIfAbsent(object, at);
        double done = site.any().purgeCompleteMs();
        for (Plant p : plants.values()) {
            if (site.role(p.box) != Site.Role.HEAD_OFFICE) {
                double drops = draw.between(done / 4, done, p.box.node(), object, 23);
                at(now + drops, () -> dropOlder(p, object, at));
            }
        }
        for (Doorman d : doormen) {
            at(now + f.toldMs() + draw.between(0, 20, d.number, object, 29), () -> {
                d.purges.put(object, new double[] {now, at});
                observer.purged(now, d.number, object);
                tell(d, new RoutingPolicy.Purged(0, object, now - at));
            });
        }
    }

    private void dropOlder(Plant p, long object, double purgedAt) {
        for (int part = 0; part < Load.MOST_PARTS; part++) {
            Plant.Part key = new Plant.Part(object, part);
            if (dated(p, key) < purgedAt) {
                p.drop(key);
            }
        }
    }

    // ---- clients ---------------------------------------------------------------------------------------

    private void ask(Ask a, int attempt, double remaining) {
        Doorman d = doormen.get(a.doorman());
        Try t = new Try();
        t.id = ++lastId;
        t.ask = a;
        t.attempt = attempt;
        t.at = now;
        t.changedAt = now;
        t.remaining = remaining;
        t.doorman = d;
        RoutingPolicy.RequestClass grade = d.settings.classes().get(a.category());
        t.asked = new Moment.Asked(
                t.id,
                attempt,
                scenario.marked() && attempt > 1,
                now,
                a,
                grade,
                site.classes().get(a.category()),
                site.zones().get(d.settings.zone()),
                d.settings.zone());
        tries.put(t.id, t);
        at(now + remaining + d.settings.answerSlackMs() + d.settings.tickMs(), () -> finish(t, Moment.Ending.NONE, 0));
        if (a.leavesMs() > 0 && attempt == 1) {
            at(now + a.leavesMs(), () -> {
                if (!t.over) {
                    finish(t, Moment.Ending.LEFT, 0);
                    tell(d, new RoutingPolicy.Gone(t.id));
                }
            });
        }
        tell(
                d,
                new RoutingPolicy.Request(
                        t.id,
                        a.category(),
                        0,
                        a.object(),
                        a.part(),
                        a.group(),
                        remaining,
                        a.sizeKb(),
                        t.asked.repeat(),
                        grade.write()));
    }

    private void finish(Try t, Moment.Ending ending, double backMs) {
        if (t.over) {
            return;
        }
        answer(t, ending, backMs, Double.NaN, false);
        boolean safe = t.asked.grade().effect() == RoutingPolicy.Effect.SAFE;
        boolean again = ending == Moment.Ending.REFUSED || safe && ending == Moment.Ending.FAILED;
        if (again && t.attempt <= scenario.retries()) {
            boolean honours = draw.unit(t.ask.number(), t.attempt, 31) < HONOUR;
            double wait = honours && backMs > 0 ? backMs : AGAIN_MS;
            at(now + wait, () -> ask(t.ask, t.attempt + 1, t.ask.remainingMs()));
        }
    }

    private void answer(Try t, Moment.Ending ending, double backMs, double dated, boolean olderThanPurge) {
        t.over = true;
        double age = now - dated;
        boolean stale = t.asked.grade().freshMs() > 0 && age > t.asked.grade().freshMs();
        double aim = t.asked.grade().aimMs()
                + t.asked.grade().aimStretch() * t.ask.sizeKb() / t.doorman.settings.paceKbPerMs();
        int out = 0;
        boolean maybeRan = false;
        for (Sent s : t.sent) {
            out += s.back ? 0 : 1;
            maybeRan |= s.mayHaveRun;
        }
        observer.moment(new Moment.Answer(
                now,
                t.asked,
                ending,
                backMs,
                now - t.at,
                now - t.changedAt,
                t.sent.size(),
                out,
                maybeRan,
                runs[t.ask.number()],
                age,
                stale,
                olderThanPurge,
                now - t.at > aim));
    }

    // ---- doormans --------------------------------------------------------------------------------------

    private void tell(Doorman d, RoutingPolicy.Event event) {
        decisions++;
        List<RoutingPolicy.Action> actions = new ArrayList<>(4);
        d.director.handle(EPOCH + now, event, actions::add);
        for (RoutingPolicy.Action action : actions) {
            carryOut(d, action);
        }
    }

    private void carryOut(Doorman d, RoutingPolicy.Action action) {
        if (action instanceof RoutingPolicy.Get a) {
            send(d, a);
        } else if (action instanceof RoutingPolicy.Send a) {
            send(
                    d,
                    new RoutingPolicy.Get(
                            a.request(), a.node(), a.timeoutMs(), a.node(), 0, 0, false, true, false, false));
        } else if (action instanceof RoutingPolicy.WakeAt a) {
            at(Math.max(now, a.atMs() - EPOCH), () -> tell(d, new RoutingPolicy.Alarm(a.token())));
        } else if (action instanceof RoutingPolicy.Refuse a) {
            over(a.request(), Moment.Ending.REFUSED, a.pauseMs());
        } else if (action instanceof RoutingPolicy.Fail a) {
            over(a.request(), Moment.Ending.FAILED, 0);
        } else if (action instanceof RoutingPolicy.Cancel a) {
            Try t = tries.get(a.request());
            at(now, () -> back(t, a.attempt(), Result.CANCELLED, Note.NONE, Double.NaN));
        } else if (action instanceof RoutingPolicy.Log a) {
            observer.logged(now, d.number, a.line());
        }
    }

    private void over(long request, Moment.Ending ending, double backMs) {
        Try t = tries.get(request);
        if (t != null) {
            finish(t, ending, backMs);
        }
    }

    private void send(Doorman d, RoutingPolicy.Get g) {
        Try t = tries.get(g.request());
        Sent s = new Sent();
        s.target = plants.get(g.node());
        s.source = g.source() == g.node() ? null : plants.get(g.source());
        s.at = now;
        s.life = s.target.life;
        double fresh = t.asked.grade().freshMs();
        s.maxAge = g.maxAgeMs() > 0 ? g.maxAgeMs() : fresh;
        observer.moment(attempt(d, t, s, g));
        t.sent.add(s);
        t.changedAt = now;
        int number = t.sent.size() - 1;
        double wait = g.timeoutMs() > 0 ? Math.min(g.timeoutMs(), t.at + t.remaining - now) : t.at + t.remaining - now;
        if (t.over || number >= d.settings.maxAttempts() || wait <= 0) {
            at(now, () -> back(t, number, Result.MOOT, Note.NONE, Double.NaN));
            return;
        }
        at(now + wait, () -> back(t, number, Result.TIMEOUT, Note.NONE, Double.NaN));
        at(now + WAY_MS, () -> arrive(d, t, number, s, g));
    }

    private Moment.Attempt attempt(Doorman d, Try t, Sent s, RoutingPolicy.Get g) {
        int out = 0;
        boolean maybeRan = false;
        for (Sent other : t.sent) {
            out += other.back ? 0 : 1;
            maybeRan |= other.mayHaveRun;
        }
        double spacing = t.sent.isEmpty() ? Double.NaN : now - t.sent.get(t.sent.size() - 1).at;
        double[] purge = d.purges.get(t.ask.object());
        double inForce = purge == null ? 0 : now - purge[0] - d.settings.purgeGraceMs();
        // After the boxes have dropped all older copies by themselves, nothing needs to be asked for.
        boolean purged = purge != null && inForce > 0 && now - purge[1] < d.settings.purgeCompleteMs();
        boolean older = purged && (s.maxAge == 0 || now - s.maxAge < purge[1]);
        return new Moment.Attempt(
                now,
                t.asked,
                seen(d, t, s.target),
                s.source == null ? null : seen(d, t, s.source),
                t.sent.size() + 1,
                spacing,
                out,
                maybeRan,
                g.rank(),
                g.join(),
                g.onlyHeld(),
                g.renew(),
                s.maxAge,
                older,
                t.at + t.remaining - now,
                t.over);
    }

    private Moment.Seen seen(Doorman d, Try t, Plant p) {
        Entry e = entry(d, p.box);
        double warm = site.role(p.box) == Site.Role.DISTRICT
                ? d.settings.coldParent().warmAfterMs()
                : d.settings.coldCache().warmAfterMs();
        double coldFor = e != null && now - e.startedAt < warm ? now - e.startedAt : Double.NaN;
        int tried = 0;
        for (Sent s : t.sent) {
            tried += s.target == p ? 1 : 0;
        }
        return new Moment.Seen(
                p.box,
                site.role(p.box),
                site.kinds().get(p.box.kind()),
                site.zones().get(p.box.zone()),
                p.box.zone() == d.settings.zone(),
                e == null ? Moment.Told.MISSING : e.told,
                e == null ? Double.NaN : now - e.toldAt,
                p.state,
                coldFor,
                p.fault(now),
                p.pressure(now, true, slack),
                p.pressure(now, false, slack),
                tried);
    }

    // ---- boxes -----------------------------------------------------------------------------------------

    private boolean knows(Doorman d, Plant p) {
        Entry e = entry(d, p.box);
        return e != null && e.startedAt >= p.startedAt;
    }

    private void arrive(Doorman d, Try t, int number, Sent s, RoutingPolicy.Get g) {
        if (s.back) {
            return;
        }
        Plant p = s.target;
        double work = t.ask.sizeKb() / d.settings.paceKbPerMs();
        p.reach(now, scenario.meanWork().get(t.ask.category()), knows(d, p));
        if (!p.running || s.life != p.life) {
            at(now + WAY_MS, () -> back(t, number, Result.CONNECT_FAILED, Note.NONE, Double.NaN));
        } else if (now < p.hangsUntil) {
            // It says nothing: the time-out ends it.
            p.inside++;
        } else if (now < p.fullUntil) {
            at(now + WAY_MS, () -> back(t, number, Result.FULL, Note.NONE, Double.NaN));
        } else if (now < p.failsUntil && draw.unit(t.ask.number(), t.attempt * 16L + number, 41) < p.failShare) {
            at(now + WAY_MS, () -> back(t, number, Result.ERROR, Note.NONE, Double.NaN));
        } else {
            p.inside++;
            serve(d, t, number, s, g, work);
        }
    }

    private void serve(Doorman d, Try t, int number, Sent s, RoutingPolicy.Get g, double work) {
        Plant p = s.target;
        Site.Role role = site.role(p.box);
        Plant.Part part = new Plant.Part(t.ask.object(), t.ask.part());
        double sending = work * p.stretch(now);
        boolean write = t.asked.grade().write();
        double dated = write ? Double.NaN : dated(p, part);
        boolean young = s.maxAge == 0 || now - dated <= s.maxAge;
        if (role == Site.Role.HEAD_OFFICE) {
            ran(t);
            at(now + ORIGIN_MS + sending, () -> back(t, number, Result.OK, Note.FILLED, now));
        } else if (!Double.isNaN(dated) && young) {
            ran(t);
            at(now + sending, () -> back(t, number, Result.OK, Note.HIT, dated));
        } else if (g.join() && p.filling.getOrDefault(part, 0.0) > now) {
            ran(t);
            double there = p.filling.get(part);
            at(there + sending, () -> back(t, number, Result.OK, Note.JOINED, there));
        } else if (s.source == null || g.onlyHeld() && Double.isNaN(dated(s.source, part))) {
            at(now + WAY_MS, () -> back(t, number, Result.MISS, Note.NONE, Double.NaN));
        } else {
            fill(d, t, number, s, g.rank(), part, sending);
        }
    }

    private void fill(Doorman d, Try t, int number, Sent s, int rank, Plant.Part part, double sending) {
        Plant from = s.source;
        boolean cut = now < linkLostUntil.getOrDefault(s.target.box.zone(), 0.0);
        from.reach(now, scenario.meanWork().get(t.ask.category()), knows(d, from));
        if (cut || from.running && now < from.hangsUntil) {
            at(now + FILL_TIMEOUT_MS, () -> back(t, number, Result.FULL, Note.SOURCE_FAILED, Double.NaN));
        } else if (!from.running) {
            at(now + FAR_MS, () -> back(t, number, Result.FULL, Note.SOURCE_FAILED, Double.NaN));
        } else if (now < from.fullUntil) {
            at(now + FAR_MS, () -> back(t, number, Result.FULL, Note.SOURCE_REFUSED, Double.NaN));
        } else {
            double held = dated(from, part);
            boolean young = !Double.isNaN(held) && (s.maxAge == 0 || now - held <= s.maxAge);
            boolean origin = site.role(from.box) == Site.Role.HEAD_OFFICE
                    || t.asked.grade().write()
                    || !young;
            double way = (FAR_MS + (origin ? ORIGIN_MS : 0)) * from.stretch(now);
            double made = origin ? now + way / 2 : held;
            double there = now + way;
            ran(t);
            if (!t.asked.grade().write()) {
                s.target.filling.merge(part, there, Math::max);
                at(there, () -> {
                    if (origin && site.role(from.box) == Site.Role.DISTRICT) {
                        from.keep(part, made);
                    }
                    if (rank > 0 && s.life == s.target.life) {
                        s.target.keep(part, made);
                    }
                });
            }
            at(there + sending, () -> back(t, number, Result.OK, Note.FILLED, made));
        }
    }

    private void ran(Try t) {
        runs[t.ask.number()]++;
    }

    /** What a box holds of a part: what it kept, or what it is taken to hold since long before the start. */
    private double dated(Plant p, Plant.Part part) {
        double kept = p.dated(part);
        if (!Double.isNaN(kept) || site.role(p.box) == Site.Role.HEAD_OFFICE || !Double.isNaN(p.startedAt)) {
            return kept;
        }
        boolean held = draw.unit(p.box.node(), part.object(), 51) < HELD_AT_START && part.object() < Load.FIRST_ONCE;
        double dated = -draw.between(1_000, 15_000, p.box.node(), part.object(), 53);
        Double purge = firstPurges.get(part.object());
        boolean dropped = purge != null && now - purge >= site.any().purgeCompleteMs() / 2;
        return held && !dropped ? dated : Double.NaN;
    }

    private void back(Try t, int number, Result result, Note note, double dated) {
        Sent s = t.sent.get(number);
        if (s.back) {
            return;
        }
        s.back = true;
        s.mayHaveRun = result.mayHaveRun();
        if (s.life == s.target.life) {
            s.target.inside = Math.max(0, s.target.inside - 1);
        }
        t.changedAt = now;
        Doorman d = t.doorman;
        if (result == Result.OK && !t.over) {
            double[] purge = d.purges.get(t.ask.object());
            boolean older = purge != null && s.at > purge[0] + d.settings.purgeGraceMs() && dated < purge[1];
            answer(t, Moment.Ending.SERVED, 0, dated, older);
        }
        Note told =
                switch (d.settings.notes()) {
                    case ALL -> note;
                    case HIT -> note == Note.HIT || note == Note.FILLED || note == Note.JOINED ? note : Note.NONE;
                    case NONE -> Note.NONE;
                };
        RoutingPolicy.Outcome outcome = new RoutingPolicy.Outcome(
                t.id, number, s.target.box.node(), result, now - s.at, t.over, told, 0, List.of());
        observer.outcome(now, d.number, outcome);
        tell(d, outcome);
    }
}
