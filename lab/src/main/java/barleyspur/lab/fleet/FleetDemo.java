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

/** {@code fleet demo}: a station of stand-ins with five real doormans, some of which are killed and cut off for a minute. */
public final class FleetDemo {

    private static final int DOORMANS = 5;
    private static final int CACHES = 8;
    private static final int PARENTS = 2;
    private static final int PORT = 7001;
    private static final double REQUESTS_PER_S = 150;
    private static final long ROW_MS = 5_000;

    private FleetDemo() {}

    /** Runs it; whether all promises were kept and nothing ran twice. */
    public static boolean run(Path jar, Path folder) throws IOException, InterruptedException {
        List<Schedule.Step> steps = List.of(
                new Schedule.Step(true, 10_000, new Fault.Kill(Set.of(1))),
                new Schedule.Step(10_000, new Fault.Start(Set.of(1), "", 0, 2)),
                new Schedule.Step(8_000, new Fault.Split(List.of(Set.of(0, 1), Set.of(2, 3, 4)))),
                new Schedule.Step(10_000, new Fault.Heal()),
                new Schedule.Step(6_000, new Fault.Kill(Set.of(2, 3))),
                new Schedule.Step(8_000, new Fault.Start(Set.of(2, 3), "", 0, 2)),
                new Schedule.Step(8_000, new Fault.Heal()));
        Schedule schedule = new Schedule("demo", DOORMANS, DOORMANS, List.of(0, 1), 500, steps, 30_000, 1);
        Watch watch = new Watch(true);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        String network = "127." + (20 + ProcessHandle.current().pid() % 200) + ".250.";
        InetSocketAddress channel = new InetSocketAddress(network + "100", PORT);
        FakeBoxes boxes = new FakeBoxes(group, "record");
        NodeList nodes = new NodeList();
        for (int i = 0; i < CACHES + PARENTS + 1; i++) {
            FakeBoxes.Kind kind = i < CACHES
                    ? FakeBoxes.Kind.CACHE
                    : i < CACHES + PARENTS ? FakeBoxes.Kind.PARENT : FakeBoxes.Kind.ORIGIN;
            InetSocketAddress at = new InetSocketAddress(network + (i + 1), PORT);
            boxes.listen(at, kind);
            nodes.add(NodeList.describe("s-" + i, at, kind, i % 2, 4, 0));
        }
        FakeCommandChannel.listen(group, channel, 1);
        try (RealFleet fleet = new RealFleet(schedule, watch, jar, folder, System.out::println)) {
            fleet.configure(json -> {
                json.put("channel", channel.getHostString() + ":" + PORT).put("known", nodes.initialState());
                json.getJSONObject("settings")
                        .getJSONObject("familyInfo")
                        .put("zoneBalancers", new JSONArray().put(DOORMANS));
                return json;
            });
            List<InetSocketAddress> fronts = new ArrayList<>();
            for (int i = 0; i < DOORMANS; i++) {
                fronts.add(fleet.front(i));
            }
            LoadGenerator clients = new LoadGenerator(
                    group,
                    List.of(
                            new LoadGenerator.RequestClass("parts", 0.55, 600, 6_000),
                            new LoadGenerator.RequestClass("files", 0.41, 300, 2_500),
                            new LoadGenerator.RequestClass("record", 0.04, 700, 3_000)),
                    fronts,
                    1);
            clients.start(REQUESTS_PER_S);
            fleet.every(ROW_MS, () -> {
                System.out.println("             views: " + fleet.sizes());
                clients.takeRows().forEach(r -> System.out.println("             " + r));
            });
            fleet.play();
            System.out.println("requests that must not run twice and did: " + boxes.duplicateRuns()
                    + "; attempts at boxes: " + boxes.attempts());
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
        return FleetLab.judge(watch.broken()) && boxes.duplicateRuns().startsWith("0 ");
    }
}
