package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.FakeCommandChannel;
import barleyspur.lab.stand.NodeList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** Tests a doorman, started as in the deployment, with 1,024 nodes and in a fleet of 1,024 doormans. */
@Isolated
class ThousandNodesTest {

    private static final int NODE_COUNT = 1_024;
    private static final int DOORMAN_COUNT = 1_024;
    /** The maximum number of file descriptors on the platform. */
    private static final int SOCKET_LIMIT = 1_024;

    private static final int MEMORY_LIMIT_MB = 192;
    private static final int REQUEST_COUNT = 6_000;
    private static final double CAPACITY_HINT = 2;

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Guards the size limits: full lists of this size are accepted from the configuration and the channel, and used.
     */
    @Test
    void acceptsFullListsOf1024Nodes() throws Exception {
        DoormanProcesses.ColdRule coldRule = new DoormanProcesses.ColdRule(8_000, 3_000, 0.24, 3);
        try (DoormanProcesses processes = new DoormanProcesses(folder, group, coldRule)) {
            processes.setSocketLimit(SOCKET_LIMIT);
            FakeBoxes boxes = processes.startBoxes(NODE_COUNT, 3);
            InetSocketAddress channel = processes.channelAddress(9);
            FakeCommandChannel commandChannel = FakeCommandChannel.listen(group, channel, 1);
            JSONObject configuration = processes.configuration(0, DOORMAN_COUNT, NODE_COUNT, channel, CAPACITY_HINT);
            JSONObject peers = new JSONObject();
            for (int i = 1; i < DOORMAN_COUNT; i++) {
                peers.put("d" + i, "127.1." + i / 250 + "." + (i % 250 + 1) + ":7002");
            }
            processes.launch(0, configuration.put("peers", peers));
            try (ThriftClient client = connect(processes)) {
                sendRequests(client, 1);
                int reachedNodes = countReachedNodes(processes, boxes);
                NodeList nodeList = new NodeList();
                for (int i = 0; i < NODE_COUNT; i++) {
                    nodeList.add(processes.describeNode(i, NODE_COUNT, CAPACITY_HINT, 0));
                }
                commandChannel.sendEvent("\"nodes\":" + nodeList.toEvent(2, true));
                sendRequests(client, REQUEST_COUNT + 1);
                System.out.printf(
                        "%d nodes, %d doormans: %d nodes reached, %d MB at most%n",
                        NODE_COUNT, DOORMAN_COUNT, reachedNodes, processes.peakMemoryMb(0));
                assertTrue(reachedNodes > NODE_COUNT * 9 / 10, "nodes reached: " + reachedNodes);
                assertTrue(processes.peakMemoryMb(0) < MEMORY_LIMIT_MB, "peak memory");
                assertTrue(processes.process(0).isAlive());
            }
        }
    }

    private static ThriftClient connect(DoormanProcesses processes) throws Exception {
        processes.awaitReady(0);
        return new ThriftClient(processes.frontAddress(0));
    }

    private static int countReachedNodes(DoormanProcesses processes, FakeBoxes boxes) {
        int reachedNodes = 0;
        for (int i = 0; i < NODE_COUNT; i++) {
            reachedNodes += boxes.meter(processes.boxAddress(i)).arrivals() > 0 ? 1 : 0;
        }
        return reachedNodes;
    }

    /** Sends requests, up to 16 at a time; each must be answered, and over 99 % must be served. */
    private static void sendRequests(ThriftClient client, int firstSeqid) throws Exception {
        int sent = 0;
        int served = 0;
        for (int answered = 0; answered < REQUEST_COUNT; answered++) {
            while (sent < REQUEST_COUNT && sent - answered < 16) {
                int seqid = firstSeqid + sent++;
                client.send(
                        "dispatch",
                        seqid,
                        Map.of(
                                "c",
                                "files",
                                "i",
                                String.format("%016x", seqid),
                                "d",
                                "2400",
                                "o",
                                String.format("%016x", seqid % 4_001),
                                "seg",
                                "0",
                                "bucket",
                                "1",
                                "m",
                                "100.5"));
            }
            ThriftClient.Answer answer = client.readAnswer();
            assertNotNull(answer, "the connection has ended");
            served += answer.served() ? 1 : 0;
        }
        assertEquals(REQUEST_COUNT, sent);
        assertTrue(served > REQUEST_COUNT * 0.99, "served: " + served);
    }
}
