package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * List operations as plain loops. Streams would be shorter, but each request walks a dozen lists, and after a start
 * all of the code has to be compiled.
 */
final class ListUtils {

    private ListUtils() {}

    /** Returns the items that match, in their order. */
    static <T> List<T> filter(List<T> items, Predicate<T> test) {
        List<T> matching = new ArrayList<>(items.size());
        for (int i = 0; i < items.size(); i++) {
            if (test.test(items.get(i))) {
                matching.add(items.get(i));
            }
        }
        return matching;
    }

    /**
     * Returns whether the measure of one item exceeds twice the lower median of the others, or there are no others.
     * Counts the others under half of its measure, which gives the same result as sorting them and takes no memory.
     */
    static <T> boolean exceedsTwiceMedian(T one, List<T> all, ToDoubleFunction<T> measure) {
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
