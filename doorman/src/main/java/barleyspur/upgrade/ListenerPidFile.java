package barleyspur.upgrade;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * A file with the id of the process that most recently started to listen on the client address. It is in the folder
 * shared by the two processes of an upgrade ({@code $TMPDIR}), under a name derived from the address. The new process
 * writes it once it accepts clients. The old process reads it on SIGTERM: if it names another live process, a successor
 * has the address and the old process can stop listening at once. The file is replaced by an atomic rename, so a reader
 * never sees a partial one.
 */
public final class ListenerPidFile {

    private final Path file;

    /** Refers to the file for the address {@code listen}. */
    public ListenerPidFile(Path folder, InetSocketAddress listen) {
        this.file = folder.resolve(
                "barleyspur-" + listen.getAddress().getHostAddress() + "-" + listen.getPort() + ".listener");
    }

    /** Records that the process {@code pid} listens now. */
    public void write(long pid) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + "." + pid);
        Files.writeString(temporaryFile, pid + "\n", StandardCharsets.US_ASCII);
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Returns the id of the process that most recently started to listen if it is not {@code pid} and is still alive,
     * else -1. An unreadable file counts as no successor.
     */
    public long liveSuccessorOf(long pid) {
        try {
            long listenerPid = Long.parseLong(
                    Files.readString(file, StandardCharsets.US_ASCII).strip());
            boolean alive = listenerPid != pid
                    && ProcessHandle.of(listenerPid).map(ProcessHandle::isAlive).orElse(false);
            return alive ? listenerPid : -1;
        } catch (IOException | NumberFormatException e) {
            return -1;
        }
    }
}
