package barleyspur;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.config.Configuration;
import barleyspur.config.OwnSettings;
import barleyspur.doorman.EventLoopClock;
import barleyspur.doorman.SocketPollTimes;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that a doorman whose event loop ends says so, in place of one with an open address that answers nobody. */
class EventLoopFailureTest {

    private static final int TIMEOUT_S = 20;

    private EventLoop loop;
    private SocketPollTimes polls;

    private DoormanServer start() throws Exception {
        DoormanServer server =
                new DoormanServer(Configuration.example(), OwnSettings.none(), (eventLoop, pollTimes) -> {
                    loop = eventLoop;
                    polls = pollTimes;
                    return new EventLoopClock(eventLoop, pollTimes);
                });
        server.start();
        return server;
    }

    /** Guards against a process that stays behind, and holds its address, when its event loop has ended. */
    @Test
    void errorThatEndsTheEventLoopIsReported() throws Exception {
        DoormanServer server = start();
        CountDownLatch failed = new CountDownLatch(1);
        server.setFailureHandler(failed::countDown);
        polls.setClock(() -> {
            if (loop.inEventLoop()) {
                throw new OutOfMemoryError("made by the test");
            }
            return 0;
        });
        loop.execute(() -> {});
        assertTrue(failed.await(TIMEOUT_S, TimeUnit.SECONDS), "the end of the event loop was not reported");
        server.awaitEnd();
    }

    @Test
    void drainIsNoFailure() throws Exception {
        DoormanServer server = start();
        AtomicInteger failures = new AtomicInteger();
        server.setFailureHandler(failures::incrementAndGet);
        server.drain();
        server.awaitEnd();
        assertTrue(loop.awaitTermination(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, failures.get());
    }
}
