package barleyspur.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.openhft.hashing.LongHashFunction;

/**
 * The table of the other members by name. Listed members, those in the view, are also kept in a random order for
 * round-robin probing (SWIM, section 4.3: every member is probed within two rounds). The table maintains the view
 * digest and its buckets: each is the exclusive or of the hashes of its members, so that an update takes two operations
 * whatever the fleet size.
 */
final class MemberTable {

    static final int BUCKET_COUNT = 64;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final SplittableRandom random;
    private final Map<String, MemberEntry> entriesByName = new HashMap<>();
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

    /** Updates the digest with the record of this process; null if this process is not a member. */
    void setSelf(String name, MembershipRecord record) {
        long nameHash = hash(name);
        long newHash = record == null || !record.state().isMember() ? 0 : hash(nameHash, record);
        toggleHash(nameHash, selfHash ^ newHash);
        selfHash = newHash;
    }

    MemberEntry get(String name) {
        return entriesByName.get(name);
    }

    Iterable<MemberEntry> entries() {
        return entriesByName.values();
    }

    /** The entries of the members in the view, in probe order. */
    List<MemberEntry> listed() {
        return listed;
    }

    int rememberedCount() {
        return entriesByName.size() - listed.size();
    }

    MemberEntry add(MembershipRecord record) {
        MemberEntry entry = new MemberEntry(record.name(), hash(record.name()), record);
        entriesByName.put(record.name(), entry);
        return entry;
    }

    void remove(MemberEntry entry) {
        setListed(entry, false);
        entriesByName.remove(entry.name);
    }

    /** Adds an entry to the view or removes it, and updates the digest with its current record. */
    void setListed(MemberEntry entry, boolean nowListed) {
        long newHash = nowListed ? hash(entry.nameHash, entry.record) : 0;
        toggleHash(entry.nameHash, entry.recordHash ^ newHash);
        entry.recordHash = newHash;
        if (nowListed && !entry.listed) {
            // Inserts at a random position, so that members are not probed in the order in which they joined.
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

    /** Returns the next member to probe, or null if no other member is listed. */
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

    /**
     * Returns up to {@code maxCount} distinct listed members at random, without {@code excluded}, which may be null.
     */
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

    /** Whether a name belongs to a bucket whose digest differs between {@code otherDigests} and this table. */
    boolean isInDifferingBucket(long nameHash, long[] otherDigests) {
        int bucket = bucketIndex(nameHash);
        return bucketDigests[bucket] != otherDigests[bucket];
    }
}
