package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** What passes on the way from one slot to another, decided apart from sockets so that both players of a schedule share it. */
final class Links {

    private final SplittableRandom random;
    private final int slots;
    private final boolean[][] cut;
    private int[] group;
    private final Map<Long, Fault.Noise> noise = new HashMap<>();

    Links(int slots, long seed) {
        this.slots = slots;
        this.random = new SplittableRandom(seed);
        this.cut = new boolean[slots][];
        this.group = new int[slots];
    }

    private static long way(int from, int to) {
        return (long) from << 32 | to;
    }

    void apply(Fault fault) {
        if (fault instanceof Fault.Cut c) {
            for (int f : c.from()) {
                for (int t : c.to()) {
                    if (cut[f] == null) {
                        cut[f] = new boolean[slots];
                    }
                    cut[f][t] = !c.mended() && f != t;
                }
            }
        } else if (fault instanceof Fault.Split s) {
            for (int i = 0; i < slots; i++) {
                group[i] = -1 - i;
            }
            for (int g = 0; g < s.groups().size(); g++) {
                for (int slot : s.groups().get(g)) {
                    group[slot] = g;
                }
            }
        } else if (fault instanceof Fault.Heal) {
            java.util.Arrays.fill(cut, null);
            group = new int[slots];
        } else if (fault instanceof Fault.Weather w) {
            for (int f : w.from()) {
                for (int t : w.to()) {
                    noise.put(way(f, t), w.noise());
                }
            }
        }
    }

    boolean open(int from, int to) {
        return group[from] == group[to] && (cut[from] == null || !cut[from][to]);
    }

    /** Connected components of the slots in {@code up}, by ways that are open in both directions. */
    List<Set<Integer>> components(Set<Integer> up) {
        List<Set<Integer>> components = new ArrayList<>();
        Set<Integer> left = new java.util.TreeSet<>(up);
        while (!left.isEmpty()) {
            Set<Integer> component = new java.util.TreeSet<>();
            List<Integer> border = new ArrayList<>(List.of(left.iterator().next()));
            left.remove(border.get(0));
            while (!border.isEmpty()) {
                int a = border.remove(border.size() - 1);
                component.add(a);
                for (int b : List.copyOf(left)) {
                    if (open(a, b) && open(b, a)) {
                        left.remove(b);
                        border.add(b);
                    }
                }
            }
            components.add(component);
        }
        return components;
    }

    /** The delays after which copies of one datagram arrive, in ms: none, one or two. */
    double[] pass(int from, int to) {
        if (!open(from, to)) {
            return new double[0];
        }
        Fault.Noise n = noise.isEmpty() ? null : noise.get(way(from, to));
        if (n == null) {
            return new double[] {0};
        }
        if (random.nextDouble() < n.loss()) {
            return new double[0];
        }
        boolean twice = random.nextDouble() < n.twice();
        double first = random.nextDouble() * n.delayMs();
        return twice ? new double[] {first, random.nextDouble() * (n.delayMs() + 1)} : new double[] {first};
    }

    /** Changes some bytes, if the way does so to this datagram. */
    byte[] spoilt(int from, int to, byte[] bytes) {
        Fault.Noise n = noise.isEmpty() ? null : noise.get(way(from, to));
        if (n == null || random.nextDouble() >= n.garbage()) {
            return bytes;
        }
        byte[] spoilt = bytes.clone();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            spoilt[random.nextInt(spoilt.length)] ^= (byte) random.nextInt(1, 256);
        }
        return random.nextBoolean() ? spoilt : java.util.Arrays.copyOf(spoilt, random.nextInt(spoilt.length));
    }
}
