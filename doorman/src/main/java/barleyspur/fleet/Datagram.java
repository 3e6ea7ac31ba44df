package barleyspur.fleet;

import java.util.List;

/**
 * One datagram between doormans.
 *
 * @param sender  what the sender says of itself
 * @param digest  of the sender's view
 * @param message what it is for
 * @param gossip    of other members
 */
public record Datagram(MembershipRecord sender, long digest, Message message, List<MembershipRecord> gossip) {}
