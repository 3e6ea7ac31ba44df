package barleyspur.admin.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP/1.1 response with a text body. It closes its connection ({@code Connection: close}, RFC 9112 section 9.6),
 * since a connection carries one request only.
 *
 * @param headers header fields in addition to those that every response has
 */
public record HttpResponse(int status, Map<String, String> headers, String contentType, String body) {

    private static final Map<Integer, String> REASON_PHRASES = Map.ofEntries(
            Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(501, "Not Implemented"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(505, "HTTP Version Not Supported"));

    /** Returns a response whose body is one JSON object. */
    public static HttpResponse json(int status, String body) {
        return new HttpResponse(status, Map.of(), "application/json", body + "\n");
    }

    /** Returns an error response with the message as plain text. */
    public static HttpResponse error(int status, String message) {
        return new HttpResponse(status, Map.of(), "text/plain; charset=utf-8", message + "\n");
    }

    /** Returns a copy with an additional header field. */
    public HttpResponse withHeader(String name, String value) {
        Map<String, String> extended = new LinkedHashMap<>(headers);
        extended.put(name, value);
        return new HttpResponse(status, Map.copyOf(extended), contentType, body);
    }

    /** Returns the encoded response. */
    public ByteBuf encode(ByteBufAllocator alloc) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(128)
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(REASON_PHRASES.getOrDefault(status, "Status"))
                .append("\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Type: ")
                .append(contentType)
                .append("\r\nContent-Length: ")
                .append(content.length)
                .append("\r\nConnection: close\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuf out = alloc.buffer(headBytes.length + content.length);
        return out.writeBytes(headBytes).writeBytes(content);
    }
}
