package barleyspur.doorman;

import io.netty.buffer.ByteBuf;

/** Receives the answer to one request: exactly one of these methods is called, once. */
public interface ResponseHandler {

    /** Answers with {@code body}, which is now owned by the handler, under {@code tag}, which may be null. */
    void served(ByteBuf body, String tag);

    /** Confirms the copy that the client holds as current, under {@code tag}, which may be null. */
    void unchanged(String tag);

    /** Refuses the request. It has not run, so a retry is safe, preferably after {@code retryAfterMs}. */
    void refused(double retryAfterMs);

    /** Fails the request; it may or may not have taken effect. */
    void failed();
}
