package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;

/** Observes the simulation of a scenario. All times are in milliseconds since its start. */
interface SimulationObserver {

    /** A doorman sent an attempt or answered a client. */
    void onRoutingEvent(RoutingEvent event);

    /** A fault occurred at a box, or in the whole deployment if {@code box} is null. */
    void onFault(double atMs, Fault fault, Box box);

    /** A doorman's list was updated; {@code newStart}: the update reports a start of the box. */
    void onListUpdate(double atMs, int doormanIndex, Box box, RoutingEvent.ListedState state, boolean newStart);

    /** A doorman was notified of a purge. */
    default void onPurgeNotice(double atMs, int doormanIndex, long objectId) {}

    /** An attempt ended. */
    default void onOutcome(double atMs, int doormanIndex, RoutingPolicy.Outcome outcome) {}

    /** A routing policy wrote a log line. */
    default void onLog(double atMs, int doormanIndex, String line) {}
}
