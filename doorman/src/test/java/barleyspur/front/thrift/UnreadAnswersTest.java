package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Slow clients must stop the reading from depots before the queued responses use up the memory. */
class UnreadAnswersTest {

    @Test
    void fullnessIsToldOnceAndLastsUntilHalfIsRead() {
        List<Boolean> told = new ArrayList<>();
        UnreadAnswers unread = new UnreadAnswers(100, told::add);
        unread.add(100);
        assertEquals(List.of(), told);
        unread.add(60);
        unread.add(40);
        assertEquals(List.of(true), told);
        unread.add(-149);
        assertEquals(true, unread.full());
        unread.add(-1);
        assertEquals(List.of(true, false), told);
        assertEquals(false, unread.full());
    }
}
