package barleyspur.front.thrift;

import barleyspur.doorman.Request;
import barleyspur.reload.RequestClassRegistry;
import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses and validates the fields of a request. The exception message names the invalid field and is sent to the
 * client.
 */
final class RequestFields {

    private static final int HEX = 16;
    /** ASCII digits only: Java's number parsers also accept signs and other scripts' digits, depots might not. */
    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");

    private static final Pattern INTEGER = Pattern.compile("[0-9]{1,9}");
    /** Values that are copied into a depot's field list; they must not contain its separators. */
    private static final Pattern TOKEN = Pattern.compile("[!-~&&[^,=\"]]{1,256}");

    private static final int MAX_PART = 1 << 20;
    private static final int MAX_GROUP = 255;
    /** Far above the size of any object: a single extreme value would distort the statistics on sizes. */
    private static final double MAX_SIZE_KB = 1 << 20;

    private final Map<String, String> fields;

    private RequestFields(Map<String, String> fields) {
        this.fields = fields;
    }

    /** Returns the request; its body still belongs to the frame. */
    static Request parse(Map<String, String> fields, ByteBuf body, RequestClassRegistry classes) {
        return new RequestFields(fields).toRequest(body, classes);
    }

    private Request toRequest(ByteBuf body, RequestClassRegistry classes) {
        String className = required("c");
        int category = classes.numberOf(className);
        if (category < 0) {
            throw new IllegalArgumentException("field c: unknown class");
        }
        String id = required("i");
        hex("i", id);
        String key = required("o");
        String size = fields.get("m");
        int maxMs = (int) Math.ceil(classes.classes().get(category).deadlineMs());
        return new Request(
                id,
                category,
                className,
                key,
                hex("o", key),
                required("seg"),
                integer("seg", MAX_PART),
                integer("bucket", MAX_GROUP),
                integer("d", maxMs),
                size == null ? 0 : sizeKb("m", size),
                optionalToken("etag"),
                optionalToken("k"),
                body);
    }

    /** Returns the value of an optional field, or null if it is missing. */
    private String optionalToken(String name) {
        String value = fields.get(name);
        if (value != null && !TOKEN.matcher(value).matches()) {
            throw new IllegalArgumentException("field " + name + " is not a bare word");
        }
        return value;
    }

    private String required(String name) {
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

    private int integer(String name, int max) {
        String value = required(name);
        if (!INTEGER.matcher(value).matches() || Integer.parseInt(value) > max) {
            throw new IllegalArgumentException("field " + name + " is not a whole number up to " + max);
        }
        return Integer.parseInt(value);
    }

    private static double sizeKb(String name, String value) {
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number <= MAX_SIZE_KB) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new IllegalArgumentException("field " + name + " is not a size");
    }
}
