package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One node as listed by the command channel.
 *
 * @param kind the node's place in the settings' list of kinds: cache, parent or origin
 * @param cell the group of nodes that the node belongs to
 * @param bootMs when the node started, as a Unix timestamp; 0 if it started long ago
 */
public record NodeListing(
        String uid,
        InetSocketAddress address,
        int zone,
        int kind,
        int cell,
        RoutingPolicy.State state,
        double size,
        double bootMs) {

    private static final int HEX = 16;
    private static final Pattern NUMBERED_UID = Pattern.compile("[a-z]*-([0-9a-f]{1,8})");
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * Returns the node's number, which is the same in every doorman and after every restart. It is the hexadecimal
     * number at the end of the uid, which on-call staff also find in the policy's log lines, or else a hash of the
     * uid that is above all such numbers.
     */
    public long nodeNumber() {
        return numberOf(uid);
    }

    /** Returns whether {@code other} lists the same process at the same address. */
    boolean isSameProcessAs(NodeListing other) {
        return address.equals(other.address) && bootMs == other.bootMs;
    }

    /** Returns the number of the node with this uid. */
    public static long numberOf(String uid) {
        Matcher numbered = NUMBERED_UID.matcher(uid);
        if (numbered.matches()) {
            return Long.parseLong(numbered.group(1), HEX);
        }
        long hash = FNV_OFFSET;
        for (byte b : uid.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xFF)) * FNV_PRIME;
        }
        return hash >>> 1 | 1L << Integer.SIZE;
    }
}
