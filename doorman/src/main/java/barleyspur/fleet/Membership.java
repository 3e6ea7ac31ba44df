package barleyspur.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The membership protocol of one doorman, which maintains its view from received datagrams and the time. Not
 * thread-safe. Times are in milliseconds of one monotonic clock; actions are passed to the consumer during the calls.
 *
 * <p>A claim by others never removes a member from the view at once. A suspicion has to expire in this process, or to
 * have lasted its minimum duration here when a DEAD record arrives; any other DEAD record makes this process probe the
 * member and send it the claim to refute. A malicious member, a partitioned part of the fleet or a member that receives
 * nothing can therefore cause traffic, but can't remove a member that answers.
 */
public final class Membership {

    /** The number of confirmations that reduces a suspicion to its minimum duration (Lifeguard's k). */
    private static final int MAX_CONFIRMATIONS = 3;
    /** The expected number of members that probe a suspect themselves, whatever the fleet size. */
    private static final double EXPECTED_CHECKERS = 5;
    /** An accuser with more refuted accusations than this within {@link #REFUTED_WINDOW_PERIODS} is ignored. */
    private static final int MAX_REFUTED_ACCUSATIONS = 5;

    private static final double REFUTED_WINDOW_PERIODS = 20;
    /** The number of members that receive a leave announcement in a datagram of their own, per round. */
    private static final int LEAVE_NOTICES = 32;
    /** How long the view stays in doubt after a start or a pause if no matching view digest is received. */
    private static final double DOUBT_PERIODS = 4;
    /**
     * The number of members that receive gossip in a round, one datagram each. This bounds gossip to 36 KB/s, so that
     * gossip about late answers can't delay answers further. Anti-entropy transfers what a burst leaves out.
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
    /** The newer process to which this one has given up its name, or null. */
    private MembershipRecord newerProcess;

    private double newerProcessHeardMs;
    private double nameReclaimDelayMs;
    /** A process of this name known only from others, which has been pinged; gone if it doesn't answer in time. */
    private MembershipRecord unverifiedProcess;

    private double unverifiedUntilMs;

    /**
     * Creates the membership of a process; {@link #start} begins the protocol.
     *
     * @param generation the generation of this process: the wall clock time, or any number that usually increases
     * @param seeds      addresses to contact for other members, as long as no listed member has them
     * @param randomSeed the seed of the random number generator
     * @param actions    receives the actions to carry out
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

    // ---- inputs ----------------------------------------------------------------------------------------

    /** Starts the protocol and the search for other members at the seeds. */
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

    /** The time at which {@link #tick} must be called next. */
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

    /** Runs everything that is due. */
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

    /** Processes a datagram whose tag has been verified. */
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
        if (message instanceof Message.Ping ping) {
            failureDetector.onPing(sender, ping);
        } else if (message instanceof Message.Ack ack) {
            failureDetector.onAck(ack);
        } else if (message instanceof Message.PingRequest request) {
            failureDetector.onPingRequest(sender, request);
        } else if (message instanceof Message.Nack nack) {
            failureDetector.onNack(nack);
        } else if (message instanceof Message.DigestExchange exchange) {
            antiEntropy.onDigestExchange(sender, exchange);
        } else if (message instanceof Message.Payload payload) {
            context.emit(new Action.Deliver(sender, payload.bytes()));
        }
        if (!sender.name().equals(context.self.name())) {
            antiEntropy.onDigest(sender, datagram.digest(), inDoubt);
            if (inDoubt && datagram.digest() == context.memberTable.digest()) {
                endDoubt();
            }
        }
    }

    /** Sends a payload to a member; it may be lost, duplicated, delayed or reordered. */
    public void sendPayload(double nowMs, String address, byte[] payload) {
        advanceTime(nowMs);
        context.sendExact(address, new Message.Payload(payload), List.of());
    }

    /** The maximum size of a payload. */
    public int maxPayloadBytes() {
        return DatagramSizes.gossipBytesLeft(context.self, new Message.Payload(new byte[0]));
    }

    /** Publishes new metadata of this member. */
    public void updateMetadata(double nowMs, MemberMetadata metadata) {
        advanceTime(nowMs);
        if (!metadata.equals(context.self.metadata()) && !leaving) {
            updateSelf(context.self.withIncarnationAbove(0, metadata));
        }
    }

    /** Announces that this member leaves, now and in the following rounds for as long as {@link #tick} is called. */
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

    // ---- queries ---------------------------------------------------------------------------------------

    /**
     * Whether the view must not be acted on, because no other member has confirmed it since a start or a pause of this
     * process. Pass the current time, since a pause may have ended that this object has not seen yet.
     */
    public boolean isInDoubt(double nowMs) {
        return inDoubt || nowMs - lastTimeMs > context.timings.pauseThresholdMs();
    }

    /** Returns a snapshot of the view, including former members that are still remembered. */
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

    /** The record of this process. */
    public MembershipRecord self() {
        return context.self;
    }

    /** The digest of the view, equal for two views with the same members, incarnations and states. */
    public long digest() {
        return context.memberTable.digest();
    }

    /** The number of members in the view, this one included. */
    public int memberCount() {
        return context.memberCount();
    }

    /** The addresses of the other members in the view. */
    public Set<String> peerAddresses() {
        Set<String> addresses = new HashSet<>();
        for (MemberEntry entry : context.memberTable.listed()) {
            addresses.add(entry.record.metadata().address());
        }
        return addresses;
    }

    /**
     * Counters of this process.
     *
     * @param pauses how often the process had no time for over two periods
     * @param generationRaises how often it raised its generation above that of another process of its name
     * @param refutations how often it refuted a suspicion of itself
     * @param localHealthScore the score of Lifeguard by which it stretches its own time-outs
     */
    public record Counters(int pauses, int generationRaises, int refutations, int localHealthScore) {}

    /** Returns the counters of this process. */
    public Counters counters() {
        return new Counters(pauses, generationRaises, refutations, context.localHealthScore);
    }

    // ---- records of other members ----------------------------------------------------------------------

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
                // An earlier process, or one that does not know the newer record: send it, so that it can react.
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

    /** Handles a SUSPECT or DEAD record of a listed member. */
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
            // Declared dead elsewhere, maybe across a partition: notify and probe it, but keep it in the view.
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

    /** Sends a member the record that others spread about it, so that it can refute it; at most once per period. */
    private void sendClaim(MemberEntry entry, MembershipRecord claim, String address) {
        if (context.nowMs - entry.lastNotifiedMs >= context.timings.periodMs()) {
            entry.lastNotifiedMs = context.nowMs;
            context.sendExact(address, new Message.Gossip(), List.of(claim));
        }
    }

    /** Makes a record the current one of its member, and reports the change of the view. */
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
            // No unsuspected member is left that could confirm.
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

    /** Handles a probe by this process that had no answer. */
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
                // This process is late itself: a refutation may be among the datagrams not read yet.
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

    // ---- records of this member ------------------------------------------------------------------------

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
            // An earlier process of this name whose clock was ahead, or a newer one: ping it to find out.
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

    /** Handles a datagram from another process with the same name: the newer process keeps the name. */
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

    /** Advances the time. Returns true if this process was paused, after which all timers have been restarted. */
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
