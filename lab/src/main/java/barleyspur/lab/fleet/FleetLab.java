package barleyspur.lab.fleet;

import barleyspur.config.Hcl;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The laboratory's command {@code fleet run}: plays a schedule of faults on several doormans. */
public final class FleetLab {

    /** In larger fleets datagrams are handed over as objects and sized by their bound. */
    static final int MOST_ENCODED = 200;

    private FleetLab() {}

    /**
     * Plays a scenario on real processes, and prints what happened.
     *
     * @return whether all promises were kept
     * @throws Hcl.InvalidHclException where the scenario can't be used
     */
    public static boolean real(Path scenario, Path jar, Path folder) throws Hcl.InvalidHclException, IOException {
        Schedule schedule = ScenarioFile.load(scenario);
        Watch watch = new Watch(true);
        System.out.printf("%s: %d doormans, logs below %s%n", schedule.name(), schedule.started(), folder);
        try (RealFleet fleet = new RealFleet(schedule, watch, jar, folder, System.out::println)) {
            List<Double> times = fleet.play();
            List<double[]> traffic = fleet.traffic();
            System.out.printf(
                    Locale.ROOT,
                    "%s; a member sent %.0f bytes a second in the last second, %.0f at most%n",
                    fleet.costs(),
                    traffic.isEmpty() ? 0 : traffic.get(traffic.size() - 1)[1],
                    traffic.stream().mapToDouble(t -> t[1]).max().orElse(0));
            FleetReport.write(folder, schedule, watch, times, traffic);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return judge(watch.broken());
    }

    static boolean judge(List<String> broken) {
        broken.forEach(b -> System.out.println("BROKEN " + b));
        System.out.println(broken.isEmpty() ? "all promises kept" : broken.size() + " times a promise was broken");
        return broken.isEmpty();
    }

    /**
     * Plays a scenario in virtual time from {@code seeds} seeds on; the first seed that breaks a promise is shrunk and
     * written beside as a scenario of its own.
     */
    public static boolean virtual(Path scenario, int seeds, Path folder) throws Hcl.InvalidHclException, IOException {
        Schedule schedule = ScenarioFile.load(scenario);
        List<Double> times = new ArrayList<>();
        long start = System.nanoTime();
        double bytes = 0;
        for (int i = 0; i < seeds; i++) {
            Schedule played = schedule.with(schedule.seed() + i);
            Watch watch = new Watch(seeds == 1);
            VirtualFleet fleet = new VirtualFleet(played, watch, played.slots() <= MOST_ENCODED);
            List<Double> settled = fleet.play();
            times.addAll(settled);
            bytes += fleet.processes().stream().mapToLong(p -> p.sentBytes).sum()
                    / (fleet.nowMs / 1e3)
                    / played.started();
            if (!watch.broken().isEmpty()) {
                Schedule small = Shrinker.shrink(played);
                Files.createDirectories(folder);
                Path file = folder.resolve("broken-" + played.seed() + ".hcl");
                Files.writeString(file, ScenarioFile.write(small));
                System.out.printf(
                        "seed %d; shrunk from %d to %d steps; again: barleyspur-lab fleet run %s --virtual%n",
                        played.seed(), played.steps().size(), small.steps().size(), file);
                return judge(watch.broken());
            }
            if (seeds == 1) {
                FleetReport.write(folder, played, watch, settled, List.of());
            }
        }
        times.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%s: %d seeds of %d doormans in %.1f s; settled after %.2f s (median), %.2f s "
                        + "(99 in 100), %.2f s (most); a member sent %.0f bytes a second%n",
                schedule.name(),
                seeds,
                schedule.started(),
                (System.nanoTime() - start) / 1e9,
                times.get(times.size() / 2) / 1e3,
                times.get(times.size() * 99 / 100) / 1e3,
                times.get(times.size() - 1) / 1e3,
                bytes / seeds);
        return judge(List.of());
    }
}
