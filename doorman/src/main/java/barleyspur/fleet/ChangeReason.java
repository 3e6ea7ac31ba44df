package barleyspur.fleet;

/** What a change of a member's standing in a view rests on. */
public enum ChangeReason {
    /** It told so itself, in a datagram of its own. */
    TOLD_ITSELF,
    /** Another member passed it on. */
    PASSED_ON,
    /** It did not answer a probe of ours. */
    NO_ANSWER,
    /** The time of its suspicion ran out. */
    SUSPICION_OVER,
    /** This process stood still for so long that what it knew is void. */
    STOOD_STILL,
    /** It was dead or gone for so long that it is forgotten. */
    FORGOTTEN
}
