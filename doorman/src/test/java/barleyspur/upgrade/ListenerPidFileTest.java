package barleyspur.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the file by which the old process of an upgrade learns that a successor listens. */
class ListenerPidFileTest {

    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 7001);

    @TempDir
    Path folder;

    /** Guards the hand-off: the old process finds the new one, and the new one doesn't take itself for a successor. */
    @Test
    void latestListenerIsTheSuccessor() throws IOException {
        ListenerPidFile pidFile = new ListenerPidFile(folder, LISTEN);
        long self = ProcessHandle.current().pid();
        assertEquals(-1, pidFile.liveSuccessorOf(self), "no file");
        pidFile.write(self);
        assertEquals(-1, pidFile.liveSuccessorOf(self), "a process is not its own successor");
        assertEquals(self, pidFile.liveSuccessorOf(self + 1), "another live process");
    }

    /** Guards a plain SIGTERM after a successor has died: a process that is gone is no successor. */
    @Test
    void deadProcessOrUnreadableFileIsNoSuccessor() throws IOException {
        ListenerPidFile pidFile = new ListenerPidFile(folder, LISTEN);
        pidFile.write(Long.MAX_VALUE - 1);
        assertEquals(-1, pidFile.liveSuccessorOf(1));
        try (var files = Files.list(folder)) {
            Files.writeString(files.findFirst().orElseThrow(), "half");
        }
        assertEquals(-1, pidFile.liveSuccessorOf(1));
        assertEquals(
                -1,
                new ListenerPidFile(folder, new InetSocketAddress("127.0.0.1", 7002)).liveSuccessorOf(1),
                "each address has its own file");
    }
}
