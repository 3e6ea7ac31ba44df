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
final class UnreadAnswers {

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final long most;
    private final Consumer<Boolean> onFull;
    private long bytes;
    private boolean full;

    UnreadAnswers(long most, Consumer<Boolean> onFull) {
        this.most = most;
        this.onFull = onFull;
    }

    /** Adds the bytes of a response, or subtracts them once they are written or dropped. */
    void add(long change) {
        bytes += change;
        if (!full && bytes > most) {
            full = true;
            LogEvent.log(LOG.atWarn(), "answers are unread: depots are not read", "bytes", bytes);
            onFull.accept(true);
        } else if (full && bytes <= most / 2) {
            full = false;
            LogEvent.log(LOG.atInfo(), "answers are unread: depots are read again", "bytes", bytes);
            onFull.accept(false);
        }
    }

    /** Whether reading from depots is stopped: above the limit, and then until half of it is reached. */
    boolean full() {
        return full;
    }
}
