package barleyspur.config;

import barleyspur.decision.RoutingPolicy;
import barleyspur.expect.Case;
import barleyspur.expect.Condition;
import barleyspur.expect.Expectation;
import barleyspur.expect.Fault;
import barleyspur.expect.Field;
import barleyspur.expect.Load;
import barleyspur.expect.Moment;
import barleyspur.expect.Site;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Parser of the HCL files with routing expectations; {@code docs/EXPECTATIONS.md} describes the language. */
public final class ExpectationFiles {

    /** Source of the files' texts: the file system, or a trace that contains them. */
    public interface Texts {
        /** Returns the text of the file {@code name}, which {@code from} refers to; throws if there is none. */
        String read(String from, String name) throws Hcl.Invalid;

        /** Resolves the name of an included file relative to the file {@code from} that includes it. */
        default String resolve(String from, String included) {
            int slash = from.lastIndexOf('/');
            return included.startsWith("/") || slash < 0 ? included : from.substring(0, slash + 1) + included;
        }
    }

    /**
     * The definitions and expectations of a set of files.
     *
     * @param fleets fleets defined in the files, to be checked in addition to the one of the configuration
     * @param loads  the workloads to simulate, in turn
     * @param depth  length up to which all sequences of events are simulated; 0 if not set
     * @param texts  the texts of the files by name, to be stored in traces
     */
    public record Read(
            List<Expectation> expectations,
            List<Site> fleets,
            List<Load> loads,
            List<Case> cases,
            int depth,
            Map<String, String> texts) {}

    private final Texts texts;
    private final Site site;
    private final Map<String, String> read = new LinkedHashMap<>();
    private final List<Hcl.Block> files = new ArrayList<>();
    private final Map<String, Double> names = new HashMap<>();
    private final Quantity quantity = new Quantity(names);
    private final List<Site> fleets = new ArrayList<>();
    private final List<Case> cases = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();
    private final List<Load> loads = new ArrayList<>();
    private int depth;

    private ExpectationFiles(Texts texts, Site site) {
        this.texts = texts;
        this.site = site;
    }

    /**
     * Reads files and the files that they include.
     *
     * @param site the fleet of the configuration; its settings define the values that expectations can refer to
     */
    public static Read read(List<String> names, Texts texts, Site site) throws Hcl.Invalid {
        ExpectationFiles reader = new ExpectationFiles(texts, site);
        reader.names.putAll(figures(site));
        for (String name : names) {
            reader.file(name, name);
        }
        reader.understand();
        return new Read(
                List.copyOf(reader.expectations),
                List.copyOf(reader.fleets),
                List.copyOf(reader.loads),
                List.copyOf(reader.cases),
                reader.depth,
                reader.read);
    }

    /** Returns the numeric settings by the names that expectations use for them. */
    static Map<String, Double> figures(Site site) {
        RoutingPolicy.Settings s = site.any();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("drain_grace", s.drainGraceMs());
        figures.put("purge_grace", s.purgeGraceMs());
        figures.put("purge_done", s.purgeCompleteMs());
        figures.put("answer_slack", s.answerSlackMs());
        figures.put("tick", s.tickMs());
        figures.put("fall_span", s.overloadSpanMs());
        figures.put("cache_warm", s.coldCache().warmAfterMs());
        figures.put("parent_warm", s.coldParent().warmAfterMs());
        figures.put("longest_w", s.maxRetryAfterMs());
        figures.put("most_attempts", (double) s.maxAttempts());
        figures.put("doormans", (double) site.settings().size());
        for (int i = 0; i < site.classes().size(); i++) {
            RoutingPolicy.RequestClass c = s.classes().get(i);
            figures.put("aim." + site.classes().get(i), c.aimMs());
            figures.put("deadline." + site.classes().get(i), c.deadlineMs());
            figures.put("fresh." + site.classes().get(i), c.freshMs());
            figures.put("stale." + site.classes().get(i), c.freshMs() + c.graceMs());
        }
        return figures;
    }

