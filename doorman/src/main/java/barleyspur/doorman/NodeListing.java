package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One node as the command channel lists it; {@code bootMs} is a Unix time, or 0 for long ago. */
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
    private static final Pattern NUMBERED = Pattern.compile("[a-z]*-([0-9a-f]{1,8})");
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * The node's number, the same at every doorman and after every start: the one that its id ends in, which is
     * also what on-call staff find in the director's lines, or else a hash of its id, beyond all such numbers.
     */
    public long node() {
        return number(uid);
    }

    /** Whether the node still runs as the process that {@code later} lists, at the same address. */
    boolean sameProcess(NodeListing later) {
        return address.equals(later.address) && bootMs == later.bootMs;
    }

    /** The number of a node with this id. */
    public static long number(String uid) {
        Matcher numbered = NUMBERED.matcher(uid);
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
