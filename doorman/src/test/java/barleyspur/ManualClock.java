package barleyspur;

import barleyspur.doorman.Clock;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that only the test advances. It counts the timers that are pending, as the event loop's clock does. */
public final class ManualClock implements Clock {

    /** A scheduled task; tasks due at the same time run in order of {@code sequence}. */
    private record Task(double dueMs, long sequence, Runnable action) {}

    private final PriorityQueue<Task> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Task::dueMs).thenComparingLong(Task::sequence));
    private double nowMs;
    private long sequence;

    /** Creates a clock that stands at {@code startMs}. */
    public ManualClock(double startMs) {
        nowMs = startMs;
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public Timer schedule(double delayMs, Runnable action) {
        Task task = new Task(nowMs + Math.max(0, delayMs), sequence++, action);
        timers.add(task);
        return () -> timers.remove(task);
    }

    @Override
    public int pendingTimers() {
        return timers.size();
    }

    /** Returns when the last of the pending timers is due; the current time if there are none. */
    public double lastDueMs() {
        return timers.stream().mapToDouble(Task::dueMs).max().orElse(nowMs);
    }

    /** Advances the clock and runs each timer at its due time; {@code afterEach} runs after each of them. */
    public void advance(double durationMs, Runnable afterEach) {
        double endMs = nowMs + durationMs;
        while (!timers.isEmpty() && timers.peek().dueMs() <= endMs) {
            Task task = timers.poll();
            nowMs = Math.max(nowMs, task.dueMs());
            task.action().run();
            afterEach.run();
        }
        nowMs = endMs;
    }
}
