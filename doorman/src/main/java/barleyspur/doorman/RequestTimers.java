package barleyspur.doorman;

import java.util.ArrayList;
import java.util.List;

/** The timers that exist because of one request. They are cancelled together when it ends, however it ends. */
final class RequestTimers {

    private static final int USUAL_COUNT = 4;

    private final Clock clock;
    private final List<Clock.Timer> timers = new ArrayList<>(USUAL_COUNT);
    private boolean ended;

    RequestTimers(Clock clock) {
        this.clock = clock;
    }

    /** Schedules {@code task}, unless the request has ended. */
    void schedule(double delayMs, Runnable task) {
        if (!ended) {
            timers.add(clock.schedule(delayMs, task));
        }
    }

    /** Cancels all timers and lets no further one be scheduled. */
    void end() {
        ended = true;
        timers.forEach(Clock.Timer::cancel);
        timers.clear();
    }
}
