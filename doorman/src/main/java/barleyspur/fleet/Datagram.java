package barleyspur.fleet;

import java.util.List;

/**
 * A datagram between two doormans.
 *
 * @param sender  the sender's record of itself
 * @param digest  the digest of the sender's view
 * @param message the protocol message
 * @param gossip  records of other members, piggybacked on the message
 */
public record Datagram(MembershipRecord sender, long digest, Message message, List<MembershipRecord> gossip) {}
