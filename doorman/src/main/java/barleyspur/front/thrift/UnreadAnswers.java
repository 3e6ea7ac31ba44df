package barleyspur.front.thrift;

/**
 * Estimates for how long a client may still be reading answers that its socket has taken. They lie in the buffers of both
 * machines, where this process can't see them, so the estimate takes each client for one that reads as slowly as the
 * protocol's slowest. As a client has a bounded number of requests open, no more than that many of the last answers can
 * be unread.
 */
final class UnreadAnswers {

    /** What the slowest clients of the protocol read, 1 MB a second, less a fifth, as their pace is not even. */
    static final double READ_BYTES_PER_MS = 800;

    /** The sizes of the last answers, as many as a client may have open requests. */
    private final int[] lastAnswers;

    private int nextAnswer;
    private long lastAnswersBytes;
    private double unreadBytes;
    private double estimatedAtMs;

    UnreadAnswers(int maxOpenRequests) {
        lastAnswers = new int[maxOpenRequests];
    }

    /** Adds an answer that the socket has taken. */
    void add(int bytes, double nowMs) {
        lastAnswersBytes += bytes - lastAnswers[nextAnswer];
        lastAnswers[nextAnswer] = bytes;
        nextAnswer = (nextAnswer + 1) % lastAnswers.length;
        unreadBytes = Math.min(unreadBytesAt(nowMs) + bytes, lastAnswersBytes);
        estimatedAtMs = nowMs;
    }

    /** Returns for how long the client may still be reading, in milliseconds. */
    double remainingMs(double nowMs) {
        return unreadBytesAt(nowMs) / READ_BYTES_PER_MS;
    }

    private double unreadBytesAt(double nowMs) {
        return Math.max(0, unreadBytes - (nowMs - estimatedAtMs) * READ_BYTES_PER_MS);
    }
}
