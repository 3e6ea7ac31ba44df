package barleyspur.decision;

/**
 * What an alarm is for, as the one number that a host gives back: the subscription to the list, a request's last moment (its
 * id, which is below 2^32), an attempt's aim, or the moment for a request's backup copy.
 */
final class AlarmToken {

    static final long WATCH = -1;
    private static final long ATTEMPT = 1L << 32;
    private static final long BACKUP = 1L << 48;

    private AlarmToken() {}

    /** For the attempt of a request that is its {@code count}-th, from 1. */
    static long attempt(long request, int count) {
        return request + count * ATTEMPT;
    }

    static long backup(long request) {
        return request + BACKUP;
    }

    static long request(long token) {
        return token % ATTEMPT;
    }

    static boolean isBackup(long token) {
        return token >= BACKUP;
    }

    /** The attempt's place in its request's list; -1: the alarm is for the whole request. */
    static int attempt(long token) {
        return (int) (token / ATTEMPT) - 1;
    }
}
