package barleyspur.expect;

import barleyspur.decision.Director;

/** One action of a doorman that expectations speak of, with all that was so at that moment. */
public sealed interface RoutingEvent permits RoutingEvent.Attempt, RoutingEvent.Answer {

    /** When it happens, on the virtual clock. */
    double atMs();

    /** The request that it is about. */
    ClientTry clientTry();

    /** How a box stands on a doorman's list. */
    enum ListedState {
        IN_SERVICE("in_service"),
        TERMINATING("terminating"),
        TERMINATED("terminated"),
        MISSING("missing");

        private final String labelText;

        ListedState(String word) {
            this.labelText = word;
        }

        /** As expectations name it. */
        public String label() {
            return labelText;
        }
    }

    /**
     * The try that an action belongs to.
     *
     * @param id  its place among all tries of the play, from 1
     * @param tryNumber which of the client's tries it is, from 1
     * @param markedAsRepeat  whether the doorman is told that it is a repeat
     */
    record ClientTry(
            long id,
            int tryNumber,
            boolean markedAsRepeat,
            double arrivedAtMs,
            ClientRequest request,
            Director.RequestClass requestClass,
            String className,
            String station,
            int zoneIndex) {}

    /**
     * A box at that moment, as the doorman was told and as it is.
     *
     * @param listedState       what the doorman's list says
     * @param listedStateForMs  for how long it has said so
     * @param actualState     what it does in truth
     * @param coldForMs  how long ago it started by the doorman's list; NaN where it is not cold by that
     * @param fault      what else is wrong with it: none, hang, slow, full or fail
     * @param pressure   what all doormans that were told of its start sent within the rule's span, over what the rule
     *                   allows; 0 where it is not cold
     * @param pressureOfAll the same of all doormans
     * @param earlierAttempts      how many earlier attempts of the same try went there
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
     * An attempt as it is sent.
     *
     * @param source     null where nothing is filled
     * @param number     its place among the try's attempts, from 1
     * @param sincePreviousMs  since the attempt before; NaN for the first
     * @param outstanding how many attempts of the try are still out
     * @param maybeRan   whether an earlier attempt of it may have run, or is still out
     * @param maxAgeMs   the oldest copy that will do, the class's own time where the action leaves it open; 0: any
     * @param allowsPurgedCopy whether a copy from before a purge would do that the doorman was told of longer ago than
     *                   the grace
     * @param afterAnswer       whether the try had its final answer before
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

        TryOutcome(String word) {
            this.labelText = word;
        }

        /** As expectations name it. */
        public String label() {
            return labelText;
        }
    }

    /**
     * The end of a try.
     *
     * @param retryAfterMs     how long the client is told to stay away; 0: not told
     * @param elapsedMs    since the try came
     * @param sinceLastChangeMs     since anything last changed for the try (it came, an attempt was sent or ended), for refused
     *                   and failed ones
     * @param executionCount       how often the request has run in truth, over all tries
     * @param copyAgeMs  how old the served copy was; NaN where there was none
     * @param purgedCopy whether the copy was from before a purge that the doorman had been told of longer ago
     *                   than the grace when it sent the attempt
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
