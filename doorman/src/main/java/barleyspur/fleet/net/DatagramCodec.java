package barleyspur.fleet.net;

import barleyspur.fleet.Datagram;
import barleyspur.fleet.DatagramSizes;
import barleyspur.fleet.MemberMetadata;
import barleyspur.fleet.MemberState;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.Message;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes and decodes the datagrams of a fleet: CBOR (RFC 8949) followed by the first 16 bytes of its HMAC-SHA256 (RFC
 * 2104) under the fleet's key, which is verified before anything is parsed. A datagram is the array
 * {@code [format, fleet, sender, digest, message, gossip]}, where the format is the oldest one that can read it. For
 * compatibility with newer formats, unknown array elements are skipped, a message of an unknown kind is read as
 * {@link Message.Gossip}, and extensions of the metadata are kept to be forwarded unchanged. Not thread-safe.
 */
public final class DatagramCodec {

    /** The format number written into each datagram: a reader of format 1 can read everything sent so far. */
    private static final int OLDEST_COMPATIBLE_FORMAT = 1;

    private static final int TAG_BYTES = 16;
    private static final String TAG_ALGORITHM = "HmacSHA256";
    /** More records than fit in a datagram. */
    private static final int MAX_GOSSIP_RECORDS = 64;

    private static final int MAX_BUCKETS = 128;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;
    private static final int NACK = 4;
    private static final int GOSSIP = 5;
    private static final int DIGEST_EXCHANGE = 6;
    private static final int PAYLOAD = 7;