    private void file(String from, String name) throws Hcl.Invalid {
        if (read.containsKey(name)) {
            return;
        }
        String text = texts.read(from, name);
        read.put(name, text);
        Hcl.Block root = Hcl.read(name, text);
        files.add(root);
        Hcl.Value include = root.value("include");
        if (include != null) {
            for (String other : include.texts()) {
                file(include.place(), texts.resolve(name, other));
            }
        }
    }

    /**
     * Parses the shared definitions of all files first and then the expectations, since an expectation may refer to a
     * definition in any file.
     */
    private void understand() throws Hcl.Invalid {
        for (Hcl.Block root : files) {
            root.close(List.of("let", "fleet", "load", "case", "explore", "expectation"));
            for (Hcl.Block let : root.blocks("let")) {
                for (Hcl.Value v : let.values()) {
                    if (names.put(v.key(), quantity.of(v)) != null) {
                        throw v.invalid("is already defined");
                    }
                }
                let.close(List.of());
            }
        }
        Set<String> seen = new HashSet<>();
        for (Hcl.Block root : files) {
            for (Hcl.Block b : root.blocks()) {
                if (!b.type().equals("let") && !b.type().equals("explore") && !seen.add(b.type() + b.label())) {
                    throw b.invalid("\"" + b.label() + "\" is defined twice");
                }
            }
            for (Hcl.Block b : root.blocks("fleet")) {
                fleets.add(fleet(b));
            }
            for (Hcl.Block b : root.blocks("case")) {
                cases.add(aCase(b));
            }
            for (Hcl.Block b : root.blocks("load")) {
                loads.add(load(b));
            }
            for (Hcl.Block b : root.blocks("explore")) {
                depth = (int) figure(b, "depth", 1, 1, 6);
                b.close(List.of());
            }
        }
        for (Hcl.Block root : files) {
            for (Hcl.Block b : root.blocks("expectation")) {
                expectations.add(expectation(b));
            }
        }
    }

    // ---- shared definitions ----------------------------------------------------------------------------

    private Site fleet(Hcl.Block b) throws Hcl.Invalid {
        int stations = (int) figure(b, "stations", 1, 1, 10_000);
        int caches = (int) figure(b, "caches", 3, 1, 10_000);
        int districts = (int) figure(b, "district_caches", 2, 0, 10_000);
        int offices = (int) figure(b, "head_offices", 1, 0, 8);
        int doormans = (int) figure(b, "doormans", 2, 1, 1_000);
        double size = figure(b, "size", 8, 0.1, 1e6);
        String cacheModel = word(b, "model", modelOf(Site.Role.CACHE), site.kinds());
        b.close(List.of());
        List<String> zones = new ArrayList<>(List.of("central"));
        List<Box> boxes = new ArrayList<>();
        List<Integer> doormanZones = new ArrayList<>();
        for (int z = 1; z <= stations; z++) {
            zones.add("station-" + z);
            for (int i = 1; i <= caches; i++) {
                boxes.add(new Box("cache-" + z + "-" + i, z, site.kinds().indexOf(cacheModel), size));
            }
            for (int i = 0; i < doormans; i++) {
                doormanZones.add(z);
            }
        }
        for (int i = 1; i <= districts; i++) {
            boxes.add(new Box("district-" + i, 0, site.any().parentKind(), size * caches * stations / districts));
        }
        for (int i = 1; i <= offices; i++) {
            boxes.add(new Box("head-office-" + i, 0, site.any().originKind(), size * caches * stations * 4));
        }
        return Sites.described(b.label(), site, zones, doormanZones, boxes);
    }

    /** A box of a fleet defined in a file, before it is assigned a node number. */
    record Box(String uid, int zone, int kind, double size) {}

    private String modelOf(Site.Role role) {
        for (int kind = 0; kind < site.kinds().size(); kind++) {
            boolean fits = kind != site.any().parentKind() && kind != site.any().originKind();
            if (fits == (role == Site.Role.CACHE)) {
                return site.kinds().get(kind);
            }
        }
        return site.kinds().get(0);
    }

