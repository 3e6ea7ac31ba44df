package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** The order in which connections are evicted. */
class ConnectionRegistryTest {

    private final ConnectionRegistry<String> registry = new ConnectionRegistry<>();

    /** Connections with a partly received request are evicted last, the one that started first before the others. */
    @Test
    void receivingConnectionIsEvictedLast() {
        registry.addNew("stranger", 0);
        registry.addNew("begins", 0);
        registry.markReceiving("begins");
        registry.markIdle("idle", 0);
        registry.markReceiving("begins later");
        registry.markReceiving("begins");
        assertEquals("stranger", registry.evictLeastActive(1_000));
        assertEquals("idle", registry.evictLeastActive(1_000));
        assertEquals("begins", registry.evictLeastActive(1_000));
        assertEquals("begins later", registry.evictLeastActive(1_000));
        assertNull(registry.evictLeastActive(1_000));
    }

    /** A connection is not evicted while its request is pending. */
    @Test
    void busyConnectionIsNotEvicted() {
        registry.markReceiving("busy");
        registry.markBusy("busy");
        assertNull(registry.evictLeastActive(1_000));
    }
}
