package barleyspur.lab.fleet;

import barleyspur.lab.stand.FakeBoxes;
import barleyspur.lab.stand.FakeCommandChannel;
import barleyspur.lab.stand.LoadGenerator;
import barleyspur.lab.stand.NodeList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.json.JSONArray;

/**
 * The command {@code fleet demo}: a station of stand-ins with five real doormans, which for a minute are partly killed
 * and cut off from one another.
 */
public final class FleetDemo {

    private static final int DOORMANS = 5;
    private static final int CACHES = 8;
    private static final int PARENTS = 2;
    private static final int PORT = 7001;
    private static final double REQUESTS_PER_S = 150;
    private static final long PRINT_INTERVAL_MS = 5_000;

    private FleetDemo() {}

    /** Runs the demo and returns whether all invariants held and no request ran twice. */
    public static boolean run(Path jar, Path folder) throws IOException, InterruptedException {
        List<FaultSchedule.Step> steps = List.of(
                new FaultSchedule.Step(true, 10_000, new Fault.Kill(Set.of(1))),
                new FaultSchedule.Step(10_000, new Fault.Start(Set.of(1), "", 0, 2)),
                new FaultSchedule.Step(8_000, new Fault.Split(List.of(Set.of(0, 1), Set.of(2, 3, 4)))),
                new FaultSchedule.Step(10_000, new Fault.Heal()),
                new FaultSchedule.Step(6_000, new Fault.Kill(Set.of(2, 3))),
                new FaultSchedule.Step(8_000, new Fault.Start(Set.of(2, 3), "", 0, 2)),
                new FaultSchedule.Step(8_000, new Fault.Heal()));
        FaultSchedule schedule = new FaultSchedule("demo", DOORMANS, DOORMANS, List.of(0, 1), 500, steps, 30_000, 1);
        MembershipMonitor monitor = new MembershipMonitor(true);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        String networkPrefix = "127." + (20 + ProcessHandle.current().pid() % 200) + ".250.";
        InetSocketAddress channel = new InetSocketAddress(networkPrefix + "100", PORT);
        FakeBoxes boxes = new FakeBoxes(group, "record");
        NodeList nodes = new NodeList();
        for (int i = 0; i < CACHES + PARENTS + 1; i++) {
            FakeBoxes.Kind kind = i < CACHES
                    ? FakeBoxes.Kind.CACHE
                    : i < CACHES + PARENTS ? FakeBoxes.Kind.PARENT : FakeBoxes.Kind.ORIGIN;
            InetSocketAddress address = new InetSocketAddress(networkPrefix + (i + 1), PORT);
            boxes.listen(address, kind);
            nodes.add(NodeList.describe("s-" + i, address, kind, i % 2, 4, 0));
        }
        FakeCommandChannel.listen(group, channel, 1);
        try (RealFleet fleet = new RealFleet(schedule, monitor, jar, folder, System.out::println)) {
            fleet.setConfigurationTransform(json -> {
                json.put("channel", channel.getHostString() + ":" + PORT).put("known", nodes.initialState());
                json.getJSONObject("settings")
                        .getJSONObject("familyInfo")
                        .put("zoneBalancers", new JSONArray().put(DOORMANS));
                return json;
            });
            List<InetSocketAddress> clientAddresses = new ArrayList<>();
            for (int i = 0; i < DOORMANS; i++) {
                clientAddresses.add(fleet.clientAddress(i));
            }
            LoadGenerator clients = new LoadGenerator(
                    group,
                    List.of(
                            new LoadGenerator.RequestClass("parts", 0.55, 600, 6_000),
                            new LoadGenerator.RequestClass("files", 0.41, 300, 2_500),
                            new LoadGenerator.RequestClass("record", 0.04, 700, 3_000)),
                    clientAddresses,
                    1);
            clients.start(REQUESTS_PER_S);
            fleet.setPeriodicTask(PRINT_INTERVAL_MS, () -> {
                System.out.println("             views: " + fleet.viewSizes());
                clients.takeRows().forEach(r -> System.out.println("             " + r));
            });
            fleet.run();
            System.out.println("requests that ran twice though they must not: " + boxes.duplicateRuns()
                    + "; attempts at boxes: " + boxes.attempts());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        return FleetRunCommand.printViolations(monitor.violations())
                && boxes.duplicateRuns().startsWith("0 ");
    }
}
