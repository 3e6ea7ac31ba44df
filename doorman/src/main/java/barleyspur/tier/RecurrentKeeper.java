package barleyspur.tier;

import java.util.ArrayList;
import java.util.List;

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

    private record Leaving(long object, int part, int kb) {}

    private final long mostKb;
    private final History history;
    private final PartTable held = new PartTable();
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
        return held.holds(object, part);
    }

    /** What a KB of it is worth. */
    private double worth(long object, int kb, double nowMs) {
        History.Known k = history.known(object, nowMs);
        double back = k.dailyShare() * RETURN_PER_MINUTE * Math.exp(-k.untilBinMin() / AHEAD_MIN);
        return (k.perMinute() + back) / Math.pow(kb, SIZE_POWER);
    }

    @Override
    public boolean offered(long object, int part, int kb, double nowMs, Dropped dropped) {
        if (kb > mostKb || held.holds(object, part)) {
            return false;
        }
        double worth = worth(object, kb, nowMs);
        List<Leaving> leaving = new ArrayList<>();
        long room = mostKb - keptKb;
        while (room < kb) {
            Leaving least = least(leaving, nowMs);
            if (least == null || worth(least.object(), least.kb(), nowMs) >= worth) {
                return false;
            }
            leaving.add(least);
            room += least.kb();
        }
        for (Leaving l : leaving) {
            removed(l.object(), l.part());
            dropped.part(l.object(), l.part());
        }
        held.put(object, part, kb);
        keptKb += kb;
        return true;
    }

    private Leaving least(List<Leaving> but, double nowMs) {
        Leaving least = null;
        double leastWorth = Double.POSITIVE_INFINITY;
        for (int i = 0; i < SAMPLE && held.count() > 0; i++) {
            draws += 0x9E3779B97F4A7C15L;
            int slot = held.draw(History.mix(draws));
            double worth = worth(held.object(slot), held.kb(slot), nowMs);
            if (worth < leastWorth) {
                Leaving drawn = new Leaving(held.object(slot), held.part(slot), held.kb(slot));
                if (!but.contains(drawn)) {
                    least = drawn;
                    leastWorth = worth;
                }
            }
        }
        return least;
    }

    @Override
    public boolean removed(long object, int part) {
        int kb = held.remove(object, part);
        keptKb -= kb;
        return kb > 0;
    }
}
