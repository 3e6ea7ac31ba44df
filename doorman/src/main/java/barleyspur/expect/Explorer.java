package barleyspur.expect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Says which scenarios to play: first those that files lay down, then every order of a few events in a small twin of
 * the fleet, shortest first, then ever longer random ones in the twin and in the whole fleet, until nobody asks.
 *
 * <p>Equal boxes are interchangeable, so of all orders that differ only by which of them an event strikes, one is
 * played: the one in which boxes of a sort come into play in the order of the list.
 */
final class Explorer {

    /**
     * One scenario to play.
     *
     * @param caseName of the case in the files, or empty
     */
    record Plan(Scenario scenario, String caseName, String loadName) {}

    private static final double FIRST_MS = 1_000;
    private static final double GAP_MS = 700;
    private static final double TOLD_MS = 300;
    private static final double LASTS_MS = 3_000;
    private static final int MOST_RANDOM = 16;
    /** How often each case is played at each load. */
    static final int VARIANTS = 3;

    private record Symbol(Fault.Kind kind, Box box, String sort) {}

    private final Site whole;
    private final Site twin;
    private final List<Load> loads;
    private final List<Case> cases;
    private final long seed;
    private final int depth;
    private final boolean free;
    private final UniformRandomProvider random;
    private final List<Symbol> symbols = new ArrayList<>();
    private final Map<String, List<Box>> sorts = new HashMap<>();
    private int caseAt;
    private int loadAt;
    private int[] word = new int[0];
    private boolean exhausted;
    private int length;
    private long drawn;
    private long skipped;
    private long played;

    /**
     * @param depth how long orders of events are that are all played
     * @param free  whether anything but the cases is played
     */
    Explorer(Site site, List<Load> loads, List<Case> cases, long seed, int depth, boolean free) {
        this.whole = site;
        this.twin = site.twin();
        this.loads = loads;
        this.cases = cases;
        this.seed = seed;
        this.depth = depth;
        this.free = free;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        for (Box b : twin.boxes()) {
            String sort = twin.role(b) + "/" + b.zone() + "/" + b.kind() + "/" + b.size();
            sorts.computeIfAbsent(sort, k -> new ArrayList<>()).add(b);
            for (Fault.Kind kind : Fault.Kind.values()) {
                if (strikes(kind, twin.role(b))) {
                    symbols.add(new Symbol(kind, b, sort));
                }
            }
        }
        for (int zone : new HashSet<>(twin.doormanZones())) {
            twin.boxes().stream()
                    .filter(b -> b.zone() == zone)
                    .findFirst()
                    .ifPresent(b -> symbols.add(new Symbol(Fault.Kind.LINK, b, "link")));
        }
        symbols.add(new Symbol(Fault.Kind.STALE, null, ""));
        symbols.add(new Symbol(Fault.Kind.PURGE, null, ""));
    }

    private static boolean strikes(Fault.Kind kind, Site.Role role) {
        return switch (kind) {
            case LINK, STALE, PURGE -> false;
            case HANG, SLOW, FULL, FAIL -> true;
            default -> role != Site.Role.HEAD_OFFICE;
        };
    }

    /** What the exhaustive part has covered so far, in words. */
    String covered() {
        return played + " orders of up to " + (exhausted ? depth : Math.max(1, length)) + " of " + symbols.size()
                + " events in " + twin.name() + " (" + twin.boxes().size() + " boxes, "
                + twin.settings().size()
                + " doormans), " + skipped + " left out as equal or without effect"
                + (exhausted ? ": all there are" : ": not all");
    }

    /** The next scenario; null where there are none left. */
    Plan next() {
        if (caseAt < cases.size() * VARIANTS * loads.size()) {
            Case c = cases.get(caseAt / loads.size() / VARIANTS);
            long variant = seed + caseAt / loads.size() % VARIANTS;
            Load load = loads.get(caseAt % loads.size());
            caseAt++;
            return plan(whole, load, c.faults(whole, variant), variant, c.name());
        }
        if (!free) {
            return null;
        }
        if (loadAt > 0 && !exhausted) {
            return order();
        }
        while (!exhausted) {
            if (!advance()) {
                exhausted = true;
                break;
            }
            if (canonical()) {
                played++;
                return order();
            }
            skipped++;
        }
        drawn++;
        Site site = drawn % 8 == 0 ? whole : twin;
        Load load = loads.get((int) (drawn % loads.size()));
        return plan(site, load, randomFaults(site, load), seed + drawn, "");
    }

