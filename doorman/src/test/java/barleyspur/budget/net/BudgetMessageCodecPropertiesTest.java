package barleyspur.budget.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.budget.BudgetMessage;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Round trips of budget messages, and decoding of truncated and corrupted ones. */
class BudgetMessageCodecPropertiesTest {

    private static final int ROOM = 800;
    private final BudgetMessageCodec codec = new BudgetMessageCodec();

    private static BudgetMessage.HolderReport report(int number) {
        return new BudgetMessage.HolderReport(
                "calls:s-" + number, number, number / 2, (1L << 50) + number, 3, 2, 1L << 30, 0.25, 12, 77, 1_250);
    }

    private static List<BudgetMessage> messages() {
        return List.of(
                new BudgetMessage.VoteRequest(1L << 51, 5, 6),
                new BudgetMessage.VoteReply(5, 6, true, "127.0.0.1:7101"),
                new BudgetMessage.VoteRelease(9),
                new BudgetMessage.Redirect(""),
                new BudgetMessage.LeaseRequest(7, 8, 12_345, List.of(report(1), report(2))),
                new BudgetMessage.LeaseGrants(7, 8, List.of(new BudgetMessage.LeaseGrant("a", 1, 2, 3_000, 4))),
                new BudgetMessage.LeaseGrants(7, 8, List.of()));
    }

    /** Each kind of message survives a round trip. */
    @Test
    void messagesSurviveARoundTrip() throws Exception {
        for (BudgetMessage message : messages()) {
            assertEquals(
                    List.of(message),
                    List.of(codec.decode(codec.encode(message, ROOM).get(0))));
        }
    }

    /** Any number of items is split into messages that fit, and none is left out. */
    @Property(seed = "81", tries = 60)
    void splitMessagesFitAndAreComplete(
            @ForAll @IntRange(max = 300) int count, @ForAll @IntRange(min = 200, max = 900) int room) throws Exception {
        List<BudgetMessage.HolderReport> reports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            reports.add(report(i));
        }
        List<BudgetMessage.HolderReport> decoded = new ArrayList<>();
        for (byte[] body : codec.encode(new BudgetMessage.LeaseRequest(1, 2, 3, reports), room)) {
            assertTrue(body.length <= room, body.length + " of " + room);
            decoded.addAll(((BudgetMessage.LeaseRequest) codec.decode(body)).reports());
        }
        assertEquals(reports, decoded);
    }

    /**
     * A truncated or corrupted message is rejected, ignored or decoded to some message, but causes no other failure.
     */
    @Property(seed = "82", tries = 2_000)
    void corruptedMessagesCauseNoFailure(
            @ForAll @IntRange(max = 6) int messageIndex,
            @ForAll @IntRange(max = 300) int position,
            @ForAll @IntRange(max = 255) int replacement,
            @ForAll boolean truncated) {
        byte[] body = codec.encode(messages().get(messageIndex), ROOM).get(0);
        byte[] corrupted = truncated ? Arrays.copyOf(body, position % body.length) : body.clone();
        if (!truncated) {
            corrupted[position % body.length] = (byte) replacement;
        }
        try {
            codec.decode(corrupted);
        } catch (BudgetMessageCodec.DecodeException e) {
            assertTrue(!e.getMessage().isEmpty());
        }
    }

    /** An unknown kind is ignored, a newer format is rejected, and additional fields at the end are skipped. */
    @Test
    void newerMessagesAreSkipped() throws Exception {
        assertNull(codec.decode(new byte[] {(byte) 0x82, 1, 99 - 60}));
        assertThrows(BudgetMessageCodec.DecodeException.class, () -> codec.decode(new byte[] {(byte) 0x82, 2, 3}));
        assertEquals(new BudgetMessage.VoteRelease(9), codec.decode(new byte[] {(byte) 0x84, 1, 3, 9, 7}));
    }
}
