package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * List operations as plain loops. Streams would be shorter, but each request walks a dozen lists, and after a start
 * all of the code has to be compiled.
 */
final class Lists {

    private Lists() {}

    /** Returns the items that match, in their order. */
    static <T> List<T> where(List<T> from, Predicate<T> test) {
        List<T> passed = new ArrayList<>(from.size());
        for (int i = 0; i < from.size(); i++) {
            if (test.test(from.get(i))) {
                passed.add(from.get(i));
            }
        }
        return passed;
    }

    /**
     * Returns whether the measure of one item exceeds twice the lower median of the others, or there are no others.
     * Counts the others under half of its measure, which gives the same result as sorting them and takes no memory.
     */
    static <T> boolean overTwiceMedian(T one, List<T> all, ToDoubleFunction<T> measure) {
        double half = measure.applyAsDouble(one) / 2;
        int others = 0;
        int under = 0;
        for (int i = 0; i < all.size(); i++) {
            if (all.get(i) != one) {
                others++;
                under += measure.applyAsDouble(all.get(i)) < half ? 1 : 0;
            }
        }
        return others == 0 || under > (others - 1) / 2;
    }
}
