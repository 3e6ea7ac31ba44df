package barleyspur.sim;

import barleyspur.decision.Decide;
import barleyspur.decision.Director;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs many routing policies for the simulator. It only translates between the {@link Wire simulator's protocol} and
 * one {@link Decide} for each instance, which share nothing; all decisions are made there.
 */
public final class Adapter {

    private static final int STREAM_BUFFER = 1 << 16;

    private final Map<Integer, Director> directors = new HashMap<>();

    /**
     * Answers batches until the input ends. Returns the exit status: 0 at the end of the input, or 1 after an error,
     * which is reported in one line on standard error.
     */
    public static int run(InputStream rawIn, OutputStream rawOut) {
        try {
            InputStream in = new BufferedInputStream(rawIn, STREAM_BUFFER);
            OutputStream out = new BufferedOutputStream(rawOut, STREAM_BUFFER);
            Adapter adapter = new Adapter();
            for (Wire.Batch batch = Wire.read(in); batch != null; batch = Wire.read(in)) {
                adapter.answer(batch).writeTo(out);
                out.flush();
            }
            return 0;
        } catch (Wire.Malformed e) {
            System.err.println("barleyspur: " + e.getMessage());
        } catch (IOException e) {
            System.err.println("barleyspur: standard input or output failed: " + e.getMessage());
        }
        return 1;
    }

    private Wire.Reply answer(Wire.Batch batch) throws Wire.Malformed {
        Wire.Reply reply = new Wire.Reply(batch.number());
        while (batch.hasNext()) {
            Wire.Record record = batch.next();
            int instance = record.instance();
            try {
                if (record.born() != null) {
                    directors.put(
                            instance,
                            new Decide(record.born().settings(), record.born().seed()));
                } else if (record.event() == null) {
                    directors.remove(instance);
                } else {
                    Director director = directors.get(instance);
                    if (director == null) {
                        throw new Wire.Malformed("batch " + batch.number() + ": event for instance " + instance
                                + ", which was not started");
                    }
                    director.handle(batch.nowMs(), record.event(), action -> reply.add(instance, action));
                }
            } catch (RuntimeException e) {
                reply.bailOut(instance, describe(e));
            }
        }
        return reply;
    }

    private static String describe(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
