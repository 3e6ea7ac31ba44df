package barleyspur.lifecycle;

import java.util.Locale;

/**
 * The lifecycle state machine of a doorman: decides whether it reports itself ready, whether it accepts a request, and
 * whether it closes a client connection without open requests. It depends on neither sockets nor clocks. The phases
 * follow the operators' calls and the process's signals: starting, serving, quiesced (a drain requested and ended by
 * the operators), leaving (SIGTERM: the process ends once open requests are answered) and handing off (SIGTERM while a
 * successor listens on the same address, during an upgrade).
 *
 * <p>While quiesced, a connection is closed as soon as it has no open request and its client must have read all
 * answers. The load balancer in front of the
 * doorman counts a violation of the rule on lost requests if, 4 s after the call, a connection is still held idle or
 * with a request from the last 2 s. A request that crosses such a close is sent once more by its client, as the
 * protocol's rule on closes requires.
 */
public final class Lifecycle {

    /**
     * How long after a quiesce requests on existing connections are still accepted. Later ones are refused, so that
     * each connection eventually has no open request and is closed. The load balancer looks at requests of the last
     * 2 s, 4 s after the call; requests accepted within this time are at least 3 s old by then.
     */
    static final double QUIESCED_ACCEPT_MS = 1_000;
    /**
     * How long after a quiesce a connection is kept whose client may still be reading answers. The client has a second
     * to see the end.
     */
    static final double QUIESCED_READERS_WAIT_MS = 3_000;
    /**
     * How long before a handing-off process ends such a connection is closed, so that its client can still read the
     * last answers.
     */
    static final double HANDING_OFF_READERS_MARGIN_MS = 1_000;
    /**
     * How long after SIGTERM a process that hands off accepts every request. The protocol allows SIGKILL to leave
     * requests unanswered that arrived within 0.7 s of SIGTERM; the difference allows for deviations of the platform's
     * clock.
     */
    static final double HANDING_OFF_ACCEPT_MS = 500;
    /**
     * Allows for the time to write an answer that is due at its deadline, and for deviations of the platform's clock.
     */
    static final double KILL_MARGIN_MS = 200;

    /** The phases of a doorman. */
    public enum Phase {
        /** Not listening for clients yet. */
        STARTING,
        /** Accepts clients. */
        SERVING,
        /** Turns clients away until the operators resume it; the process keeps running. */
        QUIESCED,
        /**
         * SIGTERM was received: new connections still arrive for a while, and the process ends once open requests are
         * answered.
         */
        LEAVING,
        /**
         * SIGTERM was received while a successor listens on the same address: new connections go to the successor, so
         * this process stops listening at once and ends once open requests are answered.
         */
        HANDING_OFF;

        /** Returns the name shown to operators, such as {@code handing-off}. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private Phase phase = Phase.STARTING;
    private double phaseStartMs;
    /** Whether the time for new connections and requests after SIGTERM is over. */
    private boolean graceEnded;
    /** After SIGTERM, the earliest time at which SIGKILL may follow. */
    private double earliestKillMs = Double.POSITIVE_INFINITY;

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Called when the client address is bound: the doorman serves from now on. */
    public void startServing(double nowMs) {
        if (phase == Phase.STARTING) {
            enterPhase(Phase.SERVING, nowMs);
        }
    }

    /**
     * Quiesces the doorman. Returns true if this changed the phase, so that idle connections have to be closed now.
     * Only a serving doorman is quiesced: before the start there are no clients, and after SIGTERM it won't serve
     * again. A second call changes nothing.
     */
    public boolean quiesce(double nowMs) {
        if (phase != Phase.SERVING) {
            return false;
        }
        enterPhase(Phase.QUIESCED, nowMs);
        return true;
    }

    /** Ends a quiesce. Returns whether the doorman serves: false if it is not started yet or is leaving. */
    public boolean resume(double nowMs) {
        if (phase == Phase.QUIESCED) {
            enterPhase(Phase.SERVING, nowMs);
            return true;
        }
        return phase == Phase.SERVING;
    }

    /**
     * Handles SIGTERM. Returns false if it was handled before.
     *
     * @param hasSuccessor whether another process listens on the client address
     * @param killAfterMs the earliest time after SIGTERM at which SIGKILL may follow
     */
    public boolean startLeaving(double nowMs, boolean hasSuccessor, double killAfterMs) {
        if (phase == Phase.LEAVING || phase == Phase.HANDING_OFF) {
            return false;
        }
        enterPhase(hasSuccessor ? Phase.HANDING_OFF : Phase.LEAVING, nowMs);
        earliestKillMs = nowMs + killAfterMs;
        return true;
    }

    /**
     * Ends the time for new connections and requests after SIGTERM: connections without open requests are closed from
     * now on.
     */
    public void endGrace() {
        graceEnded = true;
    }

    /** Returns the time by which all requests have to be answered, since SIGKILL may come right afterwards. */
    public double answerDeadlineMs() {
        return earliestKillMs - KILL_MARGIN_MS;
    }

    /**
     * Returns the earliest time after SIGTERM at which SIGKILL may follow, according to the protocol: the longest
     * deadline in the settings, at most 3 s, plus 0.7 s.
     */
    public static double earliestKillAfterMs(double longestDeadlineMs) {
        return Math.min(longestDeadlineMs, 3_000) + 700;
    }

    /** Returns whether the doorman should listen on the client address; not after a successor has taken it over. */
    public boolean shouldListen() {
        return phase != Phase.HANDING_OFF;
    }

    /** Returns the result of the health check: true only while serving. */
    public boolean isReady() {
        return phase == Phase.SERVING;
    }

    /**
     * Returns whether a request that arrives now with {@code remainingMs} to its deadline is accepted. If not, it is
     * refused and its connection closes. While handing off, a request is accepted if the protocol excuses its loss by
     * SIGKILL, or if its deadline is before the earliest SIGKILL, so that it is answered in any case.
     */
    public boolean acceptsRequest(double nowMs, double remainingMs) {
        return switch (phase) {
            case STARTING, SERVING -> true;
            case LEAVING -> !graceEnded || nowMs + remainingMs < answerDeadlineMs();
            case QUIESCED -> nowMs - phaseStartMs < QUIESCED_ACCEPT_MS;
            case HANDING_OFF ->
                nowMs - phaseStartMs < HANDING_OFF_ACCEPT_MS || nowMs + remainingMs < answerDeadlineMs();
        };
    }

    /** Returns whether client connections without open requests have to be closed now. */
    public boolean closesIdleConnections() {
        return phase == Phase.QUIESCED || phase == Phase.HANDING_OFF || graceEnded;
    }

    /**
     * Returns for how long a connection without open requests is kept while its client may still be reading answers. It
     * would send further requests meanwhile. After SIGTERM without a successor clients send none any more.
     */
    public double remainingReadersWaitMs(double nowMs) {
        double untilMs =
                switch (phase) {
                    case QUIESCED -> phaseStartMs + QUIESCED_READERS_WAIT_MS;
                    case HANDING_OFF -> answerDeadlineMs() - HANDING_OFF_READERS_MARGIN_MS;
                    case STARTING, SERVING, LEAVING -> nowMs;
                };
        return Math.max(0, untilMs - nowMs);
    }

    /** Returns whether connections that have not sent any request yet have to be closed too. */
    public boolean closesUnusedConnections() {
        return graceEnded;
    }

    private void enterPhase(Phase next, double nowMs) {
        phase = next;
        phaseStartMs = nowMs;
    }
}
