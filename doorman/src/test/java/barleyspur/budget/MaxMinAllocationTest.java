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
class MaxMinAllocationTest {

    private static long[] allocate(long total, double[] weights, long... demands) {
        return allocate(total, weights, new double[demands.length], demands);
    }

    private static long[] allocate(long total, double[] weights, double[] priorities, long... demands) {
        return MaxMinAllocation.allocate(
                total, MaxMinAllocation.fairShares(total, demands, weights), demands, weights, priorities);
    }

    private static double[] equalWeights(int count) {
        double[] weights = new double[count];
        Arrays.fill(weights, 1);
        return weights;
    }

    /** Demands cap allocations, unsatisfied holders get equal amounts by weight, and spare capacity is spread. */
    @Test
    void ordinaryCases() {
        assertArrayEquals(new long[] {2, 4, 4}, allocate(10, equalWeights(3), 2, 9, 9));
        assertArrayEquals(new long[] {2, 6}, allocate(8, new double[] {1, 3}, 100, 100));
        assertArrayEquals(new long[] {4, 3}, allocate(7, equalWeights(2), 1, 0));
        assertArrayEquals(new long[] {0, 0, 1}, allocate(1, equalWeights(3), new double[] {0, 1, 2}, 5, 5, 5));
        assertArrayEquals(new long[0], allocate(5, equalWeights(0)));
    }

    /** Exactly the total is allocated, and an unsatisfied holder gets at most a unit less than any other. */
    @Property(seed = "71", tries = 2_000)
    void allocationIsCompleteAndFair(
            @ForAll @Size(min = 1, max = 20) List<@LongRange(max = 50) Long> demandList,
            @ForAll @IntRange(max = 200) int total) {
        long[] demands = demandList.stream().mapToLong(Long::longValue).toArray();
        long[] allocation = allocate(total, equalWeights(demands.length), demands);
        long sum = 0;
        boolean isAnyUnsatisfied = false;
        for (int i = 0; i < demands.length; i++) {
            assertTrue(allocation[i] >= 0);
            sum += allocation[i];
            isAnyUnsatisfied |= allocation[i] < demands[i];
        }
        assertEquals(total, sum);
        for (int i = 0; i < demands.length && isAnyUnsatisfied; i++) {
            assertTrue(allocation[i] <= demands[i], "a holder has more than its demand while another is unsatisfied");
            for (int j = 0; j < demands.length; j++) {
                assertTrue(allocation[i] >= demands[i] || allocation[j] <= allocation[i] + 1, i + " and " + j);
            }
        }
    }

    /** The total is allocated exactly for any weights. */
    @Property(seed = "72", tries = 1_000)
    void allocationIsCompleteForAnyWeights(
            @ForAll @Size(5) List<@LongRange(max = 50) Long> demandList,
            @ForAll @Size(5) List<@DoubleRange(min = 0.1, max = 10) Double> weightList,
            @ForAll @IntRange(max = 200) int total) {
        long[] demands = demandList.stream().mapToLong(Long::longValue).toArray();
        double[] weights = weightList.stream().mapToDouble(Double::doubleValue).toArray();
        long sum = 0;
        for (long amount : allocate(total, weights, demands)) {
            sum += amount;
        }
        assertEquals(total, sum);
    }
}
