package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** The order in which connections are evicted. */
class ConnectionRegistryTest {

    private final ConnectionRegistry<String> registry = new ConnectionRegistry<>();

    /** Connections with a partly received request are evicted last, the one that started first before the others. */
    @Test
    void aRequestOnItsWayIsCutLast() {
        registry.came("stranger", 0);
        registry.came("begins", 0);
        registry.arriving("begins");
        registry.idle("idle", 0);
        registry.arriving("begins later");
        registry.arriving("begins");
        assertEquals("stranger", registry.evictIdle(1_000));
        assertEquals("idle", registry.evictIdle(1_000));
        assertEquals("begins", registry.evictIdle(1_000));
        assertEquals("begins later", registry.evictIdle(1_000));
        assertNull(registry.evictIdle(1_000));
    }

    /** A connection is not evicted while its request is pending. */
    @Test
    void oneThatIsInUseStays() {
        registry.arriving("busy");
        registry.busy("busy");
        assertNull(registry.evictIdle(1_000));
    }
}
