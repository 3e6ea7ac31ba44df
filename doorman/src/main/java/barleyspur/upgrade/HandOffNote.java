package barleyspur.upgrade;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * A note in the folder that an upgrade's two processes share ({@code $TMPDIR}), under the name of the clients'
 * address: the process that listens there last, by its id. The new process writes it once it takes clients; the old
 * one reads it on SIGTERM, and where it names another process that is alive, a successor has the address, so the old
 * one can stop listening at once. The note is replaced by an atomic rename, so a reader never sees half of one.
 */
public final class HandOffNote {

    private final Path file;

    /** The note of the process that listens on {@code listen}. */
    public HandOffNote(Path folder, InetSocketAddress listen) {
        this.file = folder.resolve(
                "barleyspur-" + listen.getAddress().getHostAddress() + "-" + listen.getPort() + ".listener");
    }

    /** Says that this process listens now. */
    public void announce(long pid) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + "." + pid);
        Files.writeString(next, pid + "\n", StandardCharsets.US_ASCII);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * The id of the process that listened last, where that is not {@code pid} and it is still alive; else -1. A note
     * that can't be read names nobody.
     */
    public long successorOf(long pid) {
        try {
            long last = Long.parseLong(
                    Files.readString(file, StandardCharsets.US_ASCII).strip());
            boolean alive = last != pid
                    && ProcessHandle.of(last).map(ProcessHandle::isAlive).orElse(false);
            return alive ? last : -1;
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
    }
}
