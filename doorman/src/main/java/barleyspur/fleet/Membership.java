package barleyspur.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The view of one doorman, decided from what comes and from the time. Not for several threads. Times are milliseconds
 * of one clock that never steps back; what comes out is given to the consumer within the calls.
 *
 * <p>What others say of a member never takes it out of the view by itself: a suspicion has to run out here, a verdict
 * from elsewhere makes this process ask the member, and tell it what is said. So a liar, a part of the fleet that was
 * cut off, or one that hears nobody, can make trouble but not remove who answers.
 */
public final class Membership {

    /** Confirmations that end a suspicion as soon as may be (Lifeguard's k). */
    private static final int CONFIRMATIONS = 3;
    /** About so many members ask a suspect for themselves, whatever the size of the fleet. */
    private static final double CHECKERS = 5;
    /** Refuted accusations within {@link #CREDIT_PERIODS} beyond which an accuser's word doesn't count. */
    private static final int CREDIT = 5;

    private static final double CREDIT_PERIODS = 20;
    /** Members that are told by datagrams of their own that this one goes. */
    private static final int FAREWELLS = 32;
    /** Periods of doubt after a start or a standstill, if nobody answers or views stay different. */
    private static final double DOUBT_PERIODS = 4;
    /**
     * Members that get news in a round, one datagram each: 36 KB a second at most, whatever happens, so that news about
     * late answers can't make answers later. What a burst leaves over is made up for by comparisons.
     */
    private static final int FANOUT = 3;

    private static final double FORGET_EVERY_PERIODS = 20;

    private final Wording w;
    private final Prober prober;
    private final Meeting meeting;
    private final List<Entry> suspects = new ArrayList<>();
    private long version;
    private double lastMs;
    private double roundMs;
    private double forgetMs;
    private double doubtMs;
    private boolean inDoubt = true;
    private boolean leaving;
    private int stills;
    private int raises;
    private int refutations;
    /** The newer process of this name, while this one gives way to it, and when it was last heard. */
    private Saying givenWay;

    private double twinHeardMs;
    private double twinWaitMs;
    /** Another process of this name that was told of, and when it is taken for gone. */
    private Saying rumour;

    private double rumourMs;

    /**
     * @param life  the number of this life of the name: the wall clock's, or any that tends to rise
     * @param seeds addresses to look for others at, tried for as long as nobody of the view has them
     * @param seed  of all that is drawn
     */
    public Membership(
            String name, long life, About about, Times times, List<String> seeds, long seed, Consumer<Action> out) {
        w = new Wording(times, seed, out);
        w.self = new Saying(name, life, w.random.nextLong() >>> 12, 0, Standing.ALIVE, "", about);
        prober = new Prober(w, this::silent);
        meeting = new Meeting(w, seeds);
    }

    // ---- calls -----------------------------------------------------------------------------------------

    /** Begins: looks for others at the seeds. */
    public void start(double nowMs) {
        w.now = nowMs;
        lastMs = nowMs;
        w.heardMs = nowMs;
        w.roster.self(w.self.name(), w.self);
        prober.start();
        roundMs = nowMs;
        forgetMs = nowMs + FORGET_EVERY_PERIODS * w.times.periodMs();
        doubtMs = nowMs + DOUBT_PERIODS * w.times.periodMs();
        meeting.start();
        tell(new Change.Doubt(++version, true));
    }

    /** When {@link #tick} is to be called next. */
    public double dueMs() {
        if (leaving) {
            return Math.max(roundMs, lastMs);
        }
        double due = Math.min(meeting.dueMs(), forgetMs);
        due = givenWay == null ? Math.min(due, prober.dueMs()) : due;
        if (givenWay != null || !w.news.isEmpty()) {
            due = Math.min(due, Math.max(roundMs, lastMs));
        }
        for (Entry e : suspects) {
            due = Math.min(due, e.suspicion.endsMs);
        }
        due = rumour == null ? due : Math.min(due, rumourMs);
        return inDoubt ? Math.min(due, doubtMs) : due;
    }

