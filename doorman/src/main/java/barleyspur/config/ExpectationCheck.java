package barleyspur.config;

import barleyspur.expect.Checker;
import barleyspur.expect.Deployment;
import barleyspur.expect.FaultScript;
import barleyspur.expect.Workload;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.json.JSONException;
import org.json.JSONObject;

/** Puts a configuration and files of expectations before the checker. */
public final class ExpectationCheck {

    private final ExpectationFiles.Read read;
    private final List<String> files;
    private final Deployment site;
    private final List<Deployment> fleets;

    private ExpectationCheck(ExpectationFiles.Read read, List<String> files, Deployment site, boolean describedOnly) {
        this.read = read;
        this.files = files;
        this.site = site;
        List<Deployment> all = new ArrayList<>(read.fleets());
        if (!describedOnly || all.isEmpty()) {
            all.add(0, site);
        }
        this.fleets = all;
    }

    /** The fleet of a configuration file. */
    public static Deployment site(Path config) throws Configuration.Invalid {
        try {
            return Sites.read(new JSONObject(Files.readString(config)));
        } catch (IOException e) {
            throw new Configuration.Invalid(config + " can't be read: " + e.getMessage());
        } catch (JSONException e) {
            throw new Configuration.Invalid(config + " is not JSON: " + e.getMessage());
        } catch (Configuration.Invalid e) {
            throw new Configuration.Invalid(config + ": " + e.getMessage());
        }
    }

    /**
     * Reads what is to be checked.
     *
     * @param describedOnly whether the fleets that files describe stand in for the configuration's own
     */
    public static ExpectationCheck of(Deployment site, List<String> files, boolean describedOnly) throws Hcl.Invalid {
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

    /** The names of the expectations, in their order. */
    public List<String> names() {
        return read.expectations().stream().map(e -> e.name()).toList();
    }

    /** What the checker is given; {@code only} empty: all expectations; {@code depth} 0: as the files say. */
    public Checker.Suite book(String only, int depth) {
        return new Checker.Suite(
                read.expectations().stream()
                        .filter(e -> only.isEmpty() || e.name().equals(only))
                        .toList(),
                fleets,
                loads(),
                read.cases(),
                depth > 0 ? depth : Math.max(1, read.depth()));
    }

    /** The loads that files lay down, or the usual one. */
    public List<Workload> loads() {
        return read.loads().isEmpty() ? List.of(Workload.defaultFor(site.sharedSettings())) : read.loads();
    }

    /** The cases that were read. */
    public List<FaultScript> cases() {
        return read.cases();
    }

    /** A counterexample as the text of a trace file. */
    public String trace(Checker.Counterexample counterexample) {
        return Traces.write(counterexample, files, read.texts());
    }

    /** The expectations that a configuration breaks, a line each; throws where they or it can't be read. */
    public static List<String> broken(Path config, OwnSettings.Expectations wanted)
            throws Configuration.Invalid, Hcl.Invalid {
        ExpectationCheck check =
                of(site(config), wanted.files().stream().map(Path::toString).toList(), false);
        int[] left = {wanted.scenarios()};
        BooleanSupplier more = () -> left[0]-- > 0;
        List<String> broken = new ArrayList<>();
        for (Checker.ExpectationResult f : Checker.of(check.book("", 0), Checker.Progress.NONE)
                .run(wanted.seed(), more)
                .expectationResults()) {
            if (f.verdict() == Checker.Verdict.REFUTED) {
                broken.add("expectation \"" + f.expectation().name() + "\" ("
                        + f.expectation().location() + ") is refuted: it held in " + f.satisfied() + " of "
                        + f.evaluated());
            }
        }
        return broken;
    }

    /** Refuses a configuration that breaks an expectation, or with which that can't be told. */
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
