package barleyspur.lifecycle;

import java.util.Locale;

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
public final class Lifecycle {

    /**
     * How long after a quiesce requests on kept connections are still taken; later ones are refused, so that each
     * connection comes to a moment with nothing open and is closed. The front's rule looks at requests of the last 2 s,
     * 4 s after the call: requests taken up to here are 3 s old by then.
     */
    static final double QUIESCED_TAKES_MS = 1_000;
    /**
     * How long after SIGTERM a process that hands off takes every request: SIGKILL may find a request unanswered that
     * came within 0.7 s of SIGTERM (the protocol page's figures), and the clock of the platform may differ a little.
     */
    static final double HANDING_OFF_TAKES_MS = 500;
    /** What an answer at its deadline may still take to be written, and the platform's clock to differ. */
    static final double KILL_MARGIN_MS = 200;

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
        HANDING_OFF;

        /** As operators read it: {@code handing-off}. */
        public String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private Phase phase = Phase.STARTING;
    private double sinceMs;
    /** Leaving, all clients have been let in that still were to come. */
    private boolean graceOver;
    /** After SIGTERM, when SIGKILL may come at the soonest. */
    private double killAtMs = Double.POSITIVE_INFINITY;

    /** The phase now. */
    public Phase phase() {
        return phase;
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

    /**
     * SIGTERM came; {@code successor}: another process listens on the clients' address and takes them.
     * {@code killAfterMs}: how long after SIGTERM SIGKILL may come at the soonest. False where that is nothing new.
     */
    public boolean leave(double nowMs, boolean successor, double killAfterMs) {
        if (phase == Phase.LEAVING || phase == Phase.HANDING_OFF) {
            return false;
        }
        to(successor ? Phase.HANDING_OFF : Phase.LEAVING, nowMs);
        killAtMs = nowMs + killAfterMs;
        return true;
    }

    /** Leaving or handing off, nothing more is to come: whatever connection has nothing open is closed from now on. */
    public void graceOver() {
        graceOver = true;
    }

    /** By when, at the latest, everything is to be answered: SIGKILL may come right after. */
    public double answeredByMs() {
        return killAtMs - KILL_MARGIN_MS;
    }

    /**
     * How long after SIGTERM SIGKILL may come at the soonest, for settings whose longest deadline is
     * {@code longestDeadlineMs}: that deadline, taken as 3 s where it is longer, and 0.7 s (the protocol page).
     */
    public static double killAfterMs(double longestDeadlineMs) {
        return Math.min(longestDeadlineMs, 3_000) + 700;
    }

    /** Whether the clients' address is to be listened on: not once a successor has it. */
    public boolean listening() {
        return phase != Phase.HANDING_OFF;
    }

    /** What health says: yes only while it takes clients. */
    public boolean ready() {
        return phase == Phase.SERVING;
    }

    /**
     * Whether a request that a client sends now, and waits {@code remainingMs} for, is taken; if not, it is refused, and
     * its connection closes. Handing off, a request is taken while SIGKILL would excuse it, or where its deadline comes
     * before SIGKILL can, so that it is answered in any case.
     */
    public boolean takes(double nowMs, double remainingMs) {
        return switch (phase) {
            case STARTING, SERVING -> true;
            case LEAVING -> !graceOver || nowMs + remainingMs < answeredByMs();
            case QUIESCED -> nowMs - sinceMs < QUIESCED_TAKES_MS;
            case HANDING_OFF -> nowMs - sinceMs < HANDING_OFF_TAKES_MS || nowMs + remainingMs < answeredByMs();
        };
    }

    /** Whether a client connection that has nothing open is to be closed now. */
    public boolean closeWhenIdle() {
        return phase == Phase.QUIESCED || phase == Phase.HANDING_OFF || graceOver;
    }

    /** Whether a connection that has never asked is to be closed too: nothing more is to come. */
    public boolean closeStrangers() {
        return graceOver;
    }

    private void to(Phase next, double nowMs) {
        phase = next;
        sinceMs = nowMs;
    }
}
