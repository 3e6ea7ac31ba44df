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
 * @param stills how often its process stood still for over two periods
 * @param raises how often it had to put its life above an earlier one's
 */
public record Counters(long stills, long raises) {

    /** The format of datagrams that brought it. */
    static final int FORMAT = 2;

    private static final CBORFactory FACTORY = new CBORFactory();

    /** As it rides in {@link barleyspur.fleet.About#more}. */
    byte[] encode() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator g = FACTORY.createGenerator(out)) {
            g.writeStartArray(null, 2);
            g.writeNumber(stills);
            g.writeNumber(raises);
            g.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory can't fail", e);
        }
        return out.toByteArray();
    }

    /** What a member told, or null where it told nothing of the kind. */
    static Counters decode(byte[] more) {
        if (more.length == 0) {
            return null;
        }
        try (JsonParser p = FACTORY.createParser(more)) {
            if (p.nextToken() == JsonToken.START_ARRAY && p.nextToken() == JsonToken.VALUE_NUMBER_INT) {
                long stills = p.getLongValue();
                return p.nextToken() == JsonToken.VALUE_NUMBER_INT ? new Counters(stills, p.getLongValue()) : null;
            }
        } catch (IOException e) {
            // Told by a member that is not well; its other words are good.
        }
        return null;
    }
}
