package barleyspur.decision;

/**
 * Encodes the purpose of an alarm in the one number that the host gives back: a new subscription to the list of
 * nodes, the deadline of a request (its id, which is below 2^32), the latency target of an attempt, or the time for
 * the backup attempt of a request.
 */
final class AlarmToken {

    static final long WATCH = -1;
    private static final long ATTEMPT = 1L << 32;
    private static final long BACKUP = 1L << 48;

    private AlarmToken() {}

    /** Returns the token for the latency target of a request's {@code count}-th attempt, counted from 1. */
    static long attempt(long request, int count) {
        return request + count * ATTEMPT;
    }

    /** Returns the token for the backup attempt of a request. */
    static long backup(long request) {
        return request + BACKUP;
    }

    /** Returns the request that a token belongs to. */
    static long request(long token) {
        return token % ATTEMPT;
    }

    static boolean isBackup(long token) {
        return token >= BACKUP;
    }

    /** Returns the attempt's index within its request, or -1 if the alarm is for the deadline of the request. */
    static int attempt(long token) {
        return (int) (token / ATTEMPT) - 1;
    }
}
