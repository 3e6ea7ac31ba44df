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
final class Keepers {

    /** Identifies a part of an object. */
    record Part(long object, int part) {}

    private Keepers() {}

    /** Evicts the least recently used part. This is the baseline. */
    static final class Lru implements RetentionPolicy {
        private final LinkedHashMap<Part, Integer> held = new LinkedHashMap<>(16, 0.75f, true);
        private final long mostKb;
        private long keptKb;

        Lru(long mostKb) {
            this.mostKb = mostKb;
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            return held.get(new Part(object, part)) != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener dropped) {
            if (kb > mostKb) {
                return false;
            }
            while (keptKb + kb > mostKb) {
                Map.Entry<Part, Integer> eldest = held.entrySet().iterator().next();
                held.remove(eldest.getKey());
                keptKb -= eldest.getValue();
                dropped.onEviction(eldest.getKey().object(), eldest.getKey().part());
            }
            held.put(new Part(object, part), kb);
            keptKb += kb;
            return true;
        }

        @Override
        public boolean remove(long object, int part) {
            Integer kb = held.remove(new Part(object, part));
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
        private static final int SAMPLE = 24;
        private static final double HALF_LIFE_MS = 6 * 3_600_000;

        private static final class Held {
            final Part part;
            final int kb;
            int place;
            double count;
            double at;

            Held(Part part, int kb) {
                this.part = part;
                this.kb = kb;
            }

            double count(double now) {
                return count * Math.pow(0.5, (now - at) / HALF_LIFE_MS);
            }
        }

        private final Map<Part, Held> held = new HashMap<>();
        private final List<Held> places = new ArrayList<>();
        private final SplittableRandom random = new SplittableRandom(3);
        private final long mostKb;
        private long keptKb;

        AgedLfu(long mostKb) {
            this.mostKb = mostKb;
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            Held h = held.get(new Part(object, part));
            if (h != null) {
                h.count = h.count(nowMs) + 1;
                h.at = nowMs;
            }
            return h != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener dropped) {
            if (kb > mostKb) {
                return false;
            }
            while (keptKb + kb > mostKb) {
                Held least = null;
                for (int i = 0; i < SAMPLE; i++) {
                    Held h = places.get(random.nextInt(places.size()));
                    least = least == null || h.count(nowMs) < least.count(nowMs) ? h : least;
                }
                drop(least);
                dropped.onEviction(least.part.object(), least.part.part());
            }
            Held h = new Held(new Part(object, part), kb);
            h.count = 1;
            h.at = nowMs;
            h.place = places.size();
            places.add(h);
            held.put(h.part, h);
            keptKb += kb;
            return true;
        }

        private void drop(Held h) {
            held.remove(h.part);
            Held last = places.remove(places.size() - 1);
            if (last != h) {
                places.set(h.place, last);
                last.place = h.place;
            }
            keptKb -= h.kb;
        }

        @Override
        public boolean remove(long object, int part) {
            Held h = held.get(new Part(object, part));
            if (h != null) {
                drop(h);
            }
            return h != null;
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
        private static final int MOST_FREQUENCY = 3;

        private static final class Held {
            final Part part;
            final int kb;
            int frequency;
            boolean gone;

            Held(Part part, int kb) {
                this.part = part;
                this.kb = kb;
            }
        }

        private final Map<Part, Held> held = new HashMap<>();
        private final ArrayDeque<Held> small = new ArrayDeque<>();
        private final ArrayDeque<Held> main = new ArrayDeque<>();
        private final LinkedHashMap<Part, Integer> ghosts = new LinkedHashMap<>();
        private final long mostKb;
        private long smallKb;
        private long mainKb;
        private long ghostKb;

        S3Fifo(long mostKb) {
            this.mostKb = mostKb;
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            Held h = held.get(new Part(object, part));
            if (h != null) {
                h.frequency = Math.min(MOST_FREQUENCY, h.frequency + 1);
            }
            return h != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener dropped) {
            if (kb > mostKb) {
                return false;
            }
            while (smallKb + mainKb + kb > mostKb) {
                if (smallKb > mostKb / 10 || main.isEmpty()) {
                    evictSmall(dropped);
                } else {
                    evictMain(dropped);
                }
            }
            Held h = new Held(new Part(object, part), kb);
            Integer ghost = ghosts.remove(h.part);
            held.put(h.part, h);
            if (ghost != null) {
                ghostKb -= ghost;
                main.add(h);
                mainKb += kb;
            } else {
                small.add(h);
                smallKb += kb;
            }
            return true;
        }

        private void evictSmall(EvictionListener dropped) {
            Held h = small.poll();
            smallKb -= h.gone ? 0 : h.kb;
            if (h.gone) {
                return;
            }
            if (h.frequency > 1) {
                h.frequency = 0;
                main.add(h);
                mainKb += h.kb;
                return;
            }
            held.remove(h.part);
            dropped.onEviction(h.part.object(), h.part.part());
            ghosts.put(h.part, h.kb);
            ghostKb += h.kb;
            while (ghostKb > mostKb) {
                Map.Entry<Part, Integer> eldest = ghosts.entrySet().iterator().next();
                ghosts.remove(eldest.getKey());
                ghostKb -= eldest.getValue();
            }
        }

        private void evictMain(EvictionListener dropped) {
            Held h = main.poll();
            if (h.gone) {
                return;
            }
            if (h.frequency > 0) {
                h.frequency--;
                main.add(h);
                return;
            }
            mainKb -= h.kb;
            held.remove(h.part);
            dropped.onEviction(h.part.object(), h.part.part());
        }

        @Override
        public boolean remove(long object, int part) {
            Held h = held.remove(new Part(object, part));
            if (h != null) {
                h.gone = true;
                boolean inSmall = small.contains(h);
                smallKb -= inSmall ? h.kb : 0;
                mainKb -= inSmall ? 0 : h.kb;
            }
            return h != null;
        }

        @Override
        public long keptKb() {
            return smallKb + mainKb;
        }
    }

    /** W-TinyLFU (Einziger et al. 2017) as implemented by Caffeine. */
    static final class Tiny implements RetentionPolicy {
        private final Cache<Part, Integer> cache;

        Tiny(long mostKb) {
            cache = Caffeine.newBuilder()
                    .maximumWeight(mostKb)
                    .weigher((Part p, Integer kb) -> kb)
                    .executor(Runnable::run)
                    .build();
        }

        @Override
        public boolean recordRequest(long object, int part, int kb, double nowMs) {
            return cache.getIfPresent(new Part(object, part)) != null;
        }

        @Override
        public boolean admit(long object, int part, int kb, double nowMs, EvictionListener dropped) {
            cache.put(new Part(object, part), kb);
            return true;
        }

        @Override
        public boolean remove(long object, int part) {
            return cache.asMap().remove(new Part(object, part)) != null;
        }

        @Override
        public long keptKb() {
            return cache.policy().eviction().orElseThrow().weightedSize().orElse(0);
        }
    }
}
