package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;

/** A request that is not closed yet, or that still has attempts in flight. */
final class OpenRequest {

    /** An error of a node for which the node or the request may be at fault. */
    record UnattributedError(Attempt attempt, RoutingPolicy.Outcome outcome, boolean usedSource) {}

    final RoutingPolicy.Request request;
    final double deadlineMs;
    /**
     * A random number from 0 to 1 that is added to the attempts in flight when a limit is checked, so that a limit
     * under 1 admits that share of the requests.
     */
    final double admissionPosition;
    /** All attempts in the order in which they were sent. */
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Errors that have not been attributed yet. */
    final List<UnattributedError> unattributedErrors = new ArrayList<>(0);
    /** Whether the final answer was given or has begun. */
    boolean closed;
    /** Whether the client has left, or the request was ended from outside. */
    boolean withdrawn;
    /** The number of attempts that have ended. */
    int endedAttempts;

    OpenRequest(RoutingPolicy.Request request, double deadlineMs, double admissionPosition) {
        this.admissionPosition = admissionPosition;
        this.request = request;
        this.deadlineMs = deadlineMs;
    }

    /** Returns whether an attempt was sent to a node. */
    boolean hasTried(TrackedNode node) {
        for (Attempt attempt : attempts) {
            if (attempt.target == node) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an attempt that named a node as its source has ended. */
    boolean hasFailedFrom(TrackedNode node) {
        for (Attempt attempt : attempts) {
            if (attempt.source == node && attempt.ended) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many nodes have answered with an error that has not been attributed yet. */
    long erringNodes() {
        return unattributedErrors.stream()
                .map(error -> error.attempt().target)
                .distinct()
                .count();
    }

    /** Returns whether attempts are in flight. */
    boolean hasAttemptsInFlight() {
        return endedAttempts < attempts.size();
    }
}
