package barleyspur.tier;

/**
 * Hash table of the kept parts and their sizes, with 16 bytes per slot. It doubles when it is three quarters full, so a
 * million parts take 21 to 43 MB. Open addressing with linear probing and no tombstones.
 */
final class PartTable {

    private static final int FIRST_SLOTS = 64;

    private long[] objects = new long[FIRST_SLOTS];
    private int[] parts = new int[FIRST_SLOTS];
    /** In KB; 0 for a free slot. */
    private int[] sizes = new int[FIRST_SLOTS];

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

    int kb(int slot) {
        return sizes[slot];
    }

    private int home(long object, int part) {
        return (int) History.mix(object * 31 + part) & objects.length - 1;
    }

    /** Returns the slot of a part, or the free slot to insert it at. */
    private int slot(long object, int part) {
        int at = home(object, part);
        while (sizes[at] != 0 && (objects[at] != object || parts[at] != part)) {
            at = at + 1 & objects.length - 1;
        }
        return at;
    }

    boolean holds(long object, int part) {
        return sizes[slot(object, part)] != 0;
    }

    /** Inserts a part that is not in the table; {@code kb} is at least 1. */
    void put(long object, int part, int kb) {
        if (count * 4 >= objects.length * 3) {
            grow();
        }
        int at = slot(object, part);
        objects[at] = object;
        parts[at] = part;
        sizes[at] = kb;
        count++;
    }

    private void grow() {
        long[] oldObjects = objects;
        int[] oldParts = parts;
        int[] oldSizes = sizes;
        objects = new long[oldObjects.length * 2];
        parts = new int[objects.length];
        sizes = new int[objects.length];
        count = 0;
        for (int i = 0; i < oldSizes.length; i++) {
            if (oldSizes[i] != 0) {
                put(oldObjects[i], oldParts[i], oldSizes[i]);
            }
        }
    }

    /** Removes a part; returns its size, or 0 if it was not in the table. */
    int remove(long object, int part) {
        int gap = slot(object, part);
        int kb = sizes[gap];
        if (kb == 0) {
            return 0;
        }
        int mask = objects.length - 1;
        for (int at = gap + 1 & mask; sizes[at] != 0; at = at + 1 & mask) {
            if ((at - home(objects[at], parts[at]) & mask) >= (at - gap & mask)) {
                objects[gap] = objects[at];
                parts[gap] = parts[at];
                sizes[gap] = sizes[at];
                gap = at;
            }
        }
        sizes[gap] = 0;
        count--;
        return kb;
    }

    /**
     * Samples a used slot: the first one at or after a random position. Slots behind a run of free ones are sampled
     * more often, which evens out as the table changes. The table must not be empty.
     */
    int draw(long random) {
        int at = (int) random & objects.length - 1;
        while (sizes[at] == 0) {
            at = at + 1 & objects.length - 1;
        }
        return at;
    }
}
