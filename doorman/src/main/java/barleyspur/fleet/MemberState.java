package barleyspur.fleet;

/**
 * The state of a member. For the same incarnation a record with a later constant replaces one with an earlier constant;
 * the order is also the encoding on the wire.
 */
public enum MemberState {
    /** The member is alive. */
    ALIVE,
    /** The member did not answer a probe, and has until the suspicion expires to refute it. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member announced that it is leaving. */
    LEFT;

    /** Whether a member in this state belongs to the view. */
    public boolean isMember() {
        return this == ALIVE || this == SUSPECT;
    }
}
