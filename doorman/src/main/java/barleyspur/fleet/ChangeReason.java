package barleyspur.fleet;

/** The reason for a change of a member in a view. */
public enum ChangeReason {
    /** The member itself sent the record in its own datagram. */
    TOLD_ITSELF,
    /** Another member forwarded the record. */
    PASSED_ON,
    /** The member did not answer a probe by this process. */
    NO_ANSWER,
    /** The suspicion against the member expired. */
    SUSPICION_OVER,
    /** This process was paused for so long that its records expired. */
    STOOD_STILL,
    /** The member has been dead or gone for so long that it is forgotten. */
    FORGOTTEN
}
