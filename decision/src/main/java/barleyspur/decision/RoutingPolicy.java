package barleyspur.decision;

import java.util.List;
import java.util.function.Consumer;

/**
 * A policy that routes requests to caches, with the settings, events and actions that it exchanges with its host.
 *
 * <p>All times are in milliseconds on the host's clock, which only advances. A policy has no clock, no I/O and no
 * source of randomness but its seed: the same settings, seed and events give the same actions.
 */
public interface RoutingPolicy {

    /** The id that means "no node". Ids of nodes are never negative. */
    long NO_NODE = -1;

    /** Handles one event at {@code nowMs}. The actions are passed to {@code out} in the order to carry them out. */
    void handle(double nowMs, Event event, Consumer<Action> out);

    // ---- settings, given at the start and with a retune --------------------------------------------

    /** Whether a request may run twice: freely, only within a group of nodes that drops repeats, or never. */
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

    /** Which other caches may be the source of a fill. */
    enum Siblings {
        NONE,
        LOCATION,
        ANY
    }

    /** Which notes come with the outcomes of attempts. */
    enum Notes {
        ALL,
        HIT,
        NONE
    }

    /** How load reports reach the policy. */
    enum Reports {
        WITH_ANSWERS,
        WITH_PROBES,
        NONE
    }

    /**
     * One class of requests. The names of its components are part of {@link Settings#toString} and must not change.
     *
     * @param keyWindowMs how long a group of nodes drops repeats of a keyed request
     * @param aimMs the latency target of an answer, without the time that sending it takes
     * @param aimStretch how much the latency target grows with each millisecond of work
     * @param worth the worth of an answer within the latency target
     * @param lateWorth the worth of a later answer
     * @param stream whether answers are streamed
     * @param parts whether objects are requested in parts
     * @param write whether requests write, so that no copy is kept
     * @param freshMs how long a copy stays fresh; 0: until it is purged
     * @param graceMs how long after {@code freshMs} a stale copy may still be used
     * @param staleWorth the worth of a stale answer, as a share of a fresh one's
     */
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

