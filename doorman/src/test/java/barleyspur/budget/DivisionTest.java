package barleyspur.budget;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests weighted max-min allocation in whole units. */
class DivisionTest {

    private static long[] divide(long total, double[] weights, long... wants) {
        return divide(total, weights, new double[wants.length], wants);
    }

    private static long[] divide(long total, double[] weights, double[] claims, long... wants) {
        return Division.divide(total, Division.level(total, wants, weights), wants, weights, claims);
    }

    private static double[] alike(int n) {
        double[] weights = new double[n];
        Arrays.fill(weights, 1);
        return weights;
    }

    /** Demands cap allocations, unsatisfied holders get equal amounts by weight, and spare capacity is spread. */
    @Test
    void ordinaryCases() {
        assertArrayEquals(new long[] {2, 4, 4}, divide(10, alike(3), 2, 9, 9));
        assertArrayEquals(new long[] {2, 6}, divide(8, new double[] {1, 3}, 100, 100));
        assertArrayEquals(new long[] {4, 3}, divide(7, alike(2), 1, 0));
        assertArrayEquals(new long[] {0, 0, 1}, divide(1, alike(3), new double[] {0, 1, 2}, 5, 5, 5));
        assertArrayEquals(new long[0], divide(5, alike(0)));
    }

    /** Exactly the total is allocated, and an unsatisfied holder gets at most a unit less than any other. */
    @Property(seed = "71", tries = 2_000)
    void allIsDividedAndFair(
            @ForAll @Size(min = 1, max = 20) List<@LongRange(max = 50) Long> wanted,
            @ForAll @IntRange(max = 200) int total) {
        long[] wants = wanted.stream().mapToLong(Long::longValue).toArray();
        long[] given = divide(total, alike(wants.length), wants);
        long sum = 0;
        boolean lack = false;
        for (int i = 0; i < wants.length; i++) {
            assertTrue(given[i] >= 0);
            sum += given[i];
            lack |= given[i] < wants[i];
        }
        assertEquals(total, sum);
        for (int i = 0; i < wants.length && lack; i++) {
            assertTrue(given[i] <= wants[i], "a holder has more than its demand while another is unsatisfied");
            for (int j = 0; j < wants.length; j++) {
                assertTrue(given[i] >= wants[i] || given[j] <= given[i] + 1, i + " and " + j);
            }
        }
    }

    /** The total is allocated exactly for any weights. */
    @Property(seed = "72", tries = 1_000)
    void weightsDontChangeTheSum(
            @ForAll @Size(5) List<@LongRange(max = 50) Long> wanted,
            @ForAll @Size(5) List<@DoubleRange(min = 0.1, max = 10) Double> weighed,
            @ForAll @IntRange(max = 200) int total) {
        long[] wants = wanted.stream().mapToLong(Long::longValue).toArray();
        double[] weights = weighed.stream().mapToDouble(Double::doubleValue).toArray();
        long sum = 0;
        for (long g : divide(total, weights, wants)) {
            sum += g;
        }
        assertEquals(total, sum);
    }
}
