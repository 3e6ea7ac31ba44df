package barleyspur.expect;

import barleyspur.decision.LeastRecentlyLostPolicy;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/** Compares the routing of two configurations request by request, with the same requests and faults in both. */
public final class RoutingComparison {

    /**
     * How the first try of a request was routed. The command prints the result of {@code toString}, so the names of
     * the type and its components are part of the output.
     */
    private record Way(String target, String source, int rank, String ending, int attempts) {
        static final Way NONE = new Way("none", "none", 0, "none", 0);
    }

    /** A request that is routed differently. */
    public record Difference(ClientRequest request, String className, String aspect, String before, String after) {}

    /**
     * The result of a comparison.
     *
     * @param requests       number of compared requests
     * @param changed        number of requests that are routed differently
     * @param countsByAspect number of differences by their first aspect: target, source, rank, answer or attempts
     * @param examples       the first differences
     */
    public record Result(
            long requests, long changed, Map<String, Long> countsByAspect, List<Difference> examples, long scenarios) {}

    private static final int MAX_EXAMPLES = 20;

    private RoutingComparison() {}

    /**
     * Simulates the scenarios that are generated for {@code before} with the settings and boxes of both deployments.
     * Stations and request classes must be the same.
     */
    public static Result of(
            Deployment before,
            Deployment after,
            List<Workload> workloads,
            List<FaultScript> faultScripts,
            long seed,
            int maxSequenceLength,
            BooleanSupplier continueRunning) {
        ScenarioGenerator generator =
                new ScenarioGenerator(before, workloads, faultScripts, seed, maxSequenceLength, true);
        Map<String, Long> countsByAspect = new LinkedHashMap<>();
        List<Difference> examples = new ArrayList<>();
        long requests = 0;
        long changed = 0;
        long scenarios = 0;
        int requiredScenarios = (faultScripts.size() * ScenarioGenerator.VARIANTS_PER_SCRIPT + 1) * workloads.size();
        while (scenarios < requiredScenarios || continueRunning.getAsBoolean()) {
            Scenario scenario = generator.next().scenario();
            scenarios++;
            Scenario transferred = transfer(scenario, before, after);
            Map<Integer, Way> routesBefore = routesByRequest(scenario);
            Map<Integer, Way> routesAfter = routesByRequest(transferred);
            for (ClientRequest request : scenario.requests()) {
                Way routeBefore = routesBefore.getOrDefault(request.index(), Way.NONE);
                Way routeAfter = routesAfter.getOrDefault(request.index(), Way.NONE);
                requests++;
                if (routeBefore.equals(routeAfter)) {
                    continue;
                }
                changed++;
                String aspect = !routeBefore.target.equals(routeAfter.target)
                        ? "target"
                        : !routeBefore.source.equals(routeAfter.source)
                                ? "source"
                                : routeBefore.rank != routeAfter.rank
                                        ? "rank"
                                        : !routeBefore.ending.equals(routeAfter.ending) ? "answer" : "attempts";
                countsByAspect.merge(aspect, 1L, Long::sum);
                if (examples.size() < MAX_EXAMPLES) {
                    examples.add(new Difference(
                            request,
                            scenario.deployment().classNames().get(request.classIndex()),
                            aspect,
                            routeBefore.toString(),
                            routeAfter.toString()));
                }
            }
        }
        return new Result(requests, changed, countsByAspect, examples, scenarios);
    }

    /** The same scenario in the other deployment, with its new boxes and without faults of boxes that it lacks. */
    private static Scenario transfer(Scenario scenario, Deployment before, Deployment after) {
        Set<Long> simulatedIds = nodeIds(scenario.deployment());
        Set<Long> idsBefore = nodeIds(before);
        List<Box> boxes = after.boxes().stream()
                .filter(box -> simulatedIds.contains(box.nodeId()) || !idsBefore.contains(box.nodeId()))
                .toList();
        Deployment deployment = Deployment.of(
                after.name(),
                after.rawSettings(),
                after.sharedSettings(),
                scenario.deployment().doormanZones(),
                scenario.deployment().stationNames(),
                after.modelNames(),
                scenario.deployment().classNames(),
                boxes);
        Set<Long> idsAfter = nodeIds(deployment);
        return scenario.withDeployment(deployment)
                .withFaults(scenario.faults().stream()
                        .filter(fault -> fault.nodeId() < 0 || idsAfter.contains(fault.nodeId()))
                        .toList());
    }

    private static Set<Long> nodeIds(Deployment deployment) {
        return deployment.boxes().stream().map(Box::nodeId).collect(Collectors.toSet());
    }

    private static Map<Integer, Way> routesByRequest(Scenario scenario) {
        Map<Integer, Way> routes = new LinkedHashMap<>();
        new ScenarioSimulation(scenario, LeastRecentlyLostPolicy::new, new SimulationObserver() {
                    @Override
                    public void onRoutingEvent(RoutingEvent event) {
                        int requestIndex = event.clientTry().request().index();
                        if (event.clientTry().tryNumber() > 1) {
                            return;
                        }
                        Way route = routes.getOrDefault(requestIndex, Way.NONE);
                        if (event instanceof RoutingEvent.Attempt attempt && attempt.number() == 1) {
                            route = new Way(
                                    attempt.target().box().uid(),
                                    attempt.source() == null
                                            ? "none"
                                            : attempt.source().box().uid(),
                                    attempt.rank(),
                                    route.ending,
                                    1);
                        } else if (event instanceof RoutingEvent.Answer answer) {
                            route = new Way(
                                    route.target,
                                    route.source,
                                    route.rank,
                                    answer.outcome().label(),
                                    answer.attempts());
                        }
                        routes.put(requestIndex, route);
                    }

                    @Override
                    public void onFault(double atMs, Fault fault, Box box) {}

                    @Override
                    public void onListUpdate(
                            double atMs, int doormanIndex, Box box, RoutingEvent.ListedState state, boolean newStart) {}
                })
                .run();
        return routes;
    }
}
