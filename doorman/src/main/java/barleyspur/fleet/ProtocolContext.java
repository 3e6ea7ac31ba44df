package barleyspur.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The state that the components of one {@link Membership} share: time, own record, member table and output. */
final class ProtocolContext {

    final ProtocolTimings timings;
    final SplittableRandom random;
    final MemberTable memberTable;
    final GossipQueue gossipQueue = new GossipQueue();
    private final Consumer<Action> actions;
    double nowMs;
    /** When the last datagram from any other member was received. */
    double lastHeardMs;

    MembershipRecord self;
    /** The last sequence number; starts at random, so that answers to an earlier process of this name match nothing. */
    private long lastSequence;
    /** Lifeguard's local health score, from 0 (healthy) to {@link #MAX_LOCAL_HEALTH_SCORE}. */
    int localHealthScore;

    static final int MAX_LOCAL_HEALTH_SCORE = 3;

    ProtocolContext(ProtocolTimings timings, long randomSeed, Consumer<Action> actions) {
        this.timings = timings;
        this.random = new SplittableRandom(randomSeed);
        this.memberTable = new MemberTable(random);
        this.actions = actions;
        this.lastSequence = random.nextLong() >>> 16;
    }

    long nextSequence() {
        return ++lastSequence;
    }

    int memberCount() {
        return memberTable.listed().size() + 1;
    }

    void adjustLocalHealthScore(int delta) {
        localHealthScore = Math.max(0, Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + delta));
    }

    double scaleTimeoutMs(double timeoutMs) {
        return timeoutMs * (1 + localHealthScore);
    }

    void emit(Action action) {
        actions.accept(action);
    }

    /**
     * Sends a message with as much gossip as fits. If the target is not alive in this view, the gossip starts with its
     * record, so that it can refute it (Lifeguard's buddy messages).
     */
    void send(MemberEntry target, Message message) {
        send(target.record.metadata().address(), message, recordIfNotAlive(target));
    }

    /** Returns the record of a member that is not alive in this view; an empty list for an alive or unknown member. */
    static List<MembershipRecord> recordIfNotAlive(MemberEntry entry) {
        return entry != null && entry.record.state() != MemberState.ALIVE ? List.of(entry.record) : List.of();
    }

    void send(String address, Message message, List<MembershipRecord> firstRecords) {
        List<MembershipRecord> records = new ArrayList<>(firstRecords);
        int bytesLeft = DatagramSizes.gossipBytesLeft(self, message);
        for (MembershipRecord record : firstRecords) {
            bytesLeft -= DatagramSizes.maxBytes(record);
        }
        gossipQueue.fill(records, bytesLeft, memberCount());
        sendExact(address, message, records);
    }

    /** Sends a message with exactly the given records as gossip. */
    void sendExact(String address, Message message, List<MembershipRecord> records) {
        emit(new Action.Send(address, new Datagram(self, memberTable.digest(), message, List.copyOf(records))));
    }
}
