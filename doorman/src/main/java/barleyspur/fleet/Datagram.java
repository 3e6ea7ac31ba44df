package barleyspur.fleet;

import java.util.List;

/**
 * One datagram between doormans.
 *
 * @param sender  what the sender says of itself
 * @param digest  of the sender's view
 * @param message what it is for
 * @param news    of other members
 */
public record Datagram(Saying sender, long digest, Message message, List<Saying> news) {}
