package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;

/** One action of a doorman that expectations speak of, with all that was so at that moment. */
public sealed interface Moment permits Moment.Attempt, Moment.Answer {

    /** When it happens, on the virtual clock. */
    double atMs();

    /** The request that it is about. */
    Asked asked();

    /** How a box stands on a doorman's list. */
    enum Told {
        IN_SERVICE("in_service"),
        TERMINATING("terminating"),
        TERMINATED("terminated"),
        MISSING("missing");

        private final String word;

        Told(String word) {
            this.word = word;
        }

        /** As expectations name it. */
        public String word() {
            return word;
        }
    }

    /**
     * The try that an action belongs to.
     *
     * @param number  its place among all tries of the play, from 1
     * @param attempt which of the client's tries it is, from 1
     * @param repeat  whether the doorman is told that it is a repeat
     */
    record Asked(
            long number,
            int attempt,
            boolean repeat,
            double atMs,
            Ask ask,
            RoutingPolicy.RequestClass grade,
            String category,
            String station,
            int zone) {}

    /**
     * A box at that moment, as the doorman was told and as it is.
     *
     * @param told       what the doorman's list says
     * @param toldForMs  for how long it has said so
     * @param actual     what it does in truth
     * @param coldForMs  how long ago it started by the doorman's list; NaN where it is not cold by that
     * @param fault      what else is wrong with it: none, hang, slow, full or fail
     * @param pressure   what all doormans that were told of its start sent within the rule's span, over what the rule
     *                   allows; 0 where it is not cold
     * @param pressureOfAll the same of all doormans
     * @param tried      how many earlier attempts of the same try went there
     */
    record Seen(
            Box box,
            Site.Role role,
            String model,
            String station,
            boolean own,
            Told told,
            double toldForMs,
            Told actual,
            double coldForMs,
            String fault,
            double pressure,
            double pressureOfAll,
            int tried) {}

    /**
     * An attempt as it is sent.
     *
     * @param source     null where nothing is filled
     * @param number     its place among the try's attempts, from 1
     * @param spacingMs  since the attempt before; NaN for the first
     * @param outstanding how many attempts of the try are still out
     * @param maybeRan   whether an earlier attempt of it may have run, or is still out
     * @param maxAgeMs   the oldest copy that will do, the class's own time where the action leaves it open; 0: any
     * @param olderThanPurge whether a copy from before a purge would do that the doorman was told of longer ago than
     *                   the grace
     * @param over       whether the try had its final answer before
     */
    record Attempt(
            double atMs,
            Asked asked,
            Seen target,
            Seen source,
            int number,
            double spacingMs,
            int outstanding,
            boolean maybeRan,
            int rank,
            boolean join,
            boolean onlyHeld,
            boolean renew,
            double maxAgeMs,
            boolean olderThanPurge,
            double timeLeftMs,
            boolean over)
            implements Moment {}

    /** How a try ended for its client. */
    enum Ending {
        SERVED("served"),
        REFUSED("refused"),
        FAILED("failed"),
        LEFT("left"),
        NONE("none");

        private final String word;

        Ending(String word) {
            this.word = word;
        }

        /** As expectations name it. */
        public String word() {
            return word;
        }
    }

    /**
     * The end of a try.
     *
     * @param backMs     how long the client is told to stay away; 0: not told
     * @param afterMs    since the try came
     * @param heldMs     since anything last changed for the try (it came, an attempt was sent or ended), for refused
     *                   and failed ones
     * @param runs       how often the request has run in truth, over all tries
     * @param copyAgeMs  how old the served copy was; NaN where there was none
     * @param olderThanPurge whether the copy was from before a purge that the doorman had been told of longer ago
     *                   than the grace when it sent the attempt
     */
    record Answer(
            double atMs,
            Asked asked,
            Ending ending,
            double backMs,
            double afterMs,
            double heldMs,
            int attempts,
            int outstanding,
            boolean maybeRan,
            int runs,
            double copyAgeMs,
            boolean stale,
            boolean olderThanPurge,
            boolean late)
            implements Moment {}
}
