package barleyspur.config;

import barleyspur.expect.Case;
import barleyspur.expect.Checker;
import barleyspur.expect.Load;
import barleyspur.expect.Site;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.json.JSONException;
import org.json.JSONObject;

/** Checks a configuration against files with routing expectations. */
public final class ExpectationCheck {

    private final ExpectationFiles.Read read;
    private final List<String> files;
    private final Site site;
    private final List<Site> fleets;

    private ExpectationCheck(ExpectationFiles.Read read, List<String> files, Site site, boolean describedOnly) {
        this.read = read;
        this.files = files;
        this.site = site;
        List<Site> all = new ArrayList<>(read.fleets());
        if (!describedOnly || all.isEmpty()) {
            all.add(0, site);
        }
        this.fleets = all;
    }

    /** Reads the fleet of a configuration file. */
    public static Site site(Path config) throws Configuration.Invalid {
        try {
            return Sites.read(new JSONObject(Files.readString(config)));
        } catch (IOException e) {
            throw new Configuration.Invalid(config + " can't be read: " + e.getMessage());
        } catch (JSONException e) {
            throw new Configuration.Invalid(config + " is not valid JSON: " + e.getMessage());
        } catch (Configuration.Invalid e) {
            throw new Configuration.Invalid(config + ": " + e.getMessage());
        }
    }

    /**
     * Reads the expectations and creates a check of them.
     *
     * @param describedOnly whether the fleets that the files define, if any, replace the one of the configuration
     */
    public static ExpectationCheck of(Site site, List<String> files, boolean describedOnly) throws Hcl.Invalid {
        return new ExpectationCheck(
                ExpectationFiles.read(files, ExpectationCheck::text, site), files, site, describedOnly);
    }

    private static String text(String from, String name) throws Hcl.Invalid {
        try {
            return Files.readString(Path.of(name));
        } catch (IOException e) {
            throw new Hcl.Invalid(
                    from.replaceFirst(":\\d+$", ""), 1, "file " + name + " can't be read: " + e.getMessage());
        }
    }

    /** Returns the names of the expectations in the order of the files. */
    public List<String> names() {
        return read.expectations().stream().map(e -> e.name()).toList();
    }

    /**
     * Returns the input of the checker.
     *
     * @param only  the name of the only expectation to check, or empty for all
     * @param depth length up to which all sequences of events are simulated, or 0 for the value of the files
     */
    public Checker.Book book(String only, int depth) {
        return new Checker.Book(
                read.expectations().stream()
                        .filter(e -> only.isEmpty() || e.name().equals(only))
                        .toList(),
                fleets,
                loads(),
                read.cases(),
                depth > 0 ? depth : Math.max(1, read.depth()));
    }

    /** Returns the workloads that the files define, or the default one. */
    public List<Load> loads() {
        return read.loads().isEmpty() ? List.of(Load.usual(site.any())) : read.loads();
    }

    /** Returns the cases that the files define. */
    public List<Case> cases() {
        return read.cases();
    }

    /** Returns the content of a trace file for a counterexample. */
    public String trace(Checker.Counterexample counterexample) {
        return Traces.write(counterexample, files, read.texts());
    }

    /** Returns a message for each expectation that a configuration violates; throws if either can't be read. */
    public static List<String> broken(Path config, OwnSettings.Expectations wanted)
            throws Configuration.Invalid, Hcl.Invalid {
        ExpectationCheck check =
                of(site(config), wanted.files().stream().map(Path::toString).toList(), false);
        int[] left = {wanted.scenarios()};
        BooleanSupplier more = () -> left[0]-- > 0;
        List<String> broken = new ArrayList<>();
        for (Checker.Finding f : Checker.of(check.book("", 0), Checker.Progress.NONE)
                .run(wanted.seed(), more)
                .findings()) {
            if (f.verdict() == Checker.Verdict.REFUTED) {
                broken.add("expectation \"" + f.expectation().name() + "\" ("
                        + f.expectation().place() + ") is refuted: it held in " + f.held() + " of " + f.judged());
            }
        }
        return broken;
    }

    /** Throws if a configuration violates an expectation, or if the expectations can't be read. */
    public static void require(Path config, OwnSettings.Expectations wanted) throws Configuration.Invalid {
        try {
            List<String> broken = broken(config, wanted);
            if (!broken.isEmpty()) {
                throw new Configuration.Invalid(String.join("; ", broken));
            }
        } catch (Hcl.Invalid e) {
            throw new Configuration.Invalid(e.getMessage());
        }
    }
}
