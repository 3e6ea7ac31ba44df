package barleyspur.front.thrift;

import barleyspur.log.LogEvent;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the bytes of response bodies that are queued for clients, and signals when reading from depots has to stop and
 * may resume. Without this limit slow clients could use up the direct memory; reads from depots would then fail, and
 * the failures would be attributed to the depots.
 */
final class ResponseBackpressure {

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final long maxBytes;
    private final Consumer<Boolean> onOverLimit;
    private long bytes;
    private boolean overLimit;

    ResponseBackpressure(long maxBytes, Consumer<Boolean> onOverLimit) {
        this.maxBytes = maxBytes;
        this.onOverLimit = onOverLimit;
    }

    /** Adds the bytes of a response, or subtracts them once they are written or dropped. */
    void add(long change) {
        bytes += change;
        if (!overLimit && bytes > maxBytes) {
            overLimit = true;
            LogEvent.log(LOG.atWarn(), "answers are unread: depots are not read", "bytes", bytes);
            onOverLimit.accept(true);
        } else if (overLimit && bytes <= maxBytes / 2) {
            overLimit = false;
            LogEvent.log(LOG.atInfo(), "answers are unread: depots are read again", "bytes", bytes);
            onOverLimit.accept(false);
        }
    }

    /** Whether reading from depots is stopped: above the limit, and then until half of it is reached. */
    boolean isOverLimit() {
        return overLimit;
    }
}
