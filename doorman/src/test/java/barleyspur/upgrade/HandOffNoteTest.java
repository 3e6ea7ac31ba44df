package barleyspur.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The note by which an upgrade's old process learns that a successor listens. */
class HandOffNoteTest {

    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 7001);

    @TempDir
    Path folder;

    /** Guards the hand-off: the old process sees the new one, and the new one never sees itself. */
    @Test
    void theLastToListenIsTheSuccessor() throws IOException {
        HandOffNote note = new HandOffNote(folder, LISTEN);
        long self = ProcessHandle.current().pid();
        assertEquals(-1, note.successorOf(self), "no note: nobody");
        note.announce(self);
        assertEquals(-1, note.successorOf(self), "its own note names nobody else");
        assertEquals(self, note.successorOf(self + 1), "another process, still alive, is named");
    }

    /** Guards a plain SIGTERM after a successor has died: it is not handed off to a process that is gone. */
    @Test
    void aDeadOrUnreadableNoteNamesNobody() throws IOException {
        HandOffNote note = new HandOffNote(folder, LISTEN);
        note.announce(Long.MAX_VALUE - 1);
        assertEquals(-1, note.successorOf(1));
        try (var files = Files.list(folder)) {
            Files.writeString(files.findFirst().orElseThrow(), "half");
        }
        assertEquals(-1, note.successorOf(1));
        assertEquals(
                -1,
                new HandOffNote(folder, new InetSocketAddress("127.0.0.1", 7002)).successorOf(1),
                "another address has a note of its own");
    }
}
