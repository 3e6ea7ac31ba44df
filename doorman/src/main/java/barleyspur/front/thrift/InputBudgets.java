package barleyspur.front.thrift;

import barleyspur.transport.ByteBudget;

/**
 * The bounds on what clients can make the server hold, over all connections together. Each is counted where the bytes
 * come in; what exceeds a bound is answered with a refusal and not held.
 *
 * @param partialFrames buffers of frames that have been received in part (direct memory)
 * @param bodies        bodies of requests that are not answered yet (direct memory)
 * @param requests      state of requests that are not answered yet, at {@link #REQUEST_STATE_BYTES} each (heap)
 */
public record InputBudgets(ByteBudget partialFrames, ByteBudget bodies, ByteBudget requests) {

    /**
     * What an open request takes on the heap without its body: its fields, its state in the core and the routing policy,
     * its timers and its attempts.
     */
    public static final int REQUEST_STATE_BYTES = 4_096;

    /** The parts of the direct memory and of the heap, as divisors, that the budgets may use. */
    private static final int PARTIAL_FRAMES_DIVISOR = 12;

    private static final int BODIES_DIVISOR = 6;
    private static final int REQUESTS_DIVISOR = 4;

    /** Returns the budgets of a process with this much direct memory and heap, for so many client connections. */
    public static InputBudgets of(long directBytes, long heapBytes, int maxConnections) {
        return new InputBudgets(
                new ByteBudget(directBytes / PARTIAL_FRAMES_DIVISOR, maxConnections),
                new ByteBudget(directBytes / BODIES_DIVISOR, maxConnections),
                new ByteBudget(heapBytes / REQUESTS_DIVISOR, maxConnections));
    }
}
