package barleyspur.expect;

import barleyspur.expect.Condition.Kind;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.Function;

/** Everything that a test can ask of a moment, by the block it stands in and its key. */
public enum Field {
    CLASS("request", "class", Type.WORD, Kind.ANY, asked(a -> a.category())),
    EFFECT("request", "effect", Type.WORD, Kind.ANY, asked(a -> a.grade()
            .effect()
            .name()
            .toLowerCase(Locale.ROOT))),
    REQUEST_STATION("request", "station", Type.WORD, Kind.ANY, asked(a -> a.station())),
    OBJECTS("request", "objects", Type.WORD, Kind.ANY, asked(a -> a.ask().set())),
    SIZE("request", "size_kb", Type.NUMBER, Kind.ANY, asked(a -> a.ask().sizeKb())),
    PART("request", "part", Type.NUMBER, Kind.ANY, asked(a -> (double) a.ask().part())),
    GROUP("request", "group", Type.NUMBER, Kind.ANY, asked(a -> (double) a.ask().group())),
    WRITE("request", "write", Type.FLAG, Kind.ANY, asked(a -> a.grade().write())),
    PARTS("request", "parts", Type.FLAG, Kind.ANY, asked(a -> a.grade().parts())),
    REPEAT("request", "repeat", Type.FLAG, Kind.ANY, asked(a -> a.repeat())),
    TRY("request", "try", Type.NUMBER, Kind.ANY, asked(a -> (double) a.attempt())),
    DOORMAN("request", "doorman", Type.NUMBER, Kind.ANY, asked(a ->
            (double) a.ask().doorman())),

    NUMBER("attempt", "number", Type.NUMBER, Kind.ATTEMPT, sent(a -> (double) a.number())),
    SPACING("attempt", "spacing", Type.TIME, Kind.ATTEMPT, sent(a -> a.spacingMs())),
    OUTSTANDING("attempt", "outstanding", Type.NUMBER, Kind.ATTEMPT, sent(a -> (double) a.outstanding())),
    MAYBE_RAN("attempt", "maybe_ran", Type.FLAG, Kind.ATTEMPT, sent(a -> a.maybeRan())),
    AFTER_END("attempt", "after_end", Type.FLAG, Kind.ATTEMPT, sent(a -> a.over())),
    RANK("attempt", "rank", Type.NUMBER, Kind.ATTEMPT, sent(a -> (double) a.rank())),
    JOIN("attempt", "join", Type.FLAG, Kind.ATTEMPT, sent(a -> a.join())),
    RENEW("attempt", "renew", Type.FLAG, Kind.ATTEMPT, sent(a -> a.renew())),
    ONLY_HELD("attempt", "only_held", Type.FLAG, Kind.ATTEMPT, sent(a -> a.onlyHeld())),
    FILL("attempt", "fill", Type.FLAG, Kind.ATTEMPT, sent(a -> a.source() != null)),
    MAX_AGE("attempt", "max_age", Type.TIME, Kind.ATTEMPT, sent(a -> a.maxAgeMs() > 0 ? a.maxAgeMs() : null)),
    TAKES_PURGED("attempt", "takes_purged", Type.FLAG, Kind.ATTEMPT, sent(a -> a.olderThanPurge())),
    TIME_LEFT("attempt", "time_left", Type.TIME, Kind.ATTEMPT, sent(a -> a.timeLeftMs())),

    TARGET_BOX("target", "box", Type.WORD, Kind.ATTEMPT, target(s -> s.box().uid())),
    TARGET_ROLE("target", "kind", Type.WORD, Kind.ATTEMPT, target(s -> s.role().word())),
    TARGET_MODEL("target", "model", Type.WORD, Kind.ATTEMPT, target(s -> s.model())),
    TARGET_STATION("target", "station", Type.WORD, Kind.ATTEMPT, target(s -> s.station())),
    TARGET_OWN("target", "own", Type.FLAG, Kind.ATTEMPT, target(s -> s.own())),
    TARGET_STATE(
            "target", "state", Type.WORD, Kind.ATTEMPT, target(s -> s.told().word())),
    TARGET_TOLD_FOR("target", "told_for", Type.TIME, Kind.ATTEMPT, target(s -> s.toldForMs())),
    TARGET_ACTUAL(
            "target", "actual", Type.WORD, Kind.ATTEMPT, target(s -> s.actual().word())),
    TARGET_COLD("target", "cold", Type.FLAG, Kind.ATTEMPT, target(s -> !Double.isNaN(s.coldForMs()))),
    TARGET_COLD_FOR("target", "cold_for", Type.TIME, Kind.ATTEMPT, target(s -> known(s.coldForMs()))),
    TARGET_FAULT("target", "fault", Type.WORD, Kind.ATTEMPT, target(s -> s.fault())),
    TARGET_PRESSURE("target", "pressure", Type.NUMBER, Kind.ATTEMPT, target(s -> s.pressure())),
    TARGET_PRESSURE_ALL("target", "pressure_of_all", Type.NUMBER, Kind.ATTEMPT, target(s -> s.pressureOfAll())),
    TARGET_TRIED("target", "tried", Type.NUMBER, Kind.ATTEMPT, target(s -> (double) s.tried())),
    TARGET_SAME(
            "target",
            "same",
            Type.FLAG,
            Kind.ATTEMPT,
            (m, t) -> m instanceof Moment.Attempt a ? a.target().box().node() == t : null),

