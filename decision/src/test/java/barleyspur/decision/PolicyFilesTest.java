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

/** Checks the files that the deploy file lists as holding decisions. */
class PolicyFilesTest {

    /** Tests run in their module's folder. */
    private static final Path ROOT = Path.of("..");

    private static final int MAX_WIDTH = 110;

    /** Returns the files that the deploy file lists as holding decisions. */
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
    void linesStayWithinTheirWidth() throws IOException {
        for (Path file : policy()) {
            List<String> lines = Files.readAllLines(file);
            for (int i = 0; i < lines.size(); i++) {
                assertTrue(lines.get(i).length() <= MAX_WIDTH, file + ":" + (i + 1) + " is too long");
            }
        }
    }

    @Test
    void theRoutingPolicyIsListed() throws IOException {
        assertTrue(policy().stream().anyMatch(file -> file.endsWith("LeastRecentlyLostPolicy.java")));
    }
}
