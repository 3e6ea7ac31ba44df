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
 * When the sockets of one event loop were polled, from which follows how long something that is read only now may have
 * waited: what a poll finds at once came while the loop was busy, after the poll before it; what ends a wait for sockets
 * has come that moment, unless the wait went on past its end: then the process stood still, and it may have come at any
 * moment of the wait. All calls come from the loop's thread, and times are those of the clock that is set.
 *
 * <p>Costs one more poll, which does not wait, before each that does. A standstill that ends before the wait would have
 * is not noticed; waits are short, since timers are many.
 */
public final class SocketPolls {

    private static final double NANOS_PER_MS = 1e6;
    /** A wait ends some milliseconds late on any machine: the system rounds, and others run. */
    private static final double PUNCTUAL_MS = 5;

    private DoubleSupplier nowMs = () -> 0;
    /** When the sockets were last looked at. */
    private double polledAtMs;

    private double pendingSinceMs;
    /** The loop has gone to wait for its sockets, or has just come back. */
    private boolean waiting = true;
    /** When the wait is to end at the latest. */
    private double waitEndsMs = Double.POSITIVE_INFINITY;

    /** Makes the I/O of the one event loop whose polls these are. */
    public IoHandlerFactory ioHandlers() {
        return ObservedIoHandler::new;
    }

    /** Counts by this clock from now on. */
    public void setClock(DoubleSupplier clockMs) {
        nowMs = clockMs;
        polledAtMs = clockMs.getAsDouble();
        pendingSinceMs = polledAtMs;
    }

    /** The earliest moment at which what is read in this turn of the loop may have come. */
    public double pendingSinceMs() {
        return pendingSinceMs;
    }

    /**
     * Looks whether something is there already; only where nothing is, and no task waits, the loop is to wait, for
     * {@code longestWaitMs} at most.
     */
    int poll(IntSupplier pollNow, boolean hasTasks, double longestWaitMs) throws Exception {
        double now = nowMs.getAsDouble();
        double before = polledAtMs;
        int ready = pollNow.get();
        polledAtMs = now;
        waiting = ready == 0 && !hasTasks;
        if (waiting) {
            waitEndsMs = now + longestWaitMs;
            return SelectStrategy.SELECT;
        }
        pendingSinceMs = before;
        return ready;
    }

    /** What is there is read from here on. */
    void polled() {
        if (waiting) {
            waiting = false;
            double now = nowMs.getAsDouble();
            pendingSinceMs = now > waitEndsMs + PUNCTUAL_MS ? polledAtMs : now;
            polledAtMs = now;
        }
    }

    /** Netty's own handler, which asks its context one thing between a poll and what the poll found: there we are told. */
    private final class ObservedIoHandler implements IoHandler, IoHandlerContext {
        private final IoHandler handler;
        private IoHandlerContext context;

        ObservedIoHandler(ThreadAwareExecutor executor) {
            handler = NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::poll)
                    .newHandler(executor);
        }

        private int poll(IntSupplier pollNow, boolean hasTasks) throws Exception {
            return SocketPolls.this.poll(pollNow, hasTasks, context.delayNanos(System.nanoTime()) / NANOS_PER_MS);
        }

        @Override
        public int run(IoHandlerContext runContext) {
            context = runContext;
            return handler.run(this);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            polled();
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
