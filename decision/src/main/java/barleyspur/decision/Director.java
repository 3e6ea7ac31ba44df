package barleyspur.decision;

import java.util.List;
import java.util.function.Consumer;

/**
 * What a request router's host and its decision module say to each other.
 *
 * <p>All times are milliseconds on the host's own clock, which only advances. A director has no clock,
 * no I/O and no randomness of its own: the same settings, seed and events give the same actions.
 */
public interface Director {

    /** Node id that stands for "no node". Real ids are never negative. */
    long NO_NODE = -1;

    /** Handles one event at {@code nowMs}; actions go to {@code out} in the order to carry them out. */
    void handle(double nowMs, Event event, Consumer<Action> out);

    // ---- settings, given once at the start ------------------------------------------------------------

    /** May a request run twice: freely, only within a group that drops repeats, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The group of nodes that drops repeats of a keyed request. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** Which caches may be the source of a fill. */
    enum Siblings {
        NONE,
        LOCATION,
        ANY
    }

    /** Which notes come with outcomes. */
    enum Notes {
        ALL,
        HIT,
        NONE
    }

    /** How load reports reach the director. */
    enum Reports {
        WITH_ANSWERS,
        WITH_PROBES,
        NONE
    }

    /** One class of request; {@code freshMs} 0: fresh until purged. */
    record RequestClass(
            Effect effect,
            Scope scope,
            double keyWindowMs,
            double aimMs,
            double aimStretch,
            double deadlineMs,
            double worth,
            double lateWorth,
            boolean stream,
            boolean parts,
            boolean write,
            double freshMs,
            double graceMs,
            double staleWorth) {

        /** By when a request whose answer takes so long to send is wanted, from when it came. */
        public double wantedWithinMs(double workMs) {
            return aimMs + aimStretch * workMs;
        }
    }

    /** How a newly started node gains capacity, and what pushes it over. */
    record ColdRule(double fromShare, double warmAfterMs, double fallMultiple) {

        /** The part of its capacity that a node has so long after its start. */
        public double shareAt(double ageMs) {
            return fromShare + (1 - fromShare) * (Math.max(0, ageMs) / warmAfterMs);
        }
    }

    /** What a director is told at its start. {@code zoneDirectors} has one figure for each zone. */
    record Settings(
            List<RequestClass> classes,
            int me,
            int directors,
            int zone,
            List<Integer> zoneDirectors,
            int parentKind,
            int originKind,
            boolean sizesCount,
            boolean mustAsk,
            double mustAskMs,
            double tickMs,
            double answerSlackMs,
            double drainGraceMs,
            ColdRule coldCache,
            ColdRule coldParent,
            double fallSpanMs,
            double purgeGraceMs,
            double purgeDoneMs,
            boolean direct,
            boolean joins,
            Siblings siblings,
            Notes notes,
            double paceKbPerMs,
            Reports reports,
            List<String> reportFields,
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            boolean mayTell,
            double maxRetryAfterMs) {

        /** These settings with other classes and another cap on attempts: all that a retune changes. */
        public Settings retuned(List<RequestClass> nextClasses, int nextMaxAttempts) {
            return new Settings(
                    List.copyOf(nextClasses),
                    me,
                    directors,
                    zone,
                    zoneDirectors,
                    parentKind,
                    originKind,
                    sizesCount,
                    mustAsk,
                    mustAskMs,
                    tickMs,
                    answerSlackMs,
                    drainGraceMs,
                    coldCache,
                    coldParent,
                    fallSpanMs,
                    purgeGraceMs,
                    purgeDoneMs,
                    direct,
                    joins,
                    siblings,
                    notes,
                    paceKbPerMs,
                    reports,
                    reportFields,
                    nextMaxAttempts,
                    mayDuplicate,
                    mayCancel,
                    mayProbe,
                    mayTell,
                    maxRetryAfterMs);
        }
    }

    // ---- events ---------------------------------------------------------------------------------------

    /** What the list says of a node. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One node as listed; {@code startedAtMs} 0: long ago. */
    record Node(long id, int zone, int kind, int cell, State state, double size, double startedAtMs) {}

    /** How a list of nodes is to be read. */
    enum ListKind {
        FULL,
        CACHED,
        DELTA,
        FAILED
    }

    /** How an attempt ended. */
    enum Result {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT,
        MISS;

