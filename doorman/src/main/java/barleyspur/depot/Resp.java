package barleyspur.depot;

import barleyspur.decision.Director.Note;
import barleyspur.doorman.Depots.Order;
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

    private static final int HEAD = 256;

    private Resp() {}

    /**
     * Encodes a {@code serve} command up to its body, which has to be followed by {@link #CRLF}. It is written
     * {@code waitedMs} after it was ordered; the time limit that it carries is reduced by that wait.
     */
    static ByteBuf serveHead(ByteBufAllocator alloc, Order order, int bodyBytes, double waitedMs) {
        ByteBuf out = alloc.buffer(HEAD);
        words(out, 4, "serve", order.request().id(), fields(order, waitedMs));
        return line(out, '$', bodyBytes);
    }

    /** The end of a line and of a bulk string. */
    static final byte[] END = {'\r', '\n'};

    /** Encodes an array of these strings. */
    static ByteBuf message(ByteBufAllocator alloc, String... words) {
        return words(alloc.buffer(HEAD), words.length, words);
    }

    private static ByteBuf words(ByteBuf out, int count, String... words) {
        line(out, '*', count);
        for (String word : words) {
            line(out, '$', ByteBufUtil.utf8Bytes(word));
            out.writeCharSequence(word, StandardCharsets.UTF_8);
            out.writeBytes(END);
        }
        return out;
    }

    private static ByteBuf line(ByteBuf out, char mark, int number) {
        out.writeByte(mark);
        out.writeCharSequence(Integer.toString(number), StandardCharsets.US_ASCII);
        return out.writeBytes(END);
    }

    /**
     * Returns the fields of a request. Ages are rounded down to whole milliseconds, so that no copy older than allowed
     * is accepted.
     */
    private static String fields(Order order, double waitedMs) {
        Request request = order.request();
        StringJoiner fields = new StringJoiner(",");
        fields.add("class=" + request.className())
                .add("key=" + request.key())
                .add("part=" + request.partWord())
                .add("wait=" + Math.max(1, (long) (order.waitMs() - waitedMs)));
        if (order.source() != null) {
            fields.add("parent=" + order.source());
        }
        if (order.shelf() > 0) {
            fields.add("shelf=" + order.shelf());
        }
        if (order.maxAgeMs() > 0) {
            fields.add("accept=" + Math.max(1, (long) order.maxAgeMs()));
        }
        String hints = hints(order);
        if (!hints.isEmpty()) {
            fields.add("hints=" + hints);
        }
        if (request.repeatKey() != null) {
            fields.add("once=" + request.repeatKey());
        }
        if (request.tag() != null) {
            fields.add("got=" + request.tag());
        }
        return fields.toString();
    }

    private static String hints(Order order) {
        StringJoiner hints = new StringJoiner("+");
        if (order.join()) {
            hints.add("ride");
        }
        if (order.onlyHeld()) {
            hints.add("have-only");
        }
        if (order.parentKeepsNone()) {
            hints.add("through");
        }
        if (order.renew()) {
            hints.add("update");
        }
        return hints.toString();
    }

    /** Returns the value of the field {@code name} in a list of fields, or null if it is missing. */
    static String field(String fields, String name) {
        for (int at = 0; at < fields.length(); ) {
            int comma = fields.indexOf(',', at);
            int end = comma < 0 ? fields.length() : comma;
            if (fields.startsWith(name, at) && at + name.length() < end && fields.charAt(at + name.length()) == '=') {
                return fields.substring(at + name.length() + 1, end);
            }
            at = end + 1;
        }
        return null;
    }

    /** Parses the value of the field {@code how}. */
    static Note note(String how) {
        return how == null
                ? Note.NONE
                : switch (how) {
                    case "h" -> Note.HIT;
                    case "f" -> Note.FILLED;
                    case "j" -> Note.JOINED;
                    case "s" -> Note.STALE;
                    default -> Note.NONE;
                };
    }

    /**
     * Parses a load report. Returns the values in the order of {@code names}, or an empty list if any is missing or not
     * a number.
     */
    static List<Float> load(String stats, List<String> names) {
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
