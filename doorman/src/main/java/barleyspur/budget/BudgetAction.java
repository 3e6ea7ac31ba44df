package barleyspur.budget;

/** An output of a {@link BudgetAgent} that its caller has to carry out. */
public sealed interface BudgetAction {

    /** Sends a message to an address. */
    record SendMessage(String address, BudgetMessage message) implements BudgetAction {}

    /**
     * Reports that the lease of this doorman on a budget has changed.
     *
     * @param amount leased units beyond the floor
     * @param expiryMs expiry of the lease on this process's clock
     * @param inUse places in use, or units spent
     * @param epoch epoch of the coordinator that granted the lease
     */
    record LeaseChanged(String budget, long amount, double expiryMs, long inUse, long epoch) implements BudgetAction {}

    /** Reports that this doorman has become the coordinator, or is no longer the coordinator. */
    record CoordinatorChanged(boolean coordinating, long epoch, String reason) implements BudgetAction {}

    /** Logs an event for operators; {@code event} is a fixed text for each kind of event. */
    record LogWarning(String event, String budget, String detail) implements BudgetAction {}
}