    /** The order at hand, at one load after another. */
    private Plan order() {
        Load load = loads.get(loadAt);
        loadAt = (loadAt + 1) % loads.size();
        return plan(twin, load, faults(), seed, "");
    }

    private static Plan plan(Site site, Load load, List<Fault> faults, long variant, String caseName) {
        return new Plan(
                Scenario.of(site, variant, load.retries(), load.marked(), faults, load.asks(site, variant)),
                caseName,
                load.name());
    }

    // ---- orders ----------------------------------------------------------------------------------------

    /** The next word over the symbols, shortest first; the first one is empty: nothing happens. */
    private boolean advance() {
        if (played + skipped == 0) {
            return true;
        }
        for (int i = word.length - 1; i >= 0; i--) {
            if (++word[i] < symbols.size()) {
                return true;
            }
            word[i] = 0;
        }
        length = word.length + 1;
        word = new int[length];
        return length <= depth;
    }

    private boolean canonical() {
        Map<String, Integer> used = new HashMap<>();
        Set<Box> gone = new HashSet<>();
        Set<Box> away = new HashSet<>();
        for (int at : word) {
            Symbol s = symbols.get(at);
            if (s.box() == null || s.kind() == Fault.Kind.LINK) {
                continue;
            }
            int place = sorts.get(s.sort()).indexOf(s.box());
            int next = used.getOrDefault(s.sort(), 0);
            boolean effect = !gone.contains(s.box())
                    && (s.kind() != Fault.Kind.RETURN || away.contains(s.box()))
                    && (s.kind() != Fault.Kind.DRAIN || !away.contains(s.box()));
            if (place > next || !effect) {
                return false;
            }
            used.put(s.sort(), Math.max(next, place + 1));
            if (s.kind() == Fault.Kind.GONE || s.kind() == Fault.Kind.REPLACE) {
                gone.add(s.box());
            } else if (s.kind() == Fault.Kind.DRAIN || s.kind() == Fault.Kind.MISSING) {
                away.add(s.box());
            } else if (s.kind() == Fault.Kind.RETURN) {
                away.remove(s.box());
            }
        }
        return true;
    }

    private List<Fault> faults() {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < word.length; i++) {
            Symbol s = symbols.get(word[i]);
            faults.add(fault(s.kind(), s.box(), FIRST_MS + i * GAP_MS, TOLD_MS, LASTS_MS, 1));
        }
        return faults;
    }

    private Fault fault(Fault.Kind kind, Box box, double at, double told, double lasts, long object) {
        double size = kind == Fault.Kind.PURGE ? object : kind.usualSize();
        return new Fault(kind, box == null ? -1 : box.node(), at, told, lasts, size);
    }

    // ---- random ones -----------------------------------------------------------------------------------

    /**
     * The events of some kinds only, other ones each time: long orders of few kinds bring about what a mixture of all
     * hardly ever does (swarm testing: Groce et al. 2012).
     */
    private List<Symbol> swarm() {
        Set<Fault.Kind> kinds = new HashSet<>();
        for (Fault.Kind kind : Fault.Kind.values()) {
            if (random.nextInt(3) == 0) {
                kinds.add(kind);
            }
        }
        List<Symbol> some =
                symbols.stream().filter(s -> kinds.contains(s.kind())).toList();
        return some.isEmpty() ? symbols : some;
    }

    private List<Fault> randomFaults(Site site, Load load) {
        List<Fault> faults = new ArrayList<>();
        int n = 1 + random.nextInt((int) Math.min(MOST_RANDOM, 3 + drawn / 8));
        List<Symbol> some = swarm();
        for (int i = 0; i < n; i++) {
            Symbol s = some.get(random.nextInt(some.size()));
            Box box = s.box();
            if (box != null && site != twin) {
                List<Box> same = site.boxes().stream()
                        .filter(b -> site.role(b) == twin.role(s.box()))
                        .toList();
                box = same.get(random.nextInt(same.size()));
            }
            faults.add(fault(
                    s.kind(),
                    box,
                    random.nextDouble() * load.lengthMs() * 0.8,
                    100 + random.nextDouble() * random.nextDouble() * 4_700,
                    500 + random.nextDouble() * 7_500,
                    1 + random.nextInt(Math.max(1, load.hot()))));
        }
        faults.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
        return faults;
    }
}
