package barleyspur.tier;

/**
 * Hash table of the kept parts and their sizes, with 16 bytes per slot. It doubles when it is three quarters full, so a
 * million parts take 21 to 43 MB. Open addressing with linear probing and no tombstones.
 */
final class PartTable {

    private static final int INITIAL_SLOTS = 64;

    private long[] objects = new long[INITIAL_SLOTS];
    private int[] parts = new int[INITIAL_SLOTS];
    /** In KB; 0 for a free slot. */
    private int[] sizesKb = new int[INITIAL_SLOTS];

    private int count;

    int count() {
        return count;
    }

    long object(int slot) {
        return objects[slot];
    }

    int part(int slot) {
        return parts[slot];
    }

    int sizeKb(int slot) {
        return sizesKb[slot];
    }

    private int homeSlot(long object, int part) {
        return (int) RequestHistory.mix(object * 31 + part) & objects.length - 1;
    }

    /** Returns the slot of a part, or the free slot to insert it at. */
    private int findSlot(long object, int part) {
        int slot = homeSlot(object, part);
        while (sizesKb[slot] != 0 && (objects[slot] != object || parts[slot] != part)) {
            slot = slot + 1 & objects.length - 1;
        }
        return slot;
    }

    boolean contains(long object, int part) {
        return sizesKb[findSlot(object, part)] != 0;
    }

    /** Inserts a part that is not in the table; {@code kb} is at least 1. */
    void put(long object, int part, int kb) {
        if (count * 4 >= objects.length * 3) {
            grow();
        }
        int slot = findSlot(object, part);
        objects[slot] = object;
        parts[slot] = part;
        sizesKb[slot] = kb;
        count++;
    }

    private void grow() {
        long[] oldObjects = objects;
        int[] oldParts = parts;
        int[] oldSizesKb = sizesKb;
        objects = new long[oldObjects.length * 2];
        parts = new int[objects.length];
        sizesKb = new int[objects.length];
        count = 0;
        for (int i = 0; i < oldSizesKb.length; i++) {
            if (oldSizesKb[i] != 0) {
                put(oldObjects[i], oldParts[i], oldSizesKb[i]);
            }
        }
    }

    /** Removes a part; returns its size, or 0 if it was not in the table. */
    int remove(long object, int part) {
        int gap = findSlot(object, part);
        int kb = sizesKb[gap];
        if (kb == 0) {
            return 0;
        }
        int mask = objects.length - 1;
        for (int slot = gap + 1 & mask; sizesKb[slot] != 0; slot = slot + 1 & mask) {
            if ((slot - homeSlot(objects[slot], parts[slot]) & mask) >= (slot - gap & mask)) {
                objects[gap] = objects[slot];
                parts[gap] = parts[slot];
                sizesKb[gap] = sizesKb[slot];
                gap = slot;
            }
        }
        sizesKb[gap] = 0;
        count--;
        return kb;
    }

    /**
     * Samples a used slot: the first one at or after a random position. Slots behind a run of free ones are sampled
     * more often, which evens out as the table changes. The table must not be empty.
     */
    int sampleSlot(long random) {
        int slot = (int) random & objects.length - 1;
        while (sizesKb[slot] == 0) {
            slot = slot + 1 & objects.length - 1;
        }
        return slot;
    }
}
