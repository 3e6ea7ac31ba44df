package barleyspur.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Finds out who no longer answers (SWIM section 3.1): each period one member is pinged, then again and by way of three
 * others, then {@code silent} is told. While probes fail more run side by side, so that a part of the fleet that is cut
 * off is known soon; Lifeguard's local health stretches the times of a process that doubts itself.
 */
final class FailureDetector {

    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_CONCURRENT_PROBES = 8;
    /** Without a word from anybody for so long, this process is likely to be the one that is cut off, or left. */
    private static final double ISOLATION_PERIODS = 2;
    /** Pings for others that are kept in mind, against a flood of them. */
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

    /** A ping for somebody else: whom to tell, and until when. */
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

    /** Forgets what runs: after a standstill no answer is late by the other's fault. */
    void reset() {
        activeProbes.clear();
        relayedPings.clear();
        priorityTargets.clear();
        probesPerPeriod = 1;
        start();
    }

    /** Probes it before others. */
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

    /** Does what is due; {@code lateMs} is how late this look at the time is, by this process's own fault. */
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
            // Whoever looks late may find the answer among what it has not read yet.
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

    /** Answers at the address that the sender tells, with what is said of it here if it is not held alive. */
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
