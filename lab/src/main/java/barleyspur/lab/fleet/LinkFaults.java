package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * State of the links between the slots: cuts, partitions and noise. It decides what becomes of a datagram without any
 * socket, so that runs in virtual time and on real processes share it.
 */
final class LinkFaults {

    private final SplittableRandom random;
    private final int slotCount;
    private final boolean[][] cutLinks;
    private int[] partitionBySlot;
    private final Map<Long, Fault.Noise> noiseByLink = new HashMap<>();

    /** Creates links between all slots without any faults. */
    LinkFaults(int slotCount, long seed) {
        this.slotCount = slotCount;
        this.random = new SplittableRandom(seed);
        this.cutLinks = new boolean[slotCount][];
        this.partitionBySlot = new int[slotCount];
    }

    private static long linkKey(int from, int to) {
        return (long) from << 32 | to;
    }

    /** Applies a fault of the links; other faults are ignored. */
    void apply(Fault fault) {
        if (fault instanceof Fault.Cut cutFault) {
            for (int from : cutFault.from()) {
                for (int to : cutFault.to()) {
                    if (cutLinks[from] == null) {
                        cutLinks[from] = new boolean[slotCount];
                    }
                    cutLinks[from][to] = !cutFault.mended() && from != to;
                }
            }
        } else if (fault instanceof Fault.Split splitFault) {
            for (int i = 0; i < slotCount; i++) {
                partitionBySlot[i] = -1 - i;
            }
            for (int partition = 0; partition < splitFault.groups().size(); partition++) {
                for (int slot : splitFault.groups().get(partition)) {
                    partitionBySlot[slot] = partition;
                }
            }
        } else if (fault instanceof Fault.Heal) {
            java.util.Arrays.fill(cutLinks, null);
            partitionBySlot = new int[slotCount];
        } else if (fault instanceof Fault.Weather noiseFault) {
            for (int from : noiseFault.from()) {
                for (int to : noiseFault.to()) {
                    noiseByLink.put(linkKey(from, to), noiseFault.noise());
                }
            }
        }
    }

    /** Returns whether datagrams pass from one slot to another. */
    boolean isOpen(int from, int to) {
        return partitionBySlot[from] == partitionBySlot[to] && (cutLinks[from] == null || !cutLinks[from][to]);
    }

    /** Returns the connected components of the given slots, by links that are open in both directions. */
    List<Set<Integer>> connectedComponents(Set<Integer> upSlots) {
        List<Set<Integer>> components = new ArrayList<>();
        Set<Integer> unvisited = new java.util.TreeSet<>(upSlots);
        while (!unvisited.isEmpty()) {
            Set<Integer> component = new java.util.TreeSet<>();
            List<Integer> frontier =
                    new ArrayList<>(List.of(unvisited.iterator().next()));
            unvisited.remove(frontier.get(0));
            while (!frontier.isEmpty()) {
                int slot = frontier.remove(frontier.size() - 1);
                component.add(slot);
                for (int neighbour : List.copyOf(unvisited)) {
                    if (isOpen(slot, neighbour) && isOpen(neighbour, slot)) {
                        unvisited.remove(neighbour);
                        frontier.add(neighbour);
                    }
                }
            }
            components.add(component);
        }
        return components;
    }

    /** Returns the delay in ms of each copy of a datagram that arrives: none, one or two. */
    double[] deliveryDelaysMs(int from, int to) {
        if (!isOpen(from, to)) {
            return new double[0];
        }
        Fault.Noise linkNoise = noiseByLink.isEmpty() ? null : noiseByLink.get(linkKey(from, to));
        if (linkNoise == null) {
            return new double[] {0};
        }
        if (random.nextDouble() < linkNoise.loss()) {
            return new double[0];
        }
        boolean duplicated = random.nextDouble() < linkNoise.twice();
        double delayMs = random.nextDouble() * linkNoise.delayMs();
        return duplicated
                ? new double[] {delayMs, random.nextDouble() * (linkNoise.delayMs() + 1)}
                : new double[] {delayMs};
    }

    /** Returns the datagram, or by the noise of the link a copy with changed bytes that may be truncated. */
    byte[] maybeCorrupt(int from, int to, byte[] bytes) {
        Fault.Noise linkNoise = noiseByLink.isEmpty() ? null : noiseByLink.get(linkKey(from, to));
        if (linkNoise == null || random.nextDouble() >= linkNoise.garbage()) {
            return bytes;
        }
        byte[] corrupted = bytes.clone();
        for (int i = random.nextInt(1, 4); i > 0; i--) {
            corrupted[random.nextInt(corrupted.length)] ^= (byte) random.nextInt(1, 256);
        }
        return random.nextBoolean() ? corrupted : java.util.Arrays.copyOf(corrupted, random.nextInt(corrupted.length));
    }
}
