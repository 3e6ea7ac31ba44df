package barleyspur;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The decision module stays short enough to be read in a day. */
class ModuleSizeTest {

    @Test
    void decideStaysWithinItsLimits() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/barleyspur/Decide.java"));
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        assertTrue(filled <= 850, filled + " lines");
        for (int i = 0; i < lines.size(); i++) {
            assertTrue(lines.get(i).length() <= 110, "line " + (i + 1) + " is too long");
        }
    }
}
