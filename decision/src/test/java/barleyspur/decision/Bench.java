package barleyspur.decision;

import barleyspur.decision.Director.Action;
import barleyspur.decision.Director.Effect;
import barleyspur.decision.Director.Event;
import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.ListKind;
import barleyspur.decision.Director.Node;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Outcome;
import barleyspur.decision.Director.Result;
import barleyspur.decision.Director.State;
import java.util.ArrayList;
import java.util.List;

/** A test harness that gives a policy a clock, passes it events and collects the actions that it orders. */
final class Bench {

    static final int CACHE = 0;
    static final int PARENT = 2;
    static final int ORIGIN = 3;
    static final double TICK = 2;

    final Decide director;
    double now = 100_000;
    private long lastRequest;

    Bench(Director.Settings settings) {
        this(settings, 7);
    }

    Bench(Director.Settings settings, long seed) {
        director = new Decide(settings, seed);
    }

    static Director.RequestClass requestClass(Effect effect, double freshMs) {
        return new Director.RequestClass(
                effect, Director.Scope.CELL, 2_000, 400, 2, 5_000, 1, 0.2, false, false, false, freshMs, 0, 0.7);
    }

    /** Returns settings with four classes: 0 fresh until purged, 1 fresh for 8 s, 2 unsafe, 3 keyed within a cell. */
    static Director.Settings settings() {
        return settings(0, 2);
    }

    /** Returns a class whose copies are fresh for 8 s and may be used stale for 20 s more, at 0.7 of their worth. */
    static Director.RequestClass staleClass() {
        return new Director.RequestClass(
                Effect.SAFE, Director.Scope.ALL, 0, 400, 2, 5_000, 1, 0.2, false, false, false, 8_000, 20_000, 0.7);
    }

    static Director.Settings settings(int me, int directors) {
        return settings(me, directors, classes());
    }

    static Director.Settings settings(List<Director.RequestClass> classes) {
        return settings(0, 2, classes);
    }

    private static List<Director.RequestClass> classes() {
        return List.of(
                requestClass(Effect.SAFE, 0),
                requestClass(Effect.SAFE, 8_000),
                requestClass(Effect.UNSAFE, 0),
                requestClass(Effect.KEYED, 0));
    }

    /**
     * Returns settings where notes report hits only, as on the platform: a refused fill doesn't say who refused it.
     */
    static Director.Settings tellsHits() {
        return settings(0, 2, classes(), Director.Notes.HIT);
    }

    private static Director.Settings settings(int me, int directors, List<Director.RequestClass> classes) {
        return settings(me, directors, classes, Director.Notes.ALL);
    }

    private static Director.Settings settings(
            int me, int directors, List<Director.RequestClass> classes, Director.Notes notes) {
        return new Director.Settings(
                classes,
                me,
                directors,
                1,
                List.of(0, directors),
                PARENT,
                ORIGIN,
                false,
                false,
                0,
                TICK,
                8,
                1_000,
                new Director.ColdRule(0.25, 16_000, 4),
                new Director.ColdRule(0.06, 20_000, 2),
                1_500,
                500,
                6_000,
                true,
                true,
                Director.Siblings.NONE,
                notes,
                5,
                Director.Reports.WITH_ANSWERS,
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
    Bench list(int caches) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 1; i <= caches; i++) {
            nodes.add(node(i, CACHE));
        }
        nodes.addAll(List.of(node(11, PARENT), node(12, PARENT), node(20, ORIGIN)));
        tell(new Director.Members(ListKind.CACHED, nodes));
        return this;
    }

    List<Action> change(Node... nodes) {
        return tell(new Director.Members(ListKind.DELTA, List.of(nodes)));
    }

    List<Action> tell(Event event) {
        List<Action> actions = new ArrayList<>();
        director.handle(now, event, actions::add);
        return actions;
    }

    List<Action> request(int category, long object, double remainingMs) {
        return request(category, object, remainingMs, 0);
    }

    List<Action> request(int category, long object, double remainingMs, double sizeKb) {
        return tell(new Director.Request(++lastRequest, category, 0, object, 0, 5, remainingMs, sizeKb, false, false));
    }

    /** Sends a new request of class 0 for an object and returns the attempt that it leads to. */
    Get get(long object) {
        return only(request(0, object, 4_000), Get.class);
    }

    List<Action> outcome(Get get, int attempt, Result result, Note note) {
        return outcome(get, attempt, result, note, 100);
    }

    List<Action> outcome(Get get, int attempt, Result result, Note note, double latencyMs) {
        return tell(new Outcome(
                get.request(), attempt, get.node(), result, latencyMs, result == Result.OK, note, 10, List.of()));
    }

    /** Ends the first attempt of a request with a successful fill. */
    Get served(Get get) {
        outcome(get, 0, Result.OK, Note.FILLED);
        return get;
    }

    /** Returns the timer ahead of the client's deadline, which is the first one of a request. */
    static Director.WakeAt deadline(List<Action> actions) {
        return all(actions, Director.WakeAt.class).get(0);
    }

    static <T> List<T> all(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <T> T only(List<Action> actions, Class<T> type) {
        List<T> found = all(actions, type);
        if (found.size() != 1) {
            throw new AssertionError("expected one " + type.getSimpleName() + " in " + actions);
        }
        return found.get(0);
    }
}
