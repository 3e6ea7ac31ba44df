package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;

/** A request that is not closed yet, or that still has attempts in flight. */
final class Open {

    final Director.Request request;
    final double deadline;
    /**
     * A random number from 0 to 1 that is added to the attempts in flight when a limit is checked, so that a limit
     * under 1 admits that share of the requests.
     */
    final double draw;
    /** All attempts in the order in which they were sent. */
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Whether the final answer was given or has begun. */
    boolean over;
    /** Whether an attempt that has ended may have taken effect. */
    boolean maybeRan;
    /** The number of attempts that have ended. */
    int back;

    Open(Director.Request request, double deadline, double draw) {
        this.draw = draw;
        this.request = request;
        this.deadline = deadline;
    }

    /** Returns whether an attempt was sent to a node. */
    boolean tried(Server s) {
        for (Attempt a : attempts) {
            if (a.target == s) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an attempt that named a node as its source has ended. */
    boolean failedFrom(Server s) {
        for (Attempt a : attempts) {
            if (a.source == s && a.back) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether attempts are in flight. */
    boolean waiting() {
        return back < attempts.size();
    }
}
