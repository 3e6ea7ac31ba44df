package barleyspur.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * The others by name, those in the view also in a random order that probes go round (SWIM section 4.3: within two
 * rounds everybody is probed), and the view's digest: each bucket is the exclusive or of its members' hashes, so that
 * a change costs two operations whatever the size.
 */
final class Roster {

    static final int BUCKETS = 64;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final SplittableRandom random;
    private final Map<String, Entry> known = new HashMap<>();
    private final List<Entry> listed = new ArrayList<>();
    private final long[] buckets = new long[BUCKETS];
    private long digest;
    private long selfHash;
    private int next;

    Roster(SplittableRandom random) {
        this.random = random;
    }

    static long hash(String name) {
        return HASH.hashChars(name);
    }

    private static long hash(long nameHash, Saying s) {
        long h = HASH.hashLong(nameHash ^ s.life());
        h = HASH.hashLong(h ^ s.nonce());
        return HASH.hashLong(
                h ^ (s.incarnation() * Standing.values().length + s.standing().ordinal()));
    }

    private static int bucket(long nameHash) {
        return (int) (nameHash & BUCKETS - 1);
    }

    private void turn(long nameHash, long change) {
        buckets[bucket(nameHash)] ^= change;
        digest ^= change;
    }

    /** Takes what this process says of itself into the digest; null: it is no member. */
    void self(String name, Saying saying) {
        long nameHash = hash(name);
        long now = saying == null || !saying.standing().listed() ? 0 : hash(nameHash, saying);
        turn(nameHash, selfHash ^ now);
        selfHash = now;
    }

    Entry get(String name) {
        return known.get(name);
    }

    Iterable<Entry> known() {
        return known.values();
    }

    /** Those in the view. */
    List<Entry> listed() {
        return listed;
    }

    int remembered() {
        return known.size() - listed.size();
    }

    Entry add(Saying saying) {
        Entry e = new Entry(saying.name(), hash(saying.name()), saying);
        known.put(saying.name(), e);
        return e;
    }

    void forget(Entry e) {
        list(e, false);
        known.remove(e.name);
    }

    /** Puts an entry into the view or takes it out, and keeps the digest in step with what is said of it. */
    void list(Entry e, boolean in) {
        long now = in ? hash(e.nameHash, e.saying) : 0;
        turn(e.nameHash, e.hash ^ now);
        e.hash = now;
        if (in && !e.listed) {
            // At a random place, so that newcomers are not all probed in the order in which they came.
            int place = random.nextInt(listed.size() + 1);
            e.place = listed.size();
            listed.add(e);
            swap(place, e.place);
        } else if (!in && e.listed) {
            swap(e.place, listed.size() - 1);
            listed.remove(listed.size() - 1);
        }
        e.listed = in;
    }

    private void swap(int one, int other) {
        Entry a = listed.get(one);
        Entry b = listed.get(other);
        listed.set(one, b);
        b.place = one;
        listed.set(other, a);
        a.place = other;
    }

    /** The next one to probe; null where nobody else is there. */
    Entry toProbe() {
        if (listed.isEmpty()) {
            return null;
        }
        if (next >= listed.size()) {
            next = 0;
            for (int i = listed.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        return listed.get(next++);
    }

    /** Up to {@code most} different ones of the view at random, without {@code but}. */
    List<Entry> some(int most, Entry but) {
        List<Entry> some = new ArrayList<>(most);
        int tries = Math.min(3 * most, 3 * listed.size());
        for (int i = 0; i < tries && some.size() < most; i++) {
            Entry e = listed.get(random.nextInt(listed.size()));
            if (e != but && !some.contains(e)) {
                some.add(e);
            }
        }
        return some;
    }

    long digest() {
        return digest;
    }

    long[] buckets() {
        return buckets.clone();
    }

    /** Whether a name falls into a bucket in which {@code theirs} differ from ours. */
    boolean differs(long nameHash, long[] theirs) {
        int b = bucket(nameHash);
        return buckets[b] != theirs[b];
    }
}
