package barleyspur.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The failure detector of SWIM (section 3.1). Probes one member per period by a ping; if no answer arrives in time,
 * pings it again and asks three others to ping it, and finally reports the failed probe. While probes fail, more of
 * them run at the same time, so that the loss of a part of the fleet is detected soon. Timeouts are scaled by the local
 * health score of Lifeguard.
 */
final class FailureDetector {

    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_CONCURRENT_PROBES = 8;
    /** A process that has received nothing for this long is likely to be isolated itself, or the last one left. */
    private static final double ISOLATION_PERIODS = 2;
    /** The most relayed pings that are tracked at a time; bounds memory under a flood of requests. */
    private static final int MAX_RELAYED_PINGS = 1_000;

    private static final class Probe {
        final MemberEntry target;
        final MembershipRecord recordAtStart;
        final long sequence;
        double indirectAtMs;
        double deadlineMs;
        boolean indirectSent;
        boolean deadlineExtended;
        int missingNacks;

        Probe(MemberEntry target, long sequence) {
            this.target = target;
            this.recordAtStart = target.record;
            this.sequence = sequence;
        }
    }

    /** A ping on behalf of another member: where to relay the answer, and when to send a nack instead. */
    private record RelayedPing(String requesterAddress, long requesterSequence, String target, double deadlineMs) {}

    private final ProtocolContext context;
    private final Consumer<MemberEntry> onProbeFailed;
    private final Map<Long, Probe> activeProbes = new HashMap<>();
    private final Map<Long, RelayedPing> relayedPings = new HashMap<>();
    private final ArrayDeque<MemberEntry> priorityTargets = new ArrayDeque<>();
    private double nextPeriodMs;
    private int probesPerPeriod = 1;
    private boolean probeFailed;

    FailureDetector(ProtocolContext context, Consumer<MemberEntry> onProbeFailed) {
        this.context = context;
        this.onProbeFailed = onProbeFailed;
    }

    void start() {
        nextPeriodMs = context.nowMs + context.random.nextDouble() * context.timings.periodMs();
    }

    /** Cancels all probes: after a pause of this process a missing answer says nothing about the target. */
    void reset() {
        activeProbes.clear();
        relayedPings.clear();
        priorityTargets.clear();
        probesPerPeriod = 1;
        start();
    }

    /** Probes a member before the others. */
    void probeSoon(MemberEntry entry) {
        if (!priorityTargets.contains(entry)) {
            priorityTargets.add(entry);
        }
    }

    double nextTickMs() {
        double earliestMs = nextPeriodMs;
        for (Probe probe : activeProbes.values()) {
            earliestMs = Math.min(earliestMs, probe.indirectSent ? probe.deadlineMs : probe.indirectAtMs);
        }
        for (RelayedPing relayed : relayedPings.values()) {
            earliestMs = Math.min(earliestMs, relayed.deadlineMs);
        }
        return earliestMs;
    }

    /** Runs what is due; {@code lateMs} is how late this process itself calls this method. */
    void tick(double lateMs) {
        for (Probe probe : new ArrayList<>(activeProbes.values())) {
            if (!probe.indirectSent && context.nowMs >= probe.indirectAtMs) {
                probeIndirectly(probe);
            } else if (probe.indirectSent && context.nowMs >= probe.deadlineMs) {
                finishProbe(probe, lateMs);
            }
        }
        for (Iterator<Map.Entry<Long, RelayedPing>> it = relayedPings.entrySet().iterator(); it.hasNext(); ) {
            RelayedPing relayed = it.next().getValue();
            if (context.nowMs >= relayed.deadlineMs) {
                it.remove();
                context.send(relayed.requesterAddress, new Message.Nack(relayed.requesterSequence), List.of());
            }
        }
        if (context.nowMs >= nextPeriodMs) {
            if (context.nowMs - context.lastHeardMs > ISOLATION_PERIODS * context.timings.periodMs()) {
                probesPerPeriod = MAX_CONCURRENT_PROBES;
            }
            probesPerPeriod = probeFailed
                    ? Math.min(MAX_CONCURRENT_PROBES, 2 * probesPerPeriod)
                    : Math.max(1, probesPerPeriod / 2);
            probeFailed = false;
            nextPeriodMs = Math.max(nextPeriodMs + context.timings.periodMs(), context.nowMs);
            for (int i = 0; i < probesPerPeriod; i++) {
                startProbe();
            }
        }
    }

