package barleyspur.admin.http;

import io.netty.handler.codec.DecoderException;

/**
 * Thrown for a request that can't be accepted, with the status of the response (RFC 9110 sections 15.5 and 15.6): 400
 * for input that isn't valid HTTP, 413 for a body that is too long, 431 for a head that is too long, 501 for a transfer
 * coding, 505 for another HTTP version.
 */
public final class HttpRequestException extends DecoderException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /** Creates an exception for a response with this status. */
    public HttpRequestException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Returns the status of the response. */
    public int status() {
        return status;
    }
}
