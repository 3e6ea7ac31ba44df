package barleyspur.doorman;

/**
 * The director's time and its timers. The time is the Unix time of the process's start and what a steady clock
 * has counted since, so that Unix times that others name can be used as they are, and it never steps back.
 */
public interface Clock {

    /** Milliseconds. */
    double nowMs();

    /**
     * The earliest moment at which what is being read from a socket may have come: before now, where the event loop was
     * busy and it had to wait.
     */
    default double pendingSinceMs() {
        return nowMs();
    }

    /** Runs {@code task} on the event loop after {@code delayMs}, never from within this call. */
    Timer after(double delayMs, Runnable task);

    /** A task to come. */
    interface Timer {
        /** The task does not run any more. */
        void cancel();
    }
}
