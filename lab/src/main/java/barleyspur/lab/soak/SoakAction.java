package barleyspur.lab.soak;

/** What a soak run does to the doorman or to its depots. */
enum SoakAction {
    /** SIGTERM, SIGKILL at the earliest moment that the protocol allows, and a new process. */
    RESTART,
    /** A second process beside the serving one, then SIGTERM and SIGKILL for the first. */
    UPGRADE,
    /** A quiesce through the administration address, and a resume. */
    QUIESCE,
    /** SIGHUP in a series, each with a valid or an invalid file. */
    RELOAD,
    /** A depot closes its connections. */
    DEPOT_CLOSES,
    /** A depot resets its connections. */
    DEPOT_RESETS,
    /** A depot accepts requests and answers none for a while. */
    DEPOT_SILENT
}
