package barleyspur.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** What the parts of one membership share: the time, what this process says of itself, the others, and the way out. */
final class ProtocolContext {

    final ProtocolTimings timings;
    final SplittableRandom random;
    final MemberTable memberTable;
    final GossipQueue gossipQueue = new GossipQueue();
    private final Consumer<Action> actions;
    double nowMs;
    /** When anybody was last heard. */
    double lastHeardMs;

    MembershipRecord self;
    /** Numbers of pings and comparisons; starts at random so that an answer to an earlier life matches none. */
    private long lastSequence;
    /** How much this process doubts itself: 0 is well (Lifeguard's local health). */
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
     * Sends a message with as much news as fits. Whoever is not held alive here is told so first, so that it can say
     * otherwise (Lifeguard's buddy messages).
     */
    void send(MemberEntry target, Message message) {
        send(target.record.metadata().address(), message, recordIfNotAlive(target));
    }

    /** What is said against somebody who is not held alive. */
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

    /** Sends this and nothing else. */
    void sendExact(String address, Message message, List<MembershipRecord> records) {
        emit(new Action.Send(address, new Datagram(self, memberTable.digest(), message, List.copyOf(records))));
    }
}
