package barleyspur.fleet;

import java.util.List;

/**
 * How many bytes a datagram takes at most, so that news are packed without encoding them twice. The figures are upper
 * bounds for CBOR (RFC 8949): a head of up to 9 bytes for a number, up to 3 for a short text or list.
 */
public final class Sizes {

    /** A datagram's bytes, tag included: within one packet on any usual path. */
    public static final int MOST = 1_200;
    /** The longest name, zone, address, phase or version. */
    public static final int LONGEST_TEXT = 64;
    /** The most that newer formats may add to what a member tells of itself. */
    public static final int MOST_MORE = 128;

    private static final int NUMBER = 9;
    private static final int HEAD = 3;
    /** Format, fleet, list heads, kind, digest and the tag. */
    private static final int ENVELOPE = 64 + LONGEST_TEXT;

    private Sizes() {}

    private static int text(String text) {
        // Three bytes a character are the most that UTF-8 takes for one of Java's.
        return HEAD + (isAscii(text) ? text.length() : 3 * text.length());
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
    public static int of(Saying s) {
        About a = s.about();
        return HEAD
                + 4 * NUMBER
                + text(s.name())
                + text(s.by())
                + HEAD
                + text(a.address())
                + text(a.zone())
                + text(a.phase())
                + text(a.program())
                + 2 * NUMBER
                + HEAD
                + a.more().length;
    }

    /** The most that a message takes by itself. */
    public static int of(Message message) {
        if (message instanceof Message.Ping p) {
            return HEAD + NUMBER + text(p.to());
        } else if (message instanceof Message.Ack a) {
            return HEAD + NUMBER + text(a.of());
        } else if (message instanceof Message.PingFor p) {
            return HEAD + NUMBER + text(p.target()) + text(p.address());
        } else if (message instanceof Message.Carried c) {
            return HEAD + NUMBER + HEAD + c.body().length;
        } else if (message instanceof Message.Compare c) {
            return HEAD + 2 * NUMBER + HEAD + c.buckets().length * NUMBER;
        }
        return HEAD + NUMBER;
    }

    /** The most that a whole datagram takes. */
    public static int of(Datagram d) {
        return room(d.sender(), d.message(), d.news());
    }

    private static int room(Saying sender, Message message, List<Saying> news) {
        int sum = ENVELOPE + of(sender) + of(message);
        for (int i = 0; i < news.size(); i++) {
            sum += of(news.get(i));
        }
        return sum;
    }

    /** What is left for news beside a message. */
    static int left(Saying sender, Message message) {
        return MOST - room(sender, message, List.of());
    }
}
