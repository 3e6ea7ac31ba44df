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
final class MemberTable {

    static final int BUCKET_COUNT = 64;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final SplittableRandom random;
    private final Map<String, MemberEntry> entries = new HashMap<>();
    private final List<MemberEntry> listed = new ArrayList<>();
    private final long[] bucketDigests = new long[BUCKET_COUNT];
    private long digest;
    private long selfHash;
    private int nextProbeIndex;

    MemberTable(SplittableRandom random) {
        this.random = random;
    }

    static long hash(String name) {
        return HASH.hashChars(name);
    }

    private static long hash(long nameHash, MembershipRecord record) {
        long hash = HASH.hashLong(nameHash ^ record.generation());
        hash = HASH.hashLong(hash ^ record.nonce());
        return HASH.hashLong(hash
                ^ (record.incarnation() * MemberState.values().length
                        + record.state().ordinal()));
    }

    private static int bucketIndex(long nameHash) {
        return (int) (nameHash & BUCKET_COUNT - 1);
    }

    private void toggleHash(long nameHash, long hash) {
        bucketDigests[bucketIndex(nameHash)] ^= hash;
        digest ^= hash;
    }

    /** Takes what this process says of itself into the digest; null: it is no member. */
    void setSelf(String name, MembershipRecord record) {
        long nameHash = hash(name);
        long newHash = record == null || !record.state().isMember() ? 0 : hash(nameHash, record);
        toggleHash(nameHash, selfHash ^ newHash);
        selfHash = newHash;
    }

    MemberEntry get(String name) {
        return entries.get(name);
    }

    Iterable<MemberEntry> entries() {
        return entries.values();
    }

    /** Those in the view. */
    List<MemberEntry> listed() {
        return listed;
    }

    int rememberedCount() {
        return entries.size() - listed.size();
    }

    MemberEntry add(MembershipRecord record) {
        MemberEntry entry = new MemberEntry(record.name(), hash(record.name()), record);
        entries.put(record.name(), entry);
        return entry;
    }

    void remove(MemberEntry entry) {
        setListed(entry, false);
        entries.remove(entry.name);
    }

    /** Puts an entry into the view or takes it out, and keeps the digest in step with what is said of it. */
    void setListed(MemberEntry entry, boolean nowListed) {
        long newHash = nowListed ? hash(entry.nameHash, entry.record) : 0;
        toggleHash(entry.nameHash, entry.recordHash ^ newHash);
        entry.recordHash = newHash;
        if (nowListed && !entry.listed) {
            // At a random place, so that newcomers are not all probed in the order in which they came.
            int index = random.nextInt(listed.size() + 1);
            entry.index = listed.size();
            listed.add(entry);
            swap(index, entry.index);
        } else if (!nowListed && entry.listed) {
            swap(entry.index, listed.size() - 1);
            listed.remove(listed.size() - 1);
        }
        entry.listed = nowListed;
    }

    private void swap(int firstIndex, int secondIndex) {
        MemberEntry first = listed.get(firstIndex);
        MemberEntry second = listed.get(secondIndex);
        listed.set(firstIndex, second);
        second.index = firstIndex;
        listed.set(secondIndex, first);
        first.index = secondIndex;
    }

    /** The next one to probe; null where nobody else is there. */
    MemberEntry nextProbeTarget() {
        if (listed.isEmpty()) {
            return null;
        }
        if (nextProbeIndex >= listed.size()) {
            nextProbeIndex = 0;
            for (int i = listed.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        return listed.get(nextProbeIndex++);
    }

    /** Up to {@code most} different ones of the view at random, without {@code but}. */
    List<MemberEntry> randomListed(int maxCount, MemberEntry excluded) {
        List<MemberEntry> selected = new ArrayList<>(maxCount);
        int attempts = Math.min(3 * maxCount, 3 * listed.size());
        for (int i = 0; i < attempts && selected.size() < maxCount; i++) {
            MemberEntry entry = listed.get(random.nextInt(listed.size()));
            if (entry != excluded && !selected.contains(entry)) {
                selected.add(entry);
            }
        }
        return selected;
    }

    long digest() {
        return digest;
    }

    long[] bucketDigests() {
        return bucketDigests.clone();
    }

    /** Whether a name falls into a bucket in which {@code theirs} differ from ours. */
    boolean isInDifferingBucket(long nameHash, long[] otherDigests) {
        int bucket = bucketIndex(nameHash);
        return bucketDigests[bucket] != otherDigests[bucket];
    }
}
