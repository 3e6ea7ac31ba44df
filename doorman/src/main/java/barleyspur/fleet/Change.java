package barleyspur.fleet;

/** A change of a view. Each change is reported once and in order; versions start at 1 and have no gaps. */
public sealed interface Change {

    /** The version of the view after this change. */
    long version();

    /** A change of one member. */
    sealed interface OfMember extends Change {

        /** The record of the member after this change. */
        MembershipRecord member();

        /** The reason for this change. */
        ChangeReason reason();

        /** The name of the member from which the record was received; this process itself for local decisions. */
        String source();
    }

    /** A member entered the view: it is new, has come back, or was restarted under its name. */
    record Joined(long version, MembershipRecord member, ChangeReason reason, String source) implements OfMember {}

    /** The record of a listed member changed: new metadata, a suspicion, or the end of one. */
    record Updated(long version, MembershipRecord member, MembershipRecord previous, ChangeReason reason, String source)
            implements OfMember {}

    /**
     * A member left the view: it shut down, was declared dead, or its record expired during a pause of this process.
     */
    record Lost(long version, MembershipRecord member, ChangeReason reason, String source) implements OfMember {}

    /**
     * The view is in doubt, since no other member has confirmed it after a start or a process pause, or is so no
     * longer.
     */
    record Doubt(long version, boolean inDoubt) implements Change {}

    /**
     * This process gave up its name to a newer process of the same name ({@code givenUp}), or took the name back after
     * that process was gone.
     */
    record Name(long version, boolean givenUp, MembershipRecord otherProcess) implements Change {}
}
