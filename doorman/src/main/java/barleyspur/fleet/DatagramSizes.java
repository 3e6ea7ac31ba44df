package barleyspur.fleet;

import java.util.List;

/**
 * Upper bounds of the encoded sizes of datagrams and their parts, so that gossip is packed without encoding it twice.
 * The bounds are for CBOR (RFC 8949): up to 9 bytes for a number, and a head of up to 3 bytes for a short text or
 * array.
 */
public final class DatagramSizes {

    /** The maximum datagram size with its tag: fits in one packet on any common network path. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;
    /** The maximum length in characters of a name, zone, address, phase or version. */
    public static final int MAX_TEXT_LENGTH = 64;
    /** The maximum size of the extensions that newer formats add to the metadata of a member. */
    public static final int MAX_EXTENSIONS_BYTES = 128;

    private static final int NUMBER_BYTES = 9;
    private static final int HEAD_BYTES = 3;
    /** Format, fleet name, array heads, message kind, digest and tag. */
    private static final int ENVELOPE_BYTES = 64 + MAX_TEXT_LENGTH;

    private DatagramSizes() {}

    private static int maxTextBytes(String text) {
        // UTF-8 takes at most three bytes for a Java char.
        return HEAD_BYTES + (isAscii(text) ? text.length() : 3 * text.length());
    }

    private static boolean isAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) > 127) {
                return false;
            }
        }
        return true;
    }

    /** The maximum encoded size of a record. */
    public static int maxBytes(MembershipRecord record) {
        MemberMetadata metadata = record.metadata();
        return HEAD_BYTES
                + 4 * NUMBER_BYTES
                + maxTextBytes(record.name())
                + maxTextBytes(record.accuser())
                + HEAD_BYTES
                + maxTextBytes(metadata.address())
                + maxTextBytes(metadata.zone())
                + maxTextBytes(metadata.phase())
                + maxTextBytes(metadata.programVersion())
                + 2 * NUMBER_BYTES
                + HEAD_BYTES
                + metadata.extensions().length;
    }

    /** The maximum encoded size of a message without the rest of its datagram. */
    public static int maxBytes(Message message) {
        if (message instanceof Message.Ping ping) {
            return HEAD_BYTES + NUMBER_BYTES + maxTextBytes(ping.target());
        } else if (message instanceof Message.Ack ack) {
            return HEAD_BYTES + NUMBER_BYTES + maxTextBytes(ack.responder());
        } else if (message instanceof Message.PingRequest request) {
            return HEAD_BYTES + NUMBER_BYTES + maxTextBytes(request.target()) + maxTextBytes(request.targetAddress());
        } else if (message instanceof Message.Payload payload) {
            return HEAD_BYTES + NUMBER_BYTES + HEAD_BYTES + payload.bytes().length;
        } else if (message instanceof Message.DigestExchange exchange) {
            return HEAD_BYTES + 2 * NUMBER_BYTES + HEAD_BYTES + exchange.bucketDigests().length * NUMBER_BYTES;
        }
        return HEAD_BYTES + NUMBER_BYTES;
    }

    /** The maximum encoded size of a datagram. */
    public static int maxBytes(Datagram datagram) {
        return maxDatagramBytes(datagram.sender(), datagram.message(), datagram.gossip());
    }

    private static int maxDatagramBytes(MembershipRecord sender, Message message, List<MembershipRecord> gossip) {
        int sum = ENVELOPE_BYTES + maxBytes(sender) + maxBytes(message);
        for (int i = 0; i < gossip.size(); i++) {
            sum += maxBytes(gossip.get(i));
        }
        return sum;
    }

    /** The bytes that remain for gossip in a datagram with this sender and message. */
    static int gossipBytesLeft(MembershipRecord sender, Message message) {
        return MAX_DATAGRAM_BYTES - maxDatagramBytes(sender, message, List.of());
    }
}