    /** Does what is due by now. */
    public void tick(double nowMs) {
        double lateMs = nowMs - dueMs();
        if (enter(nowMs)) {
            return;
        }
        if (nowMs >= roundMs) {
            round();
        }
        if (leaving) {
            return;
        }
        if (givenWay == null) {
            prober.tick(lateMs);
        }
        suspicions(lateMs);
        meeting.tick(inDoubt);
        twins();
        if (nowMs >= forgetMs) {
            forget();
        }
        if (inDoubt && nowMs >= doubtMs) {
            settle();
        }
    }

    /** Takes in a datagram, which is known to be one of this fleet's. */
    public void receive(double nowMs, Datagram d) {
        enter(nowMs);
        Saying sender = d.sender();
        if (leaving) {
            return;
        }
        if (sender.name().equals(w.self.name())) {
            twin(sender);
        } else {
            w.heardMs = nowMs;
            merge(sender, sender.name());
            Entry e = w.roster.get(sender.name());
            if (e != null && e.saying.sameLife(sender)) {
                e.heardMs = nowMs;
            }
        }
        for (Saying s : d.news()) {
            if (!s.name().equals(sender.name())) {
                merge(s, sender.name());
            }
        }
        Message m = d.message();
        if (m instanceof Message.Ping p) {
            prober.onPing(sender, p);
        } else if (m instanceof Message.Ack a) {
            prober.onAck(a);
        } else if (m instanceof Message.PingFor p) {
            prober.onPingFor(sender, p);
        } else if (m instanceof Message.Nack n) {
            prober.onNack(n);
        } else if (m instanceof Message.Compare c) {
            meeting.onCompare(sender, c);
        } else if (m instanceof Message.Carried c) {
            w.emit(new Action.Deliver(sender, c.body()));
        }
        if (!sender.name().equals(w.self.name())) {
            meeting.onDigest(sender, d.digest(), inDoubt);
            if (inDoubt && d.digest() == w.roster.digest()) {
                settle();
            }
        }
    }

    /** Sends another part's words to a member; they may be lost, come twice, late or out of order. */
    public void carry(double nowMs, String address, byte[] body) {
        enter(nowMs);
        w.exactly(address, new Message.Carried(body), List.of());
    }

    /** How many bytes such words may have. */
    public int room() {
        return Sizes.left(w.self, new Message.Carried(new byte[0]));
    }

    /** Changes what this member tells of itself. */
    public void about(double nowMs, About about) {
        enter(nowMs);
        if (!about.equals(w.self.about()) && !leaving) {
            say(w.self.above(0, about));
        }
    }

    /** This member goes: it says so now and in the next rounds, for as long as it is still asked to tick. */
    public void leave(double nowMs) {
        enter(nowMs);
        if (leaving) {
            return;
        }
        leaving = true;
        w.self = w.self.standing(Standing.LEFT, "");
        w.roster.self(w.self.name(), w.self);
        farewell();
    }

    private void farewell() {
        for (Entry e : w.roster.some(FAREWELLS, null)) {
            w.exactly(e.saying.about().address(), new Message.News(), List.of());
        }
    }

    // ---- readings --------------------------------------------------------------------------------------

    /**
     * Whether what the view says of others must not be acted on: since a start or standstill nobody has confirmed it.
     * To be asked with the time at which somebody wants to act, since the standstill may have ended just now.
     */
    public boolean inDoubt(double nowMs) {
        return inDoubt || nowMs - lastMs > w.times.stillMs();
    }

    /** The view, with those that are remembered. */
    public View view(double nowMs) {
        List<View.Member> members = new ArrayList<>();
        members.add(new View.Member(
                w.self, givenWay == null && w.self.standing().listed(), nowMs, nowMs, Why.TOLD_ITSELF, w.self.name()));
        for (Entry e : w.roster.known()) {
            members.add(new View.Member(e.saying, e.listed, e.sinceMs, e.heardMs, e.why, e.from));
        }
        members.sort(Comparator.comparing(m -> m.saying().name()));
        return new View(version, w.roster.digest(), inDoubt(nowMs), givenWay != null, w.self, members);
    }

    /** What this process says of itself. */
    public Saying self() {
        return w.self;
    }

    /** The digest of the view. */
    public long digest() {
        return w.roster.digest();
    }

    /** How many are in the view, this one among them. */
    public int members() {
        return w.members();
    }

