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

/** Parser of the HCL files with routing expectations; {@code docs/EXPECTATIONS.md} describes the language. */
public final class ExpectationFiles {

    /** Source of the files' texts: the file system, or a trace that contains them. */
    public interface SourceLoader {
        /** Returns the text of the file {@code name}, which {@code from} refers to; throws if there is none. */
        String read(String from, String name) throws Hcl.InvalidHclException;

        /** Resolves the name of an included file relative to the file {@code from} that includes it. */
        default String resolve(String from, String included) {
            int slash = from.lastIndexOf('/');
            return included.startsWith("/") || slash < 0 ? included : from.substring(0, slash + 1) + included;
        }
    }

    /**
     * The definitions and expectations of a set of files.
     *
     * @param deployments fleets defined in the files, to be checked in addition to the one of the configuration
     * @param workloads the workloads to simulate, in turn
     * @param maxSequenceLength length up to which all sequences of events are simulated; 0 if not set
     * @param fileTexts the texts of the files by name, to be stored in traces
     */
    public record Definitions(
            List<Expectation> expectations,
            List<Deployment> deployments,
            List<Workload> workloads,
            List<FaultScript> faultScripts,
            int maxSequenceLength,
            Map<String, String> fileTexts) {}

    private final SourceLoader sourceLoader;
    private final Deployment deployment;
    private final Map<String, String> fileTexts = new LinkedHashMap<>();
    private final List<Hcl.Block> rootBlocks = new ArrayList<>();
    private final Map<String, Double> namedValues = new HashMap<>();
    private final QuantityParser quantityParser = new QuantityParser(namedValues);
    private final List<Deployment> deployments = new ArrayList<>();
    private final List<FaultScript> faultScripts = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();
    private final List<Workload> workloads = new ArrayList<>();
    private int maxSequenceLength;

    private ExpectationFiles(SourceLoader sourceLoader, Deployment deployment) {
        this.sourceLoader = sourceLoader;
        this.deployment = deployment;
    }

    /**
     * Reads files and the files that they include.
     *
     * @param deployment the fleet of the configuration; its settings define the values that expectations can refer to
     */
    public static Definitions read(List<String> fileNames, SourceLoader sourceLoader, Deployment deployment)
            throws Hcl.InvalidHclException {
        ExpectationFiles reader = new ExpectationFiles(sourceLoader, deployment);
        reader.namedValues.putAll(numericSettings(deployment));
        for (String name : fileNames) {
            reader.readFile(name, name);
        }
        reader.parseDefinitions();
        return new Definitions(
                List.copyOf(reader.expectations),
                List.copyOf(reader.deployments),
                List.copyOf(reader.workloads),
                List.copyOf(reader.faultScripts),
                reader.maxSequenceLength,
                reader.fileTexts);
    }

    /** Returns the numeric settings by the names that expectations use for them. */
    static Map<String, Double> numericSettings(Deployment deployment) {
        RoutingPolicy.Settings settings = deployment.sharedSettings();
        Map<String, Double> values = new LinkedHashMap<>();
        values.put("drain_grace", settings.drainGraceMs());
        values.put("purge_grace", settings.purgeGraceMs());
        values.put("purge_done", settings.purgeCompleteMs());
        values.put("answer_slack", settings.answerSlackMs());
        values.put("tick", settings.tickMs());
        values.put("fall_span", settings.overloadSpanMs());
        values.put("cache_warm", settings.coldCache().warmAfterMs());
        values.put("parent_warm", settings.coldParent().warmAfterMs());
        values.put("longest_w", settings.maxRetryAfterMs());
        values.put("most_attempts", (double) settings.maxAttempts());
        values.put("doormans", (double) deployment.doormanSettings().size());
        for (int i = 0; i < deployment.classNames().size(); i++) {
            RoutingPolicy.RequestClass requestClass = settings.classes().get(i);
            values.put("aim." + deployment.classNames().get(i), requestClass.aimMs());
            values.put("deadline." + deployment.classNames().get(i), requestClass.deadlineMs());
            values.put("fresh." + deployment.classNames().get(i), requestClass.freshMs());
            values.put("stale." + deployment.classNames().get(i), requestClass.freshMs() + requestClass.graceMs());
        }
        return values;
    }

