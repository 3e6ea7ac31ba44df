package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Who makes room for a newcomer. */
class ConnectionRegistryTest {

    private final ConnectionRegistry<String> registry = new ConnectionRegistry<>();

    /** A connection on which part of a request has come goes last, the one that began first before the others. */
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

    /** Once its request is whole it is in use, and stays. */
    @Test
    void oneThatIsInUseStays() {
        registry.arriving("busy");
        registry.busy("busy");
        assertNull(registry.evictIdle(1_000));
    }
}
