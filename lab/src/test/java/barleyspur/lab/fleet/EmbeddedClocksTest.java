package barleyspur.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.DoormanServer;
import barleyspur.config.Configuration;
import barleyspur.config.OwnSettings;
import barleyspur.doorman.Clock;
import barleyspur.doorman.EventLoopClock;
import barleyspur.doorman.SocketPollTimes;
import barleyspur.lab.stand.ArrivalMeter;
import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.FakeCommandChannel;
import barleyspur.lab.stand.LoadGenerator;
import barleyspur.lab.stand.NodeList;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import org.json.JSONTokener;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests doormans that are embedded in one process and whose clocks drift apart by the maximum that is allowed. */
class EmbeddedClocksTest {

    private static final int CAPACITY = 4;
    private static final double[] RATES = {1, 1.01, 0.99};

    @TempDir
    Path folder;

    /** The clock of an event loop that runs fast or slow by a rate, timers included. */
    private record SkewedClock(EventLoopClock loopClock, double startMs, double rate) implements Clock {
        SkewedClock(EventLoop loop, SocketPollTimes polls, double rate) {
            this(new EventLoopClock(loop, polls), System.currentTimeMillis(), rate);
        }

        @Override
        public double nowMs() {
            return startMs + (loopClock.nowMs() - startMs) * rate;
        }

        @Override
        public Timer schedule(double delayMs, Runnable task) {
            return loopClock.schedule(delayMs / rate, task);
        }
    }

    /** With lease holders on drifting clocks, a box never has more concurrent calls than the budget allows. */
    @Test
    void clockDriftDoesNotExceedTheBudget() throws Exception {
        String network = "127." + (20 + ProcessHandle.current().pid() % 200) + ".210.";
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<DoormanServer> doormans = new ArrayList<>();
        try {
            FakeBoxes boxes = new FakeBoxes(group, "record", 40, new double[3]);
            NodeList listed = new NodeList();
            for (int i = 0; i < 3; i++) {
                InetSocketAddress address = new InetSocketAddress(network + (50 + i), 7001);
                boxes.listen(address, FakeBoxes.Kind.values()[i]);
                listed.add(NodeList.describe("s-" + i, address, FakeBoxes.Kind.values()[i], 0, 64, 0));
            }
            InetSocketAddress channel = new InetSocketAddress(network + "100", 7001);
            FakeCommandChannel.listen(group, channel, 1);
            Path key = Files.writeString(folder.resolve("fleet.key"), "Lab0key1That2Nobody3Else4Should5Have6In7Use8\n");
            Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
            List<InetSocketAddress> doormanAddresses = new ArrayList<>();
            for (int i = 0; i < RATES.length; i++) {
                double rate = RATES[i];
                doormanAddresses.add(new InetSocketAddress(network + (i + 1), 7001));
                doormans.add(new DoormanServer(
                        configuration(network, i, channel, listed),
                        settings(network, i),
                        (loop, polls) -> new SkewedClock(loop, polls, rate)));
                doormans.get(i).start();
            }
            LoadGenerator clients = new LoadGenerator(
                    group, List.of(new LoadGenerator.RequestClass("parts", 1, 600, 3_000)), doormanAddresses, 1);
            clients.start(300, (slot, now) -> 1.0 / RATES.length);
            TimeUnit.SECONDS.sleep(9);
            DoormanServer first = doormans.remove(0);
            first.drain();
            first.awaitEnd();
            TimeUnit.SECONDS.sleep(6);
            ArrivalMeter tally = boxes.meter(new InetSocketAddress(network + "50", 7001));
            assertTrue(tally.arrivals() > 0, "the box received no calls");
            assertTrue(
                    tally.peakConcurrency() <= CAPACITY,
                    tally.peakConcurrency() + " concurrent calls, limit " + CAPACITY);
        } finally {
            doormans.forEach(DoormanServer::drain);
            for (DoormanServer doorman : doormans) {
                doorman.awaitEnd();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private Configuration configuration(String network, int index, InetSocketAddress channel, NodeList listed)
            throws Exception {
        JSONObject json = new JSONObject(
                        new JSONTokener(DoormanServer.class.getResourceAsStream("/barleyspur/rehearsal.json")))
                .put("name", "e" + index)
                .put("listen", network + (index + 1) + ":7001")
                .put("channel", channel.getHostString() + ":7001")
                .put("known", listed.initialState());
        Path file = Files.writeString(folder.resolve("c" + index + ".json"), json.toString(1));
        return Configuration.load(Map.of("RELAY_CONFIG", file.toString(), "TMPDIR", folder.toString()));
    }

    private OwnSettings settings(String network, int index) throws Exception {
        StringBuilder addresses = new StringBuilder();
        StringBuilder others = new StringBuilder();
        for (int k = 0; k < RATES.length; k++) {
            String address = "\"" + network + (k + 1) + ":7101\"";
            addresses.append(k > 0 ? ", " : "").append(address);
            others.append(k == index ? "" : (others.isEmpty() ? "" : ", ") + address);
        }
        return OwnSettings.load(Files.writeString(
                folder.resolve("s" + index + ".hcl"),
                "fleet \"skewed\" {\n  listen = \"" + network
                        + (index + 1) + ":7101\"\n  seeds = [" + others
                        + "]\n  key_file = \"fleet.key\"\n}\nbudgets {\n  voters = [" + addresses
                        + "]\n  term = \"1s\"\n  hold = \"500ms\"\n}\nbudget \"calls\" {\n  kind = \"places\"\n  "
                        + "whole = "
                        + CAPACITY
                        + "\n  lease = \"2s\"\n  at = \"cache\"\n}\n"));
    }
}
