package barleyspur.decision;

import barleyspur.decision.RoutingPolicy.RequestClass;
import java.util.List;

/**
 * Rule 2, no effect of a request twice: decides whether a request may be sent to a node, given its earlier
 * attempts. A safe request may always be repeated, an unsafe one never once it may have run, and a keyed
 * one only within its key window and to the group of nodes that drops its repeats.
 */
public final class RepeatRule {

    private RepeatRule() {}

    /** The group of nodes that an attempt of a keyed request reached. */
    public record Group(int zone, int cell) {

        /** Returns the group that a listed node belongs to. */
        static Group of(RoutingPolicy.Node node) {
            return new Group(node.zone(), node.cell());
        }
    }

    /** An earlier attempt of the same request. */
    public interface EarlierAttempt {
        /** Returns when the attempt was sent. */
        double sentAtMs();

        /** Returns the group of the node that it was sent to. */
        Group group();
    }

    /**
     * Returns whether a further attempt may be sent to a node of {@code group} at {@code nowMs}.
     *
     * @param mayHaveRun whether an earlier attempt may have run
     * @param attempts the earlier attempts in the order in which they were sent
     * @param tickMs the resolution of the clock, by which the window is shortened
     */
    public static boolean allows(
            RequestClass requestClass,
            boolean mayHaveRun,
            List<? extends EarlierAttempt> attempts,
            Group group,
            double nowMs,
            double tickMs) {
        if (!mayHaveRun) {
            return true;
        }
        return switch (requestClass.effect()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED -> allowsKeyed(requestClass, attempts.get(0), group, nowMs, tickMs);
        };
    }

    private static boolean allowsKeyed(
            RequestClass requestClass, EarlierAttempt first, Group group, double nowMs, double tickMs) {
        boolean insideKeyWindow = nowMs - first.sentAtMs() < requestClass.keyWindowMs() - tickMs;
        return insideKeyWindow
                && switch (requestClass.scope()) {
                    case ALL -> true;
                    case ZONE -> first.group().zone() == group.zone();
                    case CELL -> first.group().cell() == group.cell();
                };
    }
}
