package barleyspur.doorman;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A {@link Clock} whose timers run on a Netty event loop. */
public final class EventLoopClock implements Clock {

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final SocketPollTimes polls;
    private final double startedAtMs = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();

    /** Creates a clock for {@code loop}; {@code polls} records when the sockets of that loop are polled. */
    public EventLoopClock(EventLoop loop, SocketPollTimes polls) {
        this.loop = loop;
        this.polls = polls;
        polls.setClock(this::nowMs);
    }

    @Override
    public double nowMs() {
        return startedAtMs + (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
    }

    @Override
    public double lastPollMs() {
        return polls.lastPollMs();
    }

    @Override
    public double earliestArrivalMs() {
        return polls.earliestArrivalMs();
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        Runnable timerTask = RequestTrace.isOn() ? traced(nowMs() + Math.max(0, delayMs), task) : task;
        long delayNanos = Math.max(0, Math.round(delayMs * NANOS_PER_MS));
        Future<?> scheduled = loop.schedule(timerTask, delayNanos, TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    private Runnable traced(double dueMs, Runnable task) {
        return () -> {
            RequestTrace.timerRan(nowMs() - dueMs);
            task.run();
        };
    }
}
