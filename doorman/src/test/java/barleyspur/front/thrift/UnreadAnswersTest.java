package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the estimate of what a client has not read yet. */
class UnreadAnswersTest {

    private static final int BYTES = 240_000;
    private static final double READ_MS = BYTES / UnreadAnswers.READ_BYTES_PER_MS;

    @Test
    void answersAreReadOneAfterAnother() {
        UnreadAnswers unread = new UnreadAnswers(32);
        assertEquals(0, unread.remainingMs(0));
        unread.add(BYTES, 0);
        unread.add(BYTES, 0);
        assertEquals(2 * READ_MS, unread.remainingMs(0));
        assertEquals(READ_MS, unread.remainingMs(READ_MS), 1e-6);
        unread.add(BYTES, 10 * READ_MS);
        assertEquals(READ_MS, unread.remainingMs(10 * READ_MS), 1e-6, "the client was idle");
    }

    /** A client that asks again has read all but as many answers as it may have requests open. */
    @Test
    void noMoreThanTheLastAnswersAreUnread() {
        UnreadAnswers unread = new UnreadAnswers(2);
        for (int i = 0; i < 10; i++) {
            unread.add(BYTES, 0);
        }
        assertEquals(2 * READ_MS, unread.remainingMs(0));
        unread.add(0, 0);
        unread.add(0, 0);
        assertEquals(0, unread.remainingMs(0));
    }
}
