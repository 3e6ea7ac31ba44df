package barleyspur.lab;

import java.io.IOException;

/** Sends signals that Java has no call for to processes that this one has started. */
public final class ProcessSignal {

    private ProcessSignal() {}

    /** Sends a signal by its name without {@code SIG}, and returns when it is sent. */
    public static void send(Process process, String name) throws IOException {
        try {
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
