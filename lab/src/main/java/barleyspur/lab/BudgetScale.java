package barleyspur.lab;

import barleyspur.budget.Budgets;
import barleyspur.budget.Kind;
import barleyspur.budget.Share;
import barleyspur.budget.Terms;
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

/** What a doorman pays for budgets by their number: a take from one of them, and a second of asking, dividing and granting. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class BudgetScale {

    private static final double LEASE_MS = 4_000;
    private static final double WARM_MS = 12_000;
    private static final double STEP_MS = 5;

    @Param({"10", "1000", "5000"})
    int budgets;

    private Budgets doorman;
    private Share[] places;
    private double now;
    private int next;

    /** Makes the shares that are measured. */
    @Setup
    public void start() {
        Terms terms = new Terms(
                List.of("127.0.0.1:1"),
                16,
                1_500,
                500,
                50,
                Map.of("p", new Terms.Budget("p", Kind.PLACES, 1_000, 16, 0, 1, LEASE_MS)));
        doorman = new Budgets(terms, "d1", "127.0.0.1:1", 1, 1, 0, a -> {});
        places = new Share[budgets];
        for (int i = 0; i < budgets; i++) {
            places[i] = doorman.share(0, "p:s" + i);
            places[i].take(0);
        }
        // One voter is a majority of one: this doorman divides for itself.
        for (now = 0; now < WARM_MS; now += STEP_MS) {
            doorman.tick(now);
        }
        for (Share s : places) {
            if (s.allowed(now) < 1) {
                throw new IllegalStateException(s.name() + " holds nothing");
            }
        }
    }

    /** A take and the return of the place, each of another budget. */
    @Benchmark
    public boolean takeAndRelease() {
        Share s = places[next];
        next = next + 1 == places.length ? 0 : next + 1;
        boolean good = s.take(now);
        s.release(now, now);
        return good;
    }

    /** A second of a doorman that holds and divides all of them. */
    @Benchmark
    public double second() {
        for (double end = now + 1_000; now < end; now += STEP_MS) {
            if (doorman.dueMs() <= now) {
                doorman.tick(now);
            }
        }
        for (Share s : places) {
            s.take(now);
            s.release(now, now);
        }
        return now;
    }
}