    private void readFile(String from, String name) throws Hcl.InvalidHclException {
        if (fileTexts.containsKey(name)) {
            return;
        }
        String text = sourceLoader.read(from, name);
        fileTexts.put(name, text);
        Hcl.Block root = Hcl.read(name, text);
        rootBlocks.add(root);
        Hcl.Value include = root.value("include");
        if (include != null) {
            for (String other : include.asStrings()) {
                readFile(include.location(), sourceLoader.resolve(name, other));
            }
        }
    }

    /**
     * Parses the shared definitions of all files first and then the expectations, since an expectation may refer to a
     * definition in any file.
     */
    private void parseDefinitions() throws Hcl.InvalidHclException {
        for (Hcl.Block root : rootBlocks) {
            root.rejectUnknown(List.of("let", "fleet", "load", "case", "explore", "expectation"));
            for (Hcl.Block let : root.blocks("let")) {
                for (Hcl.Value value : let.values()) {
                    if (namedValues.put(value.key(), quantityParser.parse(value)) != null) {
                        throw value.invalid("is already defined");
                    }
                }
                let.rejectUnknown(List.of());
            }
        }
        Set<String> definedNames = new HashSet<>();
        for (Hcl.Block root : rootBlocks) {
            for (Hcl.Block block : root.blocks()) {
                if (!block.type().equals("let")
                        && !block.type().equals("explore")
                        && !definedNames.add(block.type() + block.label())) {
                    throw block.invalid("\"" + block.label() + "\" is defined twice");
                }
            }
            for (Hcl.Block block : root.blocks("fleet")) {
                deployments.add(parseDeployment(block));
            }
            for (Hcl.Block block : root.blocks("case")) {
                faultScripts.add(parseFaultScript(block));
            }
            for (Hcl.Block block : root.blocks("load")) {
                workloads.add(parseWorkload(block));
            }
            for (Hcl.Block block : root.blocks("explore")) {
                maxSequenceLength = (int) parseNumber(block, "depth", 1, 1, 6);
                block.rejectUnknown(List.of());
            }
        }
        for (Hcl.Block root : rootBlocks) {
            for (Hcl.Block block : root.blocks("expectation")) {
                expectations.add(parseExpectation(block));
            }
        }
    }

    // ---- shared definitions ----------------------------------------------------------------------------

    private Deployment parseDeployment(Hcl.Block block) throws Hcl.InvalidHclException {
        int stations = (int) parseNumber(block, "stations", 1, 1, 10_000);
        int caches = (int) parseNumber(block, "caches", 3, 1, 10_000);
        int districts = (int) parseNumber(block, "district_caches", 2, 0, 10_000);
        int headOffices = (int) parseNumber(block, "head_offices", 1, 0, 8);
        int doormans = (int) parseNumber(block, "doormans", 2, 1, 1_000);
        double size = parseNumber(block, "size", 8, 0.1, 1e6);
        String cacheModel = parseText(block, "model", defaultModel(Deployment.Role.CACHE), deployment.modelNames());
        block.rejectUnknown(List.of());
        List<String> zones = new ArrayList<>(List.of("central"));
        List<BoxDefinition> boxes = new ArrayList<>();
        List<Integer> doormanZones = new ArrayList<>();
        for (int zone = 1; zone <= stations; zone++) {
            zones.add("station-" + zone);
            for (int i = 1; i <= caches; i++) {
                boxes.add(new BoxDefinition(
                        "cache-" + zone + "-" + i, zone, deployment.modelNames().indexOf(cacheModel), size));
            }
            for (int i = 0; i < doormans; i++) {
                doormanZones.add(zone);
            }
        }
        for (int i = 1; i <= districts; i++) {
            boxes.add(new BoxDefinition(
                    "district-" + i,
                    0,
                    deployment.sharedSettings().parentKind(),
                    size * caches * stations / districts));
        }
        for (int i = 1; i <= headOffices; i++) {
            boxes.add(new BoxDefinition(
                    "head-office-" + i, 0, deployment.sharedSettings().originKind(), size * caches * stations * 4));
        }
        return Deployments.withSettingsOf(block.label(), deployment, zones, doormanZones, boxes);
    }

