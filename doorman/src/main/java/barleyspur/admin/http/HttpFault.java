package barleyspur.admin.http;

import io.netty.handler.codec.DecoderException;

/**
 * A request that can't be taken, with the status that says why (RFC 9110 section 15.5 and 15.6): 400 for what is not
 * HTTP, 413 for too long a body, 431 for too long a head, 501 for a transfer coding, 505 for another version.
 */
public final class HttpFault extends DecoderException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /** A fault of the request that is answered with this status. */
    public HttpFault(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status of the answer that tells the caller. */
    public int status() {
        return status;
    }
}
