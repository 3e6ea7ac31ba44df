package barleyspur.lab;

import barleyspur.tier.RetentionPolicy;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Common retention policies with which the one of the disk tier is compared. */
final class BaselinePolicies {

    /** Identifies a part of an object. */
    record PartKey(long object, int part) {}

    private BaselinePolicies() {}

    /** Evicts the least recently used part. This is the baseline. */
    static final class Lru implements RetentionPolicy {
        private final LinkedHashMap<PartKey, Integer> sizeByPart = new LinkedHashMap<>(16, 0.75f, true);
        private final long capacityKb;
        private long keptKb;

        Lru(long capacityKb) {
            this.capacityKb = capacityKb;
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            return sizeByPart.get(new PartKey(object, part)) != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener evictions) {
            if (kb > capacityKb) {
                return false;
            }
            while (keptKb + kb > capacityKb) {
                Map.Entry<PartKey, Integer> eldest =
                        sizeByPart.entrySet().iterator().next();
                sizeByPart.remove(eldest.getKey());
                keptKb -= eldest.getValue();
                evictions.onEviction(eldest.getKey().object(), eldest.getKey().part());
            }
            sizeByPart.put(new PartKey(object, part), kb);
            keptKb += kb;
            return true;
        }

        @Override
        public boolean remove(long object, int part) {
            Integer kb = sizeByPart.remove(new PartKey(object, part));
            keptKb -= kb == null ? 0 : kb;
            return kb != null;
        }

        @Override
        public long keptKb() {
            return keptKb;
        }
    }

    /**
     * Evicts the least frequently used part of a random sample. Request counts decay exponentially, and nothing is
     * remembered about parts that are not kept.
     */
    static final class AgedLfu implements RetentionPolicy {
        private static final int SAMPLE_SIZE = 24;
        private static final double HALF_LIFE_MS = 6 * 3_600_000;

        private static final class Entry {
            final PartKey part;
            final int kb;
            int index;
            double countAtUpdate;
            double updatedMs;

            Entry(PartKey part, int kb) {
                this.part = part;
                this.kb = kb;
            }

            double decayedCount(double nowMs) {
                return countAtUpdate * Math.pow(0.5, (nowMs - updatedMs) / HALF_LIFE_MS);
            }
        }

        private final Map<PartKey, Entry> entryByPart = new HashMap<>();
        private final List<Entry> entries = new ArrayList<>();
        private final SplittableRandom random = new SplittableRandom(3);
        private final long capacityKb;
        private long keptKb;

        AgedLfu(long capacityKb) {
            this.capacityKb = capacityKb;
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            Entry entry = entryByPart.get(new PartKey(object, part));
            if (entry != null) {
                entry.countAtUpdate = entry.decayedCount(nowMs) + 1;
                entry.updatedMs = nowMs;
            }
            return entry != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener evictions) {
            if (kb > capacityKb) {
                return false;
            }
            while (keptKb + kb > capacityKb) {
                Entry victim = null;
                for (int i = 0; i < SAMPLE_SIZE; i++) {
                    Entry entry = entries.get(random.nextInt(entries.size()));
                    victim = victim == null || entry.decayedCount(nowMs) < victim.decayedCount(nowMs) ? entry : victim;
                }
                removeEntry(victim);
                evictions.onEviction(victim.part.object(), victim.part.part());
            }
            Entry entry = new Entry(new PartKey(object, part), kb);
            entry.countAtUpdate = 1;
            entry.updatedMs = nowMs;
            entry.index = entries.size();
            entries.add(entry);
            entryByPart.put(entry.part, entry);
            keptKb += kb;
            return true;
        }

        private void removeEntry(Entry entry) {
            entryByPart.remove(entry.part);
            Entry last = entries.remove(entries.size() - 1);
            if (last != entry) {
                entries.set(entry.index, last);
                last.index = entry.index;
            }
            keptKb -= entry.kb;
        }

        @Override
        public boolean remove(long object, int part) {
            Entry entry = entryByPart.get(new PartKey(object, part));
            if (entry != null) {
                removeEntry(entry);
            }
            return entry != null;
        }

        @Override
        public long keptKb() {
            return keptKb;
        }
    }

    /**
     * S3-FIFO (Yang et al. 2023): a small queue for new parts, a main queue, and a ghost queue with the keys of the
     * parts that were evicted from the small queue.
     */
    static final class S3Fifo implements RetentionPolicy {
        private static final int MAX_FREQUENCY = 3;

