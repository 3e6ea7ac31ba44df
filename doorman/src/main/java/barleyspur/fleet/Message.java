package barleyspur.fleet;

/** What a datagram is for; news of members ride on each. */
public sealed interface Message {

    /** Asks {@code to} whether it is there; an empty name asks whoever has the address. */
    record Ping(long number, String to) implements Message {}

    /** Answers a ping, its own or one that was asked for somebody else: {@code of} is who answered. */
    record Ack(long number, String of) implements Message {}

    /** Asks a third to ping {@code target} at {@code address} and to pass its answer on. */
    record PingFor(long number, String target, String address) implements Message {}

    /** The third's word that it is well, but has had no answer: without it the asker doubts itself (Lifeguard). */
    record Nack(long number) implements Message {}

    /** News only. */
    record News() implements Message {}

    /** Words of another part of the program, which the view doesn't read: an older member takes it for news. */
    record Carried(byte[] body) implements Message {}

    /**
     * Digests of the sender's buckets: who has others answers with what it knows of those buckets, and, where
     * {@code asks}, with its own digests.
     */
    record Compare(long number, long[] buckets, boolean asks) implements Message {}
}
