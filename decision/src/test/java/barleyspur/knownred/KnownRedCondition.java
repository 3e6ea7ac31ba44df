package barleyspur.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over exactly the tests that {@code KNOWN-RED.txt} lists, and prints each of them. Entries with
 * {@code ci: runs} are printed and run. JUnit registers this condition for all Jupiter tests of the build; property
 * tests of jqwik are never passed over.
 */
public final class KnownRedCondition implements ExecutionCondition {

    /** The system property by which the build names the file. */
    static final String FILE_PROPERTY = "barleyspur.knownRedFile";

    private static final ConditionEvaluationResult NOT_LISTED =
            ConditionEvaluationResult.enabled("not a known failure");

    private final KnownRedList list;

    /** Reads the list that the build names; without one, as in a development environment, all tests run. */
    public KnownRedCondition() {
        this(readList());
    }

    KnownRedCondition(KnownRedList list) {
        this.list = list;
    }

    private static KnownRedList readList() {
        String file = System.getProperty(FILE_PROPERTY);
        if (file == null || !Files.exists(Path.of(file))) {
            return KnownRedList.parse(List.of());
        }
        try {
            return KnownRedList.read(Path.of(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
        if (context.getTestMethod().isEmpty()) {
            return NOT_LISTED;
        }
        KnownRedList.TestName test = new KnownRedList.TestName(
                context.getRequiredTestClass().getSimpleName(),
                context.getRequiredTestMethod().getName());
        return evaluate(test);
    }

    ConditionEvaluationResult evaluate(KnownRedList.TestName test) {
        Optional<KnownRedList.Entry> entry = list.find(test);
        if (entry.isEmpty()) {
            return NOT_LISTED;
        }
        boolean runs = entry.get().runsInCi();
        String issue = entry.get().fields().get("issue");
        System.out.printf(
                "KNOWN RED, %s: %s (issue %s)%n",
                runs ? "run" : "passed over", entry.get().title(), issue);
        return runs
                ? ConditionEvaluationResult.enabled("a known failure that is run")
                : ConditionEvaluationResult.disabled("a known failure, issue " + issue);
    }
}
