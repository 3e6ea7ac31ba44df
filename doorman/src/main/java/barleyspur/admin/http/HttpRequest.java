package barleyspur.admin.http;

import io.netty.buffer.ByteBuf;
import java.util.Map;

/**
 * One HTTP/1.1 request as RFC 9112 section 3 has it: the method, the request target in origin form, the header fields
 * by lower-case name (a name that comes twice holds its values joined by {@code ", "}, RFC 9110 section 5.3), and the
 * body, a slice of the buffer that it was read into. Whoever is handed one releases its body.
 */
public record HttpRequest(String method, String target, Map<String, String> headers, ByteBuf body) {

    /** The target without its query, as routes name it. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
