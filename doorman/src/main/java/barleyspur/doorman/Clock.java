package barleyspur.doorman;

/**
 * The time and timers that the core and the routing policy use. The time is the Unix time at process start plus the
 * elapsed time of a monotonic clock: it is comparable with Unix timestamps from other systems and never goes back.
 */
public interface Clock {

    /** Returns the current time as a Unix timestamp in milliseconds. */
    double nowMs();

    /**
     * Returns when the sockets were last polled. What has arrived since then has not been read, however long the event
     * loop has been busy.
     */
    default double lastPollMs() {
        return nowMs();
    }

    /**
     * Returns the earliest time at which the data now being read from a socket may have arrived. It is before
     * {@link #nowMs} where the data had to wait because the event loop was busy.
     */
    default double earliestArrivalMs() {
        return nowMs();
    }

    /** Runs {@code task} on the event loop after {@code delayMs}, never from within this call. */
    Timer schedule(double delayMs, Runnable task);

    /** Returns the number of timers that have neither run nor been cancelled; 0 where the clock doesn't count them. */
    default int pendingTimers() {
        return 0;
    }

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task if it has not run yet. */
        void cancel();
    }
}
