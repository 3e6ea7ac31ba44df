package barleyspur.fleet;

/** What is said of a member's life, in the order in which one saying replaces another of the same incarnation. */
public enum MemberState {
    /** It takes part. */
    ALIVE,
    /** It did not answer somebody, who waits whether it says otherwise. */
    SUSPECT,
    /** It said nothing in time, and was given up. */
    DEAD,
    /** It said itself that it goes. */
    LEFT;

    /** Whether it counts as a member. */
    public boolean isMember() {
        return this == ALIVE || this == SUSPECT;
    }
}