    /** A box of a fleet defined in a file, before it is assigned a node number. */
    record BoxDefinition(String uid, int zone, int kind, double size) {}

    private String defaultModel(Deployment.Role role) {
        for (int kind = 0; kind < deployment.modelNames().size(); kind++) {
            boolean fits = kind != deployment.sharedSettings().parentKind()
                    && kind != deployment.sharedSettings().originKind();
            if (fits == (role == Deployment.Role.CACHE)) {
                return deployment.modelNames().get(kind);
            }
        }
        return deployment.modelNames().get(0);
    }

    private Workload parseWorkload(Hcl.Block block) throws Hcl.InvalidHclException {
        Workload defaultWorkload = Workload.defaultFor(deployment.sharedSettings());
        List<Workload.ClassShare> classes = new ArrayList<>(defaultWorkload.classes());
        for (Hcl.Block classBlock : block.blocks("class")) {
            int classIndex = deployment.classNames().indexOf(classBlock.label());
            if (classIndex < 0) {
                throw classBlock.invalid("\"" + classBlock.label() + "\" is not a class"
                        + Hcl.suggestion(classBlock.label(), deployment.classNames()));
            }
            classes.set(
                    classIndex,
                    new Workload.ClassShare(
                            parseNumber(
                                    classBlock, "share", classes.get(classIndex).share(), 0, 1e6),
                            parseNumber(
                                    classBlock, "work", classes.get(classIndex).workMs(), 0.01, 1e6)));
            classBlock.rejectUnknown(List.of());
        }
        Hcl.Value marksRetries = block.value("marks_retries");
        int objects = (int) parseNumber(block, "objects", defaultWorkload.objectCount(), 1, 1 << 19);
        Workload workload = new Workload(
                block.label(),
                parseNumber(block, "utilisation", defaultWorkload.utilisation(), 0.01, 10),
                parseNumber(block, "length", defaultWorkload.durationMs(), 100, 600_000),
                (int) parseNumber(block, "requests", defaultWorkload.maxRequests(), 1, 1e6),
                objects,
                (int) parseNumber(block, "hot", Math.min(objects, defaultWorkload.hotObjectCount()), 0, objects),
                parseNumber(block, "once", defaultWorkload.singleUseShare(), 0, 1),
                (int) parseNumber(block, "retries", defaultWorkload.maxRetries(), 0, 10),
                marksRetries != null && marksRetries.asBoolean(),
                classes);
        block.rejectUnknown(List.of("class"));
        if (classes.stream().allMatch(entry -> entry.share() == 0)) {
            throw block.invalid("has no requests: every class has share 0");
        }
        return workload;
    }

    private FaultScript parseFaultScript(Hcl.Block block) throws Hcl.InvalidHclException {
        List<FaultScript.ScriptedFault> steps = new ArrayList<>();
        for (Hcl.Block event : block.blocks("event")) {
            Fault.Kind kind = findByKeyword(event, event.label(), Fault.Kind.values(), Fault.Kind::label, "event");
            Hcl.Value at = event.value("at");
            if (at == null) {
                throw event.invalid("has no key at");
            }
            Hcl.Value listDelay = event.value("told");
            Condition.Range delay = listDelay == null
                    ? new Condition.Range(300, false, 300, false)
                    : quantityParser.parseRange(listDelay);
            Hcl.Value boxes = event.value("boxes");
            boolean allBoxes = boxes != null && "all".equals(boxes.value());
            Hcl.Value role = event.value("kind");
            steps.add(new FaultScript.ScriptedFault(
                    kind,
                    role == null ? null : findByKeyword(role, Deployment.Role.values(), Deployment.Role::label, "kind"),
                    parseText(event, "station", "", null),
                    parseText(event, "box", "", null),
                    allBoxes ? Integer.MAX_VALUE : (int) parseNumber(event, "boxes", 1, 1, 1e6),
                    quantityParser.parse(at),
                    delay.min(),
                    delay.max(),
                    parseNumber(event, "lasts", 5_000, 0, 1e9),
                    parseNumber(event, "size", kind.defaultMagnitude(), 0, 1e12)));
            event.rejectUnknown(List.of());
        }
        block.rejectUnknown(List.of("event"));
        return new FaultScript(block.label(), steps);
    }

