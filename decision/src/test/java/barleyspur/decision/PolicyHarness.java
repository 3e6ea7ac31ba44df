package barleyspur.decision;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Effect;
import barleyspur.decision.RoutingPolicy.Event;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.ListKind;
import barleyspur.decision.RoutingPolicy.Node;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Outcome;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import java.util.ArrayList;
import java.util.List;

/** A test harness that gives a policy a clock, passes it events and collects the actions that it orders. */
final class PolicyHarness {

    static final int CACHE = 0;
    static final int PARENT = 2;
    static final int ORIGIN = 3;
    static final double TICK_MS = 2;

    final LeastRecentlyLostPolicy policy;
    double nowMs = 100_000;
    private long lastRequest;

    PolicyHarness(RoutingPolicy.Settings settings) {
        this(settings, 7);
    }

    PolicyHarness(RoutingPolicy.Settings settings, long seed) {
        policy = new LeastRecentlyLostPolicy(settings, seed);
    }

    static RoutingPolicy.RequestClass requestClass(Effect effect, double freshMs) {
        return new RoutingPolicy.RequestClass(
                effect, RoutingPolicy.Scope.CELL, 2_000, 400, 2, 5_000, 1, 0.2, false, false, false, freshMs, 0, 0.7);
    }

    /** Returns settings with four classes: 0 fresh until purged, 1 fresh for 8 s, 2 unsafe, 3 keyed within a cell. */
    static RoutingPolicy.Settings settings() {
        return settings(0, 2);
    }

    /** Returns a class whose copies are fresh for 8 s and may be used stale for 20 s more, at 0.7 of their worth. */
    static RoutingPolicy.RequestClass staleClass() {
        return new RoutingPolicy.RequestClass(
                Effect.SAFE,
                RoutingPolicy.Scope.ALL,
                0,
                400,
                2,
                5_000,
                1,
                0.2,
                false,
                false,
                false,
                8_000,
                20_000,
                0.7);
    }

    static RoutingPolicy.Settings settings(int doormanIndex, int doormanCount) {
        return settings(doormanIndex, doormanCount, classes());
    }

    static RoutingPolicy.Settings settings(List<RoutingPolicy.RequestClass> classes) {
        return settings(0, 2, classes);
    }

    private static List<RoutingPolicy.RequestClass> classes() {
        return List.of(
                requestClass(Effect.SAFE, 0),
                requestClass(Effect.SAFE, 8_000),
                requestClass(Effect.UNSAFE, 0),
                requestClass(Effect.KEYED, 0));
    }

    /**
     * Returns settings where notes report hits only, as on the platform: a refused fill doesn't say who refused it.
     */
    static RoutingPolicy.Settings hitNotesSettings() {
        return settings(0, 2, classes(), RoutingPolicy.Notes.HIT);
    }

    private static RoutingPolicy.Settings settings(
            int doormanIndex, int doormanCount, List<RoutingPolicy.RequestClass> classes) {
        return settings(doormanIndex, doormanCount, classes, RoutingPolicy.Notes.ALL);
    }

    private static RoutingPolicy.Settings settings(
            int doormanIndex, int doormanCount, List<RoutingPolicy.RequestClass> classes, RoutingPolicy.Notes notes) {
        return new RoutingPolicy.Settings(
                classes,
                doormanIndex,
                doormanCount,
                1,
                List.of(0, doormanCount),
                PARENT,
                ORIGIN,
                false,
                false,
                0,
                TICK_MS,
                8,
                1_000,
                new RoutingPolicy.ColdRule(0.25, 16_000, 4),
                new RoutingPolicy.ColdRule(0.06, 20_000, 2),
                1_500,
                500,
                6_000,
                true,
                true,
                RoutingPolicy.Siblings.NONE,
                notes,
                5,
                RoutingPolicy.Reports.WITH_ANSWERS,
                List.of("load_share"),
                6,
                true,
                true,
                true,
                false,
                500);
    }

    static Node node(long id, int kind, State state, double startedAtMs) {
        return new Node(id, kind == CACHE ? 1 : 0, kind, (int) id % 2, state, 1, startedAtMs);
    }

    static Node node(long id, int kind) {
        return node(id, kind, State.READY, 0);
    }

    /** Lists caches 1 to {@code caches}, parents 11 and 12 and origin 20. */
    PolicyHarness listNodes(int caches) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 1; i <= caches; i++) {
            nodes.add(node(i, CACHE));
        }
        nodes.addAll(List.of(node(11, PARENT), node(12, PARENT), node(20, ORIGIN)));
        handle(new RoutingPolicy.Members(ListKind.CACHED, nodes));
        return this;
    }

    List<Action> changeNodes(Node... nodes) {
        return handle(new RoutingPolicy.Members(ListKind.DELTA, List.of(nodes)));
    }

    List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(nowMs, event, actions::add);
        return actions;
    }

    List<Action> request(int classIndex, long object, double remainingMs) {
        return request(classIndex, object, remainingMs, 0);
    }

    List<Action> request(int classIndex, long object, double remainingMs, double sizeKb) {
        return handle(new RoutingPolicy.Request(
                ++lastRequest, classIndex, 0, object, 0, 5, remainingMs, sizeKb, false, false));
    }

    /** Sends a new request of class 0 for an object and returns the attempt that it leads to. */
    Get get(long object) {
        return onlyAction(request(0, object, 4_000), Get.class);
    }

    List<Action> outcome(Get get, int attempt, Result result, Note note) {
        return outcome(get, attempt, result, note, 100);
    }

    List<Action> outcome(Get get, int attempt, Result result, Note note, double latencyMs) {
        return handle(new Outcome(
                get.request(), attempt, get.node(), result, latencyMs, result == Result.OK, note, 10, List.of()));
    }

    /** Ends the first attempt of a request with a successful fill. */
    Get serve(Get get) {
        outcome(get, 0, Result.OK, Note.FILLED);
        return get;
    }

    /** Returns the timer ahead of the client's deadline, which is the first one of a request. */
    static RoutingPolicy.WakeAt deadline(List<Action> actions) {
        return actionsOf(actions, RoutingPolicy.WakeAt.class).get(0);
    }

    static <T> List<T> actionsOf(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <T> T onlyAction(List<Action> actions, Class<T> type) {
        List<T> found = actionsOf(actions, type);
        if (found.size() != 1) {
            throw new AssertionError("expected one " + type.getSimpleName() + " in " + actions);
        }
        return found.get(0);
    }
}
