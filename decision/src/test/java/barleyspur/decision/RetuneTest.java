package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Effect;
import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Result;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests settings that change while the policy runs: appended classes and another limit on attempts. */
class RetuneTest {

    private final Director.Settings before = Bench.settings();
    private final Bench bench = new Bench(before).list(4);

    private Director.Settings withFifth(int maxAttempts) {
        List<Director.RequestClass> classes = new ArrayList<>(before.classes());
        classes.add(Bench.requestClass(Effect.UNSAFE, 0));
        return before.retuned(classes, maxAttempts);
    }

    /** Guards against a class that a retune adds but that is missing in the tables of the policy. */
    @Test
    void aNewClassIsRoutedOnceTold() {
        bench.tell(new Director.Retuned(withFifth(before.maxAttempts())));
        List<Director.Action> actions = bench.request(4, 42, 2_000);
        assertEquals(1, Bench.all(actions, Get.class).size(), actions.toString());
    }

    /** Guards against a lower limit on attempts that is ignored: a failed request must not be retried beyond it. */
    @Test
    void aLowerCapOnAttemptsBindsNewRequests() {
        Get first = bench.get(42);
        List<Director.Action> again = bench.outcome(first, 0, Result.ERROR, Note.NONE);
        assertEquals(1, Bench.all(again, Get.class).size(), "retried with a limit of " + before.maxAttempts());
        bench.tell(new Director.Retuned(withFifth(1)));
        Get second = bench.get(43);
        List<Director.Action> after = bench.outcome(second, 0, Result.ERROR, Note.NONE);
        assertTrue(Bench.all(after, Get.class).isEmpty(), after.toString());
        assertEquals(
                1,
                Bench.all(after, Director.Refuse.class).size()
                        + Bench.all(after, Director.Fail.class).size());
    }
}
