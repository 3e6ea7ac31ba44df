package barleyspur.decision;

/** One attempt of a request, with what the policy knew when it was sent. */
final class Attempt implements RepeatRule.OtherAttempt {

    TrackedNode target;
    /** The group of the target when the attempt was sent; a later list may move the node to another one. */
    RepeatRule.Group targetGroup;

    TrackedNode source;
    /** Whether the target is expected to fetch the object, because it holds no copy. */
    boolean fill;
    /** Joins a fill of this doorman: it takes a slot at the cache, but adds no load on the path to the source. */
    boolean joinsOpenFill;
    /** The target is believed to hold a copy, and the copies of this class don't expire. */
    boolean expectsHit;
    /** Whether {@link ConcurrencyLimit limits} have been adapted to its latency. */
    boolean latenessRecorded;
    /** Whether the attempt is a trial of an excluded target. */
    boolean isTrial;
    /** Whether the attempt is a trial of an excluded source. */
    boolean isSourceTrial;
    /** Whether the outcome is known. */
    boolean ended;
    /** Whether the attempt has ended with an outcome that doesn't prove that it never ran. */
    boolean mayHaveRun;

    double sentAtMs;
    /** The estimated work, in milliseconds. */
    double workMs;
    /** The rank at which the cache keeps the copy; 0: not kept. */
    int rank;

    /** Returns whether the attempt itself fetches from its source: as a fill, or past the caches. */
    boolean fetchesFromSource() {
        return fill && !joinsOpenFill && source != null;
    }

    /** Returns whether the attempt is expected to reach its source through a cache, as a fill of its own. */
    boolean fillsThroughCache() {
        return fetchesFromSource() && source != target;
    }

    @Override
    public RepeatRule.Execution execution() {
        if (!ended) {
            return RepeatRule.Execution.OUTSTANDING;
        }
        return mayHaveRun ? RepeatRule.Execution.MAY_HAVE_RUN : RepeatRule.Execution.NEVER_RAN;
    }

    @Override
    public double sentAtMs() {
        return sentAtMs;
    }

    @Override
    public RepeatRule.Group group() {
        return targetGroup;
    }
}
