package barleyspur.admin.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Decodes one HTTP/1.1 request from a stream (RFC 9112): the request line (section 3), header fields (section 5), and a
 * body of {@code Content-Length} bytes (section 6.2). A connection carries one request, so everything after a complete
 * request is discarded. Lines may end in CRLF or in a bare LF (section 2.2). A head of more than {@code maxHeadBytes}
 * results in status 431, a body of more than {@code maxBodyBytes} in 413. An invalid request throws
 * {@link HttpRequestException}; nothing more is decoded afterwards.
 */
public final class HttpRequestDecoder extends ByteToMessageDecoder {

    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int HEADER_FIELDS_TOO_LARGE = 431;
    private static final int NOT_IMPLEMENTED = 501;
    private static final int VERSION_NOT_SUPPORTED = 505;
    /** The characters that a token may contain besides letters and digits (RFC 9110 section 5.6.2). */
    private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";

    private final int maxHeadBytes;
    private final int maxBodyBytes;
    /** How many of the readable bytes have already been searched for the end of the head. */
    private int searched;

    private String method;
    private String target;
    private Map<String, String> headers;
    private int bodyLength = -1;
    private boolean done;

    /** Creates a decoder with the maximum sizes of head and body in bytes. */
    public HttpRequestDecoder(int maxHeadBytes, int maxBodyBytes) {
        this.maxHeadBytes = maxHeadBytes;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Whether a complete request has been received, or an invalid one was rejected. */
    public boolean done() {
        return done;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (done) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (bodyLength < 0 && !parseHead(in)) {
            return;
        }
        if (in.readableBytes() >= bodyLength) {
            done = true;
            out.add(new HttpRequest(method, target, headers, in.readRetainedSlice(bodyLength)));
            in.skipBytes(in.readableBytes());
        }
    }

    /** Parses the head and returns true if it is complete. */
    private boolean parseHead(ByteBuf in) {
        int start = in.readerIndex();
        int end = endOfHead(in, start);
        if (end < 0) {
            if (in.readableBytes() > maxHeadBytes) {
                throw invalid(in, HEADER_FIELDS_TOO_LARGE, "a head of over " + maxHeadBytes + " bytes");
            }
            return false;
        }
        if (end - start > maxHeadBytes) {
            throw invalid(in, HEADER_FIELDS_TOO_LARGE, "a head of over " + maxHeadBytes + " bytes");
        }
        String text = in.toString(start, end - start, StandardCharsets.ISO_8859_1);
        in.readerIndex(end);
        String[] lines = text.split("\r?\n", -1);
        // RFC 9112 section 2.2: empty lines before the request line are ignored.
        int first = 0;
        while (first < lines.length && lines[first].isEmpty()) {
            first++;
        }
        if (first == lines.length) {
            throw invalid(in, BAD_REQUEST, "no request line");
        }
        parseRequestLine(in, lines[first]);
        headers = new LinkedHashMap<>();
        for (int i = first + 1; i < lines.length; i++) {
            if (!lines[i].isEmpty()) {
                parseField(in, lines[i]);
            }
        }
        bodyLength = parseBodyLength(in);
        return true;
    }

    /**
     * Returns the index just after the empty line that ends the head, or -1 if it hasn't been received yet. Empty lines
     * before the request line don't count. A line feed at the end of the input is examined again with the next input.
     */
    private int endOfHead(ByteBuf in, int start) {
        int limit = in.writerIndex();
        int from = start;
        while (from < limit && (in.getByte(from) == '\r' || in.getByte(from) == '\n')) {
            from++;
        }
        for (int i = Math.max(from, start + searched); i < limit; i++) {
            if (in.getByte(i) != '\n') {
                continue;
            }
            if (i + 1 < limit && in.getByte(i + 1) == '\n') {
                return i + 2;
            }
            if (i + 2 < limit && in.getByte(i + 1) == '\r' && in.getByte(i + 2) == '\n') {
                return i + 3;
            }
            if (i + 2 >= limit) {
                searched = i - start;
                return -1;
            }
        }
        searched = limit - start;
        return -1;
    }

    private void parseRequestLine(ByteBuf in, String line) {
        String[] parts = line.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || parts[1].isEmpty()) {
            throw invalid(in, BAD_REQUEST, "no request line: method, target and version apart by one space");
        }
        if (!parts[2].matches("HTTP/[0-9]\\.[0-9]")) {
            throw invalid(in, BAD_REQUEST, "no HTTP version");
        }
        if (!parts[2].startsWith("HTTP/1.")) {
            throw invalid(in, VERSION_NOT_SUPPORTED, "version " + parts[2] + " is not spoken");
        }
        for (int i = 0; i < parts[1].length(); i++) {
            char c = parts[1].charAt(i);
            if (c <= ' ' || c >= 0x7f) {
                throw invalid(in, BAD_REQUEST, "the target holds a byte that is not visible ASCII");
            }
        }
        if (parts[1].charAt(0) != '/') {
            throw invalid(in, BAD_REQUEST, "the target is not in origin form");
        }
        method = parts[0];
        target = parts[1];
    }

    /** Parses a header field (RFC 9112 section 5). */
    private void parseField(ByteBuf in, String line) {
        if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
            throw invalid(in, BAD_REQUEST, "a folded header line");
        }
        int colon = line.indexOf(':');
        if (colon <= 0 || !isToken(line.substring(0, colon))) {
            throw invalid(in, BAD_REQUEST, "a header line without a name and a colon");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).strip();
        headers.merge(name, value, (a, b) -> a + ", " + b);
    }

    private int parseBodyLength(ByteBuf in) {
        if (headers.containsKey("transfer-encoding")) {
            throw invalid(in, NOT_IMPLEMENTED, "no transfer coding is spoken; send Content-Length");
        }
        String length = headers.get("content-length");
        if (length == null) {
            return 0;
        }
        // RFC 9110 section 8.6: a list that repeats one value counts as that value.
        String[] values = length.split("\\s*,\\s*");
        for (String value : values) {
            if (!value.equals(values[0]) || !value.matches("[0-9]{1,10}")) {
                throw invalid(in, BAD_REQUEST, "Content-Length is not one number");
            }
        }
        long bytes = Long.parseLong(values[0]);
        if (bytes > maxBodyBytes) {
            throw invalid(in, CONTENT_TOO_LARGE, "a body of over " + maxBodyBytes + " bytes");
        }
        return (int) bytes;
    }

    private static boolean isToken(String text) {
        if (text.isEmpty()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9'
                    || c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || TOKEN_CHARACTERS.indexOf(c) >= 0)) {
                return false;
            }
        }
        return true;
    }

    /** Creates the exception and discards the input: otherwise the end of the connection would cause a second one. */
    private HttpRequestException invalid(ByteBuf in, int status, String message) {
        done = true;
        in.skipBytes(in.readableBytes());
        return new HttpRequestException(status, message);
    }
}
