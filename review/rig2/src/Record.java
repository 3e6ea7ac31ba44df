import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: a line for each thing that was sent, answered or run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double ms() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void line(String format, Object... arguments) {
        out.printf(Locale.ROOT, "%9.1f ", ms());
        out.printf(Locale.ROOT, format, arguments);
        out.println();
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... arguments) {
        line(format, arguments);
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }

    synchronized void close() {
        out.flush();
        out.close();
    }
}
