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
    private static final int MAX_CONFIRMATIONS = 3;
    /** About so many members ask a suspect for themselves, whatever the size of the fleet. */
    private static final double EXPECTED_CHECKERS = 5;
    /** Refuted accusations within {@link #REFUTED_WINDOW_PERIODS} beyond which an accuser's word doesn't count. */
    private static final int MAX_REFUTED_ACCUSATIONS = 5;

    private static final double REFUTED_WINDOW_PERIODS = 20;
    /** Members that are told by datagrams of their own that this one goes. */
    private static final int LEAVE_NOTICES = 32;
    /** Periods of doubt after a start or a standstill, if nobody answers or views stay different. */
    private static final double DOUBT_PERIODS = 4;
    /**
     * Members that get news in a round, one datagram each: 36 KB a second at most, whatever happens, so that news about
     * late answers can't make answers later. What a burst leaves over is made up for by comparisons.
     */
    private static final int GOSSIP_FANOUT = 3;

    private static final double FORGET_INTERVAL_PERIODS = 20;

    private final ProtocolContext context;
    private final FailureDetector failureDetector;
    private final AntiEntropy antiEntropy;
    private final List<MemberEntry> suspectedEntries = new ArrayList<>();
    private long version;
    private double lastTimeMs;
    private double nextRoundMs;
    private double nextForgetMs;
    private double doubtEndsMs;
    private boolean inDoubt = true;
    private boolean leaving;
    private int pauses;
    private int generationRaises;
    private int refutations;
    /** The newer process of this name, while this one gives way to it, and when it was last heard. */
    private MembershipRecord newerProcess;

    private double newerProcessHeardMs;
    private double nameReclaimDelayMs;
    /** Another process of this name that was told of, and when it is taken for gone. */
    private MembershipRecord unverifiedProcess;

    private double unverifiedUntilMs;

    /**
     * @param generation  the number of this life of the name: the wall clock's, or any that tends to rise
     * @param seeds addresses to look for others at, tried for as long as nobody of the view has them
     * @param randomSeed  of all that is drawn
     */
    public Membership(
            String name,
            long generation,
            MemberMetadata metadata,
            ProtocolTimings timings,
            List<String> seeds,
            long randomSeed,
            Consumer<Action> actions) {
        context = new ProtocolContext(timings, randomSeed, actions);
        context.self = new MembershipRecord(
                name, generation, context.random.nextLong() >>> 12, 0, MemberState.ALIVE, "", metadata);
        failureDetector = new FailureDetector(context, this::onProbeFailed);
        antiEntropy = new AntiEntropy(context, seeds);
    }

    // ---- calls -----------------------------------------------------------------------------------------

    /** Begins: looks for others at the seeds. */
    public void start(double nowMs) {
        context.nowMs = nowMs;
        lastTimeMs = nowMs;
        context.lastHeardMs = nowMs;
        context.memberTable.setSelf(context.self.name(), context.self);
        failureDetector.start();
        nextRoundMs = nowMs;
        nextForgetMs = nowMs + FORGET_INTERVAL_PERIODS * context.timings.periodMs();
        doubtEndsMs = nowMs + DOUBT_PERIODS * context.timings.periodMs();
        antiEntropy.start();
        notifyChange(new Change.Doubt(++version, true));
    }

    /** When {@link #tick} is to be called next. */
    public double nextTickMs() {
        if (leaving) {
            return Math.max(nextRoundMs, lastTimeMs);
        }
        double earliestMs = Math.min(antiEntropy.nextTickMs(), nextForgetMs);
        earliestMs = newerProcess == null ? Math.min(earliestMs, failureDetector.nextTickMs()) : earliestMs;
        if (newerProcess != null || !context.gossipQueue.isEmpty()) {
            earliestMs = Math.min(earliestMs, Math.max(nextRoundMs, lastTimeMs));
        }
        for (MemberEntry entry : suspectedEntries) {
            earliestMs = Math.min(earliestMs, entry.suspicion.endsMs);
        }
        earliestMs = unverifiedProcess == null ? earliestMs : Math.min(earliestMs, unverifiedUntilMs);
        return inDoubt ? Math.min(earliestMs, doubtEndsMs) : earliestMs;
    }

    /** Does what is due by now. */
    public void tick(double nowMs) {
        double lateMs = nowMs - nextTickMs();
        if (advanceTime(nowMs)) {
            return;
        }
        if (nowMs >= nextRoundMs) {
            gossipRound();
        }
        if (leaving) {
            return;
        }
        if (newerProcess == null) {
            failureDetector.tick(lateMs);
        }
        expireSuspicions(lateMs);
        antiEntropy.tick(inDoubt);
        checkNameConflict();
        if (nowMs >= nextForgetMs) {
            forgetExpired();
        }
        if (inDoubt && nowMs >= doubtEndsMs) {
            endDoubt();
        }
    }

    /** Takes in a datagram, which is known to be one of this fleet's. */
    public void receive(double nowMs, Datagram datagram) {
        advanceTime(nowMs);
        MembershipRecord sender = datagram.sender();
        if (leaving) {
            return;
        }
        if (sender.name().equals(context.self.name())) {
            onNameConflict(sender);
        } else {
            context.lastHeardMs = nowMs;
            merge(sender, sender.name());
            MemberEntry entry = context.memberTable.get(sender.name());
            if (entry != null && entry.record.isSameProcess(sender)) {
                entry.lastHeardMs = nowMs;
            }
        }
        for (MembershipRecord record : datagram.gossip()) {
            if (!record.name().equals(sender.name())) {
                merge(record, sender.name());
            }
        }
        Message message = datagram.message();
        if (message instanceof Message.Ping p) {
            failureDetector.onPing(sender, p);
        } else if (message instanceof Message.Ack accuserEntry) {
            failureDetector.onAck(accuserEntry);
        } else if (message instanceof Message.PingRequest p) {
            failureDetector.onPingRequest(sender, p);
        } else if (message instanceof Message.Nack n) {
            failureDetector.onNack(n);
        } else if (message instanceof Message.DigestExchange c) {
            antiEntropy.onDigestExchange(sender, c);
        } else if (message instanceof Message.Payload c) {
            context.emit(new Action.Deliver(sender, c.bytes()));
        }
        if (!sender.name().equals(context.self.name())) {
            antiEntropy.onDigest(sender, datagram.digest(), inDoubt);
            if (inDoubt && datagram.digest() == context.memberTable.digest()) {
                endDoubt();
            }
        }
    }

    /** Sends another part's words to a member; they may be lost, come twice, late or out of order. */
    public void sendPayload(double nowMs, String address, byte[] payload) {
        advanceTime(nowMs);
        context.sendExact(address, new Message.Payload(payload), List.of());
    }

    /** How many bytes such words may have. */
    public int maxPayloadBytes() {
        return DatagramSizes.gossipBytesLeft(context.self, new Message.Payload(new byte[0]));
    }

    /** Changes what this member tells of itself. */
    public void updateMetadata(double nowMs, MemberMetadata metadata) {
        advanceTime(nowMs);
        if (!metadata.equals(context.self.metadata()) && !leaving) {
            updateSelf(context.self.withIncarnationAbove(0, metadata));
        }
    }

    /** This member goes: it says so now and in the next rounds, for as long as it is still asked to tick. */
    public void leave(double nowMs) {
        advanceTime(nowMs);
        if (leaving) {
            return;
        }
        leaving = true;
        context.self = context.self.withState(MemberState.LEFT, "");
        context.memberTable.setSelf(context.self.name(), context.self);
        announceLeave();
    }

    private void announceLeave() {
        for (MemberEntry entry : context.memberTable.randomListed(LEAVE_NOTICES, null)) {
            context.sendExact(entry.record.metadata().address(), new Message.Gossip(), List.of());
        }
    }

    // ---- readings --------------------------------------------------------------------------------------

    /**
     * Whether what the view says of others must not be acted on: since a start or standstill nobody has confirmed it.
     * To be asked with the time at which somebody wants to act, since the standstill may have ended just now.
     */
    public boolean isInDoubt(double nowMs) {
        return inDoubt || nowMs - lastTimeMs > context.timings.pauseThresholdMs();
    }

    /** The view, with those that are remembered. */
    public View view(double nowMs) {
        List<View.Member> members = new ArrayList<>();
        members.add(new View.Member(
                context.self,
                newerProcess == null && context.self.state().isMember(),
                nowMs,
                nowMs,
                ChangeReason.TOLD_ITSELF,
                context.self.name()));
        for (MemberEntry entry : context.memberTable.entries()) {
            members.add(new View.Member(
                    entry.record, entry.listed, entry.stateSinceMs, entry.lastHeardMs, entry.reason, entry.source));
        }
        members.sort(Comparator.comparing(m -> m.record().name()));
        return new View(
                version, context.memberTable.digest(), isInDoubt(nowMs), newerProcess != null, context.self, members);
    }

    /** What this process says of itself. */
    public MembershipRecord self() {
        return context.self;
    }

    /** The digest of the view. */
    public long digest() {
        return context.memberTable.digest();
    }

    /** How many are in the view, this one among them. */
    public int memberCount() {
        return context.memberCount();
    }

    /** Where those of the view are, without this one. */
    public Set<String> peerAddresses() {
        Set<String> addresses = new HashSet<>();
        for (MemberEntry entry : context.memberTable.listed()) {
            addresses.add(entry.record.metadata().address());
        }
        return addresses;
    }

    /** How often this process has stood still, raised its life above another's and refuted others, and its doubts. */
    public int[] counters() {
        return new int[] {pauses, generationRaises, refutations, context.localHealthScore};
    }

    // ---- what is said of others ------------------------------------------------------------------------

    private void merge(MembershipRecord record, String source) {
        if (record.name().equals(context.self.name())) {
            onClaimAboutSelf(record);
            return;
        }
        MemberEntry entry = context.memberTable.get(record.name());
        boolean direct = source.equals(record.name());
        ChangeReason reason = direct ? ChangeReason.TOLD_ITSELF : ChangeReason.PASSED_ON;
        if (entry == null) {
            entry = context.memberTable.add(record);
            entry.stateSinceMs = context.nowMs;
            apply(entry, record, reason, source);
            return;
        }
        int order = record.compareTo(entry.record);
        if (order < 0) {
            if (direct) {
                // An earlier life's, or one that doesn't know what is said of it: it is told.
                sendClaim(entry, entry.record, record.metadata().address());
            }
        } else if (order == 0) {
            if (!entry.listed && record.state().isMember()) {
                apply(entry, record, reason, source);
            } else if (record.state() == MemberState.SUSPECT && entry.suspicion != null) {
                confirmSuspicion(entry, record);
            }
        } else if (isAccusation(record) && entry.listed && record.isSameProcess(entry.record)) {
            onAccusation(entry, record, source);
        } else {
            apply(entry, record, reason, source);
        }
    }

    private static boolean isAccusation(MembershipRecord record) {
        return record.state() == MemberState.SUSPECT || record.state() == MemberState.DEAD;
    }

    /** Somebody speaks against a member that this view holds. */
    private void onAccusation(MemberEntry entry, MembershipRecord record, String source) {
        if (!isCredible(record.accuser())) {
            return;
        }
        boolean newer = record.incarnation() > entry.record.incarnation();
        if (record.state() == MemberState.SUSPECT) {
            apply(entry, record, ChangeReason.PASSED_ON, source);
            if (context.random.nextDouble() < EXPECTED_CHECKERS / context.memberCount()) {
                failureDetector.probeSoon(entry);
            }
            return;
        }
        if (!newer
                && entry.suspicion != null
                && context.nowMs - entry.suspicion.sinceMs >= context.timings.minSuspicionMs(context.memberCount())) {
            apply(entry, record, ChangeReason.PASSED_ON, source);
        } else if (!newer && entry.suspicion != null) {
            confirmSuspicion(entry, record);
        } else {
            // Given up elsewhere, maybe behind a cut: it is told, and asked before others, but not given up.
            failureDetector.probeSoon(entry);
            sendClaim(entry, record, entry.record.metadata().address());
        }
    }

    private boolean isCredible(String accuser) {
        if (accuser.equals(context.self.name())) {
            return true;
        }
        MemberEntry accuserEntry = context.memberTable.get(accuser);
        if (accuserEntry == null || !accuserEntry.listed) {
            return false;
        }
        if (context.nowMs - accuserEntry.refutedCountStartMs > REFUTED_WINDOW_PERIODS * context.timings.periodMs()) {
            accuserEntry.refutedAccusations = 0;
        }
        return accuserEntry.refutedAccusations <= MAX_REFUTED_ACCUSATIONS;
    }

    private void confirmSuspicion(MemberEntry entry, MembershipRecord record) {
        if (isCredible(record.accuser())
                && entry.suspicion.accusers.size() <= MAX_CONFIRMATIONS
                && entry.suspicion.accusers.add(record.accuser())) {
            entry.suspicion.endsMs = entry.suspicion.sinceMs + suspicionMs(entry);
            context.gossipQueue.add(entry.record.withState(MemberState.SUSPECT, record.accuser()));
        }
    }

    private double suspicionMs(MemberEntry entry) {
        int expectedConfirmations =
                Math.min(MAX_CONFIRMATIONS, context.memberTable.listed().size() - suspectedEntries.size());
        return context.timings.suspicionMs(
                context.memberCount(), entry.suspicion.accusers.size() - 1, expectedConfirmations);
    }

    /** Who goes by a name is told what others say of it, so that it can say otherwise: once a period. */
    private void sendClaim(MemberEntry entry, MembershipRecord claim, String address) {
        if (context.nowMs - entry.lastNotifiedMs >= context.timings.periodMs()) {
            entry.lastNotifiedMs = context.nowMs;
            context.sendExact(address, new Message.Gossip(), List.of(claim));
        }
    }

    /** Takes a saying for what holds, and tells of what that changes. */
    private void apply(MemberEntry entry, MembershipRecord record, ChangeReason reason, String source) {
        MembershipRecord previous = entry.record;
        boolean wasListed = entry.listed;
        boolean isListed = record.state().isMember();
        if (record.state() == MemberState.ALIVE && entry.suspicion != null) {
            entry.suspicion.accusers.forEach(this::countRefutedAccusation);
        }
        if (previous.state() != record.state() || !previous.isSameProcess(record) || wasListed != isListed) {
            entry.stateSinceMs = context.nowMs;
        }
        entry.record = record;
        entry.reason = reason;
        entry.source = source;
        if (record.state() == MemberState.SUSPECT) {
            startSuspicion(entry, record);
        } else if (entry.suspicion != null) {
            entry.suspicion = null;
            suspectedEntries.remove(entry);
        }
        context.memberTable.setListed(entry, isListed);
        if (isListed || wasListed) {
            antiEntropy.onViewChanged();
            context.gossipQueue.add(record);
        }
        if (isListed && !wasListed) {
            notifyChange(new Change.Joined(++version, record, reason, source));
        } else if (isListed) {
            notifyChange(
                    previous.isSameProcess(record)
                            ? new Change.Updated(++version, record, previous, reason, source)
                            : new Change.Joined(++version, record, reason, source));
        } else if (wasListed) {
            notifyChange(new Change.Lost(++version, record, reason, source));
        }
    }

    private void startSuspicion(MemberEntry entry, MembershipRecord record) {
        if (entry.suspicion == null) {
            entry.suspicion = new MemberEntry.Suspicion();
            suspectedEntries.add(entry);
        }
        entry.suspicion.accusers.clear();
        entry.suspicion.accusers.add(record.accuser());
        entry.suspicion.sinceMs = context.nowMs;
        entry.suspicion.endsMs = context.nowMs + suspicionMs(entry);
        if (suspectedEntries.size() >= context.memberTable.listed().size()) {
            // Nobody is left who could confirm.
            for (MemberEntry other : suspectedEntries) {
                other.suspicion.endsMs = Math.min(other.suspicion.endsMs, other.suspicion.sinceMs + suspicionMs(other));
            }
        }
    }

    private void countRefutedAccusation(String accuser) {
        MemberEntry accuserEntry = context.memberTable.get(accuser);
        if (accuserEntry != null && accuserEntry.refutedAccusations++ == 0) {
            accuserEntry.refutedCountStartMs = context.nowMs;
        }
    }

    /** A probe of ours had no answer. */
    private void onProbeFailed(MemberEntry entry) {
        if (entry.record.state() == MemberState.ALIVE) {
            apply(
                    entry,
                    entry.record.withState(MemberState.SUSPECT, context.self.name()),
                    ChangeReason.NO_ANSWER,
                    context.self.name());
        } else if (entry.suspicion != null) {
            confirmSuspicion(entry, entry.record.withState(MemberState.SUSPECT, context.self.name()));
        }
    }

    private void expireSuspicions(double lateMs) {
        for (MemberEntry entry : new ArrayList<>(suspectedEntries)) {
            if (context.nowMs < entry.suspicion.endsMs) {
                continue;
            }
            if (lateMs > context.timings.gossipIntervalMs() && entry.suspicion.endsMs > context.nowMs - lateMs - 1) {
                // Late by our own fault: what refutes it may lie unread.
                entry.suspicion.endsMs = context.nowMs + context.timings.gossipIntervalMs();
            } else {
                apply(
                        entry,
                        entry.record.withState(MemberState.DEAD, context.self.name()),
                        ChangeReason.SUSPICION_OVER,
                        context.self.name());
            }
        }
    }

    private void forgetExpired() {
        nextForgetMs = context.nowMs + FORGET_INTERVAL_PERIODS * context.timings.periodMs();
        List<MemberEntry> expired = new ArrayList<>();
        for (MemberEntry entry : context.memberTable.entries()) {
            if (!entry.listed && context.nowMs - entry.stateSinceMs > context.timings.deadRetentionMs()) {
                expired.add(entry);
            }
        }
        expired.forEach(context.memberTable::remove);
    }

    // ---- what is said of this one ----------------------------------------------------------------------

    private void updateSelf(MembershipRecord record) {
        context.self = record;
        context.memberTable.setSelf(record.name(), newerProcess == null ? record : null);
        antiEntropy.onViewChanged();
        context.gossipQueue.add(record);
    }

    private void onClaimAboutSelf(MembershipRecord record) {
        if (leaving) {
            return;
        }
        if (record.nonce() == context.self.nonce() && record.generation() == context.self.generation()) {
            if (record.incarnation() > context.self.incarnation()
                    || record.incarnation() == context.self.incarnation() && record.state() != MemberState.ALIVE) {
                refutations++;
                context.adjustLocalHealthScore(1);
                updateSelf(context.self.withIncarnationAbove(record.incarnation(), context.self.metadata()));
            }
            return;
        }
        if (newerProcess != null || record.compareTo(context.self) <= 0) {
            return;
        }
        boolean sameAddress =
                record.metadata().address().equals(context.self.metadata().address());
        if (sameAddress || !record.state().isMember()) {
            raiseGenerationAbove(record);
        } else if (unverifiedProcess == null || unverifiedProcess.compareTo(record) < 0) {
            // Maybe this name's earlier life, whose clock ran ahead; maybe a newer process: it is asked.
            unverifiedProcess = record;
            unverifiedUntilMs = context.nowMs + 2 * context.timings.periodMs();
            context.sendExact(
                    record.metadata().address(),
                    new Message.Ping(context.nextSequence(), record.name()),
                    List.of(context.self));
        }
    }

    private void raiseGenerationAbove(MembershipRecord record) {
        generationRaises++;
        unverifiedProcess = null;
        updateSelf(new MembershipRecord(
                context.self.name(),
                Math.min(MembershipRecord.MAX_COUNTER, record.generation() + 1),
                context.self.nonce(),
                0,
                MemberState.ALIVE,
                "",
                context.self.metadata()));
    }

    /** A datagram of another process that goes by this name: the newer one has it. */
    private void onNameConflict(MembershipRecord record) {
        if (record.isSameProcess(context.self)) {
            return;
        }
        if (record.compareTo(context.self) < 0) {
            if (record.state().isMember()) {
                context.sendExact(record.metadata().address(), new Message.Gossip(), List.of(context.self));
            }
            return;
        }
        if (!record.state().isMember()) {
            onClaimAboutSelf(record);
            return;
        }
        newerProcessHeardMs = context.nowMs;
        unverifiedProcess = null;
        if (newerProcess == null) {
            newerProcess = record;
            nameReclaimDelayMs = nameReclaimDelayMs == 0
                    ? 2 * context.timings.maxSuspicionMs(context.memberCount())
                    : 2 * nameReclaimDelayMs;
            context.memberTable.setSelf(context.self.name(), null);
            context.gossipQueue.clear();
            context.emit(new Action.Warn(
                    "another, newer process goes by this name: this one gives way",
                    record.name(),
                    record.metadata().address()));
            notifyChange(new Change.Name(++version, true, record));
        }
        newerProcess = record;
    }

    private void checkNameConflict() {
        if (unverifiedProcess != null && context.nowMs >= unverifiedUntilMs) {
            raiseGenerationAbove(unverifiedProcess);
        }
        if (newerProcess != null && context.nowMs - newerProcessHeardMs > nameReclaimDelayMs) {
            MembershipRecord other = newerProcess;
            newerProcess = null;
            context.emit(new Action.Warn(
                    "the newer process of this name is gone: this one has it back",
                    other.name(),
                    other.metadata().address()));
            notifyChange(new Change.Name(++version, false, other));
            raiseGenerationAbove(other);
        }
    }

    // ---- time ------------------------------------------------------------------------------------------

    /** Notes the time, and true where this process has stood still, so that all timers begin anew. */
    private boolean advanceTime(double nowMs) {
        double gapMs = nowMs - lastTimeMs;
        lastTimeMs = nowMs;
        context.nowMs = nowMs;
        if (gapMs <= context.timings.pauseThresholdMs()) {
            return false;
        }
        pauses++;
        context.adjustLocalHealthScore(1);
        failureDetector.reset();
        boolean viewExpired = gapMs >= context.timings.minSuspicionMs(context.memberCount());
        context.emit(new Action.Warn(
                "this process stood still",
                context.self.name(),
                Math.round(gapMs) + " ms" + (viewExpired ? ": its view is void" : "")));
        inDoubt = true;
        context.lastHeardMs = nowMs;
        doubtEndsMs = nowMs + DOUBT_PERIODS * context.timings.periodMs();
        notifyChange(new Change.Doubt(++version, true));
        for (MemberEntry entry : suspectedEntries) {
            entry.suspicion.endsMs += gapMs;
        }
        if (viewExpired) {
            for (MemberEntry entry : new ArrayList<>(context.memberTable.listed())) {
                if (entry.suspicion != null) {
                    entry.suspicion = null;
                    suspectedEntries.remove(entry);
                }
                entry.reason = ChangeReason.STOOD_STILL;
                entry.source = context.self.name();
                entry.stateSinceMs = nowMs;
                context.memberTable.setListed(entry, false);
                notifyChange(new Change.Lost(++version, entry.record, ChangeReason.STOOD_STILL, context.self.name()));
            }
            context.gossipQueue.clear();
        }
        if (!leaving) {
            updateSelf(context.self.withIncarnationAbove(0, context.self.metadata()));
        }
        antiEntropy.start();
        nextRoundMs = nowMs;
        return true;
    }

    private void endDoubt() {
        inDoubt = false;
        notifyChange(new Change.Doubt(++version, false));
    }

    private void gossipRound() {
        nextRoundMs = context.nowMs + context.timings.gossipIntervalMs();
        if (leaving) {
            announceLeave();
            return;
        }
        if (newerProcess != null) {
            context.sendExact(
                    newerProcess.metadata().address(),
                    new Message.Ping(context.nextSequence(), context.self.name()),
                    List.of());
            return;
        }
        if (context.gossipQueue.isEmpty() || context.memberTable.listed().isEmpty()) {
            return;
        }
        for (MemberEntry entry : context.memberTable.randomListed(GOSSIP_FANOUT, null)) {
            context.send(entry, new Message.Gossip());
        }
    }

    private void notifyChange(Change change) {
        context.emit(new Action.Notify(change));
    }
}