    /** Where those of the view are, without this one. */
    public Set<String> addresses() {
        Set<String> addresses = new HashSet<>();
        for (Entry e : w.roster.listed()) {
            addresses.add(e.saying.about().address());
        }
        return addresses;
    }

    /** How often this process has stood still, raised its life above another's and refuted others, and its doubts. */
    public int[] counters() {
        return new int[] {stills, raises, refutations, w.doubts};
    }

    // ---- what is said of others ------------------------------------------------------------------------

    private void merge(Saying s, String from) {
        if (s.name().equals(w.self.name())) {
            ofMyself(s);
            return;
        }
        Entry e = w.roster.get(s.name());
        boolean direct = from.equals(s.name());
        Why why = direct ? Why.TOLD_ITSELF : Why.PASSED_ON;
        if (e == null) {
            e = w.roster.add(s);
            e.sinceMs = w.now;
            take(e, s, why, from);
            return;
        }
        int order = s.compareTo(e.saying);
        if (order < 0) {
            if (direct) {
                // An earlier life's, or one that doesn't know what is said of it: it is told.
                tellOf(e, e.saying, s.about().address());
            }
        } else if (order == 0) {
            if (!e.listed && s.standing().listed()) {
                take(e, s, why, from);
            } else if (s.standing() == Standing.SUSPECT && e.suspicion != null) {
                confirm(e, s);
            }
        } else if (accuses(s) && e.listed && s.sameLife(e.saying)) {
            accused(e, s, from);
        } else {
            take(e, s, why, from);
        }
    }

    private static boolean accuses(Saying s) {
        return s.standing() == Standing.SUSPECT || s.standing() == Standing.DEAD;
    }

    /** Somebody speaks against a member that this view holds. */
    private void accused(Entry e, Saying s, String from) {
        if (!credible(s.by())) {
            return;
        }
        boolean newer = s.incarnation() > e.saying.incarnation();
        if (s.standing() == Standing.SUSPECT) {
            take(e, s, Why.PASSED_ON, from);
            if (w.random.nextDouble() < CHECKERS / w.members()) {
                prober.soon(e);
            }
            return;
        }
        if (!newer && e.suspicion != null && w.now - e.suspicion.sinceMs >= w.times.leastSuspicionMs(w.members())) {
            take(e, s, Why.PASSED_ON, from);
        } else if (!newer && e.suspicion != null) {
            confirm(e, s);
        } else {
            // Given up elsewhere, maybe behind a cut: it is told, and asked before others, but not given up.
            prober.soon(e);
            tellOf(e, s, e.saying.about().address());
        }
    }

    private boolean credible(String accuser) {
        if (accuser.equals(w.self.name())) {
            return true;
        }
        Entry a = w.roster.get(accuser);
        if (a == null || !a.listed) {
            return false;
        }
        if (w.now - a.refutedSinceMs > CREDIT_PERIODS * w.times.periodMs()) {
            a.refuted = 0;
        }
        return a.refuted <= CREDIT;
    }

    private void confirm(Entry e, Saying s) {
        if (credible(s.by()) && e.suspicion.accusers.size() <= CONFIRMATIONS && e.suspicion.accusers.add(s.by())) {
            e.suspicion.endsMs = e.suspicion.sinceMs + suspicionMs(e);
            w.news.add(e.saying.standing(Standing.SUSPECT, s.by()));
        }
    }

    private double suspicionMs(Entry e) {
        int wanted = Math.min(CONFIRMATIONS, w.roster.listed().size() - suspects.size());
        return w.times.suspicionMs(w.members(), e.suspicion.accusers.size() - 1, wanted);
    }

    /** Who goes by a name is told what others say of it, so that it can say otherwise: once a period. */
    private void tellOf(Entry e, Saying said, String address) {
        if (w.now - e.noticedMs >= w.times.periodMs()) {
            e.noticedMs = w.now;
            w.exactly(address, new Message.News(), List.of(said));
        }
    }

