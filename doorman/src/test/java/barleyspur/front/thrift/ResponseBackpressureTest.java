package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Slow clients must stop the reading from depots before the queued responses use up the memory. */
class ResponseBackpressureTest {

    @Test
    void limitIsSignalledOnceAndLastsUntilHalfIsWritten() {
        List<Boolean> signals = new ArrayList<>();
        ResponseBackpressure backpressure = new ResponseBackpressure(100, signals::add);
        backpressure.add(100);
        assertEquals(List.of(), signals);
        backpressure.add(60);
        backpressure.add(40);
        assertEquals(List.of(true), signals);
        backpressure.add(-149);
        assertEquals(true, backpressure.isOverLimit());
        backpressure.add(-1);
        assertEquals(List.of(true, false), signals);
        assertEquals(false, backpressure.isOverLimit());
    }
}
