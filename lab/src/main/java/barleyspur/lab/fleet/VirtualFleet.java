package barleyspur.lab.fleet;

import barleyspur.fleet.About;
import barleyspur.fleet.Action;
import barleyspur.fleet.Change;
import barleyspur.fleet.Datagram;
import barleyspur.fleet.Membership;
import barleyspur.fleet.Saying;
import barleyspur.fleet.Sizes;
import barleyspur.fleet.Times;
import barleyspur.fleet.View;
import barleyspur.fleet.net.Codec;
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

/** Plays a schedule in virtual time: the membership that serves, without sockets, threads or a clock. */
final class VirtualFleet {

    private static final double LEAST_LATENCY_MS = 0.1;
    private static final double MORE_LATENCY_MS = 0.6;
    private static final double STARVED_CYCLE_MS = 100;
    private static final int SOCKET_BUFFER = 2_000;
    private static final double WALL_MS = 1.8e12;
    private static final double FAREWELL_MS = 300;
    /** Events at one moment beyond which somebody is caught in a circle. */
    private static final int MOST_AT_ONCE = 100_000;

    private static final double START_STORM_MS = 100;
    private static final double SETTLE_LOOK_MS = 50;

    /** A process. */
    final class SimulatedProcess {
        final int number;
        final int slot;
        final String name;
        final Membership membership;
        final double startedMs;
        final ArrayDeque<Datagram> unread = new ArrayDeque<>();
        boolean frozen;
        boolean stalled;
        boolean gone;
        boolean leaving;
        double tickAtMs = Double.POSITIVE_INFINITY;
        double endsMs = Double.POSITIVE_INFINITY;
        long sentBytes;
        long sent;

        SimulatedProcess(int number, int slot, String name, double clockMs, int format) {
            this.number = number;
            this.slot = slot;
            this.name = name;
            this.startedMs = nowMs;
            List<String> seeds = new ArrayList<>();
            for (int s : schedule.seedSlots()) {
                if (s != slot) {
                    seeds.add(address(s));
                }
            }
            membership = new Membership(
                    name,
                    (long) (WALL_MS + nowMs + clockMs),
                    new About(address(slot), "z" + slot % 3, "serving", "v", 1, format, null),
                    new Times(schedule.protocolPeriodMs(), 600_000),
                    seeds,
                    random.nextLong(),
                    this::carryOut);
        }

        private void carryOut(Action action) {
            if (action instanceof Action.Send s) {
                send(this, s);
            } else if (action instanceof Action.Tell t) {
                tell(this, t.change());
            }
        }

        boolean runs() {
            return !gone && !frozen && !stalled;
        }
    }

    private record ScheduledEvent(double atMs, long order, Runnable what) {}

    private final FaultSchedule schedule;
    private final SplittableRandom random;
    private final MembershipMonitor watch;
    private final LinkFaults links;
    private final boolean encodes;
    private final Codec codec =
            new Codec("lab", "a key that no fleet should have in use".getBytes(StandardCharsets.UTF_8));
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private final SimulatedProcess[] running;
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private long order;
    private int atOnce;
    double nowMs;
    /** Changes the membership's datagrams on their way out, for wrong versions and liars; else null. */
    private UnaryOperator<Datagram> tampering;

    private int tamperedSlot = -1;
    private Consumer<SimulatedProcess> onStart = p -> {};

    VirtualFleet(FaultSchedule schedule, MembershipMonitor watch, boolean encodes) {
        this.schedule = schedule;
        this.watch = watch;
        this.encodes = encodes;
        this.random = new SplittableRandom(schedule.randomSeed());
        this.links = new LinkFaults(schedule.slotCount(), schedule.randomSeed() + 1);
        this.running = new SimulatedProcess[schedule.slotCount()];
    }

    static String address(int slot) {
        return "127." + (slot >> 16) + "." + (slot >> 8 & 255) + "." + (slot & 255) + ":7301";
    }

    private static int slot(String address) {
        String[] parts = address.substring(0, address.indexOf(':')).split("\\.");
        return Integer.parseInt(parts[1]) << 16 | Integer.parseInt(parts[2]) << 8 | Integer.parseInt(parts[3]);
    }

    /** What the process in a slot sends is changed so; a null result is not sent. */
    void tamper(int slot, UnaryOperator<Datagram> how) {
        tamperedSlot = slot;
        tampering = how;
    }

    void onStart(Consumer<SimulatedProcess> hook) {
        onStart = hook;
    }

    private void at(double atMs, Runnable what) {
        events.add(new ScheduledEvent(atMs, order++, what));
    }

    /** Starts what the schedule starts. */
    void begin() {
        for (int i = 0; i < schedule.initialDoormans(); i++) {
            int slot = i;
            at(random.nextDouble() * START_STORM_MS, () -> start(slot, "", 0, 2));
        }
        playTo(START_STORM_MS);
    }

