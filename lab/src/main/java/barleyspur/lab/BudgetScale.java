package barleyspur.lab;

import barleyspur.budget.BudgetAgent;
import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import barleyspur.budget.BudgetLimiter;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures a doorman's processor cost of budgets by their number: acquiring from one of them, and one second of
 * requesting, dividing and granting shares.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class BudgetScale {

    private static final double LEASE_MS = 4_000;
    private static final double WARM_MS = 12_000;
    private static final double STEP_MS = 5;

    @Param({"10", "1000", "5000"})
    int budgets;

    private BudgetAgent doorman;
    private BudgetLimiter[] places;
    private double now;
    private int next;

    /** Creates the limiters and waits until each has received a share of its budget. */
    @Setup
    public void start() {
        BudgetConfig terms = new BudgetConfig(
                List.of("127.0.0.1:1"),
                16,
                1_500,
                500,
                50,
                Map.of("p", new BudgetConfig.Budget("p", BudgetKind.PLACES, 1_000, 16, 0, 1, LEASE_MS)));
        doorman = new BudgetAgent(terms, "d1", "127.0.0.1:1", 1, 1, 0, a -> {});
        places = new BudgetLimiter[budgets];
        for (int i = 0; i < budgets; i++) {
            places[i] = doorman.limiter(0, "p:s" + i);
            places[i].tryAcquire(0);
        }
        // With a single voter this doorman is its own majority, so it divides the budgets itself.
        for (now = 0; now < WARM_MS; now += STEP_MS) {
            doorman.tick(now);
        }
        for (BudgetLimiter s : places) {
            if (s.limit(now) < 1) {
                throw new IllegalStateException(s.name() + " has received no share");
            }
        }
    }

    /** Acquires a place of one budget and releases it; each call uses the next budget. */
    @Benchmark
    public boolean takeAndRelease() {
        BudgetLimiter s = places[next];
        next = next + 1 == places.length ? 0 : next + 1;
        boolean good = s.tryAcquire(now);
        s.release(now, now);
        return good;
    }

    /** Runs one simulated second of a doorman that both divides all budgets and holds a share of each. */
    @Benchmark
    public double second() {
        for (double end = now + 1_000; now < end; now += STEP_MS) {
            if (doorman.dueMs() <= now) {
                doorman.tick(now);
            }
        }
        for (BudgetLimiter s : places) {
            s.tryAcquire(now);
            s.release(now, now);
        }
        return now;
    }
}
