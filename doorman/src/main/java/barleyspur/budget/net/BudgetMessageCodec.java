package barleyspur.budget.net;

import barleyspur.budget.BudgetMessage;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes messages about budgets as CBOR (RFC 8949): {@code [format, kind, fields...]}. Additional elements at the end
 * are skipped. A message of an unknown kind is ignored, one of another format is rejected. Times are whole
 * milliseconds: the duration of a grant is rounded down, the remaining duration of a lease up. Not thread-safe.
 */
final class BudgetMessageCodec {

    /** Written into each message: the oldest format whose readers understand it. */
    private static final int FORMAT = 1;

    private static final int VOTE_REQUEST = 1;
    private static final int VOTE_REPLY = 2;
    private static final int VOTE_RELEASE = 3;
    private static final int LEASE_REQUEST = 4;
    private static final int LEASE_GRANTS = 5;
    private static final int REDIRECT = 6;
    private static final int MAX_ITEMS = 64;
    private static final int MAX_TEXT_LENGTH = 128;
    private static final double WEIGHT_SCALE = 1_000;
    /** Upper bound on the bytes of a message around its list of items. */
    private static final int MESSAGE_OVERHEAD_BYTES = 64;

    /** Thrown for messages that cannot be decoded; the text is the cause's label in the metrics. */
    static final class DecodeException extends Exception {
        private static final long serialVersionUID = 1L;

        DecodeException(String cause) {
            super(cause, null, false, false);
        }
    }

    private interface CborPart {
        void writeTo(CBORGenerator generator) throws IOException;
    }

    private final CBORFactory factory = new CBORFactory();

    /** Encodes a message as one or more of at most {@code maxBytes} bytes; items that are too long are left out. */
    List<byte[]> encode(BudgetMessage message, int maxBytes) {
        if (message instanceof BudgetMessage.LeaseRequest request) {
            return split(
                    request.reports(),
                    maxBytes,
                    items -> generator -> {
                        writeHeader(generator, 6, LEASE_REQUEST);
                        generator.writeNumber(request.configDigest());
                        generator.writeNumber(request.lastEpoch());
                        generator.writeNumber((long) request.sentAtMs());
                        writeItems(generator, items);
                    },
                    report -> generator -> writeReport(generator, report));
        } else if (message instanceof BudgetMessage.LeaseGrants grants) {
            return split(
                    grants.grants(),
                    maxBytes,
                    items -> generator -> {
                        writeHeader(generator, 5, LEASE_GRANTS);
                        generator.writeNumber(grants.configDigest());
                        generator.writeNumber(grants.epoch());
                        writeItems(generator, items);
                    },
                    grant -> generator -> writeGrant(generator, grant));
        }
        return List.of(toBytes(generator -> {
            if (message instanceof BudgetMessage.VoteRequest request) {
                writeHeader(generator, 5, VOTE_REQUEST);
                generator.writeNumber(request.configDigest());
                generator.writeNumber(request.ballot());
                generator.writeNumber(request.sequence());
            } else if (message instanceof BudgetMessage.VoteReply vote) {
                writeHeader(generator, 6, VOTE_REPLY);
                generator.writeNumber(vote.ballot());
                generator.writeNumber(vote.sequence());
                generator.writeBoolean(vote.granted());
                generator.writeString(vote.promisedTo());
            } else if (message instanceof BudgetMessage.VoteRelease release) {
                writeHeader(generator, 3, VOTE_RELEASE);
                generator.writeNumber(release.ballot());
            } else if (message instanceof BudgetMessage.Redirect redirect) {
                writeHeader(generator, 3, REDIRECT);
                generator.writeString(redirect.address());
            }
            generator.writeEndArray();
        }));
    }

    private interface MessageEncoder {
        CborPart encode(List<byte[]> items);
    }

    private interface ItemEncoder<T> {
        CborPart encode(T item);
    }

    private <T> List<byte[]> split(
            List<T> items, int maxBytes, MessageEncoder messageEncoder, ItemEncoder<T> itemEncoder) {
        List<byte[]> messages = new ArrayList<>();
        List<byte[]> batch = new ArrayList<>();
        int size = MESSAGE_OVERHEAD_BYTES;
        for (T item : items) {
            byte[] bytes = toBytes(itemEncoder.encode(item));
            if (size + bytes.length > maxBytes && !batch.isEmpty()) {
                messages.add(toBytes(messageEncoder.encode(batch)));
                batch = new ArrayList<>();
                size = MESSAGE_OVERHEAD_BYTES;
            }
            if (size + bytes.length <= maxBytes) {
                batch.add(bytes);
                size += bytes.length;
            }
        }
        if (!batch.isEmpty() || messages.isEmpty()) {
            messages.add(toBytes(messageEncoder.encode(batch)));
        }
        return messages;
    }

    private byte[] toBytes(CborPart part) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (CBORGenerator generator = factory.createGenerator(out)) {
            part.writeTo(generator);
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
        return out.toByteArray();
    }

    private static void writeHeader(CBORGenerator generator, int fields, int kind) throws IOException {
        generator.writeStartArray(null, fields);
        generator.writeNumber(FORMAT);
        generator.writeNumber(kind);
    }

