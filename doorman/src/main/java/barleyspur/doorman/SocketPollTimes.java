package barleyspur.doorman;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.spi.SelectorProvider;
import java.util.function.DoubleSupplier;

/**
 * Records when the sockets of one event loop were polled, which bounds how long data may have waited before it is read.
 * Data found by a poll that doesn't wait arrived while the loop was busy, after the previous poll. Data that ends a
 * wait has just arrived, unless the wait ended late: then the process was stalled, and the data may have arrived at any
 * time during the wait. All calls have to come from the loop's thread. Times are those of the clock set by
 * {@link #setClock}.
 *
 * <p>The cost is one additional non-blocking poll before each blocking one. A stall that ends before the wait was due
 * to end goes unnoticed; waits are short because there are many timers.
 */
public final class SocketPollTimes {

    private static final double NANOS_PER_MS = 1e6;
    /** Waits end a few milliseconds late on any machine, because of timer rounding and other processes. */
    private static final double WAKEUP_TOLERANCE_MS = 5;

    private DoubleSupplier clockMs = () -> 0;
    /** When the sockets were last polled. */
    private volatile double lastPollMs;

    private double earliestArrivalMs;
    /** Whether the loop is in a blocking poll, or has just returned from one. */
    private boolean waiting = true;
    /** When the blocking poll has to end at the latest. */
    private double waitDeadlineMs = Double.POSITIVE_INFINITY;

    /** Returns the factory of the I/O handler for the event loop whose polls are recorded. */
    public IoHandlerFactory ioHandlerFactory() {
        return ObservedIoHandler::new;
    }

    /** Sets the clock that times are taken from. */
    public void setClock(DoubleSupplier newClockMs) {
        clockMs = newClockMs;
        lastPollMs = newClockMs.getAsDouble();
        earliestArrivalMs = lastPollMs;
    }

    /** Returns the earliest time at which the data read in this iteration of the event loop may have arrived. */
    public double earliestArrivalMs() {
        return earliestArrivalMs;
    }

    /** Returns when the sockets were last polled; may be called from any thread. */
    public double lastPollMs() {
        return lastPollMs;
    }

    /**
     * Polls without waiting. Only if nothing is ready and no task is pending, makes the loop wait, for at most
     * {@code maxWaitMs}.
     */
    int poll(IntSupplier pollNow, boolean hasTasks, double maxWaitMs) throws Exception {
        double nowMs = clockMs.getAsDouble();
        double previousPollMs = lastPollMs;
        int ready = pollNow.get();
        lastPollMs = nowMs;
        waiting = ready == 0 && !hasTasks;
        if (waiting) {
            waitDeadlineMs = nowMs + maxWaitMs;
            return SelectStrategy.SELECT;
        }
        earliestArrivalMs = previousPollMs;
        return ready;
    }

    /** Called after a poll has returned, before its results are processed. */
    void pollReturned() {
        if (waiting) {
            waiting = false;
            double nowMs = clockMs.getAsDouble();
            earliestArrivalMs = nowMs > waitDeadlineMs + WAKEUP_TOLERANCE_MS ? lastPollMs : nowMs;
            lastPollMs = nowMs;
        }
    }

    /**
     * Wraps Netty's own handler. Netty calls {@link #shouldReportActiveIoTime} between a poll and the processing of its
     * results, which serves here as the notification that a poll has returned.
     */
    private final class ObservedIoHandler implements IoHandler, IoHandlerContext {
        private final IoHandler handler;
        private IoHandlerContext context;

        ObservedIoHandler(ThreadAwareExecutor executor) {
            handler = NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::poll)
                    .newHandler(executor);
        }

        private int poll(IntSupplier pollNow, boolean hasTasks) throws Exception {
            return SocketPollTimes.this.poll(pollNow, hasTasks, context.delayNanos(System.nanoTime()) / NANOS_PER_MS);
        }

        @Override
        public int run(IoHandlerContext runContext) {
            context = runContext;
            return handler.run(this);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            pollReturned();
            return context.shouldReportActiveIoTime();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return context.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }
}
