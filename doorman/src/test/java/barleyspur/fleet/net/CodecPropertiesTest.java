package barleyspur.fleet.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.fleet.About;
import barleyspur.fleet.Datagram;
import barleyspur.fleet.Message;
import barleyspur.fleet.Saying;
import barleyspur.fleet.Sizes;
import barleyspur.fleet.Standing;
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

    private static Saying saying(SplittableRandom r) {
        Standing standing = Standing.values()[r.nextInt(4)];
        return new Saying(
                "d" + r.nextInt(1_000),
                r.nextLong(Saying.MOST),
                r.nextLong() >>> 12,
                r.nextLong(Saying.MOST),
                standing,
                standing == Standing.ALIVE ? "" : "d" + r.nextInt(9),
                new About(
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
                    case 2 -> new Message.PingFor(number, "d3", "127.0.0.1:7301");
                    case 3 -> new Message.Nack(number);
                    case 4 -> new Message.Compare(number, r.longs(64).toArray(), r.nextBoolean());
                    default -> new Message.News();
                };
        Saying sender = saying(r);
        List<Saying> news = new ArrayList<>();
        Datagram d = new Datagram(sender, r.nextLong(), message, List.of());
        for (Saying s = saying(r); Sizes.of(d) + Sizes.of(s) <= Sizes.MOST; s = saying(r)) {
            news.add(s);
            d = new Datagram(sender, d.digest(), message, List.copyOf(news));
        }
        return d;
    }

    /** Guards: datagrams fit in 1,200 bytes by the bound that packs them, and are read as they were written. */
    @Property(tries = 500, seed = "51")
    void whatIsWrittenIsRead(@ForAll long seed) throws Codec.Refused {
        Datagram d = datagram(seed);
        byte[] bytes = new Codec("lab", KEY).encode(d);
        assertTrue(bytes.length <= Sizes.of(d) && bytes.length <= Sizes.MOST, bytes.length + " of " + Sizes.of(d));
        Datagram read = new Codec("lab", KEY).decode(bytes);
        assertEquals(d.sender(), read.sender());
        assertEquals(d.news(), read.news());
        if (d.message() instanceof Message.Compare c) {
            assertTrue(Arrays.equals(c.buckets(), ((Message.Compare) read.message()).buckets()));
        } else {
            assertEquals(d.message(), read.message());
        }
    }

    /** Guards: a cut or changed datagram, another fleet's and another key's are refused by their cause. */
    @Property(tries = 500, seed = "52")
    void whatIsNotWholeOrForeignIsRefused(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        byte[] bytes = new Codec("lab", KEY).encode(datagram(seed));
        Codec codec = new Codec("lab", KEY);
        byte[] changed = bytes.clone();
        changed[r.nextInt(changed.length)] ^= (byte) r.nextInt(1, 256);
        assertEquals("tag", refused(codec, changed));
        assertTrue(List.of("tag", "length").contains(refused(codec, Arrays.copyOf(bytes, r.nextInt(bytes.length)))));
        byte[] other = KEY.clone();
        other[r.nextInt(other.length)]++;
        assertEquals("tag", refused(new Codec("lab", other), bytes));
        assertEquals("fleet", refused(new Codec("other", KEY), bytes));
    }

    private static String refused(Codec codec, byte[] bytes) {
        return assertThrows(Codec.Refused.class, () -> codec.decode(bytes)).getMessage();
    }

    /** Guards: merging is associative, commutative and idempotent, whatever is merged. */
    @Property(tries = 500, seed = "53")
    void mergingIsAJoin(@ForAll long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        About about = saying(r).about();
        Saying[] s = new Saying[3];
        for (int i = 0; i < 3; i++) {
            s[i] = new Saying(
                    "d1",
                    r.nextInt(2),
                    r.nextInt(2),
                    r.nextInt(2),
                    Standing.values()[r.nextInt(4)],
                    "d" + r.nextInt(3),
                    about);
        }
        assertEquals(Saying.join(s[0], s[1]), Saying.join(s[1], s[0]));
        assertEquals(Saying.join(Saying.join(s[0], s[1]), s[2]), Saying.join(s[0], Saying.join(s[1], s[2])));
        assertEquals(s[0], Saying.join(s[0], s[0]));
    }
}
