package barleyspur.doorman;

import io.netty.buffer.ByteBuf;

/** Who waits for the answer to one request: exactly one of these is called, once. */
public interface ResponseHandler {

    /** Served: {@code body}, which now belongs to the handler, under {@code tag} (null: none). */
    void served(ByteBuf body, String tag);

    /** Served: the copy that the client holds, under {@code tag} (null: none), is the one. */
    void unchanged(String tag);

    /** Refused: trying again is harmless, after {@code pauseMs} at best. */
    void refused(double pauseMs);

    /** Failed, with no promise about the effect. */
    void failed();
}
