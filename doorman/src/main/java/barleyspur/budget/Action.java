package barleyspur.budget;

/** What a {@link Budgets} wants done. */
public sealed interface Action {

    /** Say this there. */
    record Send(String address, Word word) implements Action {}

    /**
     * What this doorman may use has changed.
     *
     * @param amount  beyond its floor
     * @param untilMs when it runs out, on this process's clock
     * @param using   places in use, or units spent
     */
    record Holds(String budget, long amount, double untilMs, long using, long term) implements Action {}

    /** This doorman divides from now on, or no longer does. */
    record Divides(boolean on, long term, String why) implements Action {}

    /** Log an event that operators should see; the text is the same for all of a kind. */
    record Warn(String event, String budget, String detail) implements Action {}
}
