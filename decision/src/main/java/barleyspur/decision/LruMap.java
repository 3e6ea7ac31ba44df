package barleyspur.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of limited size that evicts its least recently used entry, so that no stream of keys can exhaust memory. */
final class LruMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    LruMap(int maxEntries) {
        super(16, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
