package barleyspur.decision;

import barleyspur.decision.RoutingPolicy.RequestClass;
import java.util.List;

/**
 * Rule 2, no effect of a request twice: decides whether a request may be sent to a node, given what is known
 * of its other attempts at that moment. The policy asks when it chooses a node, and whoever writes the
 * attempt asks again directly before the write, because other attempts may have begun or ended meanwhile.
 *
 * <p>Only attempts that {@linkplain Execution#isProvenNeverToHaveRun() may have run} restrict the next one;
 * their order doesn't matter. A safe request is never restricted, and an unsafe one is never sent again. A
 * keyed request stays in the group of each of these attempts and within the key window of each, because a
 * group of nodes drops only the repeats of the keys that it has seen itself.
 */
public final class RepeatRule {

    private RepeatRule() {}

    /** What is known of an attempt. */
    public enum Execution {
        /** It has not ended, so that it may run at any time. */
        OUTSTANDING,
        /** It has ended in a way that doesn't show whether it ran. */
        MAY_HAVE_RUN,
        /** It was not written, or its end proves that it never ran. */
        NEVER_RAN;

        /** Returns whether the attempt can't have any effect. */
        public boolean isProvenNeverToHaveRun() {
            return this == NEVER_RAN;
        }
    }

    /** The zone and the cell of a node, within which the nodes know each other's keys. */
    public record Group(int zone, int cell) {

        /** Returns the group that a node belongs to according to its listing. */
        static Group of(RoutingPolicy.Node listing) {
            return new Group(listing.zone(), listing.cell());
        }
    }

    /** Another attempt of the same request. */
    public interface OtherAttempt {
        /** Returns what is known of the attempt now. */
        Execution execution();

        /** Returns when the attempt was sent. */
        double sentAtMs();

        /** Returns the group that the node belonged to when the attempt was sent to it. */
        Group group();
    }

    /**
     * Returns whether a request may be sent to a node at {@code nowMs}.
     *
     * @param otherAttempts all other attempts of the request
     * @param targetGroup the group that the node belongs to now
     * @param tickMs the resolution of the clock, by which the key window is shortened
     */
    public static boolean allows(
            RequestClass requestClass,
            List<? extends OtherAttempt> otherAttempts,
            Group targetGroup,
            double nowMs,
            double tickMs) {
        if (requestClass.effect() == RoutingPolicy.Effect.SAFE) {
            return true;
        }
        for (OtherAttempt other : otherAttempts) {
            boolean restricts = !other.execution().isProvenNeverToHaveRun();
            if (restricts && !allowsAfter(other, requestClass, targetGroup, nowMs, tickMs)) {
                return false;
            }
        }
        return true;
    }

    private static boolean allowsAfter(
            OtherAttempt other, RequestClass requestClass, Group target, double nowMs, double tickMs) {
        boolean isKeyed = requestClass.effect() == RoutingPolicy.Effect.KEYED;
        boolean isInsideKeyWindow = nowMs - other.sentAtMs() < requestClass.keyWindowMs() - tickMs;
        return isKeyed && isInsideKeyWindow && isSameGroup(other.group(), target, requestClass.scope());
    }

    private static boolean isSameGroup(Group one, Group other, RoutingPolicy.Scope scope) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }
}
