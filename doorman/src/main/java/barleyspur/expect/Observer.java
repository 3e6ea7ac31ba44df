package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;

/** Watches a scenario as it is played. All times are milliseconds from its start. */
interface Observer {

    /** A doorman acted. */
    void moment(Moment moment);

    /** Something happened to a box, or to the whole fleet where {@code box} is null. */
    void happened(double atMs, Fault fault, Box box);

    /** A doorman's list says something new of a box. */
    void told(double atMs, int doorman, Box box, Moment.Told told, boolean started);

    /** A doorman was told of a purge. */
    default void purged(double atMs, int doorman, long object) {}

    /** An attempt came back. */
    default void outcome(double atMs, int doorman, RoutingPolicy.Outcome outcome) {}

    /** A director wrote a line. */
    default void logged(double atMs, int doorman, String line) {}
}