    // ---- expectations ----------------------------------------------------------------------------------

    private static final List<String> REQUIREMENT_TYPES =
            List.of("must", "never", "share", "eventually", "count", "settings");

    private Expectation parseExpectation(Hcl.Block block) throws Hcl.InvalidHclException {
        String description = parseText(block, "about", "", null);
        Set<String> fleetNames =
                new LinkedHashSet<>(deployments.stream().map(Deployment::name).toList());
        fleetNames.add(deployment.name());
        Set<String> inFleets = parseNames(block, "fleets", fleetNames);
        Set<String> inCases = parseNames(
                block, "cases", faultScripts.stream().map(FaultScript::name).toList());
        Set<String> atLoads = parseNames(
                block, "loads", workloads.stream().map(Workload::name).toList());
        List<Condition> given = new ArrayList<>();
        for (Hcl.Block givenBlock : block.blocks("given")) {
            given.add(parseCondition(givenBlock));
        }
        List<Hcl.Block> requirementBlocks = block.blocks().stream()
                .filter(f -> REQUIREMENT_TYPES.contains(f.type()))
                .toList();
        Set<String> types =
                new HashSet<>(requirementBlocks.stream().map(Hcl.Block::type).toList());
        Expectation.Window window = null;
        for (Hcl.Block afterBlock : block.blocks("after")) {
            window = parseWindow(afterBlock);
        }
        List<String> knownTypes = new ArrayList<>(REQUIREMENT_TYPES);
        knownTypes.addAll(List.of("given", "after"));
        block.rejectUnknown(knownTypes);
        if (types.size() != 1) {
            throw block.invalid(
                    "\"" + block.label() + "\" needs blocks of exactly one of the types must, never, share, "
                            + "eventually, count and settings");
        }
        if (block.blocks("after").size() > 1 || requirementBlocks.size() > 1 && !types.contains("must")) {
            throw block.invalid(
                    "\"" + block.label() + "\" may have several given and must blocks, but only one of any other type");
        }
        Expectation.Requirement requirement = parseRequirement(block, requirementBlocks);
        if (requirement instanceof Expectation.Eventually && window == null) {
            throw block.invalid("\"" + block.label() + "\" needs a block after, which defines when eventually starts");
        }
        Expectation expectation = new Expectation(
                block.label(),
                description,
                block.location(),
                inFleets,
                inCases,
                atLoads,
                new Condition.AllOf(given),
                requirement,
                window);
        rejectMixedEventKinds(block, expectation);
        return expectation;
    }

