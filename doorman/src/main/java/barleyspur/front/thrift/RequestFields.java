package barleyspur.front.thrift;

import barleyspur.doorman.Request;
import barleyspur.reload.RequestClassRegistry;
import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses and validates the fields of a request; the exception message names the field that is invalid. */
final class RequestFields {

    private static final int HEX = 16;
    /** ASCII digits only: Java's number parsers also accept signs and other scripts' digits, depots might not. */
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");
    /** Values that are copied into a depot's field list; they must not contain its separators. */
    private static final Pattern BARE = Pattern.compile("[!-~&&[^,=\"]]{1,256}");

    private static final int MOST_PART = 1 << 20;
    private static final int MOST_GROUP = 255;
    /** Far above the size of any object: a single extreme value would distort the statistics on sizes. */
    private static final double MOST_KB = 1 << 20;

    private final Map<String, String> fields;

    private RequestFields(Map<String, String> fields) {
        this.fields = fields;
    }

    /** Returns the request; its body still belongs to the frame. */
    static Request read(Map<String, String> fields, ByteBuf body, RequestClassRegistry classes) {
        return new RequestFields(fields).request(body, classes);
    }

    private Request request(ByteBuf body, RequestClassRegistry classes) {
        String className = word("c");
        int category = classes.number(className);
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

    /** Returns the value of an optional field, or null if it is missing. */
    private String bare(String name) {
        String value = fields.get(name);
        if (value != null && !BARE.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "field " + name + " is not 1 to 256 visible ASCII characters without , = or quote");
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
            throw new IllegalArgumentException("field " + name + " is not an integer from 0 to " + most);
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
            // Reported below.
        }
        throw new IllegalArgumentException("field " + name + " is not a valid size in kB");
    }
}
