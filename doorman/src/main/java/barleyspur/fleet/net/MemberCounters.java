package barleyspur.fleet.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * The counters that format 2 adds to the metadata of a member, encoded as a CBOR array of integers to which later
 * formats may append more.
 *
 * @param pauses           how often its process was paused for more than two periods
 * @param generationRaises how often it raised its generation above that of another process with its name
 */
public record MemberCounters(long pauses, long generationRaises) {

    /** The datagram format that introduced the counters. */
    static final int MIN_FORMAT = 2;

    private static final CBORFactory FACTORY = new CBORFactory();

    /** Encodes the counters for {@link barleyspur.fleet.MemberMetadata#extensions}. */
    byte[] encode() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator generator = FACTORY.createGenerator(out)) {
            generator.writeStartArray(null, 2);
            generator.writeNumber(pauses);
            generator.writeNumber(generationRaises);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error when writing to memory", e);
        }
        return out.toByteArray();
    }

    /** Decodes the counters of a member; null if it published none or they are malformed. */
    static MemberCounters decode(byte[] encoded) {
        if (encoded.length == 0) {
            return null;
        }
        try (JsonParser parser = FACTORY.createParser(encoded)) {
            if (parser.nextToken() == JsonToken.START_ARRAY && parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                long pauses = parser.getLongValue();
                return parser.nextToken() == JsonToken.VALUE_NUMBER_INT
                        ? new MemberCounters(pauses, parser.getLongValue())
                        : null;
            }
        } catch (IOException e) {
            // Malformed extensions don't invalidate the rest of the metadata.
        }
        return null;
    }
}