        /** False where the outcome proves that the request never ran. */
        public boolean mayHaveRun() {
            return switch (this) {
                case FULL, CONNECT_FAILED, MOOT, MISS -> false;
                default -> true;
            };
        }
    }

    /** What an outcome says about the copy or its fill. */
    enum Note {
        NONE,
        HIT,
        FILLED,
        FILLED_FROM_ORIGIN,
        JOINED,
        STALE,
        SOURCE_REFUSED,
        SOURCE_FAILED,
        SOURCE_LACKS,
        NO_FILL_PLACE,
        ORIGIN_FAILED
    }

    /** All that a director can be told. */
    sealed interface Event permits Members, Request, FirstByte, Outcome, Gone, Alarm, Probed, Told, Purged, Retuned {}

    /** The list of nodes, whole or changed. */
    record Members(ListKind kind, List<Node> nodes) implements Event {}

    /** A client's request for a part of an object; {@code sizeKb} 0: not told. */
    record Request(
            long id,
            int category,
            long tenant,
            long object,
            int part,
            int group,
            double remainingMs,
            double sizeKb,
            boolean repeat,
            boolean write)
            implements Event {}

    /** A streamed answer has begun; it belongs to the client from here on. */
    record FirstByte(long request, int attempt, long node) implements Event {}

    /** How an attempt ended; {@code closed}: the request is over. */
    record Outcome(
            long request,
            int attempt,
            long node,
            Result result,
            double latencyMs,
            boolean closed,
            Note note,
            double waitedMs,
            List<Float> load)
            implements Event {}

    /** The client left. */
    record Gone(long request) implements Event {}

    /** A timer of ours is due. */
    record Alarm(long token) implements Event {}

    /** The answer to a probe. */
    record Probed(long node, Result result, double latencyMs, List<Float> load) implements Event {}

    /** A peer's message. */
    record Told(int from, byte[] body) implements Event {}

    /** An object, or with {@code object} 0 a whole group, was purged {@code ageMs} ago. */
    record Purged(int group, long object, double ageMs) implements Event {}

    /**
     * The settings have changed while the director runs. Classes keep their numbers: a changed or added class comes
     * behind those before, so that open requests keep the class that they were taken under.
     */
    record Retuned(Settings settings) implements Event {}

    // ---- actions --------------------------------------------------------------------------------------

    /** All that a director can order. */
    sealed interface Action permits Send, Get, Cancel, Refuse, Fail, WakeAt, Probe, HangUp, Tell, Log, Watch, Fetch {}

    /** An attempt that asks a node for what it holds. */
    record Send(long request, long node, double timeoutMs) implements Action {}

    /**
     * An attempt that also says where a miss is filled from ({@code source} = {@code node}: no fill), at
     * which rank the copy is kept (0: passed through) and how old it may be (0: as its class says).
     */
    record Get(
            long request,
            long node,
            double timeoutMs,
            long source,
            int rank,
            double maxAgeMs,
            boolean join,
            boolean onlyHeld,
            boolean parentKeepsNone,
            boolean renew)
            implements Action {

        /** One that a source may fill from elsewhere, and a parent may keep. */
        public static Get of(
                long request,
                long node,
                double timeoutMs,
                long source,
                int rank,
                double maxAgeMs,
                boolean join,
                boolean renew) {
            return new Get(request, node, timeoutMs, source, rank, maxAgeMs, join, false, false, renew);
        }
    }

    /** Stop waiting for an attempt. */
    record Cancel(long request, int attempt) implements Action {}

    /** Final answer: turned away, come back after {@code pauseMs}. */
    record Refuse(long request, double pauseMs) implements Action {}

    /** Final answer: failed, with no promise about its effect. */
    record Fail(long request) implements Action {}

    /** Ask for an {@link Alarm} at {@code atMs}. */
    record WakeAt(double atMs, long token) implements Action {}

    /** Check a node. */
    record Probe(long node) implements Action {}

    /** Close idle connections to a node. */
    record HangUp(long node) implements Action {}

    /** A message to a peer, or with {@code to} -1 to all. */
    record Tell(int to, byte[] body) implements Action {}

    /** A line for on-call staff. */
    record Log(String line) implements Action {}

    /** Subscribe to changes of the list. */
    record Watch(boolean on) implements Action {}

    /** Ask for the whole list once. */
    record Fetch() implements Action {}
}