        /** Returns the latency target, from the arrival of a request, of an answer that takes this long to send. */
        public double latencyTargetMs(double workMs) {
            return aimMs + aimStretch * workMs;
        }
    }

    /**
     * How the capacity of a node grows after its start, and what overloads it.
     *
     * @param fromShare the share of its capacity that it has at its start
     * @param warmAfterMs the time from its start until it has all of its capacity
     * @param overloadMultiple the multiple of its current capacity that overloads it
     */
    record ColdRule(double fromShare, double warmAfterMs, double overloadMultiple) {

        /** Returns the share of its capacity that a node has at this age. */
        public double capacityShareAt(double ageMs) {
            return fromShare + (1 - fromShare) * (Math.max(0, ageMs) / warmAfterMs);
        }

        /** Returns a text for {@link Settings#toString}, whose names must not change. */
        @Override
        public String toString() {
            return "ColdRule[fromShare=" + fromShare + ", warmAfterMs=" + warmAfterMs + ", fallMultiple="
                    + overloadMultiple + "]";
        }
    }

    /**
     * The settings of a policy.
     *
     * @param doormanIndex the index of this doorman in its fleet
     * @param doormanCount the number of doormans in the fleet
     * @param doormansPerZone the number of doormans that serve each zone
     * @param weighBySize whether the sizes of listed nodes are stable and serve as weights
     * @param mustSubscribe whether the list of nodes has to be subscribed to
     * @param tickMs the resolution of the host's clock
     * @param overloadSpanMs the time over which the load on a cold node is summed
     * @param purgeGraceMs the time within which a purge must be obeyed
     * @param purgeCompleteMs the time after which no copy from before a purge is left
     * @param mayBypassCaches whether requests may bypass the caches
     * @param joinFills whether a request may join a fill that is in progress
     * @param paceKbPerMs the throughput at which answers are sent
     * @param reportFields the names of the values in a load report, in their order
     */
    record Settings(
            List<RequestClass> classes,
            int doormanIndex,
            int doormanCount,
            int zone,
            List<Integer> doormansPerZone,
            int parentKind,
            int originKind,
            boolean weighBySize,
            boolean mustSubscribe,
            double mustSubscribeWithinMs,
            double tickMs,
            double answerSlackMs,
            double drainGraceMs,
            ColdRule coldCache,
            ColdRule coldParent,
            double overloadSpanMs,
            double purgeGraceMs,
            double purgeCompleteMs,
            boolean mayBypassCaches,
            boolean joinFills,
            Siblings siblings,
            Notes notes,
            double paceKbPerMs,
            Reports reports,
            List<String> reportFields,
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            boolean mayMessagePeers,
            double maxRetryAfterMs) {

        /** Returns these settings with other classes and another limit on attempts, all that a retune can change. */
        public Settings retuned(List<RequestClass> nextClasses, int nextMaxAttempts) {
            return new Settings(
                    List.copyOf(nextClasses),
                    doormanIndex,
                    doormanCount,
                    zone,
                    doormansPerZone,
                    parentKind,
                    originKind,
                    weighBySize,
                    mustSubscribe,
                    mustSubscribeWithinMs,
                    tickMs,
                    answerSlackMs,
                    drainGraceMs,
                    coldCache,
                    coldParent,
                    overloadSpanMs,
                    purgeGraceMs,
                    purgeCompleteMs,
                    mayBypassCaches,
                    joinFills,
                    siblings,
                    notes,
                    paceKbPerMs,
                    reports,
                    reportFields,
                    nextMaxAttempts,
                    mayDuplicate,
                    mayCancel,
                    mayProbe,
                    mayMessagePeers,
                    maxRetryAfterMs);
        }

        /**
         * Returns a text of all settings. Doormans publish a hash of it as the digest of their settings, and operators
         * compare the digests of doormans of different versions, so the names in it must not change.
         */
        @Override
        public String toString() {
            return "Settings[classes=" + classes
                    + ", me=" + doormanIndex
                    + ", directors=" + doormanCount
                    + ", zone=" + zone
                    + ", zoneDirectors=" + doormansPerZone
                    + ", parentKind=" + parentKind
                    + ", originKind=" + originKind
                    + ", sizesCount=" + weighBySize
                    + ", mustAsk=" + mustSubscribe
                    + ", mustAskMs=" + mustSubscribeWithinMs
                    + ", tickMs=" + tickMs
                    + ", answerSlackMs=" + answerSlackMs
                    + ", drainGraceMs=" + drainGraceMs
                    + ", coldCache=" + coldCache
                    + ", coldParent=" + coldParent
                    + ", fallSpanMs=" + overloadSpanMs
                    + ", purgeGraceMs=" + purgeGraceMs
                    + ", purgeDoneMs=" + purgeCompleteMs
                    + ", direct=" + mayBypassCaches
                    + ", joins=" + joinFills
                    + ", siblings=" + siblings
                    + ", notes=" + notes
                    + ", paceKbPerMs=" + paceKbPerMs
                    + ", reports=" + reports
                    + ", reportFields=" + reportFields
                    + ", maxAttempts=" + maxAttempts
                    + ", mayDuplicate=" + mayDuplicate
                    + ", mayCancel=" + mayCancel
                    + ", mayProbe=" + mayProbe
                    + ", mayTell=" + mayMessagePeers
                    + ", maxRetryAfterMs=" + maxRetryAfterMs
                    + "]";
        }
    }

    // ---- events ---------------------------------------------------------------------------------------

    /** The state of a listed node. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One listed node; {@code startedAtMs} 0: started long ago. */
    record Node(long id, int zone, int kind, int cell, State state, double size, double startedAtMs) {}

    /** How a list of nodes is to be interpreted. */
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

        /** Returns false if the outcome proves that the request never ran. */
        public boolean mayHaveRun() {
            return switch (this) {
                case FULL, CONNECT_FAILED, MOOT, MISS -> false;
                default -> true;
            };
        }
    }

    /** What an outcome reports about the copy or its fill. */
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

    /** The events that a policy handles. */
    sealed interface Event permits Members, Request, FirstByte, Outcome, Gone, Alarm, Probed, Told, Purged, Retuned {}

    /** The list of nodes, complete or as a change. */
    record Members(ListKind kind, List<Node> nodes) implements Event {}

    /** A client's request for a part of an object; {@code sizeKb} 0: unknown. */
    record Request(
            long id,
            int classIndex,
            long tenant,
            long object,
            int part,
            int group,
            double remainingMs,
            double sizeKb,
            boolean repeat,
            boolean write)
            implements Event {}

    /** A streamed answer has begun, so the request can't be answered otherwise from now on. */
    record FirstByte(long request, int attempt, long node) implements Event {}

    /** The outcome of an attempt; {@code closed}: the request is over. */
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

    /** The client has left and needs no answer. */
    record Gone(long request) implements Event {}

    /** A timer that the policy ordered with {@link WakeAt} is due. */
    record Alarm(long token) implements Event {}

    /** The answer to a probe. */
    record Probed(long node, Result result, double latencyMs, List<Float> load) implements Event {}

    /** A message from another doorman. */
    record Told(int from, byte[] body) implements Event {}

    /** An object, or with {@code object} 0 all of its group, was purged {@code ageMs} ago. */
    record Purged(int group, long object, double ageMs) implements Event {}

    /**
     * The settings have changed while the policy runs. Classes keep their numbers: a changed or added class is
     * appended to those before, so that pending requests keep the class with which they were accepted.
     */
    record Retuned(Settings settings) implements Event {}

    // ---- actions --------------------------------------------------------------------------------------

    /** The actions that a policy orders from its host. */
    sealed interface Action permits Send, Get, Cancel, Refuse, Fail, WakeAt, Probe, HangUp, Tell, Log, Watch, Fetch {}

    /** Sends an attempt that leaves the choice of a source to the node. */
    record Send(long request, long node, double timeoutMs) implements Action {}

    /**
     * Sends an attempt with instructions for a miss and for the copy.
     *
     * @param source the node that a miss is filled from; equal to {@code node}: no fill
     * @param rank the rank at which the copy is kept; 0: it is not kept
     * @param maxAgeMs the highest age of a copy that is accepted; 0: as its class allows
     * @param join whether the attempt may join a fill that is in progress
     * @param onlyHeld whether the source may answer only with a copy that it holds
     * @param parentKeepsNone whether the parent keeps no copy
     * @param renew whether the node renews a stale copy in the background
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

        /** Returns an attempt whose source may fill from elsewhere and whose parent may keep a copy. */
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

    /** Cancels an attempt. */
    record Cancel(long request, int attempt) implements Action {}

    /** Gives the final answer that the request is refused and may be repeated after {@code pauseMs}. */
    record Refuse(long request, double pauseMs) implements Action {}

    /** Gives the final answer that the request has failed and may or may not have taken effect. */
    record Fail(long request) implements Action {}

    /**
     * Orders an {@link Alarm} at {@code atMs}. An alarm that belongs to a request is not needed any more once that
     * request has its final answer or its client has left.
     */
    record WakeAt(double atMs, long token) implements Action {

        /** Returns whether the alarm belongs to a request. */
        public boolean belongsToRequest() {
            return token >= 0;
        }

        /** Returns the id of the request that the alarm belongs to. */
        public long request() {
            return AlarmToken.request(token);
        }
    }

    /** Sends a health check to a node. */
    record Probe(long node) implements Action {}

    /** Closes the idle connections to a node. */
    record HangUp(long node) implements Action {}

    /** Sends a message to another doorman, or with {@code to} -1 to all. */
    record Tell(int to, byte[] body) implements Action {}

    /** Writes a line to the log. */
    record Log(String line) implements Action {}

    /** Subscribes to changes of the list of nodes, or unsubscribes. */
    record Watch(boolean on) implements Action {}

    /** Requests the complete list of nodes once. */
    record Fetch() implements Action {}
}
