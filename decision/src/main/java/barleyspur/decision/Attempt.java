package barleyspur.decision;

/** One attempt of a request, as it was sent. */
final class Attempt {

    Server target;
    Server source;
    boolean fill;
    /** Joins a fill of ours: it holds a place at the cache, but adds nothing on the way to the source. */
    boolean joined;
    /** Believed held, and of no class whose copies may have to be renewed first. */
    boolean surelyHeld;

    boolean learned;
    boolean trial;
    boolean sourceTrial;
    boolean back;
    double sentAt;
    double work;
    int rank;

    /** Whether it asks for bytes from its source on its own account: a fill, or what goes past the caches. */
    boolean fetches() {
        return fill && !joined && source != null;
    }

    /** Whether it is expected to reach its source by way of a cache, as a fill of its own. */
    boolean reaches() {
        return fetches() && source != target;
    }
}
