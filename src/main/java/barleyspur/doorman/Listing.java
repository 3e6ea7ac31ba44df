package barleyspur.doorman;

import barleyspur.decision.Director;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** One node as the command channel lists it; {@code bootMs} is a Unix time, or 0 for long ago. */
public record Listing(String uid, InetSocketAddress address, int zone, int kind, int cell, Director.State state,
                      double size, double bootMs) {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** The node's number: a hash of its id, so that it is the same at every doorman and after every start. */
    public long node() {
        long hash = FNV_OFFSET;
        for (byte b : uid.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xFF)) * FNV_PRIME;
        }
        return hash >>> 1;
    }
}
