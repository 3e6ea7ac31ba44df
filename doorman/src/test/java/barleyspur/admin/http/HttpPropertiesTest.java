package barleyspur.admin.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.ChunkedInput;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Property tests of the HTTP request decoder with split input, random input and input that RFC 9112 rejects. */
class HttpPropertiesTest {

    private static final int MAX_HEAD = 1_024;
    private static final int MAX_BODY = 4_096;

    private static EmbeddedChannel decoder() {
        return new EmbeddedChannel(new HttpRequestDecoder(MAX_HEAD, MAX_BODY));
    }

    private static byte[] encode(String method, String path, Map<String, String> fields, byte[] body, String lineEnd) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1" + lineEnd);
        fields.forEach((k, v) ->
                head.append("X-").append(k).append(":  ").append(v).append(" ").append(lineEnd));
        if (body.length > 0) {
            head.append("Content-Length: ").append(body.length).append(lineEnd);
        }
        byte[] start = head.append(lineEnd).toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    /** Input that is split anywhere results in exactly one complete request. */
    @Property(seed = "41")
    void requestsDecodeHoweverSplit(
            @ForAll @AlphaChars @StringLength(min = 1, max = 8) String method,
            @ForAll @AlphaChars @StringLength(max = 30) String path,
            @ForAll @Size(max = 4)
                    Map<
                                    @AlphaChars @StringLength(min = 1, max = 10) String,
                                    @NumericChars @StringLength(max = 20) String>
                            fields,
            @ForAll @Size(max = 300) byte[] body,
            @ForAll boolean bareLf,
            @ForAll long splitSeed) {
        byte[] bytes = encode(method, "/" + path, fields, body, bareLf ? "\n" : "\r\n");
        byte[] following = "GET /after HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        byte[] twice = new byte[bytes.length + following.length];
        System.arraycopy(bytes, 0, twice, 0, bytes.length);
        System.arraycopy(following, 0, twice, bytes.length, following.length);
        List<Object> read = ChunkedInput.feed(decoder(), twice, splitSeed);
        assertEquals(1, read.size(), "one request per connection: the rest is discarded");
        HttpRequest request = (HttpRequest) read.get(0);
        assertEquals(method, request.method());
        assertEquals("/" + path, request.path());
        Map<String, String> expected = new HashMap<>();
        fields.forEach((k, v) -> expected.merge("x-" + k.toLowerCase(Locale.ROOT), v, (a, b) -> a + ", " + b));
        expected.forEach(
                (k, v) -> assertEquals(v.length(), request.headers().get(k).length(), k));
        assertEquals(Unpooled.wrappedBuffer(body), request.body());
        request.body().release();
    }

    /** Random input results in a request, an exception with a status, or nothing yet, and in no other exception. */
    @Property(seed = "42")
    void randomInputIsARequestAnErrorOrNothing(
            @ForAll @Size(max = 400) byte[] input, @ForAll boolean withHead, @ForAll long splitSeed) {
        byte[] head = withHead ? "PUT /admin/quiesce HTTP/1.1\r\n".getBytes(StandardCharsets.ISO_8859_1) : new byte[0];
        byte[] bytes = new byte[head.length + input.length];
        System.arraycopy(head, 0, bytes, 0, head.length);
        System.arraycopy(input, 0, bytes, head.length, input.length);
        List<Object> read = ChunkedInput.feedGarbage(decoder(), bytes, splitSeed);
        if (read != null) {
            assertTrue(read.size() <= 1);
            read.forEach(r -> ((HttpRequest) r).body().release());
        }
    }

    /** A head without an end is rejected at the size limit, however the input is split. */
    @Property(seed = "43")
    void endlessHeadIsRejected(@ForAll long splitSeed, @ForAll @IntRange(min = 0, max = 2) int kind) {
        String filler =
                switch (kind) {
                    case 0 -> "x";
                    case 1 -> "a: b\r\n";
                    default -> "\r";
                };
        byte[] bytes = ("GET / HTTP/1.1\r\n" + filler.repeat(2 * MAX_HEAD)).getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(431, status(bytes, splitSeed));
    }

    private static int status(byte[] bytes, long splitSeed) {
        HttpRequestException exception =
                assertThrows(HttpRequestException.class, () -> ChunkedInput.feed(decoder(), bytes, splitSeed));
        return exception.status();
    }

    private static int status(String text) {
        return status(text.getBytes(StandardCharsets.ISO_8859_1), 7);
    }

    @Example
    void invalidRequestsHaveTheirStatus() {
        assertEquals(400, status("GET /a HTTP/1.1\r\n folded\r\n\r\n"), "obsolete line folding, section 5.2");
        assertEquals(400, status("GET /a HTTP/1.1\r\nHost : x\r\n\r\n"), "space before the colon, section 5.1");
        assertEquals(400, status("GET  /a HTTP/1.1\r\n\r\n"), "two spaces in the request line, section 3");
        assertEquals(400, status("GET http://x/a HTTP/1.1\r\n\r\n"), "only the origin form is served");
        assertEquals(400, status("GET /a HTTP/1.1\r\nContent-Length: 1, 2\r\n\r\n"), "section 6.3");
        assertEquals(413, status("PUT /a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"));
        assertEquals(501, status("PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
        assertEquals(505, status("GET /a HTTP/2.0\r\n\r\n"));
    }

    @Example
    void leadingEmptyLinesAndRepeatedLengthsAreAccepted() {
        List<Object> read = ChunkedInput.feed(
                decoder(),
                ("\r\n\r\nPUT /admin/resume?x=1 HTTP/1.0\r\nContent-Length: 2, 2\r\n" + "\r\nok")
                        .getBytes(StandardCharsets.ISO_8859_1),
                3);
        HttpRequest request = (HttpRequest) read.get(0);
        assertEquals("/admin/resume", request.path());
        ByteBuf body = request.body();
        assertEquals("ok", body.toString(StandardCharsets.ISO_8859_1));
        body.release();
    }
}
