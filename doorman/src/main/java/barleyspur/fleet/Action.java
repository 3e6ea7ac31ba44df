package barleyspur.fleet;

/** What a {@link Membership} wants done. */
public sealed interface Action {

    /** Send this there. */
    record Send(String address, Datagram datagram) implements Action {}

    /** Hand over what a member sent for another part of the program. */
    record Deliver(MembershipRecord sender, byte[] payload) implements Action {}

    /** Tell those who follow the view. */
    record Notify(Change change) implements Action {}

    /** Log an event that operators should see; the text is the same for all of a kind. */
    record Warn(String event, String member, String detail) implements Action {}
}
