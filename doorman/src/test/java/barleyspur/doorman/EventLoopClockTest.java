package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the count of pending timers, by which timers that are left behind show. */
class EventLoopClockTest {

    private static final double HOUR_MS = 3_600_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopClock clock = new EventLoopClock(group.next(), new SocketPollTimes());

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void timersCountUntilTheyRunOrAreCancelled() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        clock.schedule(0, ran::countDown);
        ran.await();
        assertEquals(0, clock.pendingTimers());
        AtomicBoolean cancelledRan = new AtomicBoolean();
        Clock.Timer timer = clock.schedule(HOUR_MS, () -> cancelledRan.set(true));
        assertEquals(1, clock.pendingTimers());
        timer.cancel();
        timer.cancel();
        assertEquals(0, clock.pendingTimers(), "a second cancel counts nothing");
        assertFalse(cancelledRan.get());
    }
}
