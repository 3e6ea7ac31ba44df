package barleyspur.fleet.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.fleet.Datagram;
import barleyspur.fleet.DatagramSizes;
import barleyspur.fleet.MemberMetadata;
import barleyspur.fleet.MemberState;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Datagrams: what is written is read; what is cut, changed, foreign or forged is refused and nothing else happens. */
class CodecPropertiesTest {

    private static final byte[] KEY = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8);

    private static MembershipRecord saying(SplittableRandom r) {
        MemberState standing = MemberState.values()[r.nextInt(4)];
        return new MembershipRecord(
                "d" + r.nextInt(1_000),
                r.nextLong(MembershipRecord.MAX_COUNTER),
                r.nextLong() >>> 12,
                r.nextLong(MembershipRecord.MAX_COUNTER),
                standing,
                standing == MemberState.ALIVE ? "" : "d" + r.nextInt(9),
                new MemberMetadata(
                        "127.0.0." + r.nextInt(255) + ":7301",
                        r.nextBoolean() ? "" : "zone é" + r.nextInt(9),
                        "serving",
                        "0.1.0",
                        r.nextLong(),
                        1 + r.nextInt(2),
                        r.nextBoolean() ? null : new byte[r.nextInt(1, 60)]));
    }

    private static Datagram datagram(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        long number = r.nextLong();
        Message message =
                switch (r.nextInt(6)) {
                    case 0 -> new Message.Ping(number, r.nextBoolean() ? "" : "d1");
                    case 1 -> new Message.Ack(number, "d2");
                    case 2 -> new Message.PingRequest(number, "d3", "127.0.0.1:7301");
                    case 3 -> new Message.Nack(number);
                    case 4 -> new Message.DigestExchange(number, r.longs(64).toArray(), r.nextBoolean());
                    default -> new Message.Gossip();
                };
        MembershipRecord sender = saying(r);
        List<MembershipRecord> news = new ArrayList<>();
        Datagram d = new Datagram(sender, r.nextLong(), message, List.of());
        for (MembershipRecord s = saying(r);
                DatagramSizes.maxBytes(d) + DatagramSizes.maxBytes(s) <= DatagramSizes.MAX_DATAGRAM_BYTES;
                s = saying(r)) {
            news.add(s);
            d = new Datagram(sender, d.digest(), message, List.copyOf(news));
        }
        return d;
    }

    /** Guards: datagrams fit in 1,200 bytes by the bound that packs them, and are read as they were written. */
    @Property(tries = 500, seed = "51")
    void whatIsWrittenIsRead(@ForAll long seed) throws DatagramCodec.InvalidDatagramException {
        Datagram d = datagram(seed);
        byte[] bytes = new DatagramCodec("lab", KEY).encode(d);
        assertTrue(
                bytes.length <= DatagramSizes.maxBytes(d) && bytes.length <= DatagramSizes.MAX_DATAGRAM_BYTES,
                bytes.length + " of " + DatagramSizes.maxBytes(d));
        Datagram read = new DatagramCodec("lab", KEY).decode(bytes);
        assertEquals(d.sender(), read.sender());
        assertEquals(d.gossip(), read.gossip());
        if (d.message() instanceof Message.DigestExchange c) {
            assertTrue(Arrays.equals(c.bucketDigests(), ((Message.DigestExchange) read.message()).bucketDigests()));
        } else {
            assertEquals(d.message(), read.message());
        }
    }

    /** Guards: a cut or changed datagram, another fleet's and another key's are refused by their cause. */
    @Property(tries = 500, seed = "52")
    void whatIsNotWholeOrForeignIsRefused(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        byte[] bytes = new DatagramCodec("lab", KEY).encode(datagram(seed));
        DatagramCodec codec = new DatagramCodec("lab", KEY);
        byte[] changed = bytes.clone();
        changed[r.nextInt(changed.length)] ^= (byte) r.nextInt(1, 256);
        assertEquals("tag", refused(codec, changed));
        assertTrue(List.of("tag", "length").contains(refused(codec, Arrays.copyOf(bytes, r.nextInt(bytes.length)))));
        byte[] other = KEY.clone();
        other[r.nextInt(other.length)]++;
        assertEquals("tag", refused(new DatagramCodec("lab", other), bytes));
        assertEquals("fleet", refused(new DatagramCodec("other", KEY), bytes));
    }

    private static String refused(DatagramCodec codec, byte[] bytes) {
        return assertThrows(DatagramCodec.InvalidDatagramException.class, () -> codec.decode(bytes))
                .getMessage();
    }

    /** Guards: merging is associative, commutative and idempotent, whatever is merged. */
    @Property(tries = 500, seed = "53")
    void mergingIsAJoin(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        MemberMetadata about = saying(r).metadata();
        MembershipRecord[] s = new MembershipRecord[3];
        for (int i = 0; i < 3; i++) {
            s[i] = new MembershipRecord(
                    "d1",
                    r.nextInt(2),
                    r.nextInt(2),
                    r.nextInt(2),
                    MemberState.values()[r.nextInt(4)],
                    "d" + r.nextInt(3),
                    about);
        }
        assertEquals(MembershipRecord.merge(s[0], s[1]), MembershipRecord.merge(s[1], s[0]));
        assertEquals(
                MembershipRecord.merge(MembershipRecord.merge(s[0], s[1]), s[2]),
                MembershipRecord.merge(s[0], MembershipRecord.merge(s[1], s[2])));
        assertEquals(s[0], MembershipRecord.merge(s[0], s[0]));
    }
}