    private Load load(Hcl.Block b) throws Hcl.Invalid {
        Load usual = Load.usual(site.any());
        List<Load.OfClass> classes = new ArrayList<>(usual.classes());
        for (Hcl.Block c : b.blocks("class")) {
            int place = site.classes().indexOf(c.label());
            if (place < 0) {
                throw c.invalid("\"" + c.label() + "\" is not a class" + Hcl.near(c.label(), site.classes()));
            }
            classes.set(
                    place,
                    new Load.OfClass(
                            figure(c, "share", classes.get(place).share(), 0, 1e6),
                            figure(c, "work", classes.get(place).workMs(), 0.01, 1e6)));
            c.close(List.of());
        }
        Hcl.Value marks = b.value("marks_retries");
        int objects = (int) figure(b, "objects", usual.objects(), 1, 1 << 19);
        Load read = new Load(
                b.label(),
                figure(b, "utilisation", usual.utilisation(), 0.01, 10),
                figure(b, "length", usual.lengthMs(), 100, 600_000),
                (int) figure(b, "requests", usual.most(), 1, 1e6),
                objects,
                (int) figure(b, "hot", Math.min(objects, usual.hot()), 0, objects),
                figure(b, "once", usual.onceShare(), 0, 1),
                (int) figure(b, "retries", usual.retries(), 0, 10),
                marks != null && marks.flag(),
                classes);
        b.close(List.of("class"));
        if (classes.stream().allMatch(entry -> entry.share() == 0)) {
            throw b.invalid("has no requests: every class has share 0");
        }
        return read;
    }

    private Case aCase(Hcl.Block b) throws Hcl.Invalid {
        List<Case.Step> steps = new ArrayList<>();
        for (Hcl.Block e : b.blocks("event")) {
            Fault.Kind kind = find(e, e.label(), Fault.Kind.values(), Fault.Kind::word, "event");
            Hcl.Value at = e.value("at");
            if (at == null) {
                throw e.invalid("has no key at");
            }
            Hcl.Value told = e.value("told");
            Condition.Range delay = told == null ? new Condition.Range(300, false, 300, false) : quantity.range(told);
            Hcl.Value boxes = e.value("boxes");
            boolean all = boxes != null && "all".equals(boxes.value());
            Hcl.Value role = e.value("kind");
            steps.add(new Case.Step(
                    kind,
                    role == null ? null : find(role, Site.Role.values(), Site.Role::word, "kind"),
                    word(e, "station", "", null),
                    word(e, "box", "", null),
                    all ? Integer.MAX_VALUE : (int) figure(e, "boxes", 1, 1, 1e6),
                    quantity.of(at),
                    delay.least(),
                    delay.most(),
                    figure(e, "lasts", 5_000, 0, 1e9),
                    figure(e, "size", kind.usualSize(), 0, 1e12)));
            e.close(List.of());
        }
        b.close(List.of("event"));
        return new Case(b.label(), steps);
    }

    // ---- expectations ----------------------------------------------------------------------------------

    private static final List<String> FORMS = List.of("must", "never", "share", "eventually", "count", "settings");

    private Expectation expectation(Hcl.Block b) throws Hcl.Invalid {
        String about = word(b, "about", "", null);
        Set<String> fleetNames =
                new LinkedHashSet<>(fleets.stream().map(Site::name).toList());
        fleetNames.add(site.name());
        Set<String> inFleets = namesOf(b, "fleets", fleetNames);
        Set<String> inCases = namesOf(b, "cases", cases.stream().map(Case::name).toList());
        Set<String> atLoads = namesOf(b, "loads", loads.stream().map(Load::name).toList());
        List<Condition> given = new ArrayList<>();
        for (Hcl.Block g : b.blocks("given")) {
            given.add(condition(g));
        }
        List<Hcl.Block> forms =
                b.blocks().stream().filter(f -> FORMS.contains(f.type())).toList();
        Set<String> types = new HashSet<>(forms.stream().map(Hcl.Block::type).toList());
        Expectation.After after = null;
        for (Hcl.Block a : b.blocks("after")) {
            after = after(a);
        }
        List<String> known = new ArrayList<>(FORMS);
        known.addAll(List.of("given", "after"));
        b.close(known);
        if (types.size() != 1) {
            throw b.invalid("\"" + b.label() + "\" needs blocks of exactly one of the types must, never, share, "
                    + "eventually, count and settings");
        }
        if (b.blocks("after").size() > 1 || forms.size() > 1 && !types.contains("must")) {
            throw b.invalid(
                    "\"" + b.label() + "\" may have several given and must blocks, but only one of any other type");
        }
        Expectation.Form form = form(b, forms);
        if (form instanceof Expectation.Eventually && after == null) {
            throw b.invalid("\"" + b.label() + "\" needs a block after, which defines when eventually starts");
        }
        Expectation e = new Expectation(
                b.label(), about, b.place(), inFleets, inCases, atLoads, new Condition.All(given), form, after);
        kinds(b, e);
        return e;
    }

