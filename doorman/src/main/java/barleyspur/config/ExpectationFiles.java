package barleyspur.config;

import barleyspur.decision.RoutingPolicy;
import barleyspur.expect.Condition;
import barleyspur.expect.Deployment;
import barleyspur.expect.EventField;
import barleyspur.expect.Expectation;
import barleyspur.expect.Fault;
import barleyspur.expect.FaultScript;
import barleyspur.expect.RoutingEvent;
import barleyspur.expect.Workload;
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

/** Reads files of routing expectations, whose language {@code docs/EXPECTATIONS.md} describes. */
public final class ExpectationFiles {

    /** Where the text of a file comes from: a folder, or a trace that holds it. */
    public interface Texts {
        /** The text of {@code name}, as {@code from} names it; throws where there is none. */
        String read(String from, String name) throws Hcl.Invalid;

        /** The name by which {@code included} of file {@code from} is known from here on. */
        default String resolve(String from, String included) {
            int slash = from.lastIndexOf('/');
            return included.startsWith("/") || slash < 0 ? included : from.substring(0, slash + 1) + included;
        }
    }

    /**
     * What the files say.
     *
     * @param fleets described fleets, to be checked beside the configuration's own
     * @param loads  the loads to play at, one after another
     * @param depth  how long orders of events are that are all played; 0: not said
     * @param texts  the files' texts by name, for traces
     */
    public record Read(
            List<Expectation> expectations,
            List<Deployment> fleets,
            List<Workload> loads,
            List<FaultScript> cases,
            int depth,
            Map<String, String> texts) {}

    private final Texts texts;
    private final Deployment site;
    private final Map<String, String> read = new LinkedHashMap<>();
    private final List<Hcl.Block> files = new ArrayList<>();
    private final Map<String, Double> names = new HashMap<>();
    private final Quantity quantity = new Quantity(names);
    private final List<Deployment> fleets = new ArrayList<>();
    private final List<FaultScript> cases = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();
    private final List<Workload> loads = new ArrayList<>();
    private int depth;

    private ExpectationFiles(Texts texts, Deployment site) {
        this.texts = texts;
        this.site = site;
    }

