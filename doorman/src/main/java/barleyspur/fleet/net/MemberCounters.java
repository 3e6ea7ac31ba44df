package barleyspur.fleet.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * What format 2 adds to what a member tells of itself: CBOR, an array of whole numbers, of which later formats may
 * append more.
 *
 * @param pauses how often its process stood still for over two periods
 * @param generationRaises how often it had to put its life above an earlier one's
 */
public record MemberCounters(long pauses, long generationRaises) {

    /** The format of datagrams that brought it. */
    static final int MIN_FORMAT = 2;

    private static final CBORFactory FACTORY = new CBORFactory();

    /** As it rides in {@link barleyspur.fleet.MemberMetadata#extensions}. */
    byte[] encode() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator generator = FACTORY.createGenerator(out)) {
            generator.writeStartArray(null, 2);
            generator.writeNumber(pauses);
            generator.writeNumber(generationRaises);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory can't fail", e);
        }
        return out.toByteArray();
    }

    /** What a member told, or null where it told nothing of the kind. */
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
            // Told by a member that is not well; its other words are good.
        }
        return null;
    }
}
