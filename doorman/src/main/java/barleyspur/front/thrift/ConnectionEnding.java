package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.transport.LingeringClose;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Ends one client connection: when the lifecycle requires idle connections to be closed, in favour of a new connection,
 * or because it can't be kept. Except where the client can't be reached any more, it is closed through
 * {@link LingeringClose}.
 *
 * <p>Whether a connection may be ended is one question, {@link #isSettled}: the client is owed an answer to each request
 * that was received, and the time to read it. Each wait for that has a bound: a client that reads nothing is given up
 * after the longest deadline of all requests, and the lifecycle tells until when a drain waits for readers.
 */
final class ConnectionEnding {

    /** Reasons for which a connection ends. */
    enum Cause {
        /** The client closed it, or shut down its sending side. */
        CLIENT_CLOSED,
        /** It was reset, or another I/O error occurred. */
        BROKEN,
        /** Nothing was owed on it, and the lifecycle requires idle connections to be closed. */
        IDLE,
        /** Nothing was owed on it, and it was closed in favour of a new connection. */
        EVICTED,
        /** Its input was invalid or incomplete, or the client did not read its responses. */
        REJECTED,
        /** The client reads nothing, so that no data has been written for too long. */
        STUCK,
        /** A response could not be written. */
        ANSWER_LOST
    }

    /** The connection that is ended. */
    interface Connection {
        /** Returns whether a request is pending, or has been read and not been processed yet. */
        boolean hasRequests();

        /** Returns whether a request is pending. */
        boolean hasPendingRequests();

        /** Returns whether messages are queued that the socket has not taken yet. */
        boolean hasUnwrittenMessages();

        /** Returns for how long the client may still be reading answers, in milliseconds. */
        double remainingReadMs();

        /** Returns whether part of a request has been received. */
        boolean hasPartialRequest();

        /** Returns the longest time that any client waits for a response. */
        double longestWaitMs();

        /** Returns whether the client has sent a valid call. */
        boolean wasUsed();

        /** Called when closing starts: nothing is processed any more, and further input is discarded. */
        void onClosing(LingeringClose lingeringClose);

        /** Called when the connection, chosen for eviction, must stay for now and may be chosen again. */
        void onEvictionPostponed();
    }

    /** How long the client has to close its side, once it must have read the last responses. */
    static final double LINGER_MS = 500;
    /**
     * The longest time for which a request may lie unread here, or answers at the client, when an idle connection is
     * closed. A client sends a request once more that crosses a close within 50 ms.
     */
    private static final double MAX_UNREAD_MS = 20;

    private static final int POLL_DELAY_MS = 1;

    private final Channel channel;
    private final Clock clock;
    private final Lifecycle lifecycle;
    private final Connection connection;
    private final LingeringClose lingeringClose;
    private Cause cause = Cause.CLIENT_CLOSED;
    /** Checks again whether the connection is settled; null if no check is due. */
    private Clock.Timer settledTimer;

    ConnectionEnding(Channel channel, Clock clock, Lifecycle lifecycle, Connection connection) {
        this.channel = channel;
        this.clock = clock;
        this.lifecycle = lifecycle;
        this.connection = connection;
        lingeringClose = new LingeringClose(channel, clock);
    }

    /** Returns whether closing has started. */
    boolean hasBegun() {
        return lingeringClose.hasBegun();
    }

    /** Returns why the connection ends or has ended; that the client closed it unless this server did. */
    Cause cause() {
        return cause;
    }

    /** Checks after all input of this iteration, and after the response that made the connection idle. */
    void scheduleCloseIfIdle() {
        if (lifecycle.closesIdleConnections()) {
            channel.eventLoop().execute(this::closeIfIdle);
        }
    }

    /**
     * Returns whether nothing is owed to the client: no request that was received is without its answer, all answers
     * have been written, and the client has had the time to read them.
     */
    boolean isSettled() {
        return !connection.hasRequests()
                && !connection.hasUnwrittenMessages()
                && connection.remainingReadMs() <= MAX_UNREAD_MS;
    }

    /**
     * Closes the connection if the lifecycle requires idle connections to be closed, and this one is settled and has no
     * partly received frame. A connection that has never been used is left to the read time-out, because its first
     * request may be under way, until the lifecycle expects no further requests.
     */
    void closeIfIdle() {
        boolean idle =
                !connection.hasRequests() && !connection.hasUnwrittenMessages() && !connection.hasPartialRequest();
        boolean closes =
                lifecycle.closesIdleConnections() && (connection.wasUsed() || lifecycle.closesUnusedConnections());
        if (!idle || !closes || hasBegun()) {
            return;
        }
        double waitMs = Math.min(connection.remainingReadMs(), lifecycle.remainingReadersWaitMs(clock.nowMs()));
        if (mayHaveUnreadInput()) {
            runAfterNextPoll(this::closeIfIdle);
        } else if (waitMs > MAX_UNREAD_MS) {
            // What the client sends before it can have seen the end would be thrown away.
            checkAgainAfter(waitMs);
        } else {
            close(Cause.IDLE);
        }
    }

    private void checkAgainAfter(double delayMs) {
        if (settledTimer == null) {
            settledTimer = clock.schedule(delayMs, () -> {
                settledTimer = null;
                closeIfIdle();
            });
        }
    }

    /** Closes the connection in favour of a new one, unless something is owed on it meanwhile. */
    void evict() {
        channel.eventLoop().execute(this::closeForNewConnection);
    }

    private void closeForNewConnection() {
        if (isSettled() && mayHaveUnreadInput()) {
            runAfterNextPoll(this::closeForNewConnection);
        } else if (isSettled()) {
            close(Cause.EVICTED);
        } else if (!connection.hasPendingRequests()) {
            // The request may prove to be invalid, so the connection has to stay a candidate for eviction.
            connection.onEvictionPostponed();
        }
    }

    /**
     * Returns whether a request may lie unread in the socket for so long that the client would not send it again: after
     * an iteration in which the event loop was busy, or the process was paused.
     */
    private boolean mayHaveUnreadInput() {
        return clock.nowMs() - clock.lastPollMs() > MAX_UNREAD_MS;
    }

    /** Runs a task once the event loop has polled the sockets; the task checks that, as it may run before. */
    private void runAfterNextPoll(Runnable task) {
        channel.eventLoop().schedule(task, POLL_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts to close the connection; further input is discarded. */
    void close(Cause closeCause) {
        if (!hasBegun() && channel.isActive()) {
            cause = closeCause;
            connection.onClosing(lingeringClose);
            double maxDrainMs = connection.longestWaitMs() + connection.remainingReadMs();
            lingeringClose.begin(maxDrainMs, () -> connection.remainingReadMs() + LINGER_MS);
        }
    }

    /** Closes the channel immediately: no response could reach the client any more. */
    void closeImmediately(Cause closeCause) {
        cause = closeCause;
        channel.close();
    }

    /** Closes the channel if it is lingering, because its file descriptor is needed. */
    void closeWithoutLinger() {
        channel.eventLoop().execute(() -> {
            if (hasBegun()) {
                channel.close();
            }
        });
    }

    /** Returns whether the client may still be reading answers, while the connection is being closed. */
    boolean isDelivering() {
        return channel.isActive() && connection.remainingReadMs() > 0;
    }

    /** Reports that the channel is closed. */
    void onClosed() {
        if (settledTimer != null) {
            settledTimer.cancel();
        }
        lingeringClose.onClosed();
    }
}