    private static void writeItems(CBORGenerator generator, List<byte[]> items) throws IOException {
        generator.writeStartArray(null, items.size());
        for (byte[] item : items) {
            generator.writeBinary(item);
        }
        generator.writeEndArray();
        generator.writeEndArray();
    }

    private static void writeReport(CBORGenerator generator, BudgetMessage.HolderReport report) throws IOException {
        generator.writeStartArray(null, 11);
        generator.writeString(report.budget());
        generator.writeNumber(report.sequence());
        generator.writeNumber(report.acceptedSequence());
        generator.writeNumber(report.epoch());
        generator.writeNumber(report.leasedAmount());
        generator.writeNumber(report.inUse());
        generator.writeNumber(report.demand());
        generator.writeNumber(Math.round(report.weight() * WEIGHT_SCALE));
        generator.writeNumber(report.capacity());
        generator.writeNumber(report.periodId());
        generator.writeNumber((long) Math.ceil(report.remainingMs()));
        generator.writeEndArray();
    }

    private static void writeGrant(CBORGenerator generator, BudgetMessage.LeaseGrant grant) throws IOException {
        generator.writeStartArray(null, 5);
        generator.writeString(grant.budget());
        generator.writeNumber(grant.sequence());
        generator.writeNumber(grant.amount());
        generator.writeNumber((long) grant.durationMs());
        generator.writeNumber(grant.periodId());
        generator.writeEndArray();
    }

    /** Decodes a message; returns null for an unknown kind. */
    BudgetMessage decode(byte[] body) throws DecodeException {
        try (JsonParser parser = factory.createParser(body)) {
            readArrayStart(parser);
            if (readNumber(parser) != FORMAT) {
                throw new DecodeException("format");
            }
            return switch ((int) readNumber(parser)) {
                case VOTE_REQUEST ->
                    new BudgetMessage.VoteRequest(readNumber(parser), readNumber(parser), readNumber(parser));
                case VOTE_REPLY ->
                    new BudgetMessage.VoteReply(
                            readNumber(parser),
                            readNumber(parser),
                            parser.nextBooleanValue() == Boolean.TRUE,
                            readText(parser));
                case VOTE_RELEASE -> new BudgetMessage.VoteRelease(readNumber(parser));
                case LEASE_REQUEST ->
                    new BudgetMessage.LeaseRequest(
                            readNumber(parser),
                            readNumber(parser),
                            readNumber(parser),
                            readItems(parser, this::readReport));
                case LEASE_GRANTS ->
                    new BudgetMessage.LeaseGrants(
                            readNumber(parser), readNumber(parser), readItems(parser, this::readGrant));
                case REDIRECT -> new BudgetMessage.Redirect(readText(parser));
                default -> null;
            };
        } catch (IOException | RuntimeException e) {
            throw new DecodeException("form");
        }
    }

    private interface ItemDecoder<T> {
        T decode(JsonParser parser) throws IOException, DecodeException;
    }

    private <T> List<T> readItems(JsonParser parser, ItemDecoder<T> itemDecoder) throws IOException, DecodeException {
        readArrayStart(parser);
        List<T> items = new ArrayList<>();
        while (parser.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT) {
            try (JsonParser item = factory.createParser(parser.getBinaryValue())) {
                readArrayStart(item);
                items.add(itemDecoder.decode(item));
            }
            if (items.size() > MAX_ITEMS) {
                throw new DecodeException("bounds");
            }
        }
        if (parser.currentToken() != JsonToken.END_ARRAY) {
            throw new DecodeException("form");
        }
        return List.copyOf(items);
    }

    private BudgetMessage.HolderReport readReport(JsonParser parser) throws IOException, DecodeException {
        return new BudgetMessage.HolderReport(
                readText(parser),
                readUnsigned(parser),
                readUnsigned(parser),
                readNumber(parser),
                readUnsigned(parser),
                readUnsigned(parser),
                readUnsigned(parser),
                readUnsigned(parser) / WEIGHT_SCALE,
                readUnsigned(parser),
                readNumber(parser),
                readUnsigned(parser));
    }

    private BudgetMessage.LeaseGrant readGrant(JsonParser parser) throws IOException, DecodeException {
        return new BudgetMessage.LeaseGrant(
                readText(parser), readUnsigned(parser), readUnsigned(parser), readUnsigned(parser), readNumber(parser));
    }

    private static void readArrayStart(JsonParser parser) throws IOException, DecodeException {
        if (parser.nextToken() != JsonToken.START_ARRAY) {
            throw new DecodeException("form");
        }
    }

    private static long readNumber(JsonParser parser) throws IOException, DecodeException {
        if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new DecodeException("form");
        }
        return parser.getLongValue();
    }

    private static long readUnsigned(JsonParser parser) throws IOException, DecodeException {
        long number = readNumber(parser);
        if (number < 0) {
            throw new DecodeException("bounds");
        }
        return number;
    }

    private static String readText(JsonParser parser) throws IOException, DecodeException {
        String text = parser.nextTextValue();
        if (text == null || text.length() > MAX_TEXT_LENGTH) {
            throw new DecodeException("form");
        }
        return text;
    }
}
