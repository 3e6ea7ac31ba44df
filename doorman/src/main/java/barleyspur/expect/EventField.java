package barleyspur.expect;

import barleyspur.expect.Condition.EventKind;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.Function;

/** Everything that a test can ask of a moment, by the block it stands in and its key. */
public enum EventField {
    CLASS("request", "class", ValueType.WORD, EventKind.ANY, ofTry(a -> a.className())),
    EFFECT("request", "effect", ValueType.WORD, EventKind.ANY, ofTry(a -> a.requestClass()
            .effect()
            .name()
            .toLowerCase(Locale.ROOT))),
    REQUEST_STATION("request", "station", ValueType.WORD, EventKind.ANY, ofTry(a -> a.station())),
    OBJECTS("request", "objects", ValueType.WORD, EventKind.ANY, ofTry(a -> a.request()
            .objectSet())),
    SIZE("request", "size_kb", ValueType.NUMBER, EventKind.ANY, ofTry(a -> a.request()
            .sizeKb())),
    PART("request", "part", ValueType.NUMBER, EventKind.ANY, ofTry(a ->
            (double) a.request().partIndex())),
    GROUP("request", "group", ValueType.NUMBER, EventKind.ANY, ofTry(a ->
            (double) a.request().groupId())),
    WRITE("request", "write", ValueType.FLAG, EventKind.ANY, ofTry(a -> a.requestClass()
            .write())),
    PARTS("request", "parts", ValueType.FLAG, EventKind.ANY, ofTry(a -> a.requestClass()
            .parts())),
    REPEAT("request", "repeat", ValueType.FLAG, EventKind.ANY, ofTry(a -> a.markedAsRepeat())),
    TRY("request", "try", ValueType.NUMBER, EventKind.ANY, ofTry(a -> (double) a.tryNumber())),
    DOORMAN("request", "doorman", ValueType.NUMBER, EventKind.ANY, ofTry(a ->
            (double) a.request().doormanIndex())),

