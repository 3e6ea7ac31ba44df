package barleyspur.duty;

/**
 * What a doorman owes its operators, decided apart from sockets and clocks: whether it says that it takes work, and
 * what becomes of a client connection that has nothing open. The phases follow the operators' calls and the
 * process's signals: starting, serving, quiesced (a drain that the operators asked for, which they end), leaving
 * (SIGTERM: the process ends once what is open is answered) and handing off (SIGTERM while a successor listens on the
 * same address: an upgrade).
 *
 * <p>Quiesced, a connection is closed as soon as it has no open request: the front that drains the doorman breaks the
 * rule on lost requests where a connection is held idle, or with a request from the last 2 s, 4 s after the call.
 * A request that crosses such a close is sent once more by its client (the protocol page's rule on closes).
 */
public final class Duty {

    /**
     * How long after a quiesce requests on kept connections are still taken; later ones are refused, so that each
     * connection comes to a moment with nothing open and is closed. The front's rule looks at requests of the last 2 s,
     * 4 s after the call: requests taken up to here are 3 s old by then.
     */
    static final double QUIESCED_TAKES_MS = 1_000;
    /**
     * How long after SIGTERM a process that hands off still takes requests: SIGKILL comes after the longest deadline
     * plus 0.7 s, and a request that came more than 0.7 s after SIGTERM must be answered before.
     */
    static final double HANDING_OFF_TAKES_MS = 500;

    /** Where the doorman stands. */
    public enum Phase {
        /** Not yet listening for clients. */
        STARTING,
        /** Takes clients. */
        SERVING,
        /** Sends clients away, for as long as the operators want; the process stays. */
        QUIESCED,
        /** SIGTERM came: new connections still come for a while, and it ends once what is open is answered. */
        LEAVING,
        /**
         * SIGTERM came while a successor listens on the same address: new connections go there, so this one stops
         * listening at once, and it ends once what is open is answered.
         */
        HANDING_OFF
    }

    private Phase phase = Phase.STARTING;
    private double sinceMs;

    /** The phase now. */
    public Phase phase() {
        return phase;
    }

    /** When the phase began, as the time given with its event, in milliseconds. */
    public double sinceMs() {
        return sinceMs;
    }

    /** The clients' address is bound: it takes work from here on. */
    public void serving(double nowMs) {
        if (phase == Phase.STARTING) {
            to(Phase.SERVING, nowMs);
        }
    }

    /**
     * The operators ask it to send clients away; true where that is new, so that the idle connections are closed now.
     * Before the start it has no clients, and once leaving it won't take any again, so only a serving doorman is
     * quiesced; a second call changes nothing.
     */
    public boolean quiesce(double nowMs) {
        if (phase != Phase.SERVING) {
            return false;
        }
        to(Phase.QUIESCED, nowMs);
        return true;
    }

    /** The operators take it back: false where it can't be, for it is not yet started or is leaving. */
    public boolean resume(double nowMs) {
        if (phase == Phase.QUIESCED) {
            to(Phase.SERVING, nowMs);
            return true;
        }
        return phase == Phase.SERVING;
    }

    /** SIGTERM came; {@code successor}: another process listens on the clients' address and takes them. */
    public void leave(double nowMs, boolean successor) {
        if (phase != Phase.LEAVING && phase != Phase.HANDING_OFF) {
            to(successor ? Phase.HANDING_OFF : Phase.LEAVING, nowMs);
        }
    }

    /** Whether the clients' address is to be listened on: not once a successor has it. */
    public boolean listening() {
        return phase != Phase.HANDING_OFF;
    }

    /** What health says: yes only while it takes clients. */
    public boolean ready() {
        return phase == Phase.SERVING;
    }

    /** Whether a request that a client sends now is taken; if not, it is refused, and its connection closes. */
    public boolean takes(double nowMs) {
        return switch (phase) {
            case STARTING, SERVING, LEAVING -> true;
            case QUIESCED -> nowMs - sinceMs < QUIESCED_TAKES_MS;
            case HANDING_OFF -> nowMs - sinceMs < HANDING_OFF_TAKES_MS;
        };
    }

    /** Whether a client connection that has nothing open is to be closed now. */
    public boolean closeWhenIdle() {
        return phase == Phase.QUIESCED || phase == Phase.HANDING_OFF;
    }

    private void to(Phase next, double nowMs) {
        phase = next;
        sinceMs = nowMs;
    }
}
