package barleyspur.lab.fleet;

import barleyspur.config.Hcl;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The command {@code fleet run}: runs a schedule of faults on several doormans. */
public final class FleetRunCommand {

    /** In larger fleets datagrams are passed as objects, and their sizes are upper bounds. */
    static final int MAX_ENCODED_SLOTS = 200;

    private FleetRunCommand() {}

    /**
     * Runs a scenario on real processes and writes a report.
     *
     * @return whether all invariants held
     * @throws Hcl.InvalidHclException where the scenario can't be used
     */
    public static boolean runProcesses(Path scenario, Path jar, Path folder)
            throws Hcl.InvalidHclException, IOException {
        FaultSchedule schedule = ScenarioFile.load(scenario);
        MembershipMonitor monitor = new MembershipMonitor(true);
        System.out.printf("%s: %d doormans, logs below %s%n", schedule.name(), schedule.initialDoormans(), folder);
        try (RealFleet fleet = new RealFleet(schedule, monitor, jar, folder, System.out::println)) {
            List<Double> settleTimesMs = fleet.run();
            List<double[]> trafficSamples = fleet.trafficSamples();
            System.out.printf(
                    Locale.ROOT,
                    "%s; a member sent %.0f bytes/s in the last second, at most %.0f%n",
                    fleet.resourceUsage(),
                    trafficSamples.isEmpty() ? 0 : trafficSamples.get(trafficSamples.size() - 1)[1],
                    trafficSamples.stream().mapToDouble(t -> t[1]).max().orElse(0));
            FleetRunReport.write(folder, schedule, monitor, settleTimesMs, trafficSamples);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return printViolations(monitor.violations());
    }

    /** Prints violations and returns whether there were none. */
    static boolean printViolations(List<String> violations) {
        violations.forEach(b -> System.out.println("BROKEN " + b));
        System.out.println(
                violations.isEmpty() ? "all invariants held" : violations.size() + " violations of invariants");
        return violations.isEmpty();
    }

    /**
     * Runs a scenario in virtual time with consecutive seeds. The schedule of the first seed that violates an
     * invariant is shrunk and written to a file.
     *
     * @return whether all invariants held
     */
    public static boolean runSimulations(Path scenario, int seeds, Path folder)
            throws Hcl.InvalidHclException, IOException {
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
                        "seed %d; shrunk from %d to %d steps; replay: barleyspur-lab fleet run %s --virtual%n",
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
                        + "(99th percentile), %.2f s (maximum); a member sent %.0f bytes/s%n",
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
