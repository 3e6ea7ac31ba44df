package barleyspur.doorman;

import io.netty.buffer.ByteBuf;

/**
 * A client's request as any front hands it to the core. The words are kept as they came, since they are
 * passed on unchanged. {@code repeatKey} is the key by which depots drop repeats of a keyed request, null where the
 * client gave none. {@code body} belongs to the core from {@link Doorman#take} on.
 */
public record Request(
        String id,
        int category,
        String className,
        String key,
        long object,
        String partWord,
        int part,
        int group,
        double remainingMs,
        double sizeKb,
        String tag,
        String repeatKey,
        ByteBuf body) {}
