package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Effect;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests settings that change while the policy runs: appended classes and another limit on attempts. */
class RetuneTest {

    private final RoutingPolicy.Settings before = PolicyHarness.settings();
    private final PolicyHarness harness = new PolicyHarness(before).listNodes(4);

    private RoutingPolicy.Settings withFifth(int maxAttempts) {
        List<RoutingPolicy.RequestClass> classes = new ArrayList<>(before.classes());
        classes.add(PolicyHarness.requestClass(Effect.UNSAFE, 0));
        return before.retuned(classes, maxAttempts);
    }

    /** Guards against a class that a retune adds but that is missing in the tables of the policy. */
    @Test
    void aNewClassIsRoutedAfterTheRetune() {
        harness.handle(new RoutingPolicy.Retuned(withFifth(before.maxAttempts())));
        List<RoutingPolicy.Action> actions = harness.request(4, 42, 2_000);
        assertEquals(1, PolicyHarness.actionsOf(actions, Get.class).size(), actions.toString());
    }

    /** Guards against a lower limit on attempts that is ignored: a failed request must not be retried beyond it. */
    @Test
    void aLowerLimitOnAttemptsAppliesToNewRequests() {
        Get first = harness.get(42);
        List<RoutingPolicy.Action> again = harness.outcome(first, 0, Result.ERROR, Note.NONE);
        assertEquals(
                1, PolicyHarness.actionsOf(again, Get.class).size(), "retried with a limit of " + before.maxAttempts());
        harness.handle(new RoutingPolicy.Retuned(withFifth(1)));
        Get second = harness.get(43);
        List<RoutingPolicy.Action> after = harness.outcome(second, 0, Result.ERROR, Note.NONE);
        assertTrue(PolicyHarness.actionsOf(after, Get.class).isEmpty(), after.toString());
        assertEquals(
                1,
                PolicyHarness.actionsOf(after, RoutingPolicy.Refuse.class).size()
                        + PolicyHarness.actionsOf(after, RoutingPolicy.Fail.class)
                                .size());
    }
}
