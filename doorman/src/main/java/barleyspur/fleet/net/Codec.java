package barleyspur.fleet.net;

import barleyspur.fleet.About;
import barleyspur.fleet.Datagram;
import barleyspur.fleet.Message;
import barleyspur.fleet.Saying;
import barleyspur.fleet.Sizes;
import barleyspur.fleet.Standing;
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
 * A fleet's datagrams as bytes: CBOR (RFC 8949) and behind it 16 bytes of its HMAC-SHA256 (RFC 2104) under the fleet's
 * key, which is checked before anything is read. A datagram is the array
 * {@code [format, fleet, sender, digest, message, news]}; elements beyond those that a reader knows are skipped, a
 * message of an unknown kind counts as news only, and what a newer member tells of itself behind the known fields
 * is passed on as it is. The format is the oldest that can read it. Not for several threads.
 */
public final class Codec {

    /** Written into each datagram: a reader of format 1 understands all that is sent so far. */
    private static final int OLDEST_READER = 1;

    private static final int TAG = 16;
    private static final String ALGORITHM = "HmacSHA256";
    /** Sayings that fit into a datagram, and more. */
    private static final int MOST_NEWS = 64;

    private static final int MOST_BUCKETS = 128;

    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_FOR = 3;
    private static final int NACK = 4;
    private static final int NEWS = 5;
    private static final int COMPARE = 6;
    private static final int CARRIED = 7;

