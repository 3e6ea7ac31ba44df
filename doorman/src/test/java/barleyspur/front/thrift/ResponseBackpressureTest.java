package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Slow clients must stop the reading from depots before the queued responses use up the memory. */
class ResponseBackpressureTest {

    @Test
    void limitIsSignalledOnceAndLastsUntilHalfIsWritten() {
        List<Boolean> signals = new ArrayList<>();
        ResponseBackpressure backpressure = new ResponseBackpressure(100, signals::add);
        ResponseBackpressure.ConnectionQueue connection = backpressure.newConnection();
        connection.add(100);
        assertEquals(List.of(), signals);
        connection.add(60);
        backpressure.newConnection().add(40);
        assertEquals(List.of(true), signals);
        connection.add(-149);
        assertEquals(true, backpressure.isOverLimit());
        connection.add(-1);
        assertEquals(List.of(true, false), signals);
        assertEquals(false, backpressure.isOverLimit());
    }

    /** One slow client may use what nobody else needs, but not the part that keeps the others served. */
    @Test
    void connectionWithMoreThanItsShareLeavesTheRestToOthers() {
        ResponseBackpressure backpressure = new ResponseBackpressure(100, overLimit -> {});
        ResponseBackpressure.ConnectionQueue slow = backpressure.newConnection();
        ResponseBackpressure.ConnectionQueue fast = backpressure.newConnection();
        slow.add(60);
        assertTrue(slow.mayQueue(15));
        assertFalse(slow.mayQueue(16));
        assertTrue(fast.mayQueue(37));
        assertFalse(fast.mayQueue(38));
        fast.add(37);
        fast.add(-37);
        assertTrue(slow.mayQueue(15));
        slow.add(-60);
        assertTrue(fast.mayQueue(75));
    }
}
