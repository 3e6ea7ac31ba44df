package barleyspur.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command {@code soak}: plays consecutive seeds and prints each violation with the trace of its request. */
public final class SoakCommand {

    private static final Pattern REQUEST_ID = Pattern.compile("request ([0-9a-f]{16})");
    private static final int MAX_TRACES = 3;

    /**
     * What is run.
     *
     * @param seed the first seed
     * @param seeds the number of seeds
     * @param seconds about how long the actions of a run take
     * @param root the folder of the deployment
     * @param jar a jar in place of the deployment's, or null
     * @param patchedClasses a folder with classes that go before those of the jar, or null
     * @param folder the folder for logs
     */
    public record Request(long seed, int seeds, int seconds, Path root, Path jar, Path patchedClasses, Path folder) {}

    private SoakCommand() {}

    /** Plays all seeds and returns the seeds with violations. */
    public static List<Long> run(Request request) throws IOException, InterruptedException {
        List<Long> failedSeeds = new ArrayList<>();
        for (long seed = request.seed(); seed < request.seed() + request.seeds(); seed++) {
            if (!runSeed(request, seed)) {
                failedSeeds.add(seed);
            }
        }
        System.out.printf(
                "soak: %d of %d seeds with violations%s%n",
                failedSeeds.size(), request.seeds(), failedSeeds.isEmpty() ? "" : ": " + failedSeeds);
        return failedSeeds;
    }

    private static boolean runSeed(Request request, long seed) throws IOException, InterruptedException {
        SoakPlan plan = SoakPlan.draw(seed, request.seconds(), SoakConfiguration.NODE_COUNT);
        SoakProcess.Program program =
                new SoakProcess.Program(request.root().toAbsolutePath(), request.jar(), request.patchedClasses());
        try (SoakRun run = new SoakRun(plan, program, request.folder().resolve("seed-" + seed))) {
            SoakJudge judge = run.run();
            System.out.printf(
                    "seed %d%s: %s; event loops late by %d ms at most; %d MB at most; %s%n",
                    seed,
                    plan.crowd() ? " with a crowd" : plan.floods() ? " with floods" : "",
                    judge.violations().isEmpty() ? "held" : judge.violations().size() + " violations",
                    run.longestEventLoopLatenessMs(),
                    run.peakMemoryMb(),
                    describe(judge.counts()));
            printViolations(run, judge.violations());
            if (!judge.violations().isEmpty()) {
                System.out.printf(
                        "  play it again: java -jar lab/target/barleyspur-lab.jar soak --seed %d --seconds %d%n",
                        seed, request.seconds());
            }
            return judge.violations().isEmpty();
        }
    }

    private static String describe(Map<String, Integer> counts) {
        return new TreeMap<>(counts).toString();
    }

    private static void printViolations(SoakRun run, List<String> violations) throws IOException {
        int traces = 0;
        for (String violation : violations) {
            System.out.println("  VIOLATION at " + violation);
            Matcher id = REQUEST_ID.matcher(violation);
            if (traces < MAX_TRACES && id.find()) {
                traces++;
                run.trace(id.group(1)).forEach(line -> System.out.println("    " + line));
            }
        }
    }
}