    NUMBER("attempt", "number", ValueType.NUMBER, EventKind.ATTEMPT, ofAttempt(a -> (double) a.number())),
    SPACING("attempt", "spacing", ValueType.TIME, EventKind.ATTEMPT, ofAttempt(a -> a.sincePreviousMs())),
    OUTSTANDING(
            "attempt", "outstanding", ValueType.NUMBER, EventKind.ATTEMPT, ofAttempt(a -> (double) a.outstanding())),
    MAYBE_RAN("attempt", "maybe_ran", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.maybeRan())),
    AFTER_END("attempt", "after_end", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.afterAnswer())),
    RANK("attempt", "rank", ValueType.NUMBER, EventKind.ATTEMPT, ofAttempt(a -> (double) a.rank())),
    JOIN("attempt", "join", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.join())),
    RENEW("attempt", "renew", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.renew())),
    ONLY_HELD("attempt", "only_held", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.onlyHeld())),
    FILL("attempt", "fill", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.source() != null)),
    MAX_AGE(
            "attempt",
            "max_age",
            ValueType.TIME,
            EventKind.ATTEMPT,
            ofAttempt(a -> a.maxAgeMs() > 0 ? a.maxAgeMs() : null)),
    TAKES_PURGED("attempt", "takes_purged", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(a -> a.allowsPurgedCopy())),
    TIME_LEFT("attempt", "time_left", ValueType.TIME, EventKind.ATTEMPT, ofAttempt(a -> a.timeLeftMs())),

    TARGET_BOX("target", "box", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.box()
            .uid())),
    TARGET_ROLE("target", "kind", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.role()
            .label())),
    TARGET_MODEL("target", "model", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.model())),
    TARGET_STATION("target", "station", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.station())),
    TARGET_OWN("target", "own", ValueType.FLAG, EventKind.ATTEMPT, ofTarget(s -> s.inOwnStation())),
    TARGET_STATE("target", "state", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.listedState()
            .label())),
    TARGET_TOLD_FOR("target", "told_for", ValueType.TIME, EventKind.ATTEMPT, ofTarget(s -> s.listedStateForMs())),
    TARGET_ACTUAL("target", "actual", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.actualState()
            .label())),
    TARGET_COLD("target", "cold", ValueType.FLAG, EventKind.ATTEMPT, ofTarget(s -> !Double.isNaN(s.coldForMs()))),
    TARGET_COLD_FOR("target", "cold_for", ValueType.TIME, EventKind.ATTEMPT, ofTarget(s -> nullIfNaN(s.coldForMs()))),
    TARGET_FAULT("target", "fault", ValueType.WORD, EventKind.ATTEMPT, ofTarget(s -> s.fault())),
    TARGET_PRESSURE("target", "pressure", ValueType.NUMBER, EventKind.ATTEMPT, ofTarget(s -> s.pressure())),
    TARGET_PRESSURE_ALL(
            "target", "pressure_of_all", ValueType.NUMBER, EventKind.ATTEMPT, ofTarget(s -> s.pressureOfAll())),
    TARGET_TRIED("target", "tried", ValueType.NUMBER, EventKind.ATTEMPT, ofTarget(s -> (double) s.earlierAttempts())),
    TARGET_SAME(
            "target",
            "same",
            ValueType.FLAG,
            EventKind.ATTEMPT,
            (m, t) -> m instanceof RoutingEvent.Attempt a ? a.target().box().nodeId() == t : null),

    SOURCE_BOX("source", "box", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.box()
            .uid())),
    SOURCE_ROLE("source", "kind", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.role()
            .label())),
    SOURCE_MODEL("source", "model", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.model())),
    SOURCE_STATION("source", "station", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.station())),
    SOURCE_OWN("source", "own", ValueType.FLAG, EventKind.ATTEMPT, ofSource(s -> s.inOwnStation())),
    SOURCE_STATE("source", "state", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.listedState()
            .label())),
    SOURCE_TOLD_FOR("source", "told_for", ValueType.TIME, EventKind.ATTEMPT, ofSource(s -> s.listedStateForMs())),
    SOURCE_ACTUAL("source", "actual", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.actualState()
            .label())),
    SOURCE_COLD("source", "cold", ValueType.FLAG, EventKind.ATTEMPT, ofSource(s -> !Double.isNaN(s.coldForMs()))),
    SOURCE_COLD_FOR("source", "cold_for", ValueType.TIME, EventKind.ATTEMPT, ofSource(s -> nullIfNaN(s.coldForMs()))),
    SOURCE_FAULT("source", "fault", ValueType.WORD, EventKind.ATTEMPT, ofSource(s -> s.fault())),
    SOURCE_PRESSURE("source", "pressure", ValueType.NUMBER, EventKind.ATTEMPT, ofSource(s -> s.pressure())),
    SOURCE_PRESSURE_ALL(
            "source", "pressure_of_all", ValueType.NUMBER, EventKind.ATTEMPT, ofSource(s -> s.pressureOfAll())),
    SOURCE_SAME(
            "source",
            "same",
            ValueType.FLAG,
            EventKind.ATTEMPT,
            (m, t) -> m instanceof RoutingEvent.Attempt a && a.source() != null
                    ? a.source().box().nodeId() == t
                    : null),

    OUTCOME("answer", "outcome", ValueType.WORD, EventKind.ANSWER, ofAnswer(a -> a.outcome()
            .label())),
    BACK("answer", "w", ValueType.TIME, EventKind.ANSWER, ofAnswer(a -> a.retryAfterMs())),
    AFTER("answer", "after", ValueType.TIME, EventKind.ANSWER, ofAnswer(a -> a.elapsedMs())),
    HELD("answer", "held", ValueType.TIME, EventKind.ANSWER, ofAnswer(a -> a.sinceLastChangeMs())),
    LATE("answer", "late", ValueType.FLAG, EventKind.ANSWER, ofAnswer(a -> a.late())),
    ATTEMPTS("answer", "attempts", ValueType.NUMBER, EventKind.ANSWER, ofAnswer(a -> (double) a.attempts())),
    STILL_OUT("answer", "outstanding", ValueType.NUMBER, EventKind.ANSWER, ofAnswer(a -> (double) a.outstanding())),
    MAYBE_HAS_RUN("answer", "maybe_ran", ValueType.FLAG, EventKind.ANSWER, ofAnswer(a -> a.maybeRan())),
    RUNS("answer", "runs", ValueType.NUMBER, EventKind.ANSWER, ofAnswer(a -> (double) a.executionCount())),
    COPY_AGE("answer", "copy_age", ValueType.TIME, EventKind.ANSWER, ofAnswer(a -> nullIfNaN(a.copyAgeMs()))),
    STALE("answer", "stale", ValueType.FLAG, EventKind.ANSWER, ofAnswer(a -> a.stale())),
    PURGED("answer", "purged_copy", ValueType.FLAG, EventKind.ANSWER, ofAnswer(a -> a.purgedCopy()));

    /** The values a field has. */
    public enum ValueType {
        WORD,
        NUMBER,
        TIME,
        FLAG
    }

    private final String blockName;
    private final String keyName;
    private final ValueType type;
    private final EventKind kind;
    private final BiFunction<RoutingEvent, Long, Object> extractor;

    EventField(
            String block,
            String key,
            ValueType type,
            EventKind kind,
            BiFunction<RoutingEvent, Long, Object> extractor) {
        this.blockName = block;
        this.keyName = key;
        this.type = type;
        this.kind = kind;
        this.extractor = extractor;
    }

    /** The block in which the field stands. */
    public String block() {
        return blockName;
    }

    /** The key that names it in a file. */
    public String key() {
        return keyName;
    }

    /** What its values are. */
    public ValueType valueType() {
        return type;
    }

    EventKind eventKind() {
        return kind;
    }

    /** Its value, or null where the moment has none. */
    Object extract(RoutingEvent event, long triggerNode) {
        return extractor.apply(event, triggerNode);
    }

    /** The fields of one block, in the order of the reference. */
    public static List<EventField> inBlock(String block) {
        return Arrays.stream(values()).filter(f -> f.blockName.equals(block)).toList();
    }

    /** The blocks that hold tests. */
    public static List<String> blockNames() {
        return Arrays.stream(values()).map(f -> f.blockName).distinct().toList();
    }

    private static Object nullIfNaN(double value) {
        return Double.isNaN(value) ? null : (Object) value;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofTry(Function<RoutingEvent.ClientTry, Object> extractor) {
        return (m, t) -> extractor.apply(m.clientTry());
    }

    private static BiFunction<RoutingEvent, Long, Object> ofAttempt(Function<RoutingEvent.Attempt, Object> extractor) {
        return (m, t) -> m instanceof RoutingEvent.Attempt a ? normalize(extractor.apply(a)) : null;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofTarget(Function<RoutingEvent.BoxView, Object> extractor) {
        return (m, t) -> m instanceof RoutingEvent.Attempt a ? normalize(extractor.apply(a.target())) : null;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofSource(Function<RoutingEvent.BoxView, Object> extractor) {
        return (m, t) -> m instanceof RoutingEvent.Attempt a && a.source() != null
                ? normalize(extractor.apply(a.source()))
                : null;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofAnswer(Function<RoutingEvent.Answer, Object> extractor) {
        return (m, t) -> m instanceof RoutingEvent.Answer a ? normalize(extractor.apply(a)) : null;
    }

    private static Object normalize(Object extracted) {
        return extracted instanceof Double d ? nullIfNaN(d) : extracted;
    }
}
