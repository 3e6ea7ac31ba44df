package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Gives the connections turns to have their received requests processed: one request of each connection after another,
 * for a bounded time in each iteration of the event loop. The rest waits for the next iteration, in which the sockets
 * are read first, so that closes and cancels are noticed before a request is processed. So a connection that sends much
 * doesn't hold up the others.
 */
final class RequestTurns {

    /** A connection with received requests. */
    interface Connection {
        /** Processes the next received request; returns whether there are more. */
        boolean processNext();
    }

    /** How long requests are processed in one iteration of the event loop. */
    static final double MAX_TURNS_MS = 10;

    private final Clock clock;
    private final Deque<Connection> waiting = new ArrayDeque<>();
    private boolean scheduled;

    RequestTurns(Clock clock) {
        this.clock = clock;
    }

    /**
     * Adds a connection, which must not wait already. Its turn comes after all input of this iteration was read.
     *
     * @param execute runs a task in the event loop, after what is running there
     */
    void add(Connection connection, Consumer<Runnable> execute) {
        waiting.add(connection);
        if (!scheduled) {
            scheduled = true;
            execute.accept(this::run);
        }
    }

    private void run() {
        double endMs = clock.nowMs() + MAX_TURNS_MS;
        scheduled = false;
        while (!waiting.isEmpty()) {
            Connection next = waiting.poll();
            if (next.processNext()) {
                waiting.add(next);
            }
            if (!waiting.isEmpty() && clock.nowMs() >= endMs) {
                scheduled = true;
                clock.schedule(0, this::run);
                return;
            }
        }
    }
}
