package barleyspur.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of limited size that evicts its least recently used entry, so that no stream of keys can exhaust memory. */
final class Bounded<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;

    private final int most;

    Bounded(int most) {
        super(16, LOAD_FACTOR, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > most;
    }
}