    private Expectation.Form form(Hcl.Block b, List<Hcl.Block> forms) throws Hcl.Invalid {
        Hcl.Block f = forms.get(0);
        switch (f.type()) {
            case "must" -> {
                List<Condition> parts = new ArrayList<>();
                for (Hcl.Block must : forms) {
                    parts.add(condition(must));
                }
                return new Expectation.Must(new Condition.All(parts));
            }
            case "never" -> {
                return new Expectation.Never(condition(f));
            }
            case "share" -> {
                double least = figure(f, "at_least", 0, 0, 1);
                double most = figure(f, "at_most", 1, 0, 1);
                if (f.value("at_least") == null && f.value("at_most") == null) {
                    throw f.invalid("needs a key at_least or at_most");
                }
                return new Expectation.Share(condition(f), least, most);
            }
            case "settings" -> {
                List<Expectation.Figure> figures = new ArrayList<>();
                for (Hcl.Value v : f.values()) {
                    Double figure = names.get(v.key());
                    if (figure == null) {
                        throw v.invalid("is not the name of a numeric setting" + Hcl.near(v.key(), names.keySet()));
                    }
                    figures.add(
                            new Expectation.Figure(figure, quantity.range(v), v.place(), v.key() + " = " + v.value()));
                }
                f.close(List.of());
                return new Expectation.Figures(figures);
            }
            case "eventually" -> {
                int chances = (int) figure(f, "chances", 20, 1, 1e6);
                return new Expectation.Eventually(condition(f), chances);
            }
            default -> {
                Hcl.Value of = f.value("of");
                Hcl.Value per = f.value("per");
                if (of == null || per == null) {
                    throw f.invalid("needs the keys of and per");
                }
                double least = figure(f, "at_least", 0, 0, 1e9);
                double most = figure(f, "at_most", Double.POSITIVE_INFINITY, 0, Double.POSITIVE_INFINITY);
                return new Expectation.Count(
                        find(of, Expectation.Of.values(), o -> o.name().toLowerCase(), "of"),
                        find(per, Expectation.Per.values(), p -> p.name().toLowerCase(), "per"),
                        least,
                        most,
                        condition(f));
            }
        }
    }

    /** Rejects an expectation that tests both attempts and answers, since no event has the fields of both. */
    private static void kinds(Hcl.Block b, Expectation e) throws Hcl.Invalid {
        Set<String> spoken = new HashSet<>();
        collectBlockTypes(e.given(), spoken);
        collectBlockTypes(e.form().that(), spoken);
        boolean attempts = spoken.contains("attempt")
                || spoken.contains("target")
                || spoken.contains("source")
                || e.form() instanceof Expectation.Count;
        if (attempts && spoken.contains("answer")) {
            throw b.invalid("\"" + b.label() + "\" tests both attempts and answers, which are different events");
        }
    }

    private static void collectBlockTypes(Condition c, Set<String> blocks) {
        if (c instanceof Condition.Test t) {
            blocks.add(t.field().block());
        } else if (c instanceof Condition.All all) {
            all.parts().forEach(p -> collectBlockTypes(p, blocks));
        } else if (c instanceof Condition.Either either) {
            either.parts().forEach(p -> collectBlockTypes(p, blocks));
        } else if (c instanceof Condition.Not not) {
            collectBlockTypes(not.part(), blocks);
        }
    }

