package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RepeatRule.Execution;
import barleyspur.decision.RepeatRule.Group;
import barleyspur.decision.RoutingPolicy.Effect;
import barleyspur.decision.RoutingPolicy.Scope;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the rule on repeats for every effect, every scope and every state of the other attempts. */
class RepeatRuleTest {

    private static final double TICK_MS = 2;
    private static final double WINDOW_MS = 300;
    private static final Group HERE = new Group(1, 10);
    private static final Group OTHER_CELL = new Group(1, 11);
    private static final Group OTHER_ZONE = new Group(2, 10);

    /** Another attempt with fixed properties. */
    private record Other(Execution execution, double sentAtMs, Group group) implements RepeatRule.OtherAttempt {}

    private static boolean allows(Effect effect, Scope scope, Group target, double nowMs, Other... others) {
        RoutingPolicy.RequestClass requestClass = new RoutingPolicy.RequestClass(
                effect, scope, WINDOW_MS, 400, 2, 5_000, 1, 0.2, false, false, false, 0, 0, 0.7);
        return RepeatRule.allows(requestClass, List.of(others), target, nowMs, TICK_MS);
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void attemptsThatNeverRanRestrictNothing(Effect effect) {
        Other never = new Other(Execution.NEVER_RAN, 0, OTHER_ZONE);
        for (Scope scope : Scope.values()) {
            assertTrue(allows(effect, scope, HERE, 10_000), "without other attempts");
            assertTrue(allows(effect, scope, HERE, 10_000, never, never));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Execution.class,
            names = {"OUTSTANDING", "MAY_HAVE_RUN"})
    void unsafeRequestIsNeverRepeatedAndSafeOneAlways(Execution execution) {
        Other other = new Other(execution, 0, HERE);
        assertFalse(allows(Effect.UNSAFE, Scope.ALL, HERE, 1, other));
        assertTrue(allows(Effect.SAFE, Scope.CELL, OTHER_ZONE, 10_000, other));
    }

    @ParameterizedTest
    @EnumSource(
            value = Execution.class,
            names = {"OUTSTANDING", "MAY_HAVE_RUN"})
    void keyedRequestStaysWithinItsScope(Execution execution) {
        Other other = new Other(execution, 0, HERE);
        for (Group target : List.of(HERE, OTHER_CELL, OTHER_ZONE)) {
            assertTrue(allows(Effect.KEYED, Scope.ALL, target, 1, other));
            assertEquals(target.zone() == HERE.zone(), allows(Effect.KEYED, Scope.ZONE, target, 1, other));
            assertEquals(target.cell() == HERE.cell(), allows(Effect.KEYED, Scope.CELL, target, 1, other));
        }
    }

    /** The window is that of each attempt that may have run, so that the earliest of them ends it. */
    @Test
    void keyWindowIsMeasuredFromTheEarliestAttemptThatMayHaveRun() {
        Other never = new Other(Execution.NEVER_RAN, 0, HERE);
        Other early = new Other(Execution.MAY_HAVE_RUN, 100, HERE);
        Other late = new Other(Execution.OUTSTANDING, 200, HERE);
        assertTrue(allows(Effect.KEYED, Scope.CELL, HERE, 100 + WINDOW_MS - TICK_MS - 1, never, late, early));
        assertFalse(allows(Effect.KEYED, Scope.CELL, HERE, 100 + WINDOW_MS - TICK_MS, never, late, early));
        assertTrue(allows(Effect.KEYED, Scope.CELL, HERE, 100 + WINDOW_MS - TICK_MS, never, late));
    }

    /** The group is that of any attempt that may have run, wherever it stands among the others. */
    @Test
    void groupOfOneThatNeverRanIsLeft() {
        Other never = new Other(Execution.NEVER_RAN, 0, HERE);
        Other mayHaveRun = new Other(Execution.MAY_HAVE_RUN, 1, OTHER_CELL);
        assertTrue(allows(Effect.KEYED, Scope.CELL, OTHER_CELL, 2, never, mayHaveRun));
        assertFalse(allows(Effect.KEYED, Scope.CELL, HERE, 2, never, mayHaveRun));
        assertFalse(allows(Effect.KEYED, Scope.CELL, HERE, 2, mayHaveRun, never));
    }
}
