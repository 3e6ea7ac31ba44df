package barleyspur.doorman;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A {@link Clock} whose timers run on a Netty event loop. */
public final class EventLoopClock implements Clock {

    /** About what a pending timer takes on the heap, with its entry in the event loop's queue. */
    public static final int TIMER_BYTES = 160;

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final SocketPollTimes polls;
    private final double startedAtMs = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();
    /** Counted atomically, as timers may be scheduled from other threads while a process starts. */
    private final AtomicInteger pendingTimers = new AtomicInteger();

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
        LoopTimer timer = new LoopTimer(timerTask);
        pendingTimers.incrementAndGet();
        timer.scheduled = loop.schedule(timer, delayNanos, TimeUnit.NANOSECONDS);
        return timer;
    }

    @Override
    public int pendingTimers() {
        return pendingTimers.get();
    }

    /** A timer in the event loop's queue. It drops its task once it has run or was cancelled. */
    private final class LoopTimer implements Timer, Runnable {
        private Runnable task;
        private Future<?> scheduled;

        LoopTimer(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            Runnable due = end();
            if (due != null) {
                due.run();
            }
        }

        @Override
        public void cancel() {
            if (end() != null) {
                scheduled.cancel(false);
            }
        }

        /** Returns the task at the first call, and null later. */
        private Runnable end() {
            Runnable ended = task;
            if (ended != null) {
                task = null;
                pendingTimers.decrementAndGet();
            }
            return ended;
        }
    }

    private Runnable traced(double dueMs, Runnable task) {
        return () -> {
            RequestTrace.timerRan(nowMs() - dueMs);
            task.run();
        };
    }
}
