package barleyspur.reload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Effect;
import barleyspur.decision.RoutingPolicy.RequestClass;
import barleyspur.decision.RoutingPolicy.Scope;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that class numbers are stable across reloads, so that open requests keep the class they were accepted under.
 */
class RequestClassRegistryTest {

    private static RequestClass requestClass(Effect effect, double deadlineMs) {
        return new RequestClass(
                effect, Scope.ALL, 0, deadlineMs / 4, 2, deadlineMs, 1, 0, false, false, false, 0, 0, 0);
    }

    private static final RequestClass PARTS = requestClass(Effect.SAFE, 4_000);
    private static final RequestClass FILES = requestClass(Effect.SAFE, 2_000);
    private static final RequestClass RECORD = requestClass(Effect.UNSAFE, 2_400);

    private final RequestClassRegistry start =
            RequestClassRegistry.of(List.of("parts", "files", "record"), List.of(PARTS, FILES, RECORD));

    /** An added class comes last, so the numbers of the existing classes, which open requests use, are unchanged. */
    @Test
    void addedClassGetsTheNextNumber() {
        RequestClassRegistry.Update update =
                start.update(List.of("parts", "files", "record", "files-2"), List.of(PARTS, FILES, RECORD, FILES));
        assertEquals(List.of("files-2"), update.added());
        assertEquals(3, update.registry().numberOf("files-2"));
        assertEquals(1, update.registry().numberOf("files"));
        assertEquals(List.of(PARTS, FILES, RECORD, FILES), update.registry().classes());
    }

    /** New requests get the changed class; open requests keep the class they were accepted under. */
    @Test
    void changedClassGetsANewNumberAndTheOldOneStays() {
        RequestClass once = requestClass(Effect.UNSAFE, 2_000);
        RequestClassRegistry.Update update =
                start.update(List.of("parts", "files", "record"), List.of(PARTS, once, RECORD));
        assertEquals(List.of("files"), update.changed());
        assertEquals(3, update.registry().numberOf("files"));
        assertEquals(FILES, update.registry().classes().get(1), "open requests with number 1 keep their class");
        assertEquals(once, update.registry().classes().get(3));
    }

    /**
     * Clients may use a dropped class name shortly after the change: it keeps its class, and reordering the other
     * classes doesn't change their numbers.
     */
    @Test
    void droppedNameStaysKnownAndReorderingKeepsNumbers() {
        RequestClassRegistry.Update update = start.update(List.of("record", "parts"), List.of(RECORD, PARTS));
        assertEquals(List.of("files"), update.dropped());
        assertTrue(update.added().isEmpty() && update.changed().isEmpty());
        assertEquals(0, update.registry().numberOf("parts"));
        assertEquals(2, update.registry().numberOf("record"));
        assertEquals(1, update.registry().numberOf("files"));
        assertEquals(-1, update.registry().numberOf("never"));
        assertEquals(3, update.registry().classes().size(), "the policy gets no new class");
    }

    @Test
    void sameSettingsChangeNothing() {
        assertTrue(start.update(List.of("parts", "files", "record"), List.of(PARTS, FILES, RECORD))
                .isUnchanged());
    }

    @Test
    void duplicateNameIsRejected() {
        assertThrows(
                IllegalArgumentException.class, () -> start.update(List.of("parts", "parts"), List.of(PARTS, FILES)));
    }
}
