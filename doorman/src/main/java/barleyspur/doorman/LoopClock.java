package barleyspur.doorman;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Time and timers of one event loop. */
public final class LoopClock implements Clock {

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final double startedAtMs = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();

    public LoopClock(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double nowMs() {
        return startedAtMs + (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
    }

    @Override
    public Timer after(double delayMs, Runnable task) {
        long nanos = Math.max(0, Math.round(delayMs * NANOS_PER_MS));
        Future<?> scheduled = loop.schedule(task, nanos, TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