    private Expectation.Requirement parseRequirement(Hcl.Block block, List<Hcl.Block> requirementBlocks)
            throws Hcl.InvalidHclException {
        Hcl.Block first = requirementBlocks.get(0);
        switch (first.type()) {
            case "must" -> {
                List<Condition> parts = new ArrayList<>();
                for (Hcl.Block must : requirementBlocks) {
                    parts.add(parseCondition(must));
                }
                return new Expectation.Must(new Condition.AllOf(parts));
            }
            case "never" -> {
                return new Expectation.Never(parseCondition(first));
            }
            case "share" -> {
                double least = parseNumber(first, "at_least", 0, 0, 1);
                double most = parseNumber(first, "at_most", 1, 0, 1);
                if (first.value("at_least") == null && first.value("at_most") == null) {
                    throw first.invalid("needs a key at_least or at_most");
                }
                return new Expectation.Share(parseCondition(first), least, most);
            }
            case "settings" -> {
                List<Expectation.SettingRange> ranges = new ArrayList<>();
                for (Hcl.Value value : first.values()) {
                    Double number = namedValues.get(value.key());
                    if (number == null) {
                        throw value.invalid("is not the name of a numeric setting"
                                + Hcl.suggestion(value.key(), namedValues.keySet()));
                    }
                    ranges.add(new Expectation.SettingRange(
                            number,
                            quantityParser.parseRange(value),
                            value.location(),
                            value.key() + " = " + value.value()));
                }
                first.rejectUnknown(List.of());
                return new Expectation.SettingRanges(ranges);
            }
            case "eventually" -> {
                int chances = (int) parseNumber(first, "chances", 20, 1, 1e6);
                return new Expectation.Eventually(parseCondition(first), chances);
            }
            default -> {
                Hcl.Value of = first.value("of");
                Hcl.Value per = first.value("per");
                if (of == null || per == null) {
                    throw first.invalid("needs the keys of and per");
                }
                double least = parseNumber(first, "at_least", 0, 0, 1e9);
                double most = parseNumber(first, "at_most", Double.POSITIVE_INFINITY, 0, Double.POSITIVE_INFINITY);
                return new Expectation.Count(
                        findByKeyword(
                                of,
                                Expectation.CountedItem.values(),
                                o -> o.name().toLowerCase(),
                                "of"),
                        findByKeyword(
                                per,
                                Expectation.CountScope.values(),
                                p -> p.name().toLowerCase(),
                                "per"),
                        least,
                        most,
                        parseCondition(first));
            }
        }
    }

    /** Rejects an expectation that tests both attempts and answers, since no event has the fields of both. */
    private static void rejectMixedEventKinds(Hcl.Block block, Expectation expectation) throws Hcl.InvalidHclException {
        Set<String> testedBlocks = new HashSet<>();
        collectBlockTypes(expectation.precondition(), testedBlocks);
        collectBlockTypes(expectation.requirement().condition(), testedBlocks);
        boolean testsAttempts = testedBlocks.contains("attempt")
                || testedBlocks.contains("target")
                || testedBlocks.contains("source")
                || expectation.requirement() instanceof Expectation.Count;
        if (testsAttempts && testedBlocks.contains("answer")) {
            throw block.invalid(
                    "\"" + block.label() + "\" tests both attempts and answers, which are different events");
        }
    }

    private static void collectBlockTypes(Condition condition, Set<String> blocks) {
        if (condition instanceof Condition.FieldTest test) {
            blocks.add(test.field().block());
        } else if (condition instanceof Condition.AllOf all) {
            all.conditions().forEach(p -> collectBlockTypes(p, blocks));
        } else if (condition instanceof Condition.AnyOf either) {
            either.conditions().forEach(p -> collectBlockTypes(p, blocks));
        } else if (condition instanceof Condition.Not not) {
            collectBlockTypes(not.condition(), blocks);
        }
    }

    private Condition parseCondition(Hcl.Block block) throws Hcl.InvalidHclException {
        List<Condition> parts = new ArrayList<>();
        List<Condition> either = new ArrayList<>();
        List<String> known = new ArrayList<>(EventField.blockNames());
        known.addAll(List.of("either", "not"));
        for (Hcl.Block inner : block.blocks()) {
            if (EventField.blockNames().contains(inner.type())) {
                parts.addAll(parseFieldTests(inner));
            } else if (inner.type().equals("either")) {
                either.add(parseCondition(inner));
            } else if (inner.type().equals("not")) {
                parts.add(new Condition.Not(parseCondition(inner)));
            }
        }
        block.rejectUnknown(known);
        if (!either.isEmpty()) {
            parts.add(new Condition.AnyOf(either));
        }
        if (parts.isEmpty()) {
            throw block.invalid("has no conditions");
        }
        return new Condition.AllOf(parts);
    }

