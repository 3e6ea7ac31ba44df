package barleyspur.reload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Effect;
import barleyspur.decision.Director.RequestClass;
import barleyspur.decision.Director.Scope;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that class numbers are stable across reloads, so that open requests keep the class they were accepted under.
 */
class RequestClassRegistryTest {

    private static RequestClass kind(Effect effect, double deadlineMs) {
        return new RequestClass(
                effect, Scope.ALL, 0, deadlineMs / 4, 2, deadlineMs, 1, 0, false, false, false, 0, 0, 0);
    }

    private static final RequestClass PARTS = kind(Effect.SAFE, 4_000);
    private static final RequestClass FILES = kind(Effect.SAFE, 2_000);
    private static final RequestClass RECORD = kind(Effect.UNSAFE, 2_400);

    private final RequestClassRegistry start =
            RequestClassRegistry.of(List.of("parts", "files", "record"), List.of(PARTS, FILES, RECORD));

    /** An added class comes last, so the numbers of the existing classes, which open requests use, are unchanged. */
    @Test
    void anAddedClassComesBehind() {
        RequestClassRegistry.Retune r =
                start.retune(List.of("parts", "files", "record", "files-2"), List.of(PARTS, FILES, RECORD, FILES));
        assertEquals(List.of("files-2"), r.added());
        assertEquals(3, r.table().number("files-2"));
        assertEquals(1, r.table().number("files"));
        assertEquals(List.of(PARTS, FILES, RECORD, FILES), r.table().classes());
    }

    /** New requests get the changed class; open requests keep the class they were accepted under. */
    @Test
    void aChangedClassGetsANewNumberAndTheOldOneStays() {
        RequestClass once = kind(Effect.UNSAFE, 2_000);
        RequestClassRegistry.Retune r = start.retune(List.of("parts", "files", "record"), List.of(PARTS, once, RECORD));
        assertEquals(List.of("files"), r.changed());
        assertEquals(3, r.table().number("files"));
        assertEquals(FILES, r.table().classes().get(1), "open requests with number 1 keep their class");
        assertEquals(once, r.table().classes().get(3));
    }

    /**
     * Clients may use a dropped class name shortly after the change: it keeps its class, and reordering the other
     * classes doesn't change their numbers.
     */
    @Test
    void aDroppedNameStaysAndReorderingMovesNothing() {
        RequestClassRegistry.Retune r = start.retune(List.of("record", "parts"), List.of(RECORD, PARTS));
        assertEquals(List.of("files"), r.dropped());
        assertTrue(r.added().isEmpty() && r.changed().isEmpty());
        assertEquals(0, r.table().number("parts"));
        assertEquals(2, r.table().number("record"));
        assertEquals(1, r.table().number("files"));
        assertEquals(-1, r.table().number("never"));
        assertEquals(3, r.table().classes().size(), "the director gets no new class");
    }

    @Test
    void theSameSettingsChangeNothing() {
        assertTrue(start.retune(List.of("parts", "files", "record"), List.of(PARTS, FILES, RECORD))
                .same());
    }

    @Test
    void aNameTwiceIsTurnedDown() {
        assertThrows(
                IllegalArgumentException.class, () -> start.retune(List.of("parts", "parts"), List.of(PARTS, FILES)));
    }
}
