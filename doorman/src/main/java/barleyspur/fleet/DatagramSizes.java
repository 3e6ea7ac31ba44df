package barleyspur.fleet;

import java.util.List;

/**
 * How many bytes a datagram takes at most, so that news are packed without encoding them twice. The figures are upper
 * bounds for CBOR (RFC 8949): a head of up to 9 bytes for a number, up to 3 for a short text or list.
 */
public final class DatagramSizes {

    /** A datagram's bytes, tag included: within one packet on any usual path. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;
    /** The longest name, zone, address, phase or version. */
    public static final int MAX_TEXT_LENGTH = 64;
    /** The most that newer formats may add to what a member tells of itself. */
    public static final int MAX_EXTENSIONS_BYTES = 128;

    private static final int NUMBER_BYTES = 9;
    private static final int HEAD_BYTES = 3;
    /** Format, fleet, list heads, kind, digest and the tag. */
    private static final int ENVELOPE_BYTES = 64 + MAX_TEXT_LENGTH;

    private DatagramSizes() {}

    private static int maxTextBytes(String text) {
        // Three bytes a character are the most that UTF-8 takes for one of Java's.
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

    /** The most that a saying takes. */
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

    /** The most that a message takes by itself. */
    public static int maxBytes(Message message) {
        if (message instanceof Message.Ping p) {
            return HEAD_BYTES + NUMBER_BYTES + maxTextBytes(p.target());
        } else if (message instanceof Message.Ack metadata) {
            return HEAD_BYTES + NUMBER_BYTES + maxTextBytes(metadata.responder());
        } else if (message instanceof Message.PingRequest p) {
            return HEAD_BYTES + NUMBER_BYTES + maxTextBytes(p.target()) + maxTextBytes(p.targetAddress());
        } else if (message instanceof Message.Payload c) {
            return HEAD_BYTES + NUMBER_BYTES + HEAD_BYTES + c.bytes().length;
        } else if (message instanceof Message.DigestExchange c) {
            return HEAD_BYTES + 2 * NUMBER_BYTES + HEAD_BYTES + c.bucketDigests().length * NUMBER_BYTES;
        }
        return HEAD_BYTES + NUMBER_BYTES;
    }

    /** The most that a whole datagram takes. */
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

    /** What is left for news beside a message. */
    static int gossipBytesLeft(MembershipRecord sender, Message message) {
        return MAX_DATAGRAM_BYTES - maxDatagramBytes(sender, message, List.of());
    }
}
