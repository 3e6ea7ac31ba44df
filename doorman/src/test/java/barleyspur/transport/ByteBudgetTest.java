package barleyspur.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests that the bound holds over all connections and that none can use up another's part. */
class ByteBudgetTest {

    private static final long MAX_BYTES = 1_000;
    private static final int CONNECTIONS = 10;
    private static final long GUARANTEED_BYTES = 25;

    private final ByteBudget budget = new ByteBudget(MAX_BYTES, CONNECTIONS);

    @Test
    void oneConnectionMayUseAllThatIsNotDivided() {
        ByteBudget.Share greedy = budget.newShare();
        assertTrue(greedy.tryReserve(750));
        assertFalse(greedy.tryReserve(1));
        assertEquals(1, budget.refusals());
        greedy.releaseAll();
        assertEquals(0, budget.heldBytes());
        assertEquals(750, budget.peakBytes());
        assertTrue(greedy.tryReserve(750));
    }

    /** What bad connections hold never leaves another one without its guaranteed part. */
    @Test
    void eachConnectionHasItsPartHoweverMuchOthersHold() {
        List<ByteBudget.Share> shares = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            shares.add(budget.newShare());
        }
        for (ByteBudget.Share bad : shares.subList(1, CONNECTIONS)) {
            while (bad.tryReserve(1)) {
                // Takes all that it gets.
            }
        }
        assertTrue(shares.get(0).tryReserve(GUARANTEED_BYTES));
        assertFalse(shares.get(0).tryReserve(1));
    }

    @Test
    void boundHoldsWhateverIsReserved() {
        SplittableRandom random = new SplittableRandom(1);
        List<ByteBudget.Share> shares = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            if (random.nextInt(10) == 0) {
                shares.add(budget.newShare());
            }
            if (!shares.isEmpty()) {
                ByteBudget.Share share = shares.get(random.nextInt(shares.size()));
                if (random.nextInt(4) == 0) {
                    share.releaseAll();
                } else {
                    share.tryReserve(random.nextInt(100));
                }
            }
            long sum = shares.stream().mapToLong(ByteBudget.Share::bytes).sum();
            assertEquals(sum, budget.heldBytes());
            assertTrue(sum <= MAX_BYTES, "held " + sum);
        }
    }
}
