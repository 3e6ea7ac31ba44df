package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The order in which connections are evicted. */
class ConnectionRegistryTest {

    /** The connections on which something is owed to the client. */
    private final Set<String> owing = new HashSet<>();

    private final ConnectionRegistry<String> registry =
            new ConnectionRegistry<>(connection -> !owing.contains(connection), owing::contains);

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

    /**
     * Guards against answers that are cut off: a client that reads slowly has no pending request and is the longest idle,
     * but its answers are still on their way.
     */
    @Test
    void connectionThatOwesAnswersIsPassedOver() {
        registry.markIdle("slow reader", 0);
        registry.markIdle("idle", 1);
        registry.markReceiving("slow and sending");
        owing.addAll(Set.of("slow reader", "slow and sending"));
        assertEquals("idle", registry.evictLeastActive(1_000));
        assertNull(registry.evictLeastActive(1_000), "where all owe something the newcomer is turned away");
        registry.markClosing("slow reader");
        assertEquals("idle", registry.longestClosing());
        registry.remove("idle");
        assertEquals("slow reader", registry.longestClosing(), "descriptors are needed");
        owing.clear();
        assertEquals("slow and sending", registry.evictLeastActive(1_000));
    }
}