    private Condition condition(Hcl.Block b) throws Hcl.Invalid {
        List<Condition> parts = new ArrayList<>();
        List<Condition> either = new ArrayList<>();
        List<String> known = new ArrayList<>(Field.blocks());
        known.addAll(List.of("either", "not"));
        for (Hcl.Block inner : b.blocks()) {
            if (Field.blocks().contains(inner.type())) {
                parts.addAll(tests(inner));
            } else if (inner.type().equals("either")) {
                either.add(condition(inner));
            } else if (inner.type().equals("not")) {
                parts.add(new Condition.Not(condition(inner)));
            }
        }
        b.close(known);
        if (!either.isEmpty()) {
            parts.add(new Condition.Either(either));
        }
        if (parts.isEmpty()) {
            throw b.invalid("has no conditions");
        }
        return new Condition.All(parts);
    }

    private List<Condition> tests(Hcl.Block b) throws Hcl.Invalid {
        List<Condition> tests = new ArrayList<>();
        List<Field> fields = Field.in(b.type());
        for (Hcl.Value v : b.values()) {
            Field field = fields.stream()
                    .filter(f -> f.key().equals(v.key()))
                    .findFirst()
                    .orElse(null);
            if (field == null) {
                throw v.invalid("is unknown in block " + b.type()
                        + Hcl.near(v.key(), fields.stream().map(Field::key).toList()));
            }
            tests.add(new Condition.Test(
                    field, matcher(field, v), v.place(), b.type() + "." + v.key() + " = " + v.value()));
        }
        b.close(List.of());
        if (tests.isEmpty()) {
            throw b.invalid("has no conditions");
        }
        return tests;
    }

    private Condition.Matcher matcher(Field field, Hcl.Value v) throws Hcl.Invalid {
        return switch (field.type()) {
            case FLAG -> new Condition.Flag(v.flag());
            case NUMBER, TIME -> quantity.range(v);
            case WORD -> {
                List<String> words = v.texts();
                boolean not = !words.isEmpty() && words.stream().allMatch(w -> w.startsWith("!"));
                Set<String> wanted = new LinkedHashSet<>();
                for (String w : words) {
                    wanted.add(not ? w.substring(1) : w);
                }
                Collection<String> known = words(field);
                for (String w : wanted) {
                    if (known != null && !known.contains(w)) {
                        throw v.invalid("names " + w + ", which is not a known value" + Hcl.near(w, known));
                    }
                }
                yield new Condition.Words(wanted, not);
            }
        };
    }

    /** Returns the allowed values of a field, or null if they aren't known in advance. */
    private Collection<String> words(Field field) {
        return switch (field) {
            case CLASS -> site.classes();
            case EFFECT ->
                Arrays.stream(RoutingPolicy.Effect.values())
                        .map(e -> e.name().toLowerCase())
                        .toList();
            case OBJECTS -> List.of("hot", "ordinary", "once");
            case TARGET_ROLE, SOURCE_ROLE ->
                Arrays.stream(Site.Role.values()).map(Site.Role::word).toList();
            case TARGET_MODEL, SOURCE_MODEL -> site.kinds();
            case TARGET_STATE, SOURCE_STATE, TARGET_ACTUAL, SOURCE_ACTUAL ->
                Arrays.stream(Moment.Told.values()).map(Moment.Told::word).toList();
            case TARGET_FAULT, SOURCE_FAULT -> List.of("none", "hang", "slow", "full", "fail");
            case OUTCOME ->
                Arrays.stream(Moment.Ending.values()).map(Moment.Ending::word).toList();
            case REQUEST_STATION, TARGET_STATION, SOURCE_STATION -> {
                Set<String> stations = new LinkedHashSet<>(site.zones());
                fleets.forEach(f -> stations.addAll(f.zones()));
                yield stations;
            }
            default -> null;
        };
    }

