package barleyspur.expect;

import barleyspur.expect.Condition.EventKind;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.Function;

/** The fields of routing events that expectations can test, by block and key in the expectation files. */
public enum EventField {
    CLASS("request", "class", ValueType.WORD, EventKind.ANY, ofTry(clientTry -> clientTry.className())),
    EFFECT("request", "effect", ValueType.WORD, EventKind.ANY, ofTry(clientTry -> clientTry
            .requestClass()
            .effect()
            .name()
            .toLowerCase(Locale.ROOT))),
    REQUEST_STATION("request", "station", ValueType.WORD, EventKind.ANY, ofTry(clientTry -> clientTry.station())),
    OBJECTS("request", "objects", ValueType.WORD, EventKind.ANY, ofTry(clientTry -> clientTry
            .request()
            .objectSet())),
    SIZE("request", "size_kb", ValueType.NUMBER, EventKind.ANY, ofTry(clientTry -> clientTry
            .request()
            .sizeKb())),
    PART("request", "part", ValueType.NUMBER, EventKind.ANY, ofTry(clientTry ->
            (double) clientTry.request().partIndex())),
    GROUP("request", "group", ValueType.NUMBER, EventKind.ANY, ofTry(clientTry ->
            (double) clientTry.request().groupId())),
    WRITE("request", "write", ValueType.FLAG, EventKind.ANY, ofTry(clientTry -> clientTry
            .requestClass()
            .write())),
    PARTS("request", "parts", ValueType.FLAG, EventKind.ANY, ofTry(clientTry -> clientTry
            .requestClass()
            .parts())),
    REPEAT("request", "repeat", ValueType.FLAG, EventKind.ANY, ofTry(clientTry -> clientTry.markedAsRepeat())),
    TRY("request", "try", ValueType.NUMBER, EventKind.ANY, ofTry(clientTry -> (double) clientTry.tryNumber())),
    DOORMAN("request", "doorman", ValueType.NUMBER, EventKind.ANY, ofTry(clientTry ->
            (double) clientTry.request().doormanIndex())),

