package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The decision module stays short enough to be read in a day. */
class ModuleSizeTest {

    /** Tests run in their module's folder. */
    private static final Path ROOT = Path.of("..");

    private static final int MOST_LINES = 940;
    private static final int MOST_WIDTH = 110;

    /** The files that the deploy file names as holding decisions. */
    private static List<Path> policy() throws IOException {
        String line = Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        List<Path> files = new ArrayList<>();
        for (Matcher m = Pattern.compile("\"([^\"]+)\"").matcher(line); m.find(); ) {
            files.add(ROOT.resolve(m.group(1)));
        }
        return files;
    }

    @Test
    void theDecisionsStayWithinTheirLimits() throws IOException {
        long filled = 0;
        for (Path file : policy()) {
            List<String> lines = Files.readAllLines(file);
            filled += lines.stream().filter(line -> !line.isBlank()).count();
            for (int i = 0; i < lines.size(); i++) {
                assertTrue(lines.get(i).length() <= MOST_WIDTH, file + ":" + (i + 1) + " is too long");
            }
        }
        assertTrue(filled <= MOST_LINES, filled + " lines");
    }

    @Test
    void theDecisionsAreAmongThem() throws IOException {
        assertTrue(policy().stream().anyMatch(file -> file.endsWith("Decide.java")));
    }
}
