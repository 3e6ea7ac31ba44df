package barleyspur.depot;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ChunkedInput;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Objects;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Property tests of the depot protocol's decoder: chunked answers and garbage. */
class RespPropertiesTest {

    private static byte[] answer(String id, String status, String fields, byte[] body) {
        ByteBuf strings = Resp.array(UnpooledByteBufAllocator.DEFAULT, id, status, fields);
        strings.setByte(1, '4');
        strings.writeBytes(("$" + body.length + "\r\n").getBytes())
                .writeBytes(body)
                .writeBytes(Resp.CRLF);
        return ChunkedInput.readAndRelease(strings);
    }

    @Property(seed = "21")
    void answersAreDecodedFromAnyChunks(
            @ForAll @AlphaChars @StringLength(max = 40) String id,
            @ForAll @Size(max = 300) byte[] body,
            @ForAll long chunkSeed) {
        byte[] one = answer(id, "DONE", "digest=ab,how=h", body);
        byte[] twice = Unpooled.wrappedBuffer(one, one).copy().array();
        List<Object> decoded = ChunkedInput.feed(new EmbeddedChannel(new RespDecoder()), twice, chunkSeed);
        assertEquals(2, decoded.size());
        for (Object o : decoded) {
            RespDecoder.Message message = (RespDecoder.Message) o;
            assertEquals(List.of(id, "DONE", "digest=ab,how=h"), message.strings());
            assertArrayEquals(body, ChunkedInput.readAndRelease(message.body()));
        }
        decoded.forEach(o -> assertEquals(0, ((RespDecoder.Message) o).body().refCnt(), "the body is released"));
    }

    @Property(seed = "22")
    void garbageIsDecodedOrRejected(
            @ForAll @Size(max = 200) byte[] garbage, @ForAll boolean withHeader, @ForAll long chunkSeed) {
        byte[] bytes = withHeader
                ? Unpooled.wrappedBuffer("*4\r\n$2\r\nab\r\n".getBytes(), garbage)
                        .copy()
                        .array()
                : garbage;
        check(ChunkedInput.feedGarbage(new EmbeddedChannel(new RespDecoder()), bytes, chunkSeed));
    }

    @Property(seed = "23")
    void damagedAnswerIsDecodedOrRejected(@ForAll byte damage, @ForAll int position, @ForAll long chunkSeed) {
        byte[] bytes = answer("9b1f03aa5c7e2d41", "DONE", "digest=ab", new byte[30]);
        bytes[Math.floorMod(position, bytes.length)] = damage;
        check(ChunkedInput.feedGarbage(new EmbeddedChannel(new RespDecoder()), bytes, chunkSeed));
    }

    private static void check(List<Object> decoded) {
        if (decoded != null) {
            decoded.stream()
                    .map(o -> ((RespDecoder.Message) o).body())
                    .filter(Objects::nonNull)
                    .forEach(body -> assertTrue(body.release()));
        }
    }

    @Example
    void reportIsReadInSettingsOrderOrNotAtAll() {
        List<String> names = List.of("load_share", "x1");
        assertEquals(List.of(0.61f, 7f), Resp.parseLoad("x1:7;load_share:0.61;more:1", names));
        assertEquals(List.of(), Resp.parseLoad("load_share:0.61", names));
        assertEquals(List.of(), Resp.parseLoad("load_share:0.61;x1:many", names));
        assertEquals(List.of(), Resp.parseLoad(null, names));
    }

    @Property(seed = "24")
    void fieldsAreFoundByExactName(
            @ForAll @AlphaChars @StringLength(min = 1, max = 5) String name,
            @ForAll @AlphaChars @StringLength(max = 9) String value) {
        assertEquals(value, Resp.field("x" + name + "=no," + name + "=" + value + ",z=1", name));
        assertEquals(null, Resp.field("x" + name + "=no," + name + "y=1", name));
    }
}