    /**
     * Reads files and what they include.
     *
     * @param site the configuration's own fleet, whose settings give the names of figures their values
     */
    public static Read read(List<String> names, Texts texts, Deployment site) throws Hcl.Invalid {
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

    /** The settings' figures by the names that expectations use. */
    static Map<String, Double> figures(Deployment site) {
        RoutingPolicy.Settings s = site.sharedSettings();
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
        figures.put("doormans", (double) site.doormanSettings().size());
        for (int i = 0; i < site.classNames().size(); i++) {
            RoutingPolicy.RequestClass c = s.classes().get(i);
            figures.put("aim." + site.classNames().get(i), c.aimMs());
            figures.put("deadline." + site.classNames().get(i), c.deadlineMs());
            figures.put("fresh." + site.classNames().get(i), c.freshMs());
            figures.put("stale." + site.classNames().get(i), c.freshMs() + c.graceMs());
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

    /** Shared things first, whatever file they stand in, then the expectations that name them. */
    private void understand() throws Hcl.Invalid {
        for (Hcl.Block root : files) {
            root.close(List.of("let", "fleet", "load", "case", "explore", "expectation"));
            for (Hcl.Block let : root.blocks("let")) {
                for (Hcl.Value v : let.values()) {
                    if (names.put(v.key(), quantity.of(v)) != null) {
                        throw v.invalid("is defined already");
                    }
                }
                let.close(List.of());
            }
        }
        Set<String> seen = new HashSet<>();
        for (Hcl.Block root : files) {
            for (Hcl.Block b : root.blocks()) {
                if (!b.type().equals("let") && !b.type().equals("explore") && !seen.add(b.type() + b.label())) {
                    throw b.invalid("\"" + b.label() + "\" stands twice");
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

    // ---- shared things ---------------------------------------------------------------------------------

    private Deployment fleet(Hcl.Block b) throws Hcl.Invalid {
        int stations = (int) figure(b, "stations", 1, 1, 10_000);
        int caches = (int) figure(b, "caches", 3, 1, 10_000);
        int districts = (int) figure(b, "district_caches", 2, 0, 10_000);
        int offices = (int) figure(b, "head_offices", 1, 0, 8);
        int doormans = (int) figure(b, "doormans", 2, 1, 1_000);
        double size = figure(b, "size", 8, 0.1, 1e6);
        String cacheModel = word(b, "model", modelOf(Deployment.Role.CACHE), site.modelNames());
        b.close(List.of());
        List<String> zones = new ArrayList<>(List.of("central"));
        List<Box> boxes = new ArrayList<>();
        List<Integer> doormanZones = new ArrayList<>();
        for (int z = 1; z <= stations; z++) {
            zones.add("station-" + z);
            for (int i = 1; i <= caches; i++) {
                boxes.add(new Box("cache-" + z + "-" + i, z, site.modelNames().indexOf(cacheModel), size));
            }
            for (int i = 0; i < doormans; i++) {
                doormanZones.add(z);
            }
        }
        for (int i = 1; i <= districts; i++) {
            boxes.add(new Box(
                    "district-" + i, 0, site.sharedSettings().parentKind(), size * caches * stations / districts));
        }
        for (int i = 1; i <= offices; i++) {
            boxes.add(new Box("head-office-" + i, 0, site.sharedSettings().originKind(), size * caches * stations * 4));
        }
        return Sites.described(b.label(), site, zones, doormanZones, boxes);
    }

    /** A box of a described fleet, before it has a number. */
    record Box(String uid, int zone, int kind, double size) {}

    private String modelOf(Deployment.Role role) {
        for (int kind = 0; kind < site.modelNames().size(); kind++) {
            boolean fits = kind != site.sharedSettings().parentKind()
                    && kind != site.sharedSettings().originKind();
            if (fits == (role == Deployment.Role.CACHE)) {
                return site.modelNames().get(kind);
            }
        }
        return site.modelNames().get(0);
    }

    private Workload load(Hcl.Block b) throws Hcl.Invalid {
        Workload usual = Workload.defaultFor(site.sharedSettings());
        List<Workload.ClassShare> classes = new ArrayList<>(usual.classes());
        for (Hcl.Block c : b.blocks("class")) {
            int place = site.classNames().indexOf(c.label());
            if (place < 0) {
                throw c.invalid("\"" + c.label() + "\" is no class" + Hcl.near(c.label(), site.classNames()));
            }
            classes.set(
                    place,
                    new Workload.ClassShare(
                            figure(c, "share", classes.get(place).share(), 0, 1e6),
                            figure(c, "work", classes.get(place).workMs(), 0.01, 1e6)));
            c.close(List.of());
        }
        Hcl.Value marks = b.value("marks_retries");
        int objects = (int) figure(b, "objects", usual.objectCount(), 1, 1 << 19);
        Workload read = new Workload(
                b.label(),
                figure(b, "utilisation", usual.utilisation(), 0.01, 10),
                figure(b, "length", usual.durationMs(), 100, 600_000),
                (int) figure(b, "requests", usual.maxRequests(), 1, 1e6),
                objects,
                (int) figure(b, "hot", Math.min(objects, usual.hotObjectCount()), 0, objects),
                figure(b, "once", usual.singleUseShare(), 0, 1),
                (int) figure(b, "retries", usual.maxRetries(), 0, 10),
                marks != null && marks.flag(),
                classes);
        b.close(List.of("class"));
        if (classes.stream().allMatch(c -> c.share() == 0)) {
            throw b.invalid("asks for nothing: every class has share 0");
        }
        return read;
    }

    private FaultScript aCase(Hcl.Block b) throws Hcl.Invalid {
        List<FaultScript.ScriptedFault> steps = new ArrayList<>();
        for (Hcl.Block e : b.blocks("event")) {
            Fault.Kind kind = find(e, e.label(), Fault.Kind.values(), Fault.Kind::label, "event");
            Hcl.Value at = e.value("at");
            if (at == null) {
                throw e.invalid("has no key at");
            }
            Hcl.Value told = e.value("told");
            Condition.Range delay = told == null ? new Condition.Range(300, false, 300, false) : quantity.range(told);
            Hcl.Value boxes = e.value("boxes");
            boolean all = boxes != null && "all".equals(boxes.value());
            Hcl.Value role = e.value("kind");
            steps.add(new FaultScript.ScriptedFault(
                    kind,
                    role == null ? null : find(role, Deployment.Role.values(), Deployment.Role::label, "kind"),
                    word(e, "station", "", null),
                    word(e, "box", "", null),
                    all ? Integer.MAX_VALUE : (int) figure(e, "boxes", 1, 1, 1e6),
                    quantity.of(at),
                    delay.min(),
                    delay.max(),
                    figure(e, "lasts", 5_000, 0, 1e9),
                    figure(e, "size", kind.defaultMagnitude(), 0, 1e12)));
            e.close(List.of());
        }
        b.close(List.of("event"));
        return new FaultScript(b.label(), steps);
    }

    // ---- expectations ----------------------------------------------------------------------------------

    private static final List<String> FORMS = List.of("must", "never", "share", "eventually", "count", "settings");

    private Expectation expectation(Hcl.Block b) throws Hcl.Invalid {
        String about = word(b, "about", "", null);
        Set<String> fleetNames =
                new LinkedHashSet<>(fleets.stream().map(Deployment::name).toList());
        fleetNames.add(site.name());
        Set<String> inFleets = namesOf(b, "fleets", fleetNames);
        Set<String> inCases =
                namesOf(b, "cases", cases.stream().map(FaultScript::name).toList());
        Set<String> atLoads =
                namesOf(b, "loads", loads.stream().map(Workload::name).toList());
        List<Condition> given = new ArrayList<>();
        for (Hcl.Block g : b.blocks("given")) {
            given.add(condition(g));
        }
        List<Hcl.Block> forms =
                b.blocks().stream().filter(f -> FORMS.contains(f.type())).toList();
        Set<String> types = new HashSet<>(forms.stream().map(Hcl.Block::type).toList());
        Expectation.Window after = null;
        for (Hcl.Block a : b.blocks("after")) {
            after = after(a);
        }
        List<String> known = new ArrayList<>(FORMS);
        known.addAll(List.of("given", "after"));
        b.close(known);
        if (types.size() != 1) {
            throw b.invalid("\"" + b.label() + "\" wants blocks of one of must, never, share, eventually, "
                    + "count and settings");
        }
        if (b.blocks("after").size() > 1 || forms.size() > 1 && !types.contains("must")) {
            throw b.invalid("\"" + b.label() + "\" may have several given and must blocks, one of all others");
        }
        Expectation.Requirement form = form(b, forms);
        if (form instanceof Expectation.Eventually && after == null) {
            throw b.invalid("\"" + b.label() + "\" wants a block after: since when must it come?");
        }
        Expectation e = new Expectation(
                b.label(), about, b.place(), inFleets, inCases, atLoads, new Condition.AllOf(given), form, after);
        kinds(b, e);
        return e;
    }

    private Expectation.Requirement form(Hcl.Block b, List<Hcl.Block> forms) throws Hcl.Invalid {
        Hcl.Block f = forms.get(0);
        switch (f.type()) {
            case "must" -> {
                List<Condition> parts = new ArrayList<>();
                for (Hcl.Block must : forms) {
                    parts.add(condition(must));
                }
                return new Expectation.Must(new Condition.AllOf(parts));
            }
            case "never" -> {
                return new Expectation.Never(condition(f));
            }
            case "share" -> {
                double least = figure(f, "at_least", 0, 0, 1);
                double most = figure(f, "at_most", 1, 0, 1);
                if (f.value("at_least") == null && f.value("at_most") == null) {
                    throw f.invalid("wants a key at_least or at_most");
                }
                return new Expectation.Share(condition(f), least, most);
            }
            case "settings" -> {
                List<Expectation.SettingRange> figures = new ArrayList<>();
                for (Hcl.Value v : f.values()) {
                    Double figure = names.get(v.key());
                    if (figure == null) {
                        throw v.invalid("names no figure of the settings" + Hcl.near(v.key(), names.keySet()));
                    }
                    figures.add(new Expectation.SettingRange(
                            figure, quantity.range(v), v.place(), v.key() + " = " + v.value()));
                }
                f.close(List.of());
                return new Expectation.SettingRanges(figures);
            }
            case "eventually" -> {
                int chances = (int) figure(f, "chances", 20, 1, 1e6);
                return new Expectation.Eventually(condition(f), chances);
            }
            default -> {
                Hcl.Value of = f.value("of");
                Hcl.Value per = f.value("per");
                if (of == null || per == null) {
                    throw f.invalid("wants the keys of and per");
                }
                double least = figure(f, "at_least", 0, 0, 1e9);
                double most = figure(f, "at_most", Double.POSITIVE_INFINITY, 0, Double.POSITIVE_INFINITY);
                return new Expectation.Count(
                        find(of, Expectation.CountedItem.values(), o -> o.name().toLowerCase(), "of"),
                        find(per, Expectation.CountScope.values(), p -> p.name().toLowerCase(), "per"),
                        least,
                        most,
                        condition(f));
            }
        }
    }

    /** An expectation speaks of attempts or of answers: a test of the one says nothing of the other. */
    private static void kinds(Hcl.Block b, Expectation e) throws Hcl.Invalid {
        Set<String> spoken = new HashSet<>();
        tests(e.precondition(), spoken);
        tests(e.requirement().condition(), spoken);
        boolean attempts = spoken.contains("attempt")
                || spoken.contains("target")
                || spoken.contains("source")
                || e.requirement() instanceof Expectation.Count;
        if (attempts && spoken.contains("answer")) {
            throw b.invalid("\"" + b.label() + "\" speaks of attempts and of answers: they are different moments");
        }
    }

    private static void tests(Condition c, Set<String> blocks) {
        if (c instanceof Condition.FieldTest t) {
            blocks.add(t.field().block());
        } else if (c instanceof Condition.AllOf all) {
            all.conditions().forEach(p -> tests(p, blocks));
        } else if (c instanceof Condition.AnyOf either) {
            either.conditions().forEach(p -> tests(p, blocks));
        } else if (c instanceof Condition.Not not) {
            tests(not.condition(), blocks);
        }
    }

    private Condition condition(Hcl.Block b) throws Hcl.Invalid {
        List<Condition> parts = new ArrayList<>();
        List<Condition> either = new ArrayList<>();
        List<String> known = new ArrayList<>(EventField.blockNames());
        known.addAll(List.of("either", "not"));
        for (Hcl.Block inner : b.blocks()) {
            if (EventField.blockNames().contains(inner.type())) {
                parts.addAll(tests(inner));
            } else if (inner.type().equals("either")) {
                either.add(condition(inner));
            } else if (inner.type().equals("not")) {
                parts.add(new Condition.Not(condition(inner)));
            }
        }
        b.close(known);
        if (!either.isEmpty()) {
            parts.add(new Condition.AnyOf(either));
        }
        if (parts.isEmpty()) {
            throw b.invalid("asks for nothing");
        }
        return new Condition.AllOf(parts);
    }

    private List<Condition> tests(Hcl.Block b) throws Hcl.Invalid {
        List<Condition> tests = new ArrayList<>();
        List<EventField> fields = EventField.inBlock(b.type());
        for (Hcl.Value v : b.values()) {
            EventField field = fields.stream()
                    .filter(f -> f.key().equals(v.key()))
                    .findFirst()
                    .orElse(null);
            if (field == null) {
                throw v.invalid("is unknown in block " + b.type()
                        + Hcl.near(v.key(), fields.stream().map(EventField::key).toList()));
            }
            tests.add(new Condition.FieldTest(
                    field, matcher(field, v), v.place(), b.type() + "." + v.key() + " = " + v.value()));
        }
        b.close(List.of());
        if (tests.isEmpty()) {
            throw b.invalid("asks for nothing");
        }
        return tests;
    }

    private Condition.Matcher matcher(EventField field, Hcl.Value v) throws Hcl.Invalid {
        return switch (field.valueType()) {
            case FLAG -> new Condition.BooleanValue(v.flag());
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
                        throw v.invalid("names " + w + ", which is none" + Hcl.near(w, known));
                    }
                }
                yield new Condition.OneOfWords(wanted, not);
            }
        };
    }

    /** The words that a field can have; null where they can't be known. */
    private Collection<String> words(EventField field) {
        return switch (field) {
            case CLASS -> site.classNames();
            case EFFECT ->
                Arrays.stream(RoutingPolicy.Effect.values())
                        .map(e -> e.name().toLowerCase())
                        .toList();
            case OBJECTS -> List.of("hot", "ordinary", "once");
            case TARGET_ROLE, SOURCE_ROLE ->
                Arrays.stream(Deployment.Role.values())
                        .map(Deployment.Role::label)
                        .toList();
            case TARGET_MODEL, SOURCE_MODEL -> site.modelNames();
            case TARGET_STATE, SOURCE_STATE, TARGET_ACTUAL, SOURCE_ACTUAL ->
                Arrays.stream(RoutingEvent.ListedState.values())
                        .map(RoutingEvent.ListedState::label)
                        .toList();
            case TARGET_FAULT, SOURCE_FAULT -> List.of("none", "hang", "slow", "full", "fail");
            case OUTCOME ->
                Arrays.stream(RoutingEvent.TryOutcome.values())
                        .map(RoutingEvent.TryOutcome::label)
                        .toList();
            case REQUEST_STATION, TARGET_STATION, SOURCE_STATION -> {
                Set<String> stations = new LinkedHashSet<>(site.stationNames());
                fleets.forEach(f -> stations.addAll(f.stationNames()));
                yield stations;
            }
            default -> null;
        };
    }

    private Expectation.Window after(Hcl.Block b) throws Hcl.Invalid {
        Set<RoutingEvent.ListedState> told = new LinkedHashSet<>();
        boolean started = false;
        Hcl.Value toldOf = b.value("told");
        for (String w : toldOf == null ? List.<String>of() : toldOf.texts()) {
            if (w.equals("started")) {
                started = true;
            } else {
                told.add(find(toldOf, w, RoutingEvent.ListedState.values(), RoutingEvent.ListedState::label, "told"));
            }
        }
        Set<Fault.Kind> happens = new LinkedHashSet<>();
        Hcl.Value happensOf = b.value("happens");
        for (String w : happensOf == null ? List.<String>of() : happensOf.texts()) {
            happens.add(find(happensOf, w, Fault.Kind.values(), Fault.Kind::label, "happens"));
        }
        Set<Deployment.Role> roles = new LinkedHashSet<>();
        Hcl.Value kind = b.value("kind");
        for (String w : kind == null ? List.<String>of() : kind.texts()) {
            roles.add(find(kind, w, Deployment.Role.values(), Deployment.Role::label, "kind"));
        }
        Set<RoutingEvent.ListedState> until = new LinkedHashSet<>();
        Hcl.Value untilOf = b.value("until");
        for (String w : untilOf == null ? List.<String>of() : untilOf.texts()) {
            until.add(find(untilOf, w, RoutingEvent.ListedState.values(), RoutingEvent.ListedState::label, "until"));
        }
        Hcl.Value own = b.value("own");
        boolean ownOnly = own != null && own.flag();
        Hcl.Value within = b.value("within");
        double from = figure(b, "from", 0, 0, 1e9);
        double by = within == null ? Double.POSITIVE_INFINITY : quantity.of(within);
        b.close(List.of());
        if (told.isEmpty() && !started && happens.isEmpty()) {
            throw b.invalid("wants a key told or happens");
        }
        if (by <= from) {
            throw b.invalid("ends before it begins: within must be more than from");
        }
        return new Expectation.Window(told, started, happens, roles, ownOnly, from, by, until);
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
            throw v.invalid("names " + word + ", which is none" + Hcl.near(word, known));
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
            throw v.invalid("names " + text + ", which is no " + what + near(text, all, word));
        }
        return found;
    }

    private static <T> T find(Hcl.Block b, String text, T[] all, Word<T> word, String what) throws Hcl.Invalid {
        T found = find(text, all, word);
        if (found == null) {
            throw b.invalid("\"" + text + "\" is no " + what + near(text, all, word));
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
