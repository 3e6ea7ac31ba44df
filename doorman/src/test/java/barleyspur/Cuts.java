package barleyspur;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Feeds a parser bytes as a network might: in pieces of any length. */
public final class Cuts {

    private static final int MOST_PIECE = 40;

    private Cuts() {}

    /** What the parser in {@code channel} makes of {@code bytes}, cut at places that {@code seed} sets. */
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

    /** As {@link #feed}; null where the parser finds the bytes malformed in the way it is meant to. */
    public static List<Object> feedGarbage(EmbeddedChannel channel, byte[] bytes, long seed) {
        try {
            return feed(channel, bytes, seed);
        } catch (DecoderException e) {
            if (e.getCause() != null) {
                throw e;
            }
            // The rest is not read, so the end of the connection brings no second complaint.
            channel.finishAndReleaseAll();
            return null;
        }
    }

    /** The bytes of a buffer, which is released. */
    public static byte[] take(ByteBuf buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        buffer.release();
        return bytes;
    }
}
