package barleyspur.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * News to pass on, one a member. What was told least often goes first, and of those the newest, so that a burst of
 * news doesn't keep a new one waiting; each is told a few times the logarithm of the fleet (SWIM section 4.1).
 */
final class NewsQueue {

    private static final int TIMES = 4;

    private static final class Item {
        final Saying saying;
        final long order;
        int told;

        Item(Saying saying, long order) {
            this.saying = saying;
            this.order = order;
        }
    }

    private final Map<String, Item> byName = new HashMap<>();
    private final TreeSet<Item> items = new TreeSet<>(Comparator.<Item>comparingInt(i -> i.told)
            .thenComparing(Comparator.<Item>comparingLong(i -> i.order).reversed()));
    private long order;

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** What is said of a member now: replaces what was to be told of it. */
    void add(Saying saying) {
        Item item = new Item(saying, order++);
        Item before = byName.put(saying.name(), item);
        if (before != null) {
            items.remove(before);
        }
        items.add(item);
    }

    void clear() {
        byName.clear();
        items.clear();
    }

    /** Adds to {@code into} what fits in {@code bytes}, and counts it as told once more in a fleet of that size. */
    void take(List<Saying> into, int bytes, int members) {
        int most = TIMES * Math.max(1, (int) Math.ceil(Math.log10(members + 1.0)));
        int left = bytes;
        List<Item> taken = new ArrayList<>();
        for (Item item : items) {
            int size = Sizes.of(item.saying);
            if (size > left) {
                break;
            }
            left -= size;
            taken.add(item);
        }
        for (Item item : taken) {
            if (!contains(into, item.saying.name())) {
                into.add(item.saying);
            }
            items.remove(item);
            if (++item.told < most) {
                items.add(item);
            } else {
                byName.remove(item.saying.name());
            }
        }
    }

    private static boolean contains(List<Saying> sayings, String name) {
        for (Saying s : sayings) {
            if (s.name().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
