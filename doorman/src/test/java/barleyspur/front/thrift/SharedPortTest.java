package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.doorman.Doorman;
import barleyspur.doorman.EventLoopClock;
import barleyspur.doorman.SocketPollTimes;
import barleyspur.doorman.UnresponsiveDepots;
import barleyspur.lifecycle.Lifecycle;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An upgrade's two fronts on one port, on loopback: the shell's part of the hand-off. */
class SharedPortTest {

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopClock clock = new EventLoopClock(group.next(), new SocketPollTimes());

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private ThriftFront front(boolean share) {
        Lifecycle lifecycle = new Lifecycle();
        lifecycle.startServing(0);
        Doorman doorman =
                new Doorman(FrontConnectionTest.SETTINGS, 9, (now, event, sink) -> {}, clock, new UnresponsiveDepots());
        return new ThriftFront(
                group, doorman, clock, FrontConnectionTest.CLASSES, 16, 1 << 20, full -> {}, lifecycle, share);
    }

    private static InetSocketAddress freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", probe.getLocalPort());
        }
    }

    /**
     * Guards the upgrade's start: with the port shared the new process binds beside the old one, without it the bind
     * fails as it did on the untouched program; once the old one stops listening, the new one takes every client.
     */
    @Test
    void twoFrontsListenOnOnePortAndTheSecondTakesOver() throws Exception {
        InetSocketAddress address = freePort();
        ThriftFront old = front(true);
        assertTrue(old.listen(address).await().isSuccess());
        assertFalse(front(false).listen(address).await().isSuccess(), "a front that does not share can't bind");
        ThriftFront next = front(true);
        assertTrue(next.listen(address).await().isSuccess(), "the successor binds beside it");
        group.submit(old::stopListening).sync().getNow().sync();
        for (int i = 0; i < 20; i++) {
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertTrue(client.isConnected(), "connection " + i + " is taken by the successor");
            }
        }
        group.submit(next::stopListening).sync().getNow().sync();
        assertTrue(refusedSoon(address), "with neither listening, nobody takes a client");
    }

    /** The kernel's socket is given back when the loop next selects, which is after the future of the close. */
    private static boolean refusedSoon(InetSocketAddress address) throws InterruptedException {
        for (int i = 0; i < 5_000; i++) {
            if (refused(address)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return false;
    }

    private static boolean refused(InetSocketAddress address) {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            return !client.isConnected();
        } catch (IOException e) {
            return true;
        }
    }
}
