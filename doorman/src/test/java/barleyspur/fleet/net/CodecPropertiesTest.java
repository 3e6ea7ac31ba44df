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

/** Property tests of the datagram codec, and of the merge of membership records. */
class CodecPropertiesTest {

    private static final byte[] KEY = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8);

    private static MembershipRecord randomRecord(SplittableRandom random) {
        MemberState state = MemberState.values()[random.nextInt(4)];
        return new MembershipRecord(
                "d" + random.nextInt(1_000),
                random.nextLong(MembershipRecord.MAX_COUNTER),
                random.nextLong() >>> 12,
                random.nextLong(MembershipRecord.MAX_COUNTER),
                state,
                state == MemberState.ALIVE ? "" : "d" + random.nextInt(9),
                new MemberMetadata(
                        "127.0.0." + random.nextInt(255) + ":7301",
                        random.nextBoolean() ? "" : "zone é" + random.nextInt(9),
                        "serving",
                        "0.1.0",
                        random.nextLong(),
                        1 + random.nextInt(2),
                        random.nextBoolean() ? null : new byte[random.nextInt(1, 60)]));
    }

    private static Datagram randomDatagram(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long number = random.nextLong();
        Message message =
                switch (random.nextInt(6)) {
                    case 0 -> new Message.Ping(number, random.nextBoolean() ? "" : "d1");
                    case 1 -> new Message.Ack(number, "d2");
                    case 2 -> new Message.PingRequest(number, "d3", "127.0.0.1:7301");
                    case 3 -> new Message.Nack(number);
                    case 4 ->
                        new Message.DigestExchange(number, random.longs(64).toArray(), random.nextBoolean());
                    default -> new Message.Gossip();
                };
        MembershipRecord sender = randomRecord(random);
        List<MembershipRecord> gossip = new ArrayList<>();
        Datagram datagram = new Datagram(sender, random.nextLong(), message, List.of());
        for (MembershipRecord record = randomRecord(random);
                DatagramSizes.maxBytes(datagram) + DatagramSizes.maxBytes(record) <= DatagramSizes.MAX_DATAGRAM_BYTES;
                record = randomRecord(random)) {
            gossip.add(record);
            datagram = new Datagram(sender, datagram.digest(), message, List.copyOf(gossip));
        }
        return datagram;
    }

    /** A datagram packed by the size bounds fits in 1,200 bytes, and is decoded as it was encoded. */
    @Property(tries = 500, seed = "51")
    void encodedDatagramsAreDecodedUnchanged(@ForAll long seed) throws DatagramCodec.InvalidDatagramException {
        Datagram datagram = randomDatagram(seed);
        byte[] bytes = new DatagramCodec("lab", KEY).encode(datagram);
        assertTrue(
                bytes.length <= DatagramSizes.maxBytes(datagram) && bytes.length <= DatagramSizes.MAX_DATAGRAM_BYTES,
                bytes.length + " of " + DatagramSizes.maxBytes(datagram));
        Datagram read = new DatagramCodec("lab", KEY).decode(bytes);
        assertEquals(datagram.sender(), read.sender());
        assertEquals(datagram.gossip(), read.gossip());
        if (datagram.message() instanceof Message.DigestExchange exchange) {
            assertTrue(
                    Arrays.equals(exchange.bucketDigests(), ((Message.DigestExchange) read.message()).bucketDigests()));
        } else {
            assertEquals(datagram.message(), read.message());
        }
    }

    /** Truncated and changed datagrams, and those of another fleet or key, are rejected with the right cause. */
    @Property(tries = 500, seed = "52")
    void invalidDatagramsAreRejected(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] bytes = new DatagramCodec("lab", KEY).encode(randomDatagram(seed));
        DatagramCodec codec = new DatagramCodec("lab", KEY);
        byte[] changed = bytes.clone();
        changed[random.nextInt(changed.length)] ^= (byte) random.nextInt(1, 256);
        assertEquals("tag", rejectionCause(codec, changed));
        assertTrue(List.of("tag", "length")
                .contains(rejectionCause(codec, Arrays.copyOf(bytes, random.nextInt(bytes.length)))));
        byte[] otherKey = KEY.clone();
        otherKey[random.nextInt(otherKey.length)]++;
        assertEquals("tag", rejectionCause(new DatagramCodec("lab", otherKey), bytes));
        assertEquals("fleet", rejectionCause(new DatagramCodec("other", KEY), bytes));
    }

    private static String rejectionCause(DatagramCodec codec, byte[] bytes) {
        return assertThrows(DatagramCodec.InvalidDatagramException.class, () -> codec.decode(bytes))
                .getMessage();
    }

    /** Merging records is associative, commutative and idempotent. */
    @Property(tries = 500, seed = "53")
    void mergeIsAssociativeCommutativeAndIdempotent(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        MemberMetadata metadata = randomRecord(random).metadata();
        MembershipRecord[] records = new MembershipRecord[3];
        for (int i = 0; i < 3; i++) {
            records[i] = new MembershipRecord(
                    "d1",
                    random.nextInt(2),
                    random.nextInt(2),
                    random.nextInt(2),
                    MemberState.values()[random.nextInt(4)],
                    "d" + random.nextInt(3),
                    metadata);
        }
        assertEquals(MembershipRecord.merge(records[0], records[1]), MembershipRecord.merge(records[1], records[0]));
        assertEquals(
                MembershipRecord.merge(MembershipRecord.merge(records[0], records[1]), records[2]),
                MembershipRecord.merge(records[0], MembershipRecord.merge(records[1], records[2])));
        assertEquals(records[0], MembershipRecord.merge(records[0], records[0]));
    }
}
