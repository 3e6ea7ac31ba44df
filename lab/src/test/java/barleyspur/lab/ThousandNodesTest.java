package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.NodeList;
import barleyspur.lab.stand.StandBoxes;
import barleyspur.lab.stand.StandChannel;
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

    private static final int NODES = 1_024;
    private static final int DOORMANS = 1_024;
    /** The maximum number of file descriptors on the platform. */
    private static final int SOCKETS = 1_024;

    private static final int MEMORY_MB = 192;
    private static final int REQUESTS = 6_000;
    private static final double SIZE = 2;

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Guards the size limits: full lists of this size are accepted from the configuration and the channel, and used.
     */
    @Test
    void wholeListsOfAThousandAreTakenAndServedFrom() throws Exception {
        ServeProcesses.ColdRule cold = new ServeProcesses.ColdRule(8_000, 3_000, 0.24, 3);
        try (ServeProcesses processes = new ServeProcesses(folder, group, cold)) {
            processes.sockets(SOCKETS);
            StandBoxes boxes = processes.boxes(NODES, 3);
            InetSocketAddress channel = processes.channel(9);
            StandChannel told = StandChannel.listen(group, channel, 1);
            JSONObject configuration = processes.configuration(0, DOORMANS, NODES, channel, SIZE);
            JSONObject peers = new JSONObject();
            for (int i = 1; i < DOORMANS; i++) {
                peers.put("d" + i, "127.1." + i / 250 + "." + (i % 250 + 1) + ":7002");
            }
            processes.launch(0, configuration.put("peers", peers));
            try (ThriftClient client = connected(processes)) {
                ask(client, 1);
                int reached = reached(processes, boxes);
                NodeList all = new NodeList();
                for (int i = 0; i < NODES; i++) {
                    all.add(processes.target(i, NODES, SIZE, 0));
                }
                told.tell("\"nodes\":" + all.event(2, true));
                ask(client, REQUESTS + 1);
                System.out.printf(
                        "%d nodes, %d doormans: %d nodes reached, %d MB at most%n",
                        NODES, DOORMANS, reached, processes.peakMemoryMb(0));
                assertTrue(reached > NODES * 9 / 10, "nodes reached: " + reached);
                assertTrue(processes.peakMemoryMb(0) < MEMORY_MB, "peak memory");
                assertTrue(processes.process(0).isAlive());
            }
        }
    }

    private static ThriftClient connected(ServeProcesses processes) throws Exception {
        processes.awaitReady(0);
        return new ThriftClient(processes.front(0));
    }

    private static int reached(ServeProcesses processes, StandBoxes boxes) {
        int reached = 0;
        for (int i = 0; i < NODES; i++) {
            reached += boxes.tally(processes.box(i)).arrived() > 0 ? 1 : 0;
        }
        return reached;
    }

    /** Sends requests, up to 16 at a time; each must be answered, and over 99 % must be served. */
    private static void ask(ThriftClient client, int firstSeqid) throws Exception {
        int asked = 0;
        int served = 0;
        for (int answered = 0; answered < REQUESTS; answered++) {
            while (asked < REQUESTS && asked - answered < 16) {
                int seqid = firstSeqid + asked++;
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
            ThriftClient.Answer answer = client.read();
            assertNotNull(answer, "the connection has ended");
            served += answer.served() ? 1 : 0;
        }
        assertEquals(REQUESTS, asked);
        assertTrue(served > REQUESTS * 0.99, "served: " + served);
    }
}
