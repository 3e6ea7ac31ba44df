package barleyspur.depot;

import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.doorman.Depots.AttemptRequest;
import barleyspur.doorman.Request;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;

/** The messages of the depot protocol: requests as RESP arrays of bulk strings, and the fields of answers. */
final class Resp {

    private static final int INITIAL_CAPACITY = 256;

    private Resp() {}

    /**
     * Encodes a {@code serve} command up to its body, which has to be followed by {@link #CRLF}. It is written
     * {@code waitedMs} after it was ordered; the time limit that it carries is reduced by that wait.
     */
    static ByteBuf serveHeader(ByteBufAllocator alloc, AttemptRequest attemptRequest, int bodyBytes, double waitedMs) {
        ByteBuf out = alloc.buffer(INITIAL_CAPACITY);
        writeArray(out, 4, "serve", attemptRequest.request().id(), fields(attemptRequest, waitedMs));
        return writeLength(out, '$', bodyBytes);
    }

    /** The end of a line and of a bulk string. */
    static final byte[] CRLF = {'\r', '\n'};

    /** Encodes an array of these strings. */
    static ByteBuf array(ByteBufAllocator alloc, String... strings) {
        return writeArray(alloc.buffer(INITIAL_CAPACITY), strings.length, strings);
    }

    private static ByteBuf writeArray(ByteBuf out, int count, String... strings) {
        writeLength(out, '*', count);
        for (String string : strings) {
            writeLength(out, '$', ByteBufUtil.utf8Bytes(string));
            out.writeCharSequence(string, StandardCharsets.UTF_8);
            out.writeBytes(CRLF);
        }
        return out;
    }

    private static ByteBuf writeLength(ByteBuf out, char typeMarker, int number) {
        out.writeByte(typeMarker);
        out.writeCharSequence(Integer.toString(number), StandardCharsets.US_ASCII);
        return out.writeBytes(CRLF);
    }

    /**
     * Returns the fields of a request. Ages are rounded down to whole milliseconds, so that no copy older than allowed
     * is accepted.
     */
    private static String fields(AttemptRequest attemptRequest, double waitedMs) {
        Request request = attemptRequest.request();
        StringJoiner fields = new StringJoiner(",");
        fields.add("class=" + request.className())
                .add("key=" + request.key())
                .add("part=" + request.partText())
                .add("wait=" + Math.max(1, (long) (attemptRequest.timeoutMs() - waitedMs)));
        if (attemptRequest.source() != null) {
            fields.add("parent=" + attemptRequest.source());
        }
        if (attemptRequest.copyRank() > 0) {
            fields.add("shelf=" + attemptRequest.copyRank());
        }
        if (attemptRequest.maxAgeMs() > 0) {
            fields.add("accept=" + Math.max(1, (long) attemptRequest.maxAgeMs()));
        }
        String hints = hints(attemptRequest);
        if (!hints.isEmpty()) {
            fields.add("hints=" + hints);
        }
        if (request.idempotencyKey() != null) {
            fields.add("once=" + request.idempotencyKey());
        }
        if (request.tag() != null) {
            fields.add("got=" + request.tag());
        }
        return fields.toString();
    }

    private static String hints(AttemptRequest attemptRequest) {
        StringJoiner hints = new StringJoiner("+");
        if (attemptRequest.join()) {
            hints.add("ride");
        }
        if (attemptRequest.onlyHeld()) {
            hints.add("have-only");
        }
        if (attemptRequest.parentKeepsNone()) {
            hints.add("through");
        }
        if (attemptRequest.renew()) {
            hints.add("update");
        }
        return hints.toString();
    }

    /** Returns the value of the field {@code name} in a list of fields, or null if it is missing. */
    static String field(String fields, String name) {
        for (int position = 0; position < fields.length(); ) {
            int comma = fields.indexOf(',', position);
            int end = comma < 0 ? fields.length() : comma;
            if (fields.startsWith(name, position)
                    && position + name.length() < end
                    && fields.charAt(position + name.length()) == '=') {
                return fields.substring(position + name.length() + 1, end);
            }
            position = end + 1;
        }
        return null;
    }

    /**
     * Parses the value of the field {@code how}. Deployments whose settings say that depots tell all use ten notes,
     * others only some of them; notes of later protocol versions are ignored, as notes are only advice.
     */
    static Note parseNote(String how) {
        return how == null
                ? Note.NONE
                : switch (how) {
                    case "h" -> Note.HIT;
                    case "f" -> Note.FILLED;
                    case "o" -> Note.FILLED_FROM_ORIGIN;
                    case "j" -> Note.JOINED;
                    case "s" -> Note.STALE;
                    case "r" -> Note.SOURCE_REFUSED;
                    case "b" -> Note.SOURCE_FAILED;
                    case "l" -> Note.SOURCE_LACKS;
                    case "n" -> Note.NO_FILL_PLACE;
                    case "x" -> Note.ORIGIN_FAILED;
                    default -> Note.NONE;
                };
    }

    /**
     * Parses a load report. Returns the values in the order of {@code names}, or an empty list if any is missing or not
     * a number.
     */
    static List<Float> parseLoad(String stats, List<String> names) {
        if (stats == null) {
            return List.of();
        }
        String fields = stats.replace(';', ',').replace(':', '=');
        List<Float> values = new ArrayList<>(names.size());
        for (String name : names) {
            String value = field(fields, name);
            try {
                values.add(Float.parseFloat(value == null ? "" : value));
            } catch (NumberFormatException e) {
                return List.of();
            }
        }
        return values;
    }
}
