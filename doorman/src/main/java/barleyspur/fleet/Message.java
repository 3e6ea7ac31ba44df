package barleyspur.fleet;

/** The protocol message of a datagram. Every datagram also carries gossip, see {@link Datagram#gossip}. */
public sealed interface Message {

    /** A ping of the member named {@code target}; an empty name addresses whichever member has the address. */
    record Ping(long sequence, String target) implements Message {}

    /** The answer to a ping, direct or relayed; {@code responder} is the name of the member that answered. */
    record Ack(long sequence, String responder) implements Message {}

    /** SWIM's ping-req: asks a member to ping {@code target} at {@code targetAddress} and to relay its answer. */
    record PingRequest(long sequence, String target, String targetAddress) implements Message {}

    /**
     * The relaying member's notice that it is alive but has received no answer from the target. A requester that
     * receives neither an ack nor a nack raises its local health score (Lifeguard).
     */
    record Nack(long sequence) implements Message {}

    /** No message of its own: the datagram only carries gossip. */
    record Gossip() implements Message {}

    /**
     * A payload of another part of the program, which the membership protocol does not interpret. A member of an older
     * version treats it as {@link Gossip}.
     */
    record Payload(byte[] bytes) implements Message {}

    /**
     * The sender's bucket digests. The receiver answers with its records of the buckets that differ and, if
     * {@code replyRequested}, with its own bucket digests.
     */
    record DigestExchange(long sequence, long[] bucketDigests, boolean replyRequested) implements Message {}
}