    private List<Condition> parseFieldTests(Hcl.Block block) throws Hcl.InvalidHclException {
        List<Condition> tests = new ArrayList<>();
        List<EventField> fields = EventField.inBlock(block.type());
        for (Hcl.Value value : block.values()) {
            EventField field = fields.stream()
                    .filter(f -> f.key().equals(value.key()))
                    .findFirst()
                    .orElse(null);
            if (field == null) {
                throw value.invalid("is unknown in block " + block.type()
                        + Hcl.suggestion(
                                value.key(),
                                fields.stream().map(EventField::key).toList()));
            }
            tests.add(new Condition.FieldTest(
                    field,
                    parseMatcher(field, value),
                    value.location(),
                    block.type() + "." + value.key() + " = " + value.value()));
        }
        block.rejectUnknown(List.of());
        if (tests.isEmpty()) {
            throw block.invalid("has no conditions");
        }
        return tests;
    }

    private Condition.Matcher parseMatcher(EventField field, Hcl.Value value) throws Hcl.InvalidHclException {
        return switch (field.valueType()) {
            case FLAG -> new Condition.BooleanValue(value.asBoolean());
            case NUMBER, TIME -> quantityParser.parseRange(value);
            case WORD -> {
                List<String> words = value.asStrings();
                boolean negated = !words.isEmpty() && words.stream().allMatch(word -> word.startsWith("!"));
                Set<String> wanted = new LinkedHashSet<>();
                for (String word : words) {
                    wanted.add(negated ? word.substring(1) : word);
                }
                Collection<String> known = allowedWords(field);
                for (String word : wanted) {
                    if (known != null && !known.contains(word)) {
                        throw value.invalid(
                                "names " + word + ", which is not a known value" + Hcl.suggestion(word, known));
                    }
                }
                yield new Condition.OneOfWords(wanted, negated);
            }
        };
    }

