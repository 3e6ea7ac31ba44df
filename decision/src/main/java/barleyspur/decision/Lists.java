package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Plain loops where streams would be shorter: each request walks a dozen lists, and a start has to compile it all. */
final class Lists {

    private Lists() { }

    /** Those that pass, in their order. */
    static <T> List<T> where(List<T> from, Predicate<T> test) {
        List<T> passed = new ArrayList<>(from.size());
        for (int i = 0; i < from.size(); i++) {
            if (test.test(from.get(i))) {
                passed.add(from.get(i));
            }
        }
        return passed;
    }
}
