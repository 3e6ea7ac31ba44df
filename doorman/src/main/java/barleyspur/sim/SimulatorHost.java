package barleyspur.sim;

import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs many routing policies for the simulator. It only translates between the {@link SimulatorProtocol simulator's
 * protocol} and one {@link LeastRecentlyLostPolicy} for each instance, which share nothing; all decisions are made
 * there.
 */
public final class SimulatorHost {

    private static final int STREAM_BUFFER = 1 << 16;

    private final Map<Integer, RoutingPolicy> policies = new HashMap<>();

    /**
     * Answers batches until the input ends. Returns the exit status: 0 at the end of the input, or 1 after an error,
     * which is reported in one line on standard error.
     */
    public static int run(InputStream rawIn, OutputStream rawOut) {
        try {
            InputStream in = new BufferedInputStream(rawIn, STREAM_BUFFER);
            OutputStream out = new BufferedOutputStream(rawOut, STREAM_BUFFER);
            SimulatorHost host = new SimulatorHost();
            for (SimulatorProtocol.Batch batch = SimulatorProtocol.read(in);
                    batch != null;
                    batch = SimulatorProtocol.read(in)) {
                host.answer(batch).writeTo(out);
                out.flush();
            }
            return 0;
        } catch (SimulatorProtocol.MalformedInputException e) {
            System.err.println("barleyspur: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("barleyspur: standard input or output failed: " + e.getMessage());
        }
        return 1;
    }

    private SimulatorProtocol.Reply answer(SimulatorProtocol.Batch batch)
            throws SimulatorProtocol.MalformedInputException {
        SimulatorProtocol.Reply reply = new SimulatorProtocol.Reply(batch.number());
        while (batch.hasNext()) {
            SimulatorProtocol.Entry entry = batch.next();
            int instance = entry.instance();
            try {
                if (entry.start() != null) {
                    policies.put(
                            instance,
                            new LeastRecentlyLostPolicy(
                                    entry.start().settings(), entry.start().seed()));
                } else if (entry.event() == null) {
                    policies.remove(instance);
                } else {
                    RoutingPolicy policy = policies.get(instance);
                    if (policy == null) {
                        throw new SimulatorProtocol.MalformedInputException("batch " + batch.number()
                                + ": event for instance " + instance + ", which was not started");
                    }
                    policy.handle(batch.nowMs(), entry.event(), action -> reply.add(instance, action));
                }
            } catch (RuntimeException e) {
                reply.addFailure(instance, describe(e));
            }
        }
        return reply;
    }

    private static String describe(RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return failure + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
