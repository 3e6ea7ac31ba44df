package barleyspur.fleet;

/** What happened to a view, told once each, in order; versions count from 1 without a gap. */
public sealed interface Change {

    /** The version of the view that it makes. */
    long version();

    /** What happened to one member. */
    sealed interface OfMember extends Change {

        /** What is said of the member. */
        MembershipRecord member();

        /** What brought it about. */
        ChangeReason reason();

        /** Who told. */
        String source();
    }

    /** A member that was not in the view is: new, back, or restarted under its name. */
    record Joined(long version, MembershipRecord member, ChangeReason reason, String source) implements OfMember {}

    /** A member of the view tells something else of itself, is suspected, or no longer is. */
    record Updated(long version, MembershipRecord member, MembershipRecord previous, ChangeReason reason, String source)
            implements OfMember {}

    /** A member is out of the view: it left, was given up, or is in doubt since this process stood still. */
    record Lost(long version, MembershipRecord member, ChangeReason reason, String source) implements OfMember {}

    /** What the view says of others is in doubt (a start, a standstill), or no longer is. */
    record Doubt(long version, boolean inDoubt) implements Change {}

    /** A newer process goes by this name, and this one gives way to it; or it is gone, and this one has it back. */
    record Name(long version, boolean givenUp, MembershipRecord otherProcess) implements Change {}
}
