package barleyspur.transport;

/**
 * A bound on the bytes that the connections of one kind hold together. Whoever holds bytes for a connection reserves
 * them first, so that the bound acts before the memory is used.
 *
 * <p>Three quarters are given to whoever asks first. The rest is divided equally among all connections that may be
 * open, and no connection can take another's part of it: however much some hold, each other one can still hold a little.
 * What is held for connections that have ended counts as well.
 */
public final class ByteBudget {

    /** The part that is not divided among the connections. */
    private static final double UNDIVIDED_PART = 0.75;

    private final long maxBytes;
    private final long undividedBytes;
    private final long guaranteedBytes;
    private long heldBytes;
    private long peakBytes;
    private long refusals;

    /** Creates a budget of {@code maxBytes} for at most {@code maxConnections} connections. */
    public ByteBudget(long maxBytes, int maxConnections) {
        this.maxBytes = maxBytes;
        this.undividedBytes = (long) (UNDIVIDED_PART * maxBytes);
        this.guaranteedBytes = (maxBytes - undividedBytes) / maxConnections;
    }

    /** The bytes that are held for one connection. */
    public final class Share {
        private long bytes;

        private Share() {}

        /** Reserves {@code additionalBytes} more, or returns false and reserves nothing. */
        public boolean tryReserve(long additionalBytes) {
            long heldThen = heldBytes + additionalBytes;
            boolean isGuaranteed = bytes + additionalBytes <= guaranteedBytes;
            if (heldThen > maxBytes || heldThen > undividedBytes && !isGuaranteed) {
                refusals++;
                return false;
            }
            bytes += additionalBytes;
            heldBytes += additionalBytes;
            peakBytes = Math.max(peakBytes, heldBytes);
            return true;
        }

        /** Returns {@code releasedBytes} of those that were reserved. */
        public void release(long releasedBytes) {
            bytes -= releasedBytes;
            heldBytes -= releasedBytes;
        }

        /** Returns all that is reserved. */
        public void releaseAll() {
            release(bytes);
        }

        /** Returns the bytes that are reserved. */
        public long bytes() {
            return bytes;
        }
    }

    /** Returns the share of a new connection, which holds nothing yet. */
    public Share newShare() {
        return new Share();
    }

    /** Returns the most bytes that all connections can hold together. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns the bytes that all connections hold now. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the most bytes that were held at any time. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns how often a reservation was refused. */
    public long refusals() {
        return refusals;
    }
}
