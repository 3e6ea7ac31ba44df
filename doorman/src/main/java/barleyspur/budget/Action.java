package barleyspur.budget;

/** An output of a {@link Budgets} that its caller has to carry out. */
public sealed interface Action {

    /** Sends a message to an address. */
    record Send(String address, Word word) implements Action {}

    /**
     * Reports that the lease of this doorman on a budget has changed.
     *
     * @param amount leased units beyond the floor
     * @param untilMs expiry of the lease on this process's clock
     * @param using places in use, or units spent
     * @param term epoch of the coordinator that granted the lease
     */
    record Holds(String budget, long amount, double untilMs, long using, long term) implements Action {}

    /** Reports that this doorman has become the coordinator, or is no longer the coordinator. */
    record Divides(boolean on, long term, String why) implements Action {}

    /** Logs an event for operators; {@code event} is a fixed text for each kind of event. */
    record Warn(String event, String budget, String detail) implements Action {}
}