    private void startProbe() {
        MemberEntry target = priorityTargets.isEmpty() ? context.memberTable.nextProbeTarget() : priorityTargets.poll();
        if (target == null || !target.listed || isBeingProbed(target)) {
            return;
        }
        Probe probe = new Probe(target, context.nextSequence());
        probe.indirectAtMs = context.nowMs + context.scaleTimeoutMs(context.timings.directProbeTimeoutMs());
        probe.deadlineMs = context.nowMs + context.scaleTimeoutMs(context.timings.periodMs());
        activeProbes.put(probe.sequence, probe);
        context.send(target, new Message.Ping(probe.sequence, target.name));
    }

    private boolean isBeingProbed(MemberEntry entry) {
        for (Probe probe : activeProbes.values()) {
            if (probe.target == entry) {
                return true;
            }
        }
        return false;
    }

    private void probeIndirectly(Probe probe) {
        probe.indirectSent = true;
        if (!probe.target.listed) {
            activeProbes.remove(probe.sequence);
            return;
        }
        context.send(probe.target, new Message.Ping(probe.sequence, probe.target.name));
        for (MemberEntry helper : context.memberTable.randomListed(INDIRECT_PROBES, probe.target)) {
            if (helper.record.state() == MemberState.ALIVE) {
                probe.missingNacks++;
                context.send(
                        helper,
                        new Message.PingRequest(
                                probe.sequence,
                                probe.target.name,
                                probe.target.record.metadata().address()));
            }
        }
    }

    private void finishProbe(Probe probe, double lateMs) {
        if (lateMs > context.timings.gossipIntervalMs() && !probe.deadlineExtended) {
            // This process is late: the answer may be among the datagrams that it has not read yet.
            probe.deadlineExtended = true;
            probe.deadlineMs = context.nowMs + context.timings.gossipIntervalMs();
            context.adjustLocalHealthScore(1);
            return;
        }
        activeProbes.remove(probe.sequence);
        context.adjustLocalHealthScore(probe.missingNacks > 0 ? 1 : 0);
        if (probe.target.listed && probe.target.record.isSameProcess(probe.recordAtStart)) {
            probeFailed = true;
            onProbeFailed.accept(probe.target);
        }
    }

    void onPing(MembershipRecord sender, Message.Ping ping) {
        if (ping.target().isEmpty() || ping.target().equals(context.self.name())) {
            reply(sender, new Message.Ack(ping.sequence(), context.self.name()));
        }
    }

    /** Replies at the sender's published address, with the record held here if that is newer than the sender's own. */
    void reply(MembershipRecord sender, Message message) {
        MemberEntry entry = context.memberTable.get(sender.name());
        boolean hasNewerRecord = entry != null && entry.record.compareTo(sender) > 0;
        context.send(sender.metadata().address(), message, hasNewerRecord ? List.of(entry.record) : List.of());
    }

    void onPingRequest(MembershipRecord sender, Message.PingRequest request) {
        if (relayedPings.size() < MAX_RELAYED_PINGS) {
            long sequence = context.nextSequence();
            relayedPings.put(
                    sequence,
                    new RelayedPing(
                            sender.metadata().address(),
                            request.sequence(),
                            request.target(),
                            context.nowMs + context.timings.directProbeTimeoutMs()));
            context.send(
                    request.targetAddress(),
                    new Message.Ping(sequence, request.target()),
                    ProtocolContext.recordIfNotAlive(context.memberTable.get(request.target())));
        }
    }

    void onAck(Message.Ack ack) {
        Probe probe = activeProbes.get(ack.sequence());
        if (probe != null && probe.target.name.equals(ack.responder())) {
            activeProbes.remove(probe.sequence);
            context.adjustLocalHealthScore(-1);
            return;
        }
        RelayedPing relayed = relayedPings.get(ack.sequence());
        if (relayed != null && relayed.target.equals(ack.responder())) {
            relayedPings.remove(ack.sequence());
            context.send(
                    relayed.requesterAddress, new Message.Ack(relayed.requesterSequence, relayed.target), List.of());
        }
    }

    void onNack(Message.Nack nack) {
        Probe probe = activeProbes.get(nack.sequence());
        if (probe != null) {
            probe.missingNacks--;
        }
    }
}
