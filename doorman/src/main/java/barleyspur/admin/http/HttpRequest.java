package barleyspur.admin.http;

import io.netty.buffer.ByteBuf;
import java.util.Map;

/**
 * An HTTP/1.1 request (RFC 9112 section 3). The receiver has to release the body.
 *
 * @param target  the request target in origin form
 * @param headers the header fields by lower-case name; the values of a repeated field are joined by {@code ", "}
 *                (RFC 9110 section 5.3)
 * @param body    a slice of the input buffer
 */
public record HttpRequest(String method, String target, Map<String, String> headers, ByteBuf body) {

    /** Returns the target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
