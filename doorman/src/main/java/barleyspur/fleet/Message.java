package barleyspur.fleet;

/** What a datagram is for; news of members ride on each. */
public sealed interface Message {

    /** Asks {@code to} whether it is there; an empty name asks whoever has the address. */
    record Ping(long sequence, String target) implements Message {}

    /** Answers a ping, its own or one that was asked for somebody else: {@code of} is who answered. */
    record Ack(long sequence, String responder) implements Message {}

    /** Asks a third to ping {@code target} at {@code address} and to pass its answer on. */
    record PingRequest(long sequence, String target, String targetAddress) implements Message {}

    /** The third's word that it is well, but has had no answer: without it the asker doubts itself (Lifeguard). */
    record Nack(long sequence) implements Message {}

    /** News only. */
    record Gossip() implements Message {}

    /** Words of another part of the program, which the view doesn't read: an older member takes it for news. */
    record Payload(byte[] bytes) implements Message {}

    /**
     * Digests of the sender's buckets: who has others answers with what it knows of those buckets, and, where
     * {@code asks}, with its own digests.
     */
    record DigestExchange(long sequence, long[] bucketDigests, boolean replyRequested) implements Message {}
}
