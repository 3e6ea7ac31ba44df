package barleyspur.doorman;

import io.netty.buffer.ByteBuf;

/**
 * Receives the answer to one request. Exactly one of the four answers is given, once, unless the client leaves before;
 * {@link #released} follows in any case.
 */
public interface ResponseHandler {

    /** Answers with {@code body}, which is now owned by the handler, under {@code tag}, which may be null. */
    void served(ByteBuf body, String tag);

    /** Confirms the copy that the client holds as current, under {@code tag}, which may be null. */
    void unchanged(String tag);

    /** Refuses the request. It has not run, so a retry is safe, preferably after {@code retryAfterMs}. */
    void refused(double retryAfterMs);

    /** Fails the request; it may or may not have taken effect. */
    void failed();

    /** Reports that nothing of the request is kept any more: it has ended, and so have all its attempts. */
    default void released() {}
}
