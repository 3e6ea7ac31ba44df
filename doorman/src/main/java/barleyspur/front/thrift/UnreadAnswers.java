package barleyspur.front.thrift;

import barleyspur.log.LogEvent;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the bytes of answers that wait in memory for clients to read them, and says when to stop and when to go on
 * taking in more. Guards the direct memory: once that is used up, reads from depots fail, and depots get the blame for
 * clients that are slow.
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

    /** Adds an answer's bytes, or takes them off once they are written or given up. */
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

    boolean full() {
        return full;
    }
}