    /** Returns the allowed values of a field, or null if they aren't known in advance. */
    private Collection<String> allowedWords(EventField field) {
        return switch (field) {
            case CLASS -> deployment.classNames();
            case EFFECT ->
                Arrays.stream(RoutingPolicy.Effect.values())
                        .map(e -> e.name().toLowerCase())
                        .toList();
            case OBJECTS -> List.of("hot", "ordinary", "once");
            case TARGET_ROLE, SOURCE_ROLE ->
                Arrays.stream(Deployment.Role.values())
                        .map(Deployment.Role::label)
                        .toList();
            case TARGET_MODEL, SOURCE_MODEL -> deployment.modelNames();
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
                Set<String> stations = new LinkedHashSet<>(deployment.stationNames());
                deployments.forEach(f -> stations.addAll(f.stationNames()));
                yield stations;
            }
            default -> null;
        };
    }

    private Expectation.Window parseWindow(Hcl.Block block) throws Hcl.InvalidHclException {
        Set<RoutingEvent.ListedState> told = new LinkedHashSet<>();
        boolean started = false;
        Hcl.Value toldOf = block.value("told");
        for (String word : toldOf == null ? List.<String>of() : toldOf.asStrings()) {
            if (word.equals("started")) {
                started = true;
            } else {
                told.add(findByKeyword(
                        toldOf, word, RoutingEvent.ListedState.values(), RoutingEvent.ListedState::label, "told"));
            }
        }
        Set<Fault.Kind> happens = new LinkedHashSet<>();
        Hcl.Value happensOf = block.value("happens");
        for (String word : happensOf == null ? List.<String>of() : happensOf.asStrings()) {
            happens.add(findByKeyword(happensOf, word, Fault.Kind.values(), Fault.Kind::label, "happens"));
        }
        Set<Deployment.Role> roles = new LinkedHashSet<>();
        Hcl.Value kind = block.value("kind");
        for (String word : kind == null ? List.<String>of() : kind.asStrings()) {
            roles.add(findByKeyword(kind, word, Deployment.Role.values(), Deployment.Role::label, "kind"));
        }
        Set<RoutingEvent.ListedState> until = new LinkedHashSet<>();
        Hcl.Value untilOf = block.value("until");
        for (String word : untilOf == null ? List.<String>of() : untilOf.asStrings()) {
            until.add(findByKeyword(
                    untilOf, word, RoutingEvent.ListedState.values(), RoutingEvent.ListedState::label, "until"));
        }
        Hcl.Value own = block.value("own");
        boolean ownOnly = own != null && own.asBoolean();
        Hcl.Value within = block.value("within");
        double fromMs = parseNumber(block, "from", 0, 0, 1e9);
        double withinMs = within == null ? Double.POSITIVE_INFINITY : quantityParser.parse(within);
        block.rejectUnknown(List.of());
        if (told.isEmpty() && !started && happens.isEmpty()) {
            throw block.invalid("needs a key told or happens");
        }
        if (withinMs <= fromMs) {
            throw block.invalid("ends before it begins: within must be greater than from");
        }
        return new Expectation.Window(told, started, happens, roles, ownOnly, fromMs, withinMs, until);
    }

    // ---- values ----------------------------------------------------------------------------------------

    private double parseNumber(Hcl.Block block, String key, double defaultValue, double min, double max)
            throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        double number = value == null ? defaultValue : quantityParser.parse(value);
        if (!(number >= min && number <= max)) {
            throw value.invalid("is out of range: " + number + " is not from " + min + " to " + max);
        }
        return number;
    }

    private static String parseText(Hcl.Block block, String key, String defaultValue, Collection<String> known)
            throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        String word = value == null ? defaultValue : value.asString();
        if (known != null && !known.contains(word)) {
            throw value.invalid("names " + word + ", which is not a known value" + Hcl.suggestion(word, known));
        }
        return word;
    }

    private static Set<String> parseNames(Hcl.Block block, String key, Collection<String> known)
            throws Hcl.InvalidHclException {
        Hcl.Value value = block.value(key);
        Set<String> names = new LinkedHashSet<>(value == null ? List.of() : value.asStrings());
        for (String name : names) {
            if (!known.contains(name)) {
                throw value.invalid("names " + name + ", which nothing defines" + Hcl.suggestion(name, known));
            }
        }
        return names;
    }

    private interface KeywordGetter<T> {
        String getKeyword(T value);
    }

    private static <T> T findByKeyword(Hcl.Value value, T[] all, KeywordGetter<T> keywordGetter, String what)
            throws Hcl.InvalidHclException {
        return findByKeyword(value, value.asString(), all, keywordGetter, what);
    }

    private static <T> T findByKeyword(
            Hcl.Value value, String text, T[] all, KeywordGetter<T> keywordGetter, String what)
            throws Hcl.InvalidHclException {
        T found = findByKeyword(text, all, keywordGetter);
        if (found == null) {
            throw value.invalid(
                    "names " + text + ", which is not a value of " + what + suggestion(text, all, keywordGetter));
        }
        return found;
    }

    private static <T> T findByKeyword(
            Hcl.Block block, String text, T[] all, KeywordGetter<T> keywordGetter, String what)
            throws Hcl.InvalidHclException {
        T found = findByKeyword(text, all, keywordGetter);
        if (found == null) {
            throw block.invalid("\"" + text + "\" is not a value of " + what + suggestion(text, all, keywordGetter));
        }
        return found;
    }

    private static <T> T findByKeyword(String text, T[] all, KeywordGetter<T> keywordGetter) {
        return Arrays.stream(all)
                .filter(t -> keywordGetter.getKeyword(t).equals(text))
                .findFirst()
                .orElse(null);
    }

    private static <T> String suggestion(String text, T[] all, KeywordGetter<T> keywordGetter) {
        return Hcl.suggestion(
                text, Arrays.stream(all).map(keywordGetter::getKeyword).toList());
    }
}
