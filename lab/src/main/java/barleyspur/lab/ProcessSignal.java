package barleyspur.lab;

import java.io.IOException;

/** Sends signals for which {@link Process} has no method, such as SIGSTOP, to child processes. */
public final class ProcessSignal {

    private ProcessSignal() {}

    /** Sends the signal of this name, given without {@code SIG}, and returns once it has been sent. */
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
