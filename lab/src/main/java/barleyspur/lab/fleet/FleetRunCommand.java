package barleyspur.lab.fleet;

import barleyspur.config.Hcl;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The laboratory's command {@code fleet run}: plays a schedule of faults on several doormans. */
public final class FleetRunCommand {

    /** In larger fleets datagrams are handed over as objects and sized by their bound. */
    static final int MAX_ENCODED_SLOTS = 200;

    private FleetRunCommand() {}

    /**
     * Plays a scenario on real processes, and prints what happened.
     *
     * @return whether all promises were kept
     * @throws Hcl.Invalid where the scenario can't be used
     */
    public static boolean runProcesses(Path scenario, Path jar, Path folder) throws Hcl.Invalid, IOException {
        FaultSchedule schedule = ScenarioFile.load(scenario);
        MembershipMonitor monitor = new MembershipMonitor(true);
        System.out.printf("%s: %d doormans, logs below %s%n", schedule.name(), schedule.initialDoormans(), folder);
        try (RealFleet fleet = new RealFleet(schedule, monitor, jar, folder, System.out::println)) {
            List<Double> settleTimesMs = fleet.run();
            List<double[]> trafficSamples = fleet.trafficSamples();
            System.out.printf(
                    Locale.ROOT,
                    "%s; a member sent %.0f bytes a second in the last second, %.0f at most%n",
                    fleet.resourceUsage(),
                    trafficSamples.isEmpty() ? 0 : trafficSamples.get(trafficSamples.size() - 1)[1],
                    trafficSamples.stream().mapToDouble(t -> t[1]).max().orElse(0));
            FleetRunReport.write(folder, schedule, monitor, settleTimesMs, trafficSamples);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return printViolations(monitor.violations());
    }

    static boolean printViolations(List<String> violations) {
        violations.forEach(b -> System.out.println("BROKEN " + b));
        System.out.println(
                violations.isEmpty() ? "all promises kept" : violations.size() + " times a promise was broken");
        return violations.isEmpty();
    }

    /**
     * Plays a scenario in virtual time from {@code seeds} seeds on; the first seed that breaks a promise is shrunk and
     * written beside as a scenario of its own.
     */
    public static boolean runSimulations(Path scenario, int seeds, Path folder) throws Hcl.Invalid, IOException {
        FaultSchedule schedule = ScenarioFile.load(scenario);
        List<Double> settleTimesMs = new ArrayList<>();
        long startNanos = System.nanoTime();
        double bytesPerSSum = 0;
        for (int i = 0; i < seeds; i++) {
            FaultSchedule seeded = schedule.with(schedule.randomSeed() + i);
            MembershipMonitor monitor = new MembershipMonitor(seeds == 1);
            VirtualFleet fleet = new VirtualFleet(seeded, monitor, seeded.slotCount() <= MAX_ENCODED_SLOTS);
            List<Double> settled = fleet.run();
            settleTimesMs.addAll(settled);
            bytesPerSSum +=
                    fleet.allProcesses().stream().mapToLong(p -> p.sentBytes).sum()
                            / (fleet.nowMs / 1e3)
                            / seeded.initialDoormans();
            if (!monitor.violations().isEmpty()) {
                FaultSchedule shrunk = Shrinker.shrink(seeded);
                Files.createDirectories(folder);
                Path file = folder.resolve("broken-" + seeded.randomSeed() + ".hcl");
                Files.writeString(file, ScenarioFile.write(shrunk));
                System.out.printf(
                        "seed %d; shrunk from %d to %d steps; again: barleyspur-lab fleet run %s --virtual%n",
                        seeded.randomSeed(),
                        seeded.steps().size(),
                        shrunk.steps().size(),
                        file);
                return printViolations(monitor.violations());
            }
            if (seeds == 1) {
                FleetRunReport.write(folder, seeded, monitor, settled, List.of());
            }
        }
        settleTimesMs.sort(null);
        System.out.printf(
                Locale.ROOT,
                "%s: %d seeds of %d doormans in %.1f s; settled after %.2f s (median), %.2f s "
                        + "(99 in 100), %.2f s (most); a member sent %.0f bytes a second%n",
                schedule.name(),
                seeds,
                schedule.initialDoormans(),
                (System.nanoTime() - startNanos) / 1e9,
                settleTimesMs.get(settleTimesMs.size() / 2) / 1e3,
                settleTimesMs.get(settleTimesMs.size() * 99 / 100) / 1e3,
                settleTimesMs.get(settleTimesMs.size() - 1) / 1e3,
                bytesPerSSum / seeds);
        return printViolations(List.of());
    }
}
