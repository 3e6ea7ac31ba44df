package barleyspur.lab.fleet;

import barleyspur.fleet.Action;
import barleyspur.fleet.Change;
import barleyspur.fleet.Datagram;
import barleyspur.fleet.DatagramSizes;
import barleyspur.fleet.MemberMetadata;
import barleyspur.fleet.Membership;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.ProtocolTimings;
import barleyspur.fleet.View;
import barleyspur.fleet.net.DatagramCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Discrete-event simulation of a fleet under a schedule of faults: it runs the membership code of production in virtual
 * time, without sockets, threads or a clock.
 */
final class VirtualFleet {

    private static final double MIN_LATENCY_MS = 0.1;
    private static final double LATENCY_JITTER_MS = 0.6;
    private static final double STALL_CYCLE_MS = 100;
    private static final int MAX_UNREAD_DATAGRAMS = 2_000;
    /** Wall-clock time at the start of the simulation. */
    private static final double INITIAL_WALL_CLOCK_MS = 1.8e12;

    private static final double LEAVE_DURATION_MS = 300;
    /** More events than this at one time mean that a process schedules its timer in an endless loop. */
    private static final int MAX_EVENTS_AT_ONE_TIME = 100_000;

    private static final double START_SPREAD_MS = 100;
    private static final double SETTLE_CHECK_INTERVAL_MS = 50;

    /** A doorman with its membership logic. */
    final class SimulatedProcess {
        final int number;
        final int slot;
        final String name;
        final Membership membership;
        final double startedMs;
        final ArrayDeque<Datagram> unread = new ArrayDeque<>();
        boolean frozen;
        boolean stalled;
        boolean terminated;
        boolean leaving;
        double nextTickMs = Double.POSITIVE_INFINITY;
        double exitMs = Double.POSITIVE_INFINITY;
        long sentBytes;
        long sentDatagrams;

        SimulatedProcess(int number, int slot, String name, double clockOffsetMs, int format) {
            this.number = number;
            this.slot = slot;
            this.name = name;
            this.startedMs = nowMs;
            List<String> seeds = new ArrayList<>();
            for (int seedSlot : schedule.seedSlots()) {
                if (seedSlot != slot) {
                    seeds.add(addressOf(seedSlot));
                }
            }
            membership = new Membership(
                    name,
                    (long) (INITIAL_WALL_CLOCK_MS + nowMs + clockOffsetMs),
                    new MemberMetadata(addressOf(slot), "z" + slot % 3, "serving", "v", 1, format, null),
                    new ProtocolTimings(schedule.protocolPeriodMs(), 600_000),
                    seeds,
                    random.nextLong(),
                    this::execute);
        }

        private void execute(Action action) {
            if (action instanceof Action.Send sendAction) {
                send(this, sendAction);
            } else if (action instanceof Action.Notify changeAction) {
                reportChange(this, changeAction.change());
            }
        }

        /** Returns whether the process exists and is neither frozen nor stalled. */
        boolean isRunning() {
            return !terminated && !frozen && !stalled;
        }
    }

    /** An action at a time of the simulation; events at the same time run in the order of their sequence numbers. */
    private record ScheduledEvent(double timeMs, long sequence, Runnable action) {}