    SOURCE_BOX("source", "box", Type.WORD, Kind.ATTEMPT, source(s -> s.box().uid())),
    SOURCE_ROLE("source", "kind", Type.WORD, Kind.ATTEMPT, source(s -> s.role().word())),
    SOURCE_MODEL("source", "model", Type.WORD, Kind.ATTEMPT, source(s -> s.model())),
    SOURCE_STATION("source", "station", Type.WORD, Kind.ATTEMPT, source(s -> s.station())),
    SOURCE_OWN("source", "own", Type.FLAG, Kind.ATTEMPT, source(s -> s.own())),
    SOURCE_STATE(
            "source", "state", Type.WORD, Kind.ATTEMPT, source(s -> s.told().word())),
    SOURCE_TOLD_FOR("source", "told_for", Type.TIME, Kind.ATTEMPT, source(s -> s.toldForMs())),
    SOURCE_ACTUAL(
            "source", "actual", Type.WORD, Kind.ATTEMPT, source(s -> s.actual().word())),
    SOURCE_COLD("source", "cold", Type.FLAG, Kind.ATTEMPT, source(s -> !Double.isNaN(s.coldForMs()))),
    SOURCE_COLD_FOR("source", "cold_for", Type.TIME, Kind.ATTEMPT, source(s -> known(s.coldForMs()))),
    SOURCE_FAULT("source", "fault", Type.WORD, Kind.ATTEMPT, source(s -> s.fault())),
    SOURCE_PRESSURE("source", "pressure", Type.NUMBER, Kind.ATTEMPT, source(s -> s.pressure())),
    SOURCE_PRESSURE_ALL("source", "pressure_of_all", Type.NUMBER, Kind.ATTEMPT, source(s -> s.pressureOfAll())),
    SOURCE_SAME(
            "source",
            "same",
            Type.FLAG,
            Kind.ATTEMPT,
            (m, t) -> m instanceof Moment.Attempt a && a.source() != null
                    ? a.source().box().node() == t
                    : null),

    OUTCOME("answer", "outcome", Type.WORD, Kind.ANSWER, ended(a -> a.ending().word())),
    BACK("answer", "w", Type.TIME, Kind.ANSWER, ended(a -> a.backMs())),
    AFTER("answer", "after", Type.TIME, Kind.ANSWER, ended(a -> a.afterMs())),
    HELD("answer", "held", Type.TIME, Kind.ANSWER, ended(a -> a.heldMs())),
    LATE("answer", "late", Type.FLAG, Kind.ANSWER, ended(a -> a.late())),
    ATTEMPTS("answer", "attempts", Type.NUMBER, Kind.ANSWER, ended(a -> (double) a.attempts())),
    STILL_OUT("answer", "outstanding", Type.NUMBER, Kind.ANSWER, ended(a -> (double) a.outstanding())),
    MAYBE_HAS_RUN("answer", "maybe_ran", Type.FLAG, Kind.ANSWER, ended(a -> a.maybeRan())),
    RUNS("answer", "runs", Type.NUMBER, Kind.ANSWER, ended(a -> (double) a.runs())),
    COPY_AGE("answer", "copy_age", Type.TIME, Kind.ANSWER, ended(a -> known(a.copyAgeMs()))),
    STALE("answer", "stale", Type.FLAG, Kind.ANSWER, ended(a -> a.stale())),
    PURGED("answer", "purged_copy", Type.FLAG, Kind.ANSWER, ended(a -> a.olderThanPurge()));

    /** The values a field has. */
    public enum Type {
        WORD,
        NUMBER,
        TIME,
        FLAG
    }

    private final String block;
    private final String key;
    private final Type type;
    private final Kind kind;
    private final BiFunction<Moment, Long, Object> read;

    Field(String block, String key, Type type, Kind kind, BiFunction<Moment, Long, Object> read) {
        this.block = block;
        this.key = key;
        this.type = type;
        this.kind = kind;
        this.read = read;
    }

    /** The block in which the field stands. */
    public String block() {
        return block;
    }

    /** The key that names it in a file. */
    public String key() {
        return key;
    }

    /** What its values are. */
    public Type type() {
        return type;
    }

    Kind kind() {
        return kind;
    }

    /** Its value, or null where the moment has none. */
    Object of(Moment moment, long trigger) {
        return read.apply(moment, trigger);
    }

    /** The fields of one block, in the order of the reference. */
    public static List<Field> in(String block) {
        return Arrays.stream(values()).filter(f -> f.block.equals(block)).toList();
    }

    /** The blocks that hold tests. */
    public static List<String> blocks() {
        return Arrays.stream(values()).map(f -> f.block).distinct().toList();
    }

    private static Object known(double value) {
        return Double.isNaN(value) ? null : (Object) value;
    }

    private static BiFunction<Moment, Long, Object> asked(Function<Moment.Asked, Object> read) {
        return (m, t) -> read.apply(m.asked());
    }

    private static BiFunction<Moment, Long, Object> sent(Function<Moment.Attempt, Object> read) {
        return (m, t) -> m instanceof Moment.Attempt a ? value(read.apply(a)) : null;
    }

    private static BiFunction<Moment, Long, Object> target(Function<Moment.Seen, Object> read) {
        return (m, t) -> m instanceof Moment.Attempt a ? value(read.apply(a.target())) : null;
    }

    private static BiFunction<Moment, Long, Object> source(Function<Moment.Seen, Object> read) {
        return (m, t) -> m instanceof Moment.Attempt a && a.source() != null ? value(read.apply(a.source())) : null;
    }

    private static BiFunction<Moment, Long, Object> ended(Function<Moment.Answer, Object> read) {
        return (m, t) -> m instanceof Moment.Answer a ? value(read.apply(a)) : null;
    }

    private static Object value(Object read) {
        return read instanceof Double d ? known(d) : read;
    }
}
