package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;

/** A request that is not over, or whose attempts are not all back. */
final class Open {

    final Director.Request request;
    final double deadline;
    /** Where it stands among the requests that limits let in, from 0, the first, to 1. */
    final double draw;

    final List<Attempt> attempts = new ArrayList<>(2);
    boolean over;
    boolean maybeRan;
    int back;

    Open(Director.Request request, double deadline, double draw) {
        this.draw = draw;
        this.request = request;
        this.deadline = deadline;
    }

    boolean tried(Server s) {
        for (Attempt a : attempts) {
            if (a.target == s) {
                return true;
            }
        }
        return false;
    }

    boolean failedFrom(Server s) {
        for (Attempt a : attempts) {
            if (a.source == s && a.back) {
                return true;
            }
        }
        return false;
    }

    boolean waiting() {
        return back < attempts.size();
    }
}
