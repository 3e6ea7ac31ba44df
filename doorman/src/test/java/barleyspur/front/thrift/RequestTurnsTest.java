package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import barleyspur.ManualClock;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which connections have their requests processed. */
class RequestTurnsTest {

    private final ManualClock clock = new ManualClock(1_000);
    private final RequestTurns turns = new RequestTurns(clock);
    private final List<String> processed = new ArrayList<>();
    private final List<Runnable> tasks = new ArrayList<>();

    /** A connection whose requests take {@code costMs} each. */
    private final class Sender implements RequestTurns.Connection {
        private final String name;
        private final double costMs;
        private int received;

        Sender(String name, int received, double costMs) {
            this.name = name;
            this.received = received;
            this.costMs = costMs;
        }

        @Override
        public boolean processNext() {
            processed.add(name);
            clock.advance(costMs, () -> {});
            return --received > 0;
        }
    }

    private void runIteration() {
        List<Runnable> due = List.copyOf(tasks);
        tasks.clear();
        due.forEach(Runnable::run);
    }

    @Test
    void connectionsTakeTurnsRequestByRequest() {
        turns.add(new Sender("flood", 4, 0), tasks::add);
        turns.add(new Sender("usual", 1, 0), tasks::add);
        assertEquals(1, tasks.size(), "one task for all");
        runIteration();
        assertEquals(List.of("flood", "usual", "flood", "flood", "flood"), processed);
    }

    /** Guards against one iteration that processes all that many connections have sent. */
    @Test
    void processingEndsAfterItsTimeAndGoesOnInTheNextIteration() {
        for (int i = 0; i < 60; i++) {
            turns.add(new Sender("flood", 32, 1), tasks::add);
        }
        double startMs = clock.nowMs();
        runIteration();
        assertEquals(RequestTurns.MAX_TURNS_MS, clock.nowMs() - startMs, 1);
        turns.add(new Sender("usual", 1, 0), tasks::add);
        assertEquals(1, clock.pendingTimers(), "goes on after the sockets were read");
        clock.advance(60, () -> {});
        assertEquals(true, processed.contains("usual"), "a connection waits for one request of each other");
    }
}
