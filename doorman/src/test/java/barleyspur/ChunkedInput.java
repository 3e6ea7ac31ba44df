package barleyspur;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Feeds bytes to a decoder as a network may deliver them, in chunks of any size. */
public final class ChunkedInput {

    private static final int MAX_CHUNK_BYTES = 40;

    private ChunkedInput() {}

    /**
     * Returns what the decoder in {@code channel} makes of {@code bytes}, split into chunks of random sizes determined
     * by {@code seed}.
     */
    public static List<Object> feed(EmbeddedChannel channel, byte[] bytes, long seed) {
        Random random = new Random(seed);
        for (int position = 0; position < bytes.length; ) {
            int end = Math.min(bytes.length, position + 1 + random.nextInt(MAX_CHUNK_BYTES));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, position, end - position));
            position = end;
        }
        List<Object> decoded = new ArrayList<>();
        for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
            decoded.add(o);
        }
        return decoded;
    }

    /**
     * Like {@link #feed}, but returns null if the decoder rejects the bytes with its own exception, as it should for
     * malformed input.
     */
    public static List<Object> feedGarbage(EmbeddedChannel channel, byte[] bytes, long seed) {
        try {
            return feed(channel, bytes, seed);
        } catch (DecoderException e) {
            if (e.getCause() != null) {
                throw e;
            }
            // The rest is released without decoding it, so the end of the connection causes no second error.
            channel.finishAndReleaseAll();
            return null;
        }
    }

    /** Returns the bytes of a buffer and releases it. */
    public static byte[] readAndRelease(ByteBuf buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        buffer.release();
        return bytes;
    }
}
