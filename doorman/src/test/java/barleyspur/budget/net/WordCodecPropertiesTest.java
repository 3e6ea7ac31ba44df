package barleyspur.budget.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.budget.Word;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Round trips of budget messages, and decoding of truncated and corrupted ones. */
class WordCodecPropertiesTest {

    private static final int ROOM = 800;
    private final WordCodec codec = new WordCodec();

    private static Word.Claim claim(int i) {
        return new Word.Claim("calls:s-" + i, i, i / 2, (1L << 50) + i, 3, 2, 1L << 30, 0.25, 12, 77, 1_250);
    }

    private static List<Word> words() {
        return List.of(
                new Word.VoteAsk(1L << 51, 5, 6),
                new Word.Vote(5, 6, true, "127.0.0.1:7101"),
                new Word.Release(9),
                new Word.Elsewhere(""),
                new Word.Ask(7, 8, 12_345, List.of(claim(1), claim(2))),
                new Word.Grants(7, 8, List.of(new Word.Grant("a", 1, 2, 3_000, 4))),
                new Word.Grants(7, 8, List.of()));
    }

    /** Each kind of message survives a round trip. */
    @Test
    void whatIsWrittenIsRead() throws Exception {
        for (Word word : words()) {
            assertEquals(
                    List.of(word), List.of(codec.decode(codec.encode(word, ROOM).get(0))));
        }
    }

    /** Any number of items is split into messages that fit, and none is left out. */
    @Property(seed = "81", tries = 60)
    void messagesFitAndNoneIsLeftOut(
            @ForAll @IntRange(max = 300) int count, @ForAll @IntRange(min = 200, max = 900) int room) throws Exception {
        List<Word.Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            claims.add(claim(i));
        }
        List<Word.Claim> read = new ArrayList<>();
        for (byte[] body : codec.encode(new Word.Ask(1, 2, 3, claims), room)) {
            assertTrue(body.length <= room, body.length + " of " + room);
            read.addAll(((Word.Ask) codec.decode(body)).claims());
        }
        assertEquals(claims, read);
    }

    /**
     * A truncated or corrupted message is rejected, ignored or decoded to some message, but causes no other failure.
     */
    @Property(seed = "82", tries = 2_000)
    void garbageDoesNoHarm(
            @ForAll @IntRange(max = 6) int which,
            @ForAll @IntRange(max = 300) int at,
            @ForAll @IntRange(max = 255) int to,
            @ForAll boolean cut) {
        byte[] body = codec.encode(words().get(which), ROOM).get(0);
        byte[] spoilt = cut ? Arrays.copyOf(body, at % body.length) : body.clone();
        if (!cut) {
            spoilt[at % body.length] = (byte) to;
        }
        try {
            codec.decode(spoilt);
        } catch (WordCodec.Unreadable e) {
            assertTrue(!e.getMessage().isEmpty());
        }
    }

    /** An unknown kind is ignored, a newer format is rejected, and additional fields at the end are skipped. */
    @Test
    void newerWordsAreSkipped() throws Exception {
        assertNull(codec.decode(new byte[] {(byte) 0x82, 1, 99 - 60}));
        assertThrows(WordCodec.Unreadable.class, () -> codec.decode(new byte[] {(byte) 0x82, 2, 3}));
        assertEquals(new Word.Release(9), codec.decode(new byte[] {(byte) 0x84, 1, 3, 9, 7}));
    }
}