        private static final class Entry {
            final PartKey part;
            final int kb;
            int frequency;
            boolean removed;

            Entry(PartKey part, int kb) {
                this.part = part;
                this.kb = kb;
            }
        }

        private final Map<PartKey, Entry> entryByPart = new HashMap<>();
        private final ArrayDeque<Entry> smallQueue = new ArrayDeque<>();
        private final ArrayDeque<Entry> mainQueue = new ArrayDeque<>();
        private final LinkedHashMap<PartKey, Integer> ghostQueue = new LinkedHashMap<>();
        private final long capacityKb;
        private long smallKb;
        private long mainKb;
        private long ghostKb;

        S3Fifo(long capacityKb) {
            this.capacityKb = capacityKb;
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            Entry entry = entryByPart.get(new PartKey(object, part));
            if (entry != null) {
                entry.frequency = Math.min(MAX_FREQUENCY, entry.frequency + 1);
            }
            return entry != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener evictions) {
            if (kb > capacityKb) {
                return false;
            }
            while (smallKb + mainKb + kb > capacityKb) {
                if (smallKb > capacityKb / 10 || mainQueue.isEmpty()) {
                    evictSmall(evictions);
                } else {
                    evictMain(evictions);
                }
            }
            Entry entry = new Entry(new PartKey(object, part), kb);
            Integer ghostSizeKb = ghostQueue.remove(entry.part);
            entryByPart.put(entry.part, entry);
            if (ghostSizeKb != null) {
                ghostKb -= ghostSizeKb;
                mainQueue.add(entry);
                mainKb += kb;
            } else {
                smallQueue.add(entry);
                smallKb += kb;
            }
            return true;
        }

        private void evictSmall(EvictionListener evictions) {
            Entry entry = smallQueue.poll();
            smallKb -= entry.removed ? 0 : entry.kb;
            if (entry.removed) {
                return;
            }
            if (entry.frequency > 1) {
                entry.frequency = 0;
                mainQueue.add(entry);
                mainKb += entry.kb;
                return;
            }
            entryByPart.remove(entry.part);
            evictions.onEviction(entry.part.object(), entry.part.part());
            ghostQueue.put(entry.part, entry.kb);
            ghostKb += entry.kb;
            while (ghostKb > capacityKb) {
                Map.Entry<PartKey, Integer> eldest =
                        ghostQueue.entrySet().iterator().next();
                ghostQueue.remove(eldest.getKey());
                ghostKb -= eldest.getValue();
            }
        }

        private void evictMain(EvictionListener evictions) {
            Entry entry = mainQueue.poll();
            if (entry.removed) {
                return;
            }
            if (entry.frequency > 0) {
                entry.frequency--;
                mainQueue.add(entry);
                return;
            }
            mainKb -= entry.kb;
            entryByPart.remove(entry.part);
            evictions.onEviction(entry.part.object(), entry.part.part());
        }

        @Override
        public boolean remove(long object, int part) {
            Entry entry = entryByPart.remove(new PartKey(object, part));
            if (entry != null) {
                entry.removed = true;
                boolean inSmall = smallQueue.contains(entry);
                smallKb -= inSmall ? entry.kb : 0;
                mainKb -= inSmall ? 0 : entry.kb;
            }
            return entry != null;
        }

        @Override
        public long keptKb() {
            return smallKb + mainKb;
        }
    }

    /** W-TinyLFU (Einziger et al. 2017) as implemented by Caffeine. */
    static final class WTinyLfu implements RetentionPolicy {
        private final Cache<PartKey, Integer> cache;

        WTinyLfu(long capacityKb) {
            cache = Caffeine.newBuilder()
                    .maximumWeight(capacityKb)
                    .weigher((PartKey key, Integer kb) -> kb)
                    .executor(Runnable::run)
                    .build();
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            return cache.getIfPresent(new PartKey(object, part)) != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener evictions) {
            cache.put(new PartKey(object, part), kb);
            return true;
        }

        @Override
        public boolean remove(long object, int part) {
            return cache.asMap().remove(new PartKey(object, part)) != null;
        }

        @Override
        public long keptKb() {
            return cache.policy().eviction().orElseThrow().weightedSize().orElse(0);
        }
    }
}
