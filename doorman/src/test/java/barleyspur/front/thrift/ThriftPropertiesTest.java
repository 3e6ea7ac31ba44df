package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ChunkedInput;
import barleyspur.transport.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Property tests of the Thrift decoder with split, damaged and random input. */
class ThriftPropertiesTest {

    private static final int MAX_FRAME = 4_096;

    @Property(seed = "11")
    void callsDecodeHoweverSplit(
            @ForAll @Size(max = 5) List<@StringLength(max = 30) String> values,
            @ForAll @Size(max = 200) byte[] body,
            @ForAll int seqid,
            @ForAll long splitSeed)
            throws ThriftCall.MalformedCallException {
        Map<String, String> fields = new HashMap<>();
        values.forEach(v -> fields.put("f" + fields.size(), v.replaceAll("[\\ud800-\\udfff]", "?")));
        ByteBuf twice = Unpooled.buffer();
        for (int i = 0; i < 2; i++) {
            ByteBuf one = ThriftCalls.dispatch(seqid + i, fields, body);
            twice.writeBytes(one);
            one.release();
        }
        List<Object> frames = ChunkedInput.feed(
                new EmbeddedChannel(new ThriftFrameDecoder(MAX_FRAME, new ByteBudget(2 * MAX_FRAME, 1).newShare())),
                ChunkedInput.readAndRelease(twice),
                splitSeed);
        assertEquals(2, frames.size());
        for (int i = 0; i < 2; i++) {
            ByteBuf frame = (ByteBuf) frames.get(i);
            ThriftCall.Dispatch call = (ThriftCall.Dispatch) ThriftCall.parse(frame);
            assertEquals(seqid + i, call.seqid());
            assertEquals(fields, call.fields());
            assertArrayEquals(body, ByteBufUtil.getBytes(call.body()));
            frame.release();
        }
        frames.forEach(f -> assertEquals(0, ((ByteBuf) f).refCnt(), "the frame is released completely"));
    }

    @Property(seed = "12")
    void randomFrameIsMalformedOrACall(@ForAll @Size(max = 60) byte[] input, @ForAll boolean withHeader) {
        ByteBuf frame = Unpooled.buffer();
        if (withHeader) {
            frame.writeInt(ThriftProtocol.VERSION | ThriftProtocol.CALL);
            ThriftCalls.string(frame, "dispatch".getBytes(StandardCharsets.UTF_8));
            frame.writeInt(1);
        }
        frame.writeBytes(input);
        try {
            assertNotNull(ThriftCall.parse(frame));
        } catch (ThriftCall.MalformedCallException e) {
            assertNotNull(e.getMessage());
        }
    }

    @Property(seed = "13")
    void damagedCallIsMalformedOrACall(@ForAll byte damage, @ForAll int position) {
        ByteBuf frame = ThriftCalls.dispatch(5, Map.of("c", "video-parts", "seg", "3"), new byte[20])
                .skipBytes(Integer.BYTES);
        frame.setByte(frame.readerIndex() + Math.floorMod(position, frame.readableBytes()), damage);
        try {
            assertNotNull(ThriftCall.parse(frame));
        } catch (ThriftCall.MalformedCallException e) {
            assertNotNull(e.getMessage());
        }
    }

    @Property(seed = "14")
    void randomStreamFailsOnlyAsMalformed(@ForAll @Size(max = 300) byte[] input, @ForAll long splitSeed) {
        List<Object> frames = ChunkedInput.feedGarbage(
                new EmbeddedChannel(new ThriftFrameDecoder(MAX_FRAME, new ByteBudget(2 * MAX_FRAME, 1).newShare())),
                input,
                splitSeed);
        if (frames != null) {
            frames.forEach(f -> assertTrue(((ByteBuf) f).release()));
        }
    }

    /** Extreme values would keep a request pending without end, or distort the statistics on sizes. */
    @Property(seed = "16")
    void numbersOutOfRangeAreNamed(@ForAll("outOfRange") String value) {
        for (String name : List.of("d", "seg", "bucket", "m")) {
            Map<String, String> fields = new HashMap<>(Map.of(
                    "c",
                    "small",
                    "i",
                    "9b1f03aa5c7e2d41",
                    "d",
                    "5000",
                    "o",
                    "7f3a9c21e0b4d655",
                    "seg",
                    "3",
                    "bucket",
                    "255",
                    "m",
                    "412.5"));
            RequestFields.parse(fields, Unpooled.EMPTY_BUFFER, ClientConnectionTest.CLASSES);
            fields.put(name, value);
            IllegalArgumentException e = assertThrows(
                    IllegalArgumentException.class,
                    () -> RequestFields.parse(fields, Unpooled.EMPTY_BUFFER, ClientConnectionTest.CLASSES));
            assertTrue(e.getMessage().startsWith("field " + name), e.getMessage());
        }
    }

    @Provide
    Arbitrary<String> outOfRange() {
        return Arbitraries.oneOf(
                Arbitraries.of("NaN", "-1", "1e30", "Infinity"),
                Arbitraries.longs().greaterOrEqual(1 << 21).map(String::valueOf));
    }

    @Property(seed = "15")
    void invalidFieldsAreNamed(@ForAll @StringLength(max = 20) String value) {
        for (String name : List.of("c", "i", "d", "o", "seg", "bucket", "etag", "k")) {
            Map<String, String> fields = ThriftCalls.fields("small", "9b1f03aa5c7e2d41");
            fields.put(name, "x," + value);
            IllegalArgumentException e = assertThrows(
                    IllegalArgumentException.class,
                    () -> RequestFields.parse(fields, Unpooled.EMPTY_BUFFER, ClientConnectionTest.CLASSES));
            assertTrue(e.getMessage().startsWith("field " + name), e.getMessage());
        }
    }
}
