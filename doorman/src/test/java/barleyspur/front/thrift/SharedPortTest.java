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

/** Two servers that share one port on the loopback interface, as during the hand-off of an upgrade. */
class SharedPortTest {

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopClock clock = new EventLoopClock(group.next(), new SocketPollTimes());

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private ThriftServer server(boolean share) {
        Lifecycle lifecycle = new Lifecycle();
        lifecycle.startServing(0);
        Doorman doorman = new Doorman(
                ClientConnectionTest.SETTINGS, 9, (now, event, sink) -> {}, clock, new UnresponsiveDepots());
        return new ThriftServer(
                group,
                doorman,
                clock,
                ClientConnectionTest.CLASSES,
                16,
                1 << 20,
                InputBudgets.of(1 << 20, 1 << 20, 16),
                overLimit -> {},
                lifecycle,
                share);
    }

    private static InetSocketAddress freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", probe.getLocalPort());
        }
    }

    /**
     * If the port is shared, the new process of an upgrade can bind it while the old one listens, and receives all
     * clients once the old one stops listening. If the port isn't shared, the bind fails.
     */
    @Test
    void secondServerSharesThePortAndTakesOver() throws Exception {
        InetSocketAddress address = freePort();
        ThriftServer first = server(true);
        assertTrue(first.listen(address).await().isSuccess());
        assertFalse(
                server(false).listen(address).await().isSuccess(), "only a server that shares the port can bind it");
        ThriftServer successor = server(true);
        assertTrue(successor.listen(address).await().isSuccess(), "the successor can bind the same port");
        group.submit(first::stopListening).sync().getNow().sync();
        for (int i = 0; i < 20; i++) {
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertTrue(client.isConnected(), "connection " + i + " is accepted by the successor");
            }
        }
        group.submit(successor::stopListening).sync().getNow().sync();
        assertTrue(refusedSoon(address), "connections are refused when neither server listens");
    }

    /** Waits for a refusal: the kernel socket is released at the next select, after the close future has completed. */
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
