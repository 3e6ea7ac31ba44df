package barleyspur.tier;

/**
 * The kept parts and their sizes, in 16 bytes a slot; the table doubles when it is three quarters full, so a million
 * parts take 21 to 43 MB. Open addressing by linear probing, without marks of what was removed.
 */
final class PartTable {

    private static final int FIRST_SLOTS = 64;

    private long[] objects = new long[FIRST_SLOTS];
    private int[] parts = new int[FIRST_SLOTS];
    /** KB; 0 where a slot is free. */
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

    /** The slot of a part, or the free one where it would go. */
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

    /** Takes a part in that it doesn't hold; {@code kb} is at least 1. */
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

    /** Removes a part and says how large it was; 0 where it wasn't there. */
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
     * A slot in use, drawn by a random number: the first one from a random place on. Those behind a run of free slots
     * are drawn more often, which evens out as the table changes. There must be one.
     */
    int draw(long random) {
        int at = (int) random & objects.length - 1;
        while (sizes[at] == 0) {
            at = at + 1 & objects.length - 1;
        }
        return at;
    }
}