    /**
     * Thrown for a datagram that must be dropped; the message is one of a few fixed causes and used as a metric label.
     */
    public static final class InvalidDatagramException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidDatagramException(String cause) {
            super(cause, null, false, false);
        }
    }

    private final CBORFactory factory = new CBORFactory();
    private final String fleet;
    private final Mac mac;

    /**
     * Creates a codec for the datagrams of one fleet.
     *
     * @param key the key of the fleet, at least 16 bytes
     */
    public DatagramCodec(String fleet, byte[] key) {
        this.fleet = fleet;
        try {
            mac = Mac.getInstance(TAG_ALGORITHM);
            mac.init(new SecretKeySpec(key, TAG_ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform must support " + TAG_ALGORITHM, e);
        }
    }

    /** Encodes a datagram to at most {@link DatagramSizes#MAX_DATAGRAM_BYTES} bytes. */
    public byte[] encode(Datagram datagram) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(DatagramSizes.MAX_DATAGRAM_BYTES);
        try (CBORGenerator generator = factory.createGenerator(out)) {
            generator.writeStartArray(null, 6);
            generator.writeNumber(OLDEST_COMPATIBLE_FORMAT);
            generator.writeString(fleet);
            write(generator, datagram.sender());
            generator.writeNumber(datagram.digest());
            write(generator, datagram.message());
            generator.writeStartArray(null, datagram.gossip().size());
            for (MembershipRecord record : datagram.gossip()) {
                write(generator, record);
            }
            generator.writeEndArray();
            generator.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("unexpected I/O error when writing to memory", e);
        }
        byte[] body = out.toByteArray();
        byte[] bytes = Arrays.copyOf(body, body.length + TAG_BYTES);
        System.arraycopy(mac.doFinal(body), 0, bytes, body.length, TAG_BYTES);
        return bytes;
    }

    private static void write(CBORGenerator generator, MembershipRecord record) throws IOException {
        MemberMetadata metadata = record.metadata();
        boolean hasExtensions = metadata.extensions().length > 0;
        generator.writeStartArray(null, hasExtensions ? 13 : 12);
        generator.writeString(record.name());
        generator.writeNumber(record.generation());
        generator.writeNumber(record.nonce());
        generator.writeNumber(record.incarnation());
        generator.writeNumber(record.state().ordinal());
        generator.writeString(record.accuser());
        generator.writeString(metadata.address());
        generator.writeString(metadata.zone());
        generator.writeString(metadata.phase());
        generator.writeString(metadata.programVersion());
        generator.writeNumber(metadata.settingsDigest());
        generator.writeNumber(metadata.newestFormat());
        if (hasExtensions) {
            generator.writeBinary(metadata.extensions());
        }
        generator.writeEndArray();
    }

    private static void write(CBORGenerator generator, Message message) throws IOException {
        if (message instanceof Message.Ping ping) {
            writeMessageHead(generator, 3, PING, ping.sequence());
            generator.writeString(ping.target());
        } else if (message instanceof Message.Ack ack) {
            writeMessageHead(generator, 3, ACK, ack.sequence());
            generator.writeString(ack.responder());
        } else if (message instanceof Message.PingRequest request) {
            writeMessageHead(generator, 4, PING_REQUEST, request.sequence());
            generator.writeString(request.target());
            generator.writeString(request.targetAddress());
        } else if (message instanceof Message.Nack nack) {
            writeMessageHead(generator, 2, NACK, nack.sequence());
        } else if (message instanceof Message.DigestExchange exchange) {
            writeMessageHead(generator, 4, DIGEST_EXCHANGE, exchange.sequence());
            generator.writeBoolean(exchange.replyRequested());
            generator.writeStartArray(null, exchange.bucketDigests().length);
            for (long bucket : exchange.bucketDigests()) {
                generator.writeNumber(bucket);
            }
            generator.writeEndArray();
        } else if (message instanceof Message.Payload payload) {
            writeMessageHead(generator, 3, PAYLOAD, 0);
            generator.writeBinary(payload.bytes());
        } else {
            writeMessageHead(generator, 2, GOSSIP, 0);
        }
        generator.writeEndArray();
    }

    private static void writeMessageHead(CBORGenerator generator, int fields, int kind, long sequence)
            throws IOException {
        generator.writeStartArray(null, fields);
        generator.writeNumber(kind);
        generator.writeNumber(sequence);
    }

    /** Verifies the tag of a datagram, decodes it and validates its fields. */
    public Datagram decode(byte[] bytes) throws InvalidDatagramException {
        if (bytes.length <= TAG_BYTES || bytes.length > DatagramSizes.MAX_DATAGRAM_BYTES) {
            throw new InvalidDatagramException("length");
        }
        int length = bytes.length - TAG_BYTES;
        mac.update(bytes, 0, length);
        byte[] tag = Arrays.copyOf(mac.doFinal(), TAG_BYTES);
        if (!MessageDigest.isEqual(tag, Arrays.copyOfRange(bytes, length, bytes.length))) {
            throw new InvalidDatagramException("tag");
        }
        try (JsonParser parser = factory.createParser(bytes, 0, length)) {
            return readDatagram(parser);
        } catch (IOException | RuntimeException e) {
            throw new InvalidDatagramException("form");
        }
    }

    private Datagram readDatagram(JsonParser parser) throws IOException, InvalidDatagramException {
        requireArrayStart(parser.nextToken());
        long format = readLong(parser);
        if (format > MemberMetadata.NEWEST_FORMAT || format < 1) {
            throw new InvalidDatagramException("format");
        }
        if (!fleet.equals(readText(parser))) {
            throw new InvalidDatagramException("fleet");
        }
        requireArrayStart(parser.nextToken());
        MembershipRecord sender = readRecord(parser);
        if (sender.metadata().address().isEmpty()) {
            throw new InvalidDatagramException("bounds");
        }
        long digest = readLong(parser);
        requireArrayStart(parser.nextToken());
        Message message = readMessage(parser);
        requireArrayStart(parser.nextToken());
        List<MembershipRecord> gossip = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            requireArrayStart(parser.currentToken());
            gossip.add(readRecord(parser));
            if (gossip.size() > MAX_GOSSIP_RECORDS) {
                throw new InvalidDatagramException("bounds");
            }
        }
        skipRest(parser);
        return new Datagram(sender, digest, message, List.copyOf(gossip));
    }

    private static MembershipRecord readRecord(JsonParser parser) throws IOException, InvalidDatagramException {
        String name = readText(parser);
        long generation = readLong(parser);
        long nonce = readLong(parser);
        long incarnation = readLong(parser);
        int state = (int) readLong(parser);
        String accuser = readText(parser);
        String address = readText(parser);
        String zone = readText(parser);
        String phase = readText(parser);
        String programVersion = readText(parser);
        long settingsDigest = readLong(parser);
        int newestFormat = (int) readLong(parser);
        byte[] extensions = null;
        if (parser.nextToken() != JsonToken.END_ARRAY) {
            extensions = parser.getBinaryValue();
            skipRest(parser);
        }
        boolean valid = !name.isEmpty()
                && generation >= 0
                && generation <= MembershipRecord.MAX_COUNTER
                && incarnation >= 0
                && incarnation <= MembershipRecord.MAX_COUNTER
                && state >= 0
                && state < MemberState.values().length
                && (extensions == null || extensions.length <= DatagramSizes.MAX_EXTENSIONS_BYTES);
        if (!valid) {
            throw new InvalidDatagramException("bounds");
        }
        return new MembershipRecord(
                name,
                generation,
                nonce,
                incarnation,
                MemberState.values()[state],
                accuser,
                new MemberMetadata(address, zone, phase, programVersion, settingsDigest, newestFormat, extensions));
    }

    private static Message readMessage(JsonParser parser) throws IOException, InvalidDatagramException {
        int kind = (int) readLong(parser);
        long sequence = readLong(parser);
        Message message =
                switch (kind) {
                    case PING -> new Message.Ping(sequence, readText(parser));
                    case ACK -> new Message.Ack(sequence, readText(parser));
                    case PING_REQUEST -> new Message.PingRequest(sequence, readText(parser), readText(parser));
                    case NACK -> new Message.Nack(sequence);
                    case DIGEST_EXCHANGE -> readDigestExchange(parser, sequence);
                    case PAYLOAD -> readPayload(parser);
                    default -> new Message.Gossip();
                };
        skipRest(parser);
        return message;
    }

    private static Message readPayload(JsonParser parser) throws IOException, InvalidDatagramException {
        if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new InvalidDatagramException("form");
        }
        return new Message.Payload(parser.getBinaryValue());
    }

    private static Message readDigestExchange(JsonParser parser, long sequence)
            throws IOException, InvalidDatagramException {
        boolean replyRequested = parser.nextBooleanValue() == Boolean.TRUE;
        requireArrayStart(parser.nextToken());
        long[] bucketDigests = new long[MAX_BUCKETS];
        int count = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            bucketDigests[count++] = parser.getLongValue();
        }
        return new Message.DigestExchange(sequence, Arrays.copyOf(bucketDigests, count), replyRequested);
    }

    private static void requireArrayStart(JsonToken token) throws InvalidDatagramException {
        if (token != JsonToken.START_ARRAY) {
            throw new InvalidDatagramException("form");
        }
    }

    private static long readLong(JsonParser parser) throws IOException, InvalidDatagramException {
        if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidDatagramException("form");
        }
        return parser.getLongValue();
    }

    private static String readText(JsonParser parser) throws IOException, InvalidDatagramException {
        String text = parser.nextTextValue();
        if (text == null || text.length() > DatagramSizes.MAX_TEXT_LENGTH) {
            throw new InvalidDatagramException("form");
        }
        return text;
    }

    /** Skips the elements that newer formats add to the current array. */
    private static void skipRest(JsonParser parser) throws IOException, InvalidDatagramException {
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            if (token == null) {
                throw new InvalidDatagramException("form");
            }
            parser.skipChildren();
        }
    }
}