    /** A datagram that is not to be used; the cause is the same text for all of a kind. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(String cause) {
            super(cause, null, false, false);
        }
    }

    private final CBORFactory factory = new CBORFactory();
    private final String fleet;
    private final Mac mac;

    /** @param key of the fleet: at least 16 bytes */
    public Codec(String fleet, byte[] key) {
        this.fleet = fleet;
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** The bytes of a datagram: {@link Sizes#MOST} at most. */
    public byte[] encode(Datagram d) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(Sizes.MOST);
        try (CBORGenerator g = factory.createGenerator(out)) {
            g.writeStartArray(null, 6);
            g.writeNumber(OLDEST_READER);
            g.writeString(fleet);
            write(g, d.sender());
            g.writeNumber(d.digest());
            write(g, d.message());
            g.writeStartArray(null, d.news().size());
            for (Saying s : d.news()) {
                write(g, s);
            }
            g.writeEndArray();
            g.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory can't fail", e);
        }
        byte[] body = out.toByteArray();
        byte[] bytes = Arrays.copyOf(body, body.length + TAG);
        System.arraycopy(mac.doFinal(body), 0, bytes, body.length, TAG);
        return bytes;
    }

    private static void write(CBORGenerator g, Saying s) throws IOException {
        About a = s.about();
        boolean more = a.more().length > 0;
        g.writeStartArray(null, more ? 13 : 12);
        g.writeString(s.name());
        g.writeNumber(s.life());
        g.writeNumber(s.nonce());
        g.writeNumber(s.incarnation());
        g.writeNumber(s.standing().ordinal());
        g.writeString(s.by());
        g.writeString(a.address());
        g.writeString(a.zone());
        g.writeString(a.phase());
        g.writeString(a.program());
        g.writeNumber(a.settings());
        g.writeNumber(a.format());
        if (more) {
            g.writeBinary(a.more());
        }
        g.writeEndArray();
    }

    private static void write(CBORGenerator g, Message m) throws IOException {
        if (m instanceof Message.Ping p) {
            head(g, 3, PING, p.number());
            g.writeString(p.to());
        } else if (m instanceof Message.Ack a) {
            head(g, 3, ACK, a.number());
            g.writeString(a.of());
        } else if (m instanceof Message.PingFor p) {
            head(g, 4, PING_FOR, p.number());
            g.writeString(p.target());
            g.writeString(p.address());
        } else if (m instanceof Message.Nack n) {
            head(g, 2, NACK, n.number());
        } else if (m instanceof Message.Compare c) {
            head(g, 4, COMPARE, c.number());
            g.writeBoolean(c.asks());
            g.writeStartArray(null, c.buckets().length);
            for (long bucket : c.buckets()) {
                g.writeNumber(bucket);
            }
            g.writeEndArray();
        } else if (m instanceof Message.Carried c) {
            head(g, 3, CARRIED, 0);
            g.writeBinary(c.body());
        } else {
            head(g, 2, NEWS, 0);
        }
        g.writeEndArray();
    }

    private static void head(CBORGenerator g, int fields, int kind, long number) throws IOException {
        g.writeStartArray(null, fields);
        g.writeNumber(kind);
        g.writeNumber(number);
    }

    /** Reads a datagram whose tag is right; what it says is checked against its bounds. */
    public Datagram decode(byte[] bytes) throws Refused {
        if (bytes.length <= TAG || bytes.length > Sizes.MOST) {
            throw new Refused("length");
        }
        int length = bytes.length - TAG;
        mac.update(bytes, 0, length);
        byte[] tag = Arrays.copyOf(mac.doFinal(), TAG);
        if (!MessageDigest.isEqual(tag, Arrays.copyOfRange(bytes, length, bytes.length))) {
            throw new Refused("tag");
        }
        try (JsonParser p = factory.createParser(bytes, 0, length)) {
            return datagram(p);
        } catch (IOException | RuntimeException e) {
            throw new Refused("form");
        }
    }

    private Datagram datagram(JsonParser p) throws IOException, Refused {
        start(p.nextToken());
        long format = whole(p);
        if (format > About.NEWEST_FORMAT || format < 1) {
            throw new Refused("format");
        }
        if (!fleet.equals(text(p))) {
            throw new Refused("fleet");
        }
        start(p.nextToken());
        Saying sender = saying(p);
        if (sender.about().address().isEmpty()) {
            throw new Refused("bounds");
        }
        long digest = whole(p);
        start(p.nextToken());
        Message message = message(p);
        start(p.nextToken());
        List<Saying> news = new ArrayList<>();
        while (p.nextToken() != JsonToken.END_ARRAY) {
            start(p.currentToken());
            news.add(saying(p));
            if (news.size() > MOST_NEWS) {
                throw new Refused("bounds");
            }
        }
        rest(p);
        return new Datagram(sender, digest, message, List.copyOf(news));
    }

    private static Saying saying(JsonParser p) throws IOException, Refused {
        String name = text(p);
        long life = whole(p);
        long nonce = whole(p);
        long incarnation = whole(p);
        int standing = (int) whole(p);
        String by = text(p);
        String address = text(p);
        String zone = text(p);
        String phase = text(p);
        String program = text(p);
        long settings = whole(p);
        int format = (int) whole(p);
        byte[] more = null;
        if (p.nextToken() != JsonToken.END_ARRAY) {
            more = p.getBinaryValue();
            rest(p);
        }
        boolean good = !name.isEmpty()
                && life >= 0
                && life <= Saying.MOST
                && incarnation >= 0
                && incarnation <= Saying.MOST
                && standing >= 0
                && standing < Standing.values().length
                && (more == null || more.length <= Sizes.MOST_MORE);
        if (!good) {
            throw new Refused("bounds");
        }
        return new Saying(
                name,
                life,
                nonce,
                incarnation,
                Standing.values()[standing],
                by,
                new About(address, zone, phase, program, settings, format, more));
    }

    private static Message message(JsonParser p) throws IOException, Refused {
        int kind = (int) whole(p);
        long number = whole(p);
        Message message =
                switch (kind) {
                    case PING -> new Message.Ping(number, text(p));
                    case ACK -> new Message.Ack(number, text(p));
                    case PING_FOR -> new Message.PingFor(number, text(p), text(p));
                    case NACK -> new Message.Nack(number);
                    case COMPARE -> compare(p, number);
                    case CARRIED -> carried(p);
                    default -> new Message.News();
                };
        rest(p);
        return message;
    }

    private static Message carried(JsonParser p) throws IOException, Refused {
        if (p.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new Refused("form");
        }
        return new Message.Carried(p.getBinaryValue());
    }

    private static Message compare(JsonParser p, long number) throws IOException, Refused {
        boolean asks = p.nextBooleanValue() == Boolean.TRUE;
        start(p.nextToken());
        long[] buckets = new long[MOST_BUCKETS];
        int count = 0;
        while (p.nextToken() != JsonToken.END_ARRAY) {
            buckets[count++] = p.getLongValue();
        }
        return new Message.Compare(number, Arrays.copyOf(buckets, count), asks);
    }

    private static void start(JsonToken token) throws Refused {
        if (token != JsonToken.START_ARRAY) {
            throw new Refused("form");
        }
    }

    private static long whole(JsonParser p) throws IOException, Refused {
        if (p.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new Refused("form");
        }
        return p.getLongValue();
    }

    private static String text(JsonParser p) throws IOException, Refused {
        String text = p.nextTextValue();
        if (text == null || text.length() > Sizes.LONGEST_TEXT) {
            throw new Refused("form");
        }
        return text;
    }

    /** Skips what newer formats add to the array that is being read. */
    private static void rest(JsonParser p) throws IOException, Refused {
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            if (t == null) {
                throw new Refused("form");
            }
            p.skipChildren();
        }
    }
}