    private Expectation.After after(Hcl.Block b) throws Hcl.Invalid {
        Set<Moment.Told> told = new LinkedHashSet<>();
        boolean started = false;
        Hcl.Value toldOf = b.value("told");
        for (String w : toldOf == null ? List.<String>of() : toldOf.texts()) {
            if (w.equals("started")) {
                started = true;
            } else {
                told.add(find(toldOf, w, Moment.Told.values(), Moment.Told::word, "told"));
            }
        }
        Set<Fault.Kind> happens = new LinkedHashSet<>();
        Hcl.Value happensOf = b.value("happens");
        for (String w : happensOf == null ? List.<String>of() : happensOf.texts()) {
            happens.add(find(happensOf, w, Fault.Kind.values(), Fault.Kind::word, "happens"));
        }
        Set<Site.Role> roles = new LinkedHashSet<>();
        Hcl.Value kind = b.value("kind");
        for (String w : kind == null ? List.<String>of() : kind.texts()) {
            roles.add(find(kind, w, Site.Role.values(), Site.Role::word, "kind"));
        }
        Set<Moment.Told> until = new LinkedHashSet<>();
        Hcl.Value untilOf = b.value("until");
        for (String w : untilOf == null ? List.<String>of() : untilOf.texts()) {
            until.add(find(untilOf, w, Moment.Told.values(), Moment.Told::word, "until"));
        }
        Hcl.Value own = b.value("own");
        boolean ownOnly = own != null && own.flag();
        Hcl.Value within = b.value("within");
        double from = figure(b, "from", 0, 0, 1e9);
        double by = within == null ? Double.POSITIVE_INFINITY : quantity.of(within);
        b.close(List.of());
        if (told.isEmpty() && !started && happens.isEmpty()) {
            throw b.invalid("needs a key told or happens");
        }
        if (by <= from) {
            throw b.invalid("ends before it begins: within must be greater than from");
        }
        return new Expectation.After(told, started, happens, roles, ownOnly, from, by, until);
    }

    // ---- values ----------------------------------------------------------------------------------------

    private double figure(Hcl.Block b, String key, double otherwise, double least, double most) throws Hcl.Invalid {
        Hcl.Value v = b.value(key);
        double figure = v == null ? otherwise : quantity.of(v);
        if (!(figure >= least && figure <= most)) {
            throw v.invalid("is out of range: " + figure + " is not from " + least + " to " + most);
        }
        return figure;
    }

    private static String word(Hcl.Block b, String key, String otherwise, Collection<String> known) throws Hcl.Invalid {
        Hcl.Value v = b.value(key);
        String word = v == null ? otherwise : v.text();
        if (known != null && !known.contains(word)) {
            throw v.invalid("names " + word + ", which is not a known value" + Hcl.near(word, known));
        }
        return word;
    }

    private static Set<String> namesOf(Hcl.Block b, String key, Collection<String> known) throws Hcl.Invalid {
        Hcl.Value v = b.value(key);
        Set<String> names = new LinkedHashSet<>(v == null ? List.of() : v.texts());
        for (String name : names) {
            if (!known.contains(name)) {
                throw v.invalid("names " + name + ", which nothing defines" + Hcl.near(name, known));
            }
        }
        return names;
    }

    private interface Word<T> {
        String of(T value);
    }

    private static <T> T find(Hcl.Value v, T[] all, Word<T> word, String what) throws Hcl.Invalid {
        return find(v, v.text(), all, word, what);
    }

    private static <T> T find(Hcl.Value v, String text, T[] all, Word<T> word, String what) throws Hcl.Invalid {
        T found = find(text, all, word);
        if (found == null) {
            throw v.invalid("names " + text + ", which is not a value of " + what + near(text, all, word));
        }
        return found;
    }

    private static <T> T find(Hcl.Block b, String text, T[] all, Word<T> word, String what) throws Hcl.Invalid {
        T found = find(text, all, word);
        if (found == null) {
            throw b.invalid("\"" + text + "\" is not a value of " + what + near(text, all, word));
        }
        return found;
    }

    private static <T> T find(String text, T[] all, Word<T> word) {
        return Arrays.stream(all)
                .filter(t -> word.of(t).equals(text))
                .findFirst()
                .orElse(null);
    }

    private static <T> String near(String text, T[] all, Word<T> word) {
        return Hcl.near(text, Arrays.stream(all).map(word::of).toList());
    }
}
