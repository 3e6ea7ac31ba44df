package barleyspur;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Feeds bytes to a decoder as a network may deliver them, in chunks of any size. */
public final class Cuts {

    private static final int MOST_PIECE = 40;

    private Cuts() {}

    /**
     * Returns what the decoder in {@code channel} makes of {@code bytes}, split into chunks of random sizes determined
     * by {@code seed}.
     */
    public static List<Object> feed(EmbeddedChannel channel, byte[] bytes, long seed) {
        Random random = new Random(seed);
        for (int at = 0; at < bytes.length; ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(MOST_PIECE));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, end - at));
            at = end;
        }
        List<Object> read = new ArrayList<>();
        for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
            read.add(o);
        }
        return read;
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
    public static byte[] take(ByteBuf buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        buffer.release();
        return bytes;
    }
}
