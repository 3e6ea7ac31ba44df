package barleyspur.tier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps what is worth most for its place: how often its object is asked for now, or is likely to be soon by the days and
 * the time of day at which it came before. A part is let in only if it is worth more than what would have to go, so a
 * scan of objects wanted once passes by; of what is kept, a few at random are looked at and the least goes (as in
 * Redis' and Caffeine's sampling, and hyperbolic caching: Blankstein et al. 2017).
 */
public final class RecurrentKeeper implements Keeper {

    /** Kept parts looked at to find the least. */
    private static final int SAMPLE = 24;
    /** How far off a daily return counts: after so many minutes it is worth 1/e of one that is due. */
    private static final double AHEAD_MIN = 1_000;
    /** Requests that one return stands for, a minute: as many as an object asked for all the time gets in an hour. */
    private static final double RETURN_PER_MINUTE = 1 / 60.0;
    /** Between counting requests (1) and bytes (0). */
    private static final double SIZE_POWER = 0.6;

    private record Part(long object, int part) { }

    private static final class Held {
        final Part part;
        final int kb;
        int place;

        Held(Part part, int kb, int place) {
            this.part = part;
            this.kb = kb;
            this.place = place;
        }
    }

    private final long mostKb;
    private final History history;
    private final Map<Part, Held> held = new HashMap<>();
    /** The kept ones in no order, to draw from. */
    private final List<Held> places = new ArrayList<>();
    private long keptKb;
    private long draws;

    /**
     * @param mostKb  what it may keep, over 0
     * @param objects of how many objects it knows a history at most
     * @param seed    of its draws
     */
    public RecurrentKeeper(long mostKb, int objects, long seed) {
        this.mostKb = mostKb;
        this.history = new History(objects);
        this.draws = seed;
    }

    @Override
    public long keptKb() {
        return keptKb;
    }

    @Override
    public boolean asked(long object, int part, int kb, double nowMs) {
        history.asked(object, nowMs);
        return held.containsKey(new Part(object, part));
    }

    /** What a KB of it is worth. */
    private double worth(long object, int kb, double nowMs) {
        History.Known k = history.known(object, nowMs);
        double back = k.dailyShare() * RETURN_PER_MINUTE * Math.exp(-k.untilBinMin() / AHEAD_MIN);
        return (k.perMinute() + back) / Math.pow(kb, SIZE_POWER);
    }

    @Override
    public boolean offered(long object, int part, int kb, double nowMs, Dropped dropped) {
        Part offered = new Part(object, part);
        if (kb > mostKb || held.containsKey(offered)) {
            return false;
        }
        double worth = worth(object, kb, nowMs);
        List<Held> leaving = new ArrayList<>();
        long room = mostKb - keptKb;
        while (room < kb) {
            Held least = least(leaving, nowMs);
            if (least == null || worth(least.part.object(), least.kb, nowMs) >= worth) {
                return false;
            }
            leaving.add(least);
            room += least.kb;
        }
        for (Held h : leaving) {
            drop(h);
            dropped.part(h.part.object(), h.part.part());
        }
        Held h = new Held(offered, kb, places.size());
        held.put(offered, h);
        places.add(h);
        keptKb += kb;
        return true;
    }

    private Held least(List<Held> but, double nowMs) {
        Held least = null;
        double leastWorth = Double.POSITIVE_INFINITY;
        for (int i = 0; i < SAMPLE && !places.isEmpty(); i++) {
            draws += 0x9E3779B97F4A7C15L;
            Held h = places.get((int) Long.remainderUnsigned(History.mix(draws), places.size()));
            double worth = worth(h.part.object(), h.kb, nowMs);
            if (worth < leastWorth && !but.contains(h)) {
                least = h;
                leastWorth = worth;
            }
        }
        return least;
    }

    @Override
    public boolean removed(long object, int part) {
        Held h = held.get(new Part(object, part));
        if (h != null) {
            drop(h);
        }
        return h != null;
    }

    private void drop(Held h) {
        held.remove(h.part);
        Held last = places.remove(places.size() - 1);
        if (last != h) {
            places.set(h.place, last);
            last.place = h.place;
        }
        keptKb -= h.kb;
    }
}
