package barleyspur.expect;

import barleyspur.decision.Director;

/** Watches a scenario as it is played. All times are milliseconds from its start. */
interface SimulationObserver {

    /** A doorman acted. */
    void onRoutingEvent(RoutingEvent event);

    /** Something happened to a box, or to the whole fleet where {@code box} is null. */
    void onFault(double atMs, Fault fault, Box box);

    /** A doorman's list says something new of a box. */
    void onListUpdate(double atMs, int doormanIndex, Box box, RoutingEvent.ListedState state, boolean newStart);

    /** A doorman was told of a purge. */
    default void onPurgeNotice(double atMs, int doormanIndex, long objectId) {}

    /** An attempt came back. */
    default void onOutcome(double atMs, int doormanIndex, Director.Outcome outcome) {}

    /** A director wrote a line. */
    default void onLog(double atMs, int doormanIndex, String line) {}
}
