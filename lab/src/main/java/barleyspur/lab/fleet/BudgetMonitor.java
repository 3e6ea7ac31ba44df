package barleyspur.lab.fleet;

import barleyspur.budget.Terms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Joins what every process told of its shares, on the machine's one monotonic clock, and finds any instant at which all
 * together could use more than the whole. Also what a killed process held counts until it runs out.
 */
final class BudgetMonitor {

    /** A share as a process told it. */
    record Told(double atMs, int process, int slot, String budget, long amount, double untilMs) {}

    /** Two readings of a clock lie between what is told of a moment and what was meant. */
    private static final double TOLERANCE_MS = 1;

    private final Terms terms;
    private final List<Told> told = new ArrayList<>();
    /** Wholes that were lowered or raised, with the time from which less has to hold. */
    private final Map<String, TreeMap<Double, Long>> wholes = new HashMap<>();

    private int dividers;

    BudgetMonitor(Terms terms) {
        this.terms = terms;
    }

    synchronized void told(int process, int slot, String event, Map<String, String> keys, double startMs) {
        double atMs = Double.parseDouble(keys.get("mono")) - startMs;
        if (event.equals("share")) {
            told.add(new Told(
                    atMs,
                    process,
                    slot,
                    keys.get("budget"),
                    Long.parseLong(keys.get("amount")),
                    Double.parseDouble(keys.get("until")) - startMs));
        } else if (event.endsWith("divides")) {
            dividers++;
        }
    }

    /** From that time on no more than this is to be held. */
    synchronized void whole(String budget, double fromMs, long whole) {
        wholes.computeIfAbsent(budget, k -> new TreeMap<>()).put(fromMs, whole);
    }

    /** How often a process began to divide. */
    int dividers() {
        return dividers;
    }

    synchronized List<Told> all() {
        return List.copyOf(told);
    }

    private long whole(String subject, double atMs) {
        Terms.Budget b = terms.of(subject);
        Map.Entry<Double, Long> entry =
                wholes.getOrDefault(b.name(), new TreeMap<>()).floorEntry(atMs);
        return entry == null ? b.whole() : entry.getValue();
    }

    /** Instants over the whole: none, or they are told. */
    synchronized List<String> broken() {
        List<String> broken = new ArrayList<>();
        Map<String, Map<Integer, Told>> held = new HashMap<>();
        List<Told> inOrder = new ArrayList<>(told);
        inOrder.sort((a, b) -> Double.compare(a.atMs, b.atMs));
        for (Told t : inOrder) {
            Map<Integer, Told> of = held.computeIfAbsent(t.budget, k -> new TreeMap<>());
            of.put(t.process, t);
            of.values().removeIf(o -> o.untilMs <= t.atMs + TOLERANCE_MS);
            long sum = of.values().stream().mapToLong(Told::amount).sum();
            if (sum > whole(t.budget, t.atMs) && broken.size() < 20) {
                broken.add(String.format(
                        "never over the whole: at %.1f ms %s: %d of %d are held: %s",
                        t.atMs, t.budget, sum, whole(t.budget, t.atMs), of.values()));
            }
        }
        return broken;
    }

    /**
     * How much of the whole was held on average between two times, over the subjects of a budget that anybody was granted
     * something of in that time or within a lease before: routing may turn to other nodes. NaN where there was none.
     */
    synchronized double held(String budget, double fromMs, double toMs) {
        Map<String, Double> area = new HashMap<>();
        Map<String, Told> last = new HashMap<>();
        Set<String> asked = new HashSet<>();
        for (Told t : told) {
            if (terms.of(t.budget).name().equals(budget)) {
                if (t.atMs >= fromMs - terms.of(budget).leaseMs() && t.atMs < toMs) {
                    asked.add(t.budget);
                }
                Told before = last.put(t.budget + "/" + t.process, t);
                area.merge(t.budget, before == null ? 0 : area(before, t.atMs, fromMs, toMs), Double::sum);
            }
        }
        last.values().forEach(t -> area.merge(t.budget, area(t, t.untilMs, fromMs, toMs), Double::sum));
        area.keySet().retainAll(asked);
        return area.values().stream()
                .mapToDouble(a -> a / (toMs - fromMs) / terms.of(budget).whole())
                .average()
                .orElse(Double.NaN);
    }

    private static double area(Told t, double nextMs, double fromMs, double toMs) {
        double from = Math.max(fromMs, t.atMs);
        double to = Math.min(toMs, Math.min(nextMs, t.untilMs));
        return to > from ? (to - from) * t.amount : 0;
    }
}
