package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;

/** An action of a doorman to which expectations apply, with the state of the deployment at that time. */
public sealed interface RoutingEvent permits RoutingEvent.Attempt, RoutingEvent.Answer {

    /** Time of the event on the virtual clock. */
    double atMs();

    /** The client try that the event belongs to. */
    ClientTry clientTry();

    /** The state of a box on a doorman's list. */
    enum ListedState {
        IN_SERVICE("in_service"),
        TERMINATING("terminating"),
        TERMINATED("terminated"),
        MISSING("missing");

        private final String labelText;

        ListedState(String labelText) {
            this.labelText = labelText;
        }

        /** The name in expectation files. */
        public String label() {
            return labelText;
        }
    }

    /**
     * One try of a client: its first one for a request, or a retry.
     *
     * @param id             sequence number among all tries of the scenario, from 1
     * @param tryNumber      number among the tries of the same request, from 1
     * @param markedAsRepeat whether the client marks the try as a repeat
     * @param station        station of the doorman
     * @param zoneIndex      index of that station
     */
    record ClientTry(
            long id,
            int tryNumber,
            boolean markedAsRepeat,
            double arrivedAtMs,
            ClientRequest request,
            RoutingPolicy.RequestClass requestClass,
            String className,
            String station,
            int zoneIndex) {}

    /**
     * A box at the time of an event: its state on the doorman's list and its actual state.
     *
     * @param inOwnStation     whether the box is in the doorman's station
     * @param listedState      state on the doorman's list
     * @param listedStateForMs how long the list has reported that state
     * @param actualState      actual state
     * @param coldForMs        time since the start that the doorman's list reports; NaN if the box is not cold by the
     *                         list
     * @param fault            other fault of the box: none, hang, slow, full or fail
     * @param pressure         load from doormans that know of the start within the span of the cold-box rule, divided
     *                         by the load that the rule allows; 0 if the box is not cold
     * @param pressureOfAll    the same for the load from all doormans
     * @param earlierAttempts  number of earlier attempts of the same try at this box
     */
    record BoxView(
            Box box,
            Deployment.Role role,
            String model,
            String station,
            boolean inOwnStation,
            ListedState listedState,
            double listedStateForMs,
            ListedState actualState,
            double coldForMs,
            String fault,
            double pressure,
            double pressureOfAll,
            int earlierAttempts) {}

    /**
     * A doorman sends an attempt to a box.
     *
     * @param source           source of a fill; null if the attempt allows none
     * @param number           number among the attempts of the try, from 1
     * @param sincePreviousMs  time since the previous attempt; NaN for the first one
     * @param outstanding      number of outstanding attempts of the try
     * @param maybeRan         whether an earlier attempt of the try is outstanding or may have been executed
     * @param leavesGroup      whether the target is outside of the group of nodes that drops repeats of a keyed request,
     *                         given an earlier attempt of the try that is outstanding or may have been executed
     * @param maxAgeMs         maximum age of an acceptable copy, the freshness time of the request class if the action
     *                         sets none; 0: no limit
     * @param allowsPurgedCopy whether the attempt accepts a copy from before a purge although the grace period since
     *                         the doorman was notified of the purge is over
     * @param afterAnswer      whether the try already had its final answer
     */
    record Attempt(
            double atMs,
            ClientTry clientTry,
            BoxView target,
            BoxView source,
            int number,
            double sincePreviousMs,
            int outstanding,
            boolean maybeRan,
            boolean leavesGroup,
            int rank,
            boolean join,
            boolean onlyHeld,
            boolean renew,
            double maxAgeMs,
            boolean allowsPurgedCopy,
            double timeLeftMs,
            boolean afterAnswer)
            implements RoutingEvent {}

    /** How a try ended for its client. */
    enum TryOutcome {
        SERVED("served"),
        REFUSED("refused"),
        FAILED("failed"),
        LEFT("left"),
        NONE("none");

        private final String labelText;

        TryOutcome(String labelText) {
            this.labelText = labelText;
        }

        /** The name in expectation files. */
        public String label() {
            return labelText;
        }
    }

    /**
     * The end of a try.
     *
     * @param retryAfterMs      retry-after time given to the client; 0: none
     * @param elapsedMs         time since the try arrived
     * @param sinceLastChangeMs time since the last change of the try (it arrived, or an attempt was sent or ended); of
     *                          interest for refused and failed tries
     * @param attempts          number of attempts of the try
     * @param outstanding       number of attempts that are still outstanding
     * @param maybeRan          whether an attempt is outstanding or may have been executed
     * @param executionCount    how often the request was actually executed, over all tries
     * @param copyAgeMs         age of the copy that was served; NaN if none was
     * @param stale             whether the copy is older than the freshness time of the request class
     * @param purgedCopy        whether the copy is from before a purge of which the doorman had been notified longer
     *                          than the grace period before it sent the attempt
     * @param late              whether the answer missed the latency target of the request class
     */
    record Answer(
            double atMs,
            ClientTry clientTry,
            TryOutcome outcome,
            double retryAfterMs,
            double elapsedMs,
            double sinceLastChangeMs,
            int attempts,
            int outstanding,
            boolean maybeRan,
            int executionCount,
            double copyAgeMs,
            boolean stale,
            boolean purgedCopy,
            boolean late)
            implements RoutingEvent {}
}