    NUMBER("attempt", "number", ValueType.NUMBER, EventKind.ATTEMPT, ofAttempt(attempt -> (double) attempt.number())),
    SPACING("attempt", "spacing", ValueType.TIME, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.sincePreviousMs())),
    OUTSTANDING("attempt", "outstanding", ValueType.NUMBER, EventKind.ATTEMPT, ofAttempt(attempt ->
            (double) attempt.outstanding())),
    MAYBE_RAN("attempt", "maybe_ran", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.maybeRan())),
    LEAVES_GROUP(
            "attempt", "leaves_group", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.leavesGroup())),
    AFTER_END("attempt", "after_end", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.afterAnswer())),
    RANK("attempt", "rank", ValueType.NUMBER, EventKind.ATTEMPT, ofAttempt(attempt -> (double) attempt.rank())),
    JOIN("attempt", "join", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.join())),
    RENEW("attempt", "renew", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.renew())),
    ONLY_HELD("attempt", "only_held", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.onlyHeld())),
    FILL("attempt", "fill", ValueType.FLAG, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.source() != null)),
    MAX_AGE(
            "attempt",
            "max_age",
            ValueType.TIME,
            EventKind.ATTEMPT,
            ofAttempt(attempt -> attempt.maxAgeMs() > 0 ? attempt.maxAgeMs() : null)),
    TAKES_PURGED(
            "attempt",
            "takes_purged",
            ValueType.FLAG,
            EventKind.ATTEMPT,
            ofAttempt(attempt -> attempt.allowsPurgedCopy())),
    TIME_LEFT("attempt", "time_left", ValueType.TIME, EventKind.ATTEMPT, ofAttempt(attempt -> attempt.timeLeftMs())),

    TARGET_BOX("target", "box", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.box()
            .uid())),
    TARGET_ROLE("target", "kind", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.role()
            .label())),
    TARGET_MODEL("target", "model", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.model())),
    TARGET_STATION("target", "station", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.station())),
    TARGET_OWN("target", "own", ValueType.FLAG, EventKind.ATTEMPT, ofTarget(view -> view.inOwnStation())),
    TARGET_STATE("target", "state", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.listedState()
            .label())),
    TARGET_TOLD_FOR("target", "told_for", ValueType.TIME, EventKind.ATTEMPT, ofTarget(view -> view.listedStateForMs())),
    TARGET_ACTUAL("target", "actual", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.actualState()
            .label())),
    TARGET_COLD("target", "cold", ValueType.FLAG, EventKind.ATTEMPT, ofTarget(view -> !Double.isNaN(view.coldForMs()))),
    TARGET_COLD_FOR(
            "target", "cold_for", ValueType.TIME, EventKind.ATTEMPT, ofTarget(view -> nullIfNaN(view.coldForMs()))),
    TARGET_FAULT("target", "fault", ValueType.WORD, EventKind.ATTEMPT, ofTarget(view -> view.fault())),
    TARGET_PRESSURE("target", "pressure", ValueType.NUMBER, EventKind.ATTEMPT, ofTarget(view -> view.pressure())),
    TARGET_PRESSURE_ALL(
            "target", "pressure_of_all", ValueType.NUMBER, EventKind.ATTEMPT, ofTarget(view -> view.pressureOfAll())),
    TARGET_TRIED(
            "target", "tried", ValueType.NUMBER, EventKind.ATTEMPT, ofTarget(view -> (double) view.earlierAttempts())),
    TARGET_SAME(
            "target",
            "same",
            ValueType.FLAG,
            EventKind.ATTEMPT,
            (event, triggerNode) -> event instanceof RoutingEvent.Attempt attempt
                    ? attempt.target().box().nodeId() == triggerNode
                    : null),

    SOURCE_BOX("source", "box", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.box()
            .uid())),
    SOURCE_ROLE("source", "kind", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.role()
            .label())),
    SOURCE_MODEL("source", "model", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.model())),
    SOURCE_STATION("source", "station", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.station())),
    SOURCE_OWN("source", "own", ValueType.FLAG, EventKind.ATTEMPT, ofSource(view -> view.inOwnStation())),
    SOURCE_STATE("source", "state", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.listedState()
            .label())),
    SOURCE_TOLD_FOR("source", "told_for", ValueType.TIME, EventKind.ATTEMPT, ofSource(view -> view.listedStateForMs())),
    SOURCE_ACTUAL("source", "actual", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.actualState()
            .label())),
    SOURCE_COLD("source", "cold", ValueType.FLAG, EventKind.ATTEMPT, ofSource(view -> !Double.isNaN(view.coldForMs()))),
    SOURCE_COLD_FOR(
            "source", "cold_for", ValueType.TIME, EventKind.ATTEMPT, ofSource(view -> nullIfNaN(view.coldForMs()))),
    SOURCE_FAULT("source", "fault", ValueType.WORD, EventKind.ATTEMPT, ofSource(view -> view.fault())),
    SOURCE_PRESSURE("source", "pressure", ValueType.NUMBER, EventKind.ATTEMPT, ofSource(view -> view.pressure())),
    SOURCE_PRESSURE_ALL(
            "source", "pressure_of_all", ValueType.NUMBER, EventKind.ATTEMPT, ofSource(view -> view.pressureOfAll())),
    SOURCE_SAME(
            "source",
            "same",
            ValueType.FLAG,
            EventKind.ATTEMPT,
            (event, triggerNode) -> event instanceof RoutingEvent.Attempt attempt && attempt.source() != null
                    ? attempt.source().box().nodeId() == triggerNode
                    : null),

    OUTCOME("answer", "outcome", ValueType.WORD, EventKind.ANSWER, ofAnswer(answer -> answer.outcome()
            .label())),
    BACK("answer", "w", ValueType.TIME, EventKind.ANSWER, ofAnswer(answer -> answer.retryAfterMs())),
    AFTER("answer", "after", ValueType.TIME, EventKind.ANSWER, ofAnswer(answer -> answer.elapsedMs())),
    HELD("answer", "held", ValueType.TIME, EventKind.ANSWER, ofAnswer(answer -> answer.sinceLastChangeMs())),
    LATE("answer", "late", ValueType.FLAG, EventKind.ANSWER, ofAnswer(answer -> answer.late())),
    ATTEMPTS("answer", "attempts", ValueType.NUMBER, EventKind.ANSWER, ofAnswer(answer -> (double) answer.attempts())),
    STILL_OUT("answer", "outstanding", ValueType.NUMBER, EventKind.ANSWER, ofAnswer(answer ->
            (double) answer.outstanding())),
    MAYBE_HAS_RUN("answer", "maybe_ran", ValueType.FLAG, EventKind.ANSWER, ofAnswer(answer -> answer.maybeRan())),
    RUNS("answer", "runs", ValueType.NUMBER, EventKind.ANSWER, ofAnswer(answer -> (double) answer.executionCount())),
    COPY_AGE("answer", "copy_age", ValueType.TIME, EventKind.ANSWER, ofAnswer(answer -> nullIfNaN(answer.copyAgeMs()))),
    STALE("answer", "stale", ValueType.FLAG, EventKind.ANSWER, ofAnswer(answer -> answer.stale())),
    PURGED("answer", "purged_copy", ValueType.FLAG, EventKind.ANSWER, ofAnswer(answer -> answer.purgedCopy()));

    /** The types of field values. */
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

    /** The block of the expectation files in which the field is tested. */
    public String block() {
        return blockName;
    }

    /** The key of the field within its block. */
    public String key() {
        return keyName;
    }

    /** The type of the field's values. */
    public ValueType valueType() {
        return type;
    }

    EventKind eventKind() {
        return kind;
    }

    /**
     * The value of the field in an event; null if the event has none.
     *
     * @param triggerNode the box of the change that opened the window, or -1
     */
    Object extract(RoutingEvent event, long triggerNode) {
        return extractor.apply(event, triggerNode);
    }

    /** The fields of a block, in the order of the reference documentation. */
    public static List<EventField> inBlock(String block) {
        return Arrays.stream(values())
                .filter(field -> field.blockName.equals(block))
                .toList();
    }

    /** The names of the blocks that contain tests. */
    public static List<String> blockNames() {
        return Arrays.stream(values()).map(field -> field.blockName).distinct().toList();
    }

    private static Object nullIfNaN(double value) {
        return Double.isNaN(value) ? null : (Object) value;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofTry(Function<RoutingEvent.ClientTry, Object> extractor) {
        return (event, triggerNode) -> extractor.apply(event.clientTry());
    }

    private static BiFunction<RoutingEvent, Long, Object> ofAttempt(Function<RoutingEvent.Attempt, Object> extractor) {
        return (event, triggerNode) ->
                event instanceof RoutingEvent.Attempt attempt ? normalize(extractor.apply(attempt)) : null;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofTarget(Function<RoutingEvent.BoxView, Object> extractor) {
        return (event, triggerNode) ->
                event instanceof RoutingEvent.Attempt attempt ? normalize(extractor.apply(attempt.target())) : null;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofSource(Function<RoutingEvent.BoxView, Object> extractor) {
        return (event, triggerNode) -> event instanceof RoutingEvent.Attempt attempt && attempt.source() != null
                ? normalize(extractor.apply(attempt.source()))
                : null;
    }

    private static BiFunction<RoutingEvent, Long, Object> ofAnswer(Function<RoutingEvent.Answer, Object> extractor) {
        return (event, triggerNode) ->
                event instanceof RoutingEvent.Answer answer ? normalize(extractor.apply(answer)) : null;
    }

    private static Object normalize(Object extracted) {
        return extracted instanceof Double number ? nullIfNaN(number) : extracted;
    }
}