    /** Plays until then. */
    void playTo(double untilMs) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            ScheduledEvent e = events.poll();
            atOnce = e.atMs > nowMs ? 0 : atOnce + 1;
            nowMs = Math.max(nowMs, e.atMs);
            if (atOnce > MOST_AT_ONCE) {
                throw new AssertionError("a doorman asks to be woken at " + nowMs + " ms again and again");
            }
            e.what.run();
        }
        nowMs = Math.max(nowMs, untilMs);
    }

    /** Plays the whole schedule; the times in ms that it took to settle where it says so, and at the end. */
    List<Double> play() {
        List<Double> times = new ArrayList<>();
        begin();
        for (FaultSchedule.Step step : schedule.steps()) {
            if (step.awaitSettled()) {
                times.add(settle());
            }
            playTo(nowMs + step.delayMs());
            apply(step.fault());
        }
        times.add(settle());
        return times;
    }

    /** Plays until every component has settled on itself, and gives the time that took, or infinity. */
    private double settle() {
        double from = nowMs;
        for (String why = settled(); why != null; why = settled()) {
            if (nowMs >= from + schedule.settleTimeoutMs()) {
                watch.broken("settles: " + why + " " + Math.round(nowMs - from) + " ms after the last step");
                return Double.POSITIVE_INFINITY;
            }
            playTo(nowMs + SETTLE_LOOK_MS);
        }
        return nowMs - from;
    }

    private void start(int slot, String name, double clockMs, int format) {
        if (running[slot] != null) {
            return;
        }
        SimulatedProcess p =
                new SimulatedProcess(processes.size(), slot, name.isEmpty() ? "d" + (slot + 1) : name, clockMs, format);
        processes.add(p);
        running[slot] = p;
        onStart.accept(p);
        p.membership.start(nowMs);
        tick(p);
    }

    private void tick(SimulatedProcess p) {
        p.tickAtMs = Double.POSITIVE_INFINITY;
        if (!p.runs()) {
            return;
        }
        if (nowMs >= p.endsMs) {
            gone(p);
            return;
        }
        p.membership.tick(nowMs);
        arm(p);
    }

    private void arm(SimulatedProcess p) {
        double due = Math.max(nowMs, Math.min(p.membership.dueMs(), p.endsMs));
        if (due < p.tickAtMs) {
            p.tickAtMs = due;
            at(due, () -> {
                if (p.tickAtMs == due) {
                    tick(p);
                }
            });
        }
    }

    private void gone(SimulatedProcess p) {
        p.gone = true;
        if (running[p.slot] == p) {
            running[p.slot] = null;
        }
    }

    private void send(SimulatedProcess from, Action.Send send) {
        Datagram d = send.datagram();
        if (from.slot == tamperedSlot) {
            d = tampering.apply(d);
            if (d == null) {
                return;
            }
        }
        int to = slot(send.address());
        byte[] bytes = encodes ? codec.encode(d) : null;
        from.sent++;
        from.sentBytes += encodes ? bytes.length : Sizes.of(d);
        if (to >= running.length) {
            return;
        }
        for (double delay : links.deliveryDelaysMs(from.slot, to)) {
            Datagram arrives = d;
            if (encodes) {
                try {
                    arrives = codec.decode(links.maybeCorrupt(from.slot, to, bytes));
                } catch (Codec.Refused e) {
                    continue;
                }
            }
            Datagram whole = arrives;
            at(nowMs + LEAST_LATENCY_MS + random.nextDouble() * MORE_LATENCY_MS + delay, () -> arrive(to, whole));
        }
    }

    private void arrive(int slot, Datagram d) {
        SimulatedProcess p = running[slot];
        if (p == null) {
            return;
        }
        if (!p.runs()) {
            if (p.unread.size() < SOCKET_BUFFER) {
                p.unread.add(d);
            }
            return;
        }
        p.membership.receive(nowMs, d);
        arm(p);
    }

    private void tell(SimulatedProcess p, Change change) {
        Saying s = change instanceof Change.OfMember c ? c.member() : null;
        String why = change instanceof Change.OfMember c ? c.why().name() : "";
        watch.told(new MembershipMonitor.ReportedChange(
                nowMs,
                p.number,
                p.slot,
                change.getClass().getSimpleName(),
                change.version(),
                s == null ? null : s.name(),
                s == null ? 0 : s.life(),
                s == null ? 0 : s.nonce(),
                s == null ? 0 : s.incarnation(),
                s == null ? "" : s.standing().name(),
                why));
    }

    private void wake(SimulatedProcess p) {
        if (!p.runs()) {
            return;
        }
        while (!p.unread.isEmpty()) {
            p.membership.receive(nowMs, p.unread.poll());
        }
        arm(p);
    }

    void apply(Fault fault) {
        if (fault instanceof Fault.Kill f) {
            each(f.slots(), this::gone);
        } else if (fault instanceof Fault.Freeze f) {
            each(f.slots(), p -> p.frozen = true);
        } else if (fault instanceof Fault.Thaw f) {
            each(f.slots(), p -> {
                if (p.frozen) {
                    p.frozen = false;
                    p.tickAtMs = Double.POSITIVE_INFINITY;
                    wake(p);
                }
            });
        } else if (fault instanceof Fault.Term f) {
            each(f.slots(), p -> {
                if (p.runs() && !p.leaving) {
                    p.leaving = true;
                    p.membership.leave(nowMs);
                    p.endsMs = nowMs + FAREWELL_MS;
                    arm(p);
                } else {
                    gone(p);
                }
            });
        } else if (fault instanceof Fault.Quiesce f) {
            each(f.slots(), p -> {
                p.membership.about(nowMs, p.membership.self().about().with(f.on() ? "quiesced" : "serving", null));
                arm(p);
            });
        } else if (fault instanceof Fault.Start f) {
            f.slots().forEach(slot -> start(slot, f.name(), f.clockMs(), f.format()));
        } else if (fault instanceof Fault.Starve f) {
            each(f.slots(), p -> stall(p, f.share()));
        } else {
            links.apply(fault);
        }
    }

    private void each(Set<Integer> slots, Consumer<SimulatedProcess> what) {
        for (int slot : slots) {
            if (running[slot] != null) {
                what.accept(running[slot]);
            }
        }
    }

    private void stall(SimulatedProcess p, double share) {
        if (share >= 1 || p.gone) {
            return;
        }
        p.stalled = true;
        at(nowMs + STARVED_CYCLE_MS * (1 - share), () -> {
            p.stalled = false;
            p.tickAtMs = Double.POSITIVE_INFINITY;
            wake(p);
            at(nowMs + STARVED_CYCLE_MS * share, () -> stall(p, share));
        });
    }

    /** Null where every component has settled on itself; else what is still missing. */
    String settled() {
        Set<Integer> up = new TreeSet<>();
        for (SimulatedProcess p : running) {
            if (p != null && !p.frozen && !p.leaving) {
                up.add(p.slot);
            }
        }
        for (Set<Integer> component : links.components(up)) {
            TreeMap<String, SimulatedProcess> byName = new TreeMap<>();
            for (int slot : component) {
                SimulatedProcess p = running[slot];
                byName.merge(p.name, p, (a, b) -> a.membership.self().compareTo(b.membership.self()) > 0 ? a : b);
            }
            String missing = settled(component, byName);
            if (missing != null) {
                return missing;
            }
        }
        return null;
    }

    private String settled(Set<Integer> component, TreeMap<String, SimulatedProcess> byName) {
        long digest = byName.firstEntry().getValue().membership.digest();
        for (int slot : component) {
            SimulatedProcess p = running[slot];
            if (p.membership.inDoubt(nowMs)) {
                return p.name + " is in doubt";
            }
            if (byName.get(p.name) != p) {
                continue;
            }
            if (p.membership.members() != byName.size() || p.membership.digest() != digest) {
                return p.name + " sees " + p.membership.members() + " of " + byName.size() + ", digest "
                        + Long.toHexString(p.membership.digest()) + " against " + Long.toHexString(digest)
                        + difference(p, byName);
            }
            // Not only by the digests' word, where that can be afforded.
            String different = encodes ? difference(p, byName) : "";
            if (!different.isEmpty()) {
                return p.name + " has the same digest" + different;
            }
        }
        return null;
    }

    private String difference(SimulatedProcess p, TreeMap<String, SimulatedProcess> byName) {
        StringBuilder text = new StringBuilder();
        for (View.Member m : p.membership.view(nowMs).members()) {
            SimulatedProcess other = byName.get(m.saying().name());
            Saying own = other == null ? null : other.membership.self();
            if (m.listed() != (own != null) || own != null && m.saying().compareTo(own) != 0) {
                text.append(", ")
                        .append(m.saying().name())
                        .append(' ')
                        .append(m.listed() ? "" : "out ")
                        .append(m.saying().standing())
                        .append(' ')
                        .append(m.saying().incarnation())
                        .append(" in truth ")
                        .append(own == null ? "gone" : String.valueOf(own.incarnation()));
            }
        }
        return text.length() > 400 ? text.substring(0, 400) : text.toString();
    }

    SimulatedProcess in(int slot) {
        return running[slot];
    }

    List<SimulatedProcess> processes() {
        return processes;
    }

    LinkFaults links() {
        return links;
    }
}
