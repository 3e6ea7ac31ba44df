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
final class Prober {

    private static final int HELPERS = 3;
    private static final int MOST_AT_ONCE = 8;
    /** Without a word from anybody for so long, this process is likely to be the one that is cut off, or left. */
    private static final double SILENT_PERIODS = 2;
    /** Pings for others that are kept in mind, against a flood of them. */
    private static final int MOST_FAVOURS = 1_000;

    private static final class Probe {
        final Entry target;
        final Saying asked;
        final long number;
        double helpMs;
        double endMs;
        boolean helped;
        boolean waited;
        int nacksWanted;

        Probe(Entry target, long number) {
            this.target = target;
            this.asked = target.saying;
            this.number = number;
        }
    }

    /** A ping for somebody else: whom to tell, and until when. */
    private record Favour(String address, long number, String target, double untilMs) {}

    private final Wording wording;
    private final Consumer<Entry> silent;
    private final Map<Long, Probe> running = new HashMap<>();
    private final Map<Long, Favour> favours = new HashMap<>();
    private final ArrayDeque<Entry> soon = new ArrayDeque<>();
    private double nextMs;
    private int width = 1;
    private boolean failed;

    Prober(Wording wording, Consumer<Entry> silent) {
        this.wording = wording;
        this.silent = silent;
    }

    void start() {
        nextMs = wording.now + wording.random.nextDouble() * wording.times.periodMs();
    }

    /** Forgets what runs: after a standstill no answer is late by the other's fault. */
    void reset() {
        running.clear();
        favours.clear();
        soon.clear();
        width = 1;
        start();
    }

    /** Probes it before others. */
    void soon(Entry e) {
        if (!soon.contains(e)) {
            soon.add(e);
        }
    }

    double dueMs() {
        double due = nextMs;
        for (Probe p : running.values()) {
            due = Math.min(due, p.helped ? p.endMs : p.helpMs);
        }
        for (Favour f : favours.values()) {
            due = Math.min(due, f.untilMs);
        }
        return due;
    }

    /** Does what is due; {@code lateMs} is how late this look at the time is, by this process's own fault. */
    void tick(double lateMs) {
        for (Probe p : new ArrayList<>(running.values())) {
            if (!p.helped && wording.now >= p.helpMs) {
                help(p);
            } else if (p.helped && wording.now >= p.endMs) {
                end(p, lateMs);
            }
        }
        for (Iterator<Map.Entry<Long, Favour>> it = favours.entrySet().iterator(); it.hasNext(); ) {
            Favour f = it.next().getValue();
            if (wording.now >= f.untilMs) {
                it.remove();
                wording.send(f.address, new Message.Nack(f.number), List.of());
            }
        }
        if (wording.now >= nextMs) {
            if (wording.now - wording.heardMs > SILENT_PERIODS * wording.times.periodMs()) {
                width = MOST_AT_ONCE;
            }
            width = failed ? Math.min(MOST_AT_ONCE, 2 * width) : Math.max(1, width / 2);
            failed = false;
            nextMs = Math.max(nextMs + wording.times.periodMs(), wording.now);
            for (int i = 0; i < width; i++) {
                begin();
            }
        }
    }

    private void begin() {
        Entry target = soon.isEmpty() ? wording.roster.toProbe() : soon.poll();
        if (target == null || !target.listed || isProbed(target)) {
            return;
        }
        Probe p = new Probe(target, wording.nextNumber());
        p.helpMs = wording.now + wording.stretched(wording.times.directMs());
        p.endMs = wording.now + wording.stretched(wording.times.periodMs());
        running.put(p.number, p);
        wording.send(target, new Message.Ping(p.number, target.name));
    }

    private boolean isProbed(Entry e) {
        for (Probe p : running.values()) {
            if (p.target == e) {
                return true;
            }
        }
        return false;
    }

    private void help(Probe p) {
        p.helped = true;
        if (!p.target.listed) {
            running.remove(p.number);
            return;
        }
        wording.send(p.target, new Message.Ping(p.number, p.target.name));
        for (Entry helper : wording.roster.some(HELPERS, p.target)) {
            if (helper.saying.standing() == Standing.ALIVE) {
                p.nacksWanted++;
                wording.send(
                        helper,
                        new Message.PingFor(
                                p.number, p.target.name, p.target.saying.about().address()));
            }
        }
    }

    private void end(Probe p, double lateMs) {
        if (lateMs > wording.times.roundMs() && !p.waited) {
            // Whoever looks late may find the answer among what it has not read yet.
            p.waited = true;
            p.endMs = wording.now + wording.times.roundMs();
            wording.doubt(1);
            return;
        }
        running.remove(p.number);
        wording.doubt(p.nacksWanted > 0 ? 1 : 0);
        if (p.target.listed && p.target.saying.sameLife(p.asked)) {
            failed = true;
            silent.accept(p.target);
        }
    }

    void onPing(Saying sender, Message.Ping ping) {
        if (ping.to().isEmpty() || ping.to().equals(wording.self.name())) {
            answer(sender, new Message.Ack(ping.number(), wording.self.name()));
        }
    }

    /** Answers at the address that the sender tells, with what is said of it here if it is not held alive. */
    void answer(Saying sender, Message message) {
        Entry e = wording.roster.get(sender.name());
        boolean known = e != null && e.saying.compareTo(sender) > 0;
        wording.send(sender.about().address(), message, known ? List.of(e.saying) : List.of());
    }

    void onPingFor(Saying sender, Message.PingFor asked) {
        if (favours.size() < MOST_FAVOURS) {
            long number = wording.nextNumber();
            favours.put(
                    number,
                    new Favour(
                            sender.about().address(),
                            asked.number(),
                            asked.target(),
                            wording.now + wording.times.directMs()));
            wording.send(
                    asked.address(),
                    new Message.Ping(number, asked.target()),
                    Wording.against(wording.roster.get(asked.target())));
        }
    }

    void onAck(Message.Ack ack) {
        Probe p = running.get(ack.number());
        if (p != null && p.target.name.equals(ack.of())) {
            running.remove(p.number);
            wording.doubt(-1);
            return;
        }
        Favour f = favours.get(ack.number());
        if (f != null && f.target.equals(ack.of())) {
            favours.remove(ack.number());
            wording.send(f.address, new Message.Ack(f.number, f.target), List.of());
        }
    }

    void onNack(Message.Nack nack) {
        Probe p = running.get(nack.number());
        if (p != null) {
            p.nacksWanted--;
        }
    }
}