    /** Takes a saying for what holds, and tells of what that changes. */
    private void take(Entry e, Saying s, Why why, String from) {
        Saying before = e.saying;
        boolean was = e.listed;
        boolean in = s.standing().listed();
        if (s.standing() == Standing.ALIVE && e.suspicion != null) {
            e.suspicion.accusers.forEach(this::refuted);
        }
        if (before.standing() != s.standing() || !before.sameLife(s) || was != in) {
            e.sinceMs = w.now;
        }
        e.saying = s;
        e.why = why;
        e.from = from;
        if (s.standing() == Standing.SUSPECT) {
            suspect(e, s);
        } else if (e.suspicion != null) {
            e.suspicion = null;
            suspects.remove(e);
        }
        w.roster.list(e, in);
        if (in || was) {
            meeting.changed();
            w.news.add(s);
        }
        if (in && !was) {
            tell(new Change.Joined(++version, s, why, from));
        } else if (in) {
            tell(
                    before.sameLife(s)
                            ? new Change.Updated(++version, s, before, why, from)
                            : new Change.Joined(++version, s, why, from));
        } else if (was) {
            tell(new Change.Lost(++version, s, why, from));
        }
    }

    private void suspect(Entry e, Saying s) {
        if (e.suspicion == null) {
            e.suspicion = new Entry.Suspicion();
            suspects.add(e);
        }
        e.suspicion.accusers.clear();
        e.suspicion.accusers.add(s.by());
        e.suspicion.sinceMs = w.now;
        e.suspicion.endsMs = w.now + suspicionMs(e);
        if (suspects.size() >= w.roster.listed().size()) {
            // Nobody is left who could confirm.
            for (Entry other : suspects) {
                other.suspicion.endsMs = Math.min(other.suspicion.endsMs, other.suspicion.sinceMs + suspicionMs(other));
            }
        }
    }

    private void refuted(String accuser) {
        Entry a = w.roster.get(accuser);
        if (a != null && a.refuted++ == 0) {
            a.refutedSinceMs = w.now;
        }
    }

    /** A probe of ours had no answer. */
    private void silent(Entry e) {
        if (e.saying.standing() == Standing.ALIVE) {
            take(e, e.saying.standing(Standing.SUSPECT, w.self.name()), Why.NO_ANSWER, w.self.name());
        } else if (e.suspicion != null) {
            confirm(e, e.saying.standing(Standing.SUSPECT, w.self.name()));
        }
    }

    private void suspicions(double lateMs) {
        for (Entry e : new ArrayList<>(suspects)) {
            if (w.now < e.suspicion.endsMs) {
                continue;
            }
            if (lateMs > w.times.roundMs() && e.suspicion.endsMs > w.now - lateMs - 1) {
                // Late by our own fault: what refutes it may lie unread.
                e.suspicion.endsMs = w.now + w.times.roundMs();
            } else {
                take(e, e.saying.standing(Standing.DEAD, w.self.name()), Why.SUSPICION_OVER, w.self.name());
            }
        }
    }

    private void forget() {
        forgetMs = w.now + FORGET_EVERY_PERIODS * w.times.periodMs();
        List<Entry> old = new ArrayList<>();
        for (Entry e : w.roster.known()) {
            if (!e.listed && w.now - e.sinceMs > w.times.rememberMs()) {
                old.add(e);
            }
        }
        old.forEach(w.roster::forget);
    }

    // ---- what is said of this one ----------------------------------------------------------------------

    private void say(Saying s) {
        w.self = s;
        w.roster.self(s.name(), givenWay == null ? s : null);
        meeting.changed();
        w.news.add(s);
    }

    private void ofMyself(Saying s) {
        if (leaving) {
            return;
        }
        if (s.nonce() == w.self.nonce() && s.life() == w.self.life()) {
            if (s.incarnation() > w.self.incarnation()
                    || s.incarnation() == w.self.incarnation() && s.standing() != Standing.ALIVE) {
                refutations++;
                w.doubt(1);
                say(w.self.above(s.incarnation(), w.self.about()));
            }
            return;
        }
        if (givenWay != null || s.compareTo(w.self) <= 0) {
            return;
        }
        boolean mine = s.about().address().equals(w.self.about().address());
        if (mine || !s.standing().listed()) {
            raiseAbove(s);
        } else if (rumour == null || rumour.compareTo(s) < 0) {
            // Maybe this name's earlier life, whose clock ran ahead; maybe a newer process: it is asked.
            rumour = s;
            rumourMs = w.now + 2 * w.times.periodMs();
            w.exactly(s.about().address(), new Message.Ping(w.nextNumber(), s.name()), List.of(w.self));
        }
    }

