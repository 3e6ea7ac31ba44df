package barleyspur.fleet;

/** An effect that a {@link Membership} asks its caller to carry out. */
public sealed interface Action {

    /** Sends a datagram to an address. */
    record Send(String address, Datagram datagram) implements Action {}

    /** Hands a payload that a member sent to the {@code PayloadListener}. */
    record Deliver(MembershipRecord sender, byte[] payload) implements Action {}

    /** Notifies the observers of the view of a change. */
    record Notify(Change change) implements Action {}

    /** Logs a warning for operators; {@code event} is the same text for all warnings of a kind. */
    record Warn(String event, String member, String detail) implements Action {}
}
