package barleyspur.doorman;

import io.netty.buffer.ByteBuf;

/**
 * A client's request, independent of the protocol that it arrived on. The text fields are passed on to depots
 * unchanged.
 *
 * @param category the number of the request's class
 * @param className the name of the class as the client wrote it
 * @param key the object's key as the client wrote it
 * @param object the object's key as a number
 * @param partText the part as the client wrote it
 * @param remainingMs how long the client waits from the arrival of the request
 * @param sizeKb the expected size of the answer; 0 if unknown
 * @param tag the tag of the copy that the client holds; null if it holds none
 * @param idempotencyKey the key by which depots drop repeats of a keyed request; null if the client sent none
 * @param body the request's body; owned by the core once passed to {@link Doorman#accept}
 */
public record Request(
        String id,
        int category,
        String className,
        String key,
        long object,
        String partText,
        int part,
        int group,
        double remainingMs,
        double sizeKb,
        String tag,
        String idempotencyKey,
        ByteBuf body) {}