    private final FaultSchedule schedule;
    private final SplittableRandom random;
    private final MembershipMonitor monitor;
    private final LinkFaults linkFaults;
    private final boolean encodeDatagrams;
    private final DatagramCodec codec =
            new DatagramCodec("lab", "a key that no fleet should have in use".getBytes(StandardCharsets.UTF_8));
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.timeMs != b.timeMs ? Double.compare(a.timeMs, b.timeMs) : Long.compare(a.sequence, b.sequence));
    private final SimulatedProcess[] processBySlot;
    private final List<SimulatedProcess> allProcesses = new ArrayList<>();
    private long nextSequence;
    private int eventsAtThisTime;
    double nowMs;
    /** Replaces datagrams sent from {@link #tamperedSlot}, to simulate misbehaving members; else null. */
    private UnaryOperator<Datagram> datagramTamperer;

    private int tamperedSlot = -1;
    private Consumer<SimulatedProcess> startListener = process -> {};

    /**
     * Creates a fleet in which no process runs yet.
     *
     * @param encodeDatagrams whether to encode and decode datagrams, or to pass them as objects and estimate their
     *                        sizes
     */
    VirtualFleet(FaultSchedule schedule, MembershipMonitor monitor, boolean encodeDatagrams) {
        this.schedule = schedule;
        this.monitor = monitor;
        this.encodeDatagrams = encodeDatagrams;
        this.random = new SplittableRandom(schedule.randomSeed());
        this.linkFaults = new LinkFaults(schedule.slotCount(), schedule.randomSeed() + 1);
        this.processBySlot = new SimulatedProcess[schedule.slotCount()];
    }

    /** Returns the address of the process in a slot. */
    static String addressOf(int slot) {
        return "127." + (slot >> 16) + "." + (slot >> 8 & 255) + "." + (slot & 255) + ":7301";
    }

    private static int slotOf(String address) {
        String[] parts = address.substring(0, address.indexOf(':')).split("\\.");
        return Integer.parseInt(parts[1]) << 16 | Integer.parseInt(parts[2]) << 8 | Integer.parseInt(parts[3]);
    }

    /** Replaces the datagrams that the process in a slot sends; a datagram replaced by null is dropped. */
    void tamperWithSent(int slot, UnaryOperator<Datagram> tamperer) {
        tamperedSlot = slot;
        datagramTamperer = tamperer;
    }

    /** Sets a listener that is called with each started process. */
    void setStartListener(Consumer<SimulatedProcess> listener) {
        startListener = listener;
    }

    private void scheduleAt(double timeMs, Runnable action) {
        events.add(new ScheduledEvent(timeMs, nextSequence++, action));
    }

    /** Starts the doormans that the schedule begins with. */
    void startInitialProcesses() {
        for (int i = 0; i < schedule.initialDoormans(); i++) {
            int slot = i;
            scheduleAt(random.nextDouble() * START_SPREAD_MS, () -> startProcess(slot, "", 0, 2));
        }
        runUntil(START_SPREAD_MS);
    }

    /** Runs all events up to a time. */
    void runUntil(double untilMs) {
        while (!events.isEmpty() && events.peek().timeMs <= untilMs) {
            ScheduledEvent event = events.poll();
            eventsAtThisTime = event.timeMs > nowMs ? 0 : eventsAtThisTime + 1;
            nowMs = Math.max(nowMs, event.timeMs);
            if (eventsAtThisTime > MAX_EVENTS_AT_ONE_TIME) {
                throw new AssertionError("a doorman schedules its timer at " + nowMs + " ms in an endless loop");
            }
            event.action.run();
        }
        nowMs = Math.max(nowMs, untilMs);
    }

    /** Runs the whole schedule. Returns the settle times in ms, of each step that awaits settling and of the end. */
    List<Double> run() {
        List<Double> settleTimesMs = new ArrayList<>();
        startInitialProcesses();
        for (FaultSchedule.Step step : schedule.steps()) {
            if (step.awaitSettled()) {
                settleTimesMs.add(runUntilSettled());
            }
            runUntil(nowMs + step.delayMs());
            apply(step.fault());
        }
        settleTimesMs.add(runUntilSettled());
        return settleTimesMs;
    }

    /** Runs until the views in every connected component agree. Returns the time in ms that took, or infinity. */
    private double runUntilSettled() {
        double fromMs = nowMs;
        for (String reason = unsettledReason(); reason != null; reason = unsettledReason()) {
            if (nowMs >= fromMs + schedule.settleTimeoutMs()) {
                monitor.addViolation(
                        "not settled: " + reason + " " + Math.round(nowMs - fromMs) + " ms after the last step");
                return Double.POSITIVE_INFINITY;
            }
            runUntil(nowMs + SETTLE_CHECK_INTERVAL_MS);
        }
        return nowMs - fromMs;
    }

    private void startProcess(int slot, String name, double clockOffsetMs, int format) {
        if (processBySlot[slot] != null) {
            return;
        }
        SimulatedProcess process = new SimulatedProcess(
                allProcesses.size(), slot, name.isEmpty() ? "d" + (slot + 1) : name, clockOffsetMs, format);
        allProcesses.add(process);
        processBySlot[slot] = process;
        startListener.accept(process);
        process.membership.start(nowMs);
        tick(process);
    }

    private void tick(SimulatedProcess process) {
        process.nextTickMs = Double.POSITIVE_INFINITY;
        if (!process.isRunning()) {
            return;
        }
        if (nowMs >= process.exitMs) {
            terminate(process);
            return;
        }
        process.membership.tick(nowMs);
        scheduleTick(process);
    }

    private void scheduleTick(SimulatedProcess process) {
        double dueMs = Math.max(nowMs, Math.min(process.membership.nextTickMs(), process.exitMs));
        if (dueMs < process.nextTickMs) {
            process.nextTickMs = dueMs;
            scheduleAt(dueMs, () -> {
                if (process.nextTickMs == dueMs) {
                    tick(process);
                }
            });
        }
    }

    private void terminate(SimulatedProcess process) {
        process.terminated = true;
        if (processBySlot[process.slot] == process) {
            processBySlot[process.slot] = null;
        }
    }

    private void send(SimulatedProcess from, Action.Send action) {
        Datagram datagram = action.datagram();
        if (from.slot == tamperedSlot) {
            datagram = datagramTamperer.apply(datagram);
            if (datagram == null) {
                return;
            }
        }
        int to = slotOf(action.address());
        byte[] bytes = encodeDatagrams ? codec.encode(datagram) : null;
        from.sentDatagrams++;
        from.sentBytes += encodeDatagrams ? bytes.length : DatagramSizes.maxBytes(datagram);
        if (to >= processBySlot.length) {
            return;
        }
        for (double delayMs : linkFaults.deliveryDelaysMs(from.slot, to)) {
            Datagram delivered = datagram;
            if (encodeDatagrams) {
                try {
                    delivered = codec.decode(linkFaults.maybeCorrupt(from.slot, to, bytes));
                } catch (DatagramCodec.InvalidDatagramException e) {
                    continue;
                }
            }
            Datagram finalDatagram = delivered;
            scheduleAt(
                    nowMs + MIN_LATENCY_MS + random.nextDouble() * LATENCY_JITTER_MS + delayMs,
                    () -> deliver(to, finalDatagram));
        }
    }

    private void deliver(int slot, Datagram datagram) {
        SimulatedProcess process = processBySlot[slot];
        if (process == null) {
            return;
        }
        if (!process.isRunning()) {
            if (process.unread.size() < MAX_UNREAD_DATAGRAMS) {
                process.unread.add(datagram);
            }
            return;
        }
        process.membership.receive(nowMs, datagram);
        scheduleTick(process);
    }

    private void reportChange(SimulatedProcess process, Change change) {
        MembershipRecord record = change instanceof Change.OfMember memberChange ? memberChange.member() : null;
        String reason = change instanceof Change.OfMember memberChange
                ? memberChange.reason().name()
                : "";
        monitor.onChange(new MembershipMonitor.ReportedChange(
                nowMs,
                process.number,
                process.slot,
                change.getClass().getSimpleName(),
                change.version(),
                record == null ? null : record.name(),
                record == null ? 0 : record.generation(),
                record == null ? 0 : record.nonce(),
                record == null ? 0 : record.incarnation(),
                record == null ? "" : record.state().name(),
                reason));
    }

    private void resume(SimulatedProcess process) {
        if (!process.isRunning()) {
            return;
        }
        while (!process.unread.isEmpty()) {
            process.membership.receive(nowMs, process.unread.poll());
        }
        scheduleTick(process);
    }

    /** Injects a fault. */
    void apply(Fault fault) {
        if (fault instanceof Fault.Kill kill) {
            forEachProcess(kill.slots(), this::terminate);
        } else if (fault instanceof Fault.Freeze freeze) {
            forEachProcess(freeze.slots(), process -> process.frozen = true);
        } else if (fault instanceof Fault.Thaw thaw) {
            forEachProcess(thaw.slots(), process -> {
                if (process.frozen) {
                    process.frozen = false;
                    process.nextTickMs = Double.POSITIVE_INFINITY;
                    resume(process);
                }
            });
        } else if (fault instanceof Fault.Term term) {
            forEachProcess(term.slots(), process -> {
                if (process.isRunning() && !process.leaving) {
                    process.leaving = true;
                    process.membership.leave(nowMs);
                    process.exitMs = nowMs + LEAVE_DURATION_MS;
                    scheduleTick(process);
                } else {
                    terminate(process);
                }
            });
        } else if (fault instanceof Fault.Quiesce quiesce) {
            forEachProcess(quiesce.slots(), process -> {
                process.membership.updateMetadata(
                        nowMs,
                        process.membership
                                .self()
                                .metadata()
                                .withPhaseAndExtensions(quiesce.on() ? "quiesced" : "serving", null));
                scheduleTick(process);
            });
        } else if (fault instanceof Fault.Start start) {
            start.slots().forEach(slot -> startProcess(slot, start.name(), start.clockMs(), start.format()));
        } else if (fault instanceof Fault.Starve starvation) {
            forEachProcess(starvation.slots(), process -> stall(process, starvation.share()));
        } else {
            linkFaults.apply(fault);
        }
    }

    private void forEachProcess(Set<Integer> slots, Consumer<SimulatedProcess> action) {
        for (int slot : slots) {
            if (processBySlot[slot] != null) {
                action.accept(processBySlot[slot]);
            }
        }
    }

    private void stall(SimulatedProcess process, double share) {
        if (share >= 1 || process.terminated) {
            return;
        }
        process.stalled = true;
        scheduleAt(nowMs + STALL_CYCLE_MS * (1 - share), () -> {
            process.stalled = false;
            process.nextTickMs = Double.POSITIVE_INFINITY;
            resume(process);
            scheduleAt(nowMs + STALL_CYCLE_MS * share, () -> stall(process, share));
        });
    }

    /** Returns null where the views in every connected component agree, or else the first difference. */
    String unsettledReason() {
        Set<Integer> upSlots = new TreeSet<>();
        for (SimulatedProcess process : processBySlot) {
            if (process != null && !process.frozen && !process.leaving) {
                upSlots.add(process.slot);
            }
        }
        for (Set<Integer> component : linkFaults.connectedComponents(upSlots)) {
            TreeMap<String, SimulatedProcess> byName = new TreeMap<>();
            for (int slot : component) {
                SimulatedProcess process = processBySlot[slot];
                byName.merge(
                        process.name,
                        process,
                        (a, b) -> a.membership.self().compareTo(b.membership.self()) > 0 ? a : b);
            }
            String reason = unsettledReason(component, byName);
            if (reason != null) {
                return reason;
            }
        }
        return null;
    }

    private String unsettledReason(Set<Integer> component, TreeMap<String, SimulatedProcess> byName) {
        long digest = byName.firstEntry().getValue().membership.digest();
        for (int slot : component) {
            SimulatedProcess process = processBySlot[slot];
            if (process.membership.isInDoubt(nowMs)) {
                return process.name + " is in doubt";
            }
            if (byName.get(process.name) != process) {
                continue;
            }
            if (process.membership.memberCount() != byName.size() || process.membership.digest() != digest) {
                return process.name + " sees " + process.membership.memberCount() + " of " + byName.size() + ", digest "
                        + Long.toHexString(process.membership.digest()) + " against " + Long.toHexString(digest)
                        + describeDifference(process, byName);
            }
            // Small fleets also compare the members themselves, as equal digests may hide a difference.
            String difference = encodeDatagrams ? describeDifference(process, byName) : "";
            if (!difference.isEmpty()) {
                return process.name + " has the same digest" + difference;
            }
        }
        return null;
    }

    private String describeDifference(SimulatedProcess process, TreeMap<String, SimulatedProcess> byName) {
        StringBuilder text = new StringBuilder();
        for (View.Member member : process.membership.view(nowMs).members()) {
            SimulatedProcess other = byName.get(member.record().name());
            MembershipRecord ownRecord = other == null ? null : other.membership.self();
            if (member.listed() != (ownRecord != null)
                    || ownRecord != null && member.record().compareTo(ownRecord) != 0) {
                text.append(", ")
                        .append(member.record().name())
                        .append(' ')
                        .append(member.listed() ? "" : "out ")
                        .append(member.record().state())
                        .append(' ')
                        .append(member.record().incarnation())
                        .append(" in truth ")
                        .append(ownRecord == null ? "gone" : String.valueOf(ownRecord.incarnation()));
            }
        }
        return text.length() > 400 ? text.substring(0, 400) : text.toString();
    }

    /** Returns the process in a slot, or null. */
    SimulatedProcess process(int slot) {
        return processBySlot[slot];
    }

    /** Returns all processes that were ever started. */
    List<SimulatedProcess> allProcesses() {
        return allProcesses;
    }

    LinkFaults links() {
        return linkFaults;
    }
}
