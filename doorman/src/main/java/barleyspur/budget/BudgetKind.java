package barleyspur.budget;

/** The quantity that a budget limits. */
public enum BudgetKind {
    /** Units per second, with a burst. */
    RATE,
    /** Units in use at the same time. */
    PLACES,
    /** Units that are spent once, within one lease duration of the first request. */
    AMOUNT
}
