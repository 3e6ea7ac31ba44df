package barleyspur.front.thrift;

import barleyspur.doorman.Request;
import barleyspur.reload.RequestClassRegistry;
import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads a request's fields; what a client must not send is named in the exception's message. */
final class RequestFields {

    private static final int HEX = 16;
    /** Only these digits: the number parsers also take signs and other scripts' digits, which depots may not. */
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");
    /** Goes on into a depot's list of fields, so it must not be able to end its field and begin another. */
    private static final Pattern BARE = Pattern.compile("[!-~&&[^,=\"]]{1,256}");

    private static final int MOST_PART = 1 << 20;
    private static final int MOST_GROUP = 255;
    /** Far above any object's: one figure out of all measure would spoil what is learned from sizes. */
    private static final double MOST_KB = 1 << 20;

    private final Map<String, String> fields;

    private RequestFields(Map<String, String> fields) {
        this.fields = fields;
    }

    /** The request; its body is still the frame's. */
    static Request read(Map<String, String> fields, ByteBuf body, RequestClassRegistry classes) {
        return new RequestFields(fields).request(body, classes);
    }

    private Request request(ByteBuf body, RequestClassRegistry classes) {
        String className = word("c");
        int category = classes.numberOf(className);
        if (category < 0) {
            throw new IllegalArgumentException("field c: unknown class");
        }
        String id = word("i");
        hex("i", id);
        String key = word("o");
        String size = fields.get("m");
        int mostMs = (int) Math.ceil(classes.classes().get(category).deadlineMs());
        return new Request(
                id,
                category,
                className,
                key,
                hex("o", key),
                word("seg"),
                whole("seg", MOST_PART),
                whole("bucket", MOST_GROUP),
                whole("d", mostMs),
                size == null ? 0 : decimal("m", size),
                bare("etag"),
                bare("k"),
                body);
    }

    /** A word that may be missing; null then. */
    private String bare(String name) {
        String value = fields.get(name);
        if (value != null && !BARE.matcher(value).matches()) {
            throw new IllegalArgumentException("field " + name + " is not a bare word");
        }
        return value;
    }

    private String word(String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("field " + name + " is missing");
        }
        return value;
    }

    private static long hex(String name, String value) {
        if (!ID.matcher(value).matches()) {
            throw new IllegalArgumentException("field " + name + " is not 16 hex digits");
        }
        return Long.parseUnsignedLong(value, HEX);
    }

    private int whole(String name, int most) {
        String value = word(name);
        if (!WHOLE.matcher(value).matches() || Integer.parseInt(value) > most) {
            throw new IllegalArgumentException("field " + name + " is not a whole number up to " + most);
        }
        return Integer.parseInt(value);
    }

    private static double decimal(String name, String value) {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number <= MOST_KB) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new IllegalArgumentException("field " + name + " is not a size");
    }
}
