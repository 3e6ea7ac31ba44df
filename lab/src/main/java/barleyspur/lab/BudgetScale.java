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
    private static final double WARM_UP_MS = 12_000;
    private static final double TICK_MS = 5;

    @Param({"10", "1000", "5000"})
    int budgets;

    private BudgetAgent agent;
    private BudgetLimiter[] limiters;
    private double nowMs;
    private int nextLimiter;

    /** Creates the limiters and waits until each has received a share of its budget. */
    @Setup
    public void setUp() {
        BudgetConfig config = new BudgetConfig(
                List.of("127.0.0.1:1"),
                16,
                1_500,
                500,
                50,
                Map.of("p", new BudgetConfig.Budget("p", BudgetKind.PLACES, 1_000, 16, 0, 1, LEASE_MS)));
        agent = new BudgetAgent(config, "d1", "127.0.0.1:1", 1, 1, 0, a -> {});
        limiters = new BudgetLimiter[budgets];
        for (int i = 0; i < budgets; i++) {
            limiters[i] = agent.limiter(0, "p:s" + i);
            limiters[i].tryAcquire(0);
        }
        // With a single voter this doorman is its own majority, so it divides the budgets itself.
        for (nowMs = 0; nowMs < WARM_UP_MS; nowMs += TICK_MS) {
            agent.tick(nowMs);
        }
        for (BudgetLimiter limiter : limiters) {
            if (limiter.limit(nowMs) < 1) {
                throw new IllegalStateException(limiter.name() + " has received no share");
            }
        }
    }

    /** Acquires a place of one budget and releases it; each call uses the next budget. */
    @Benchmark
    public boolean takeAndRelease() {
        BudgetLimiter limiter = limiters[nextLimiter];
        nextLimiter = nextLimiter + 1 == limiters.length ? 0 : nextLimiter + 1;
        boolean acquired = limiter.tryAcquire(nowMs);
        limiter.release(nowMs, nowMs);
        return acquired;
    }

    /** Runs one simulated second of a doorman that both divides all budgets and holds a share of each. */
    @Benchmark
    public double second() {
        for (double endMs = nowMs + 1_000; nowMs < endMs; nowMs += TICK_MS) {
            if (agent.dueMs() <= nowMs) {
                agent.tick(nowMs);
            }
        }
        for (BudgetLimiter limiter : limiters) {
            limiter.tryAcquire(nowMs);
            limiter.release(nowMs, nowMs);
        }
        return nowMs;
    }
}