    private void raiseAbove(Saying s) {
        raises++;
        rumour = null;
        say(new Saying(
                w.self.name(),
                Math.min(Saying.MOST, s.life() + 1),
                w.self.nonce(),
                0,
                Standing.ALIVE,
                "",
                w.self.about()));
    }

    /** A datagram of another process that goes by this name: the newer one has it. */
    private void twin(Saying s) {
        if (s.sameLife(w.self)) {
            return;
        }
        if (s.compareTo(w.self) < 0) {
            if (s.standing().listed()) {
                w.exactly(s.about().address(), new Message.News(), List.of(w.self));
            }
            return;
        }
        if (!s.standing().listed()) {
            ofMyself(s);
            return;
        }
        twinHeardMs = w.now;
        rumour = null;
        if (givenWay == null) {
            givenWay = s;
            twinWaitMs = twinWaitMs == 0 ? 2 * w.times.mostSuspicionMs(w.members()) : 2 * twinWaitMs;
            w.roster.self(w.self.name(), null);
            w.news.clear();
            w.emit(new Action.Warn(
                    "another, newer process goes by this name: this one gives way",
                    s.name(),
                    s.about().address()));
            tell(new Change.Name(++version, true, s));
        }
        givenWay = s;
    }

    private void twins() {
        if (rumour != null && w.now >= rumourMs) {
            raiseAbove(rumour);
        }
        if (givenWay != null && w.now - twinHeardMs > twinWaitMs) {
            Saying other = givenWay;
            givenWay = null;
            w.emit(new Action.Warn(
                    "the newer process of this name is gone: this one has it back",
                    other.name(),
                    other.about().address()));
            tell(new Change.Name(++version, false, other));
            raiseAbove(other);
        }
    }

    // ---- time ------------------------------------------------------------------------------------------

    /** Notes the time, and true where this process has stood still, so that all timers begin anew. */
    private boolean enter(double nowMs) {
        double gap = nowMs - lastMs;
        lastMs = nowMs;
        w.now = nowMs;
        if (gap <= w.times.stillMs()) {
            return false;
        }
        stills++;
        w.doubt(1);
        prober.reset();
        boolean isVoid = gap >= w.times.leastSuspicionMs(w.members());
        w.emit(new Action.Warn(
                "this process stood still",
                w.self.name(),
                Math.round(gap) + " ms" + (isVoid ? ": its view is void" : "")));
        inDoubt = true;
        w.heardMs = nowMs;
        doubtMs = nowMs + DOUBT_PERIODS * w.times.periodMs();
        tell(new Change.Doubt(++version, true));
        for (Entry e : suspects) {
            e.suspicion.endsMs += gap;
        }
        if (isVoid) {
            for (Entry e : new ArrayList<>(w.roster.listed())) {
                if (e.suspicion != null) {
                    e.suspicion = null;
                    suspects.remove(e);
                }
                e.why = Why.STOOD_STILL;
                e.from = w.self.name();
                e.sinceMs = nowMs;
                w.roster.list(e, false);
                tell(new Change.Lost(++version, e.saying, Why.STOOD_STILL, w.self.name()));
            }
            w.news.clear();
        }
        if (!leaving) {
            say(w.self.above(0, w.self.about()));
        }
        meeting.start();
        roundMs = nowMs;
        return true;
    }

    private void settle() {
        inDoubt = false;
        tell(new Change.Doubt(++version, false));
    }

    private void round() {
        roundMs = w.now + w.times.roundMs();
        if (leaving) {
            farewell();
            return;
        }
        if (givenWay != null) {
            w.exactly(givenWay.about().address(), new Message.Ping(w.nextNumber(), w.self.name()), List.of());
            return;
        }
        if (w.news.isEmpty() || w.roster.listed().isEmpty()) {
            return;
        }
        for (Entry e : w.roster.some(FANOUT, null)) {
            w.send(e, new Message.News());
        }
    }

    private void tell(Change change) {
        w.emit(new Action.Tell(change));
    }
}
