package barleyspur;

import barleyspur.admin.Routes;
import barleyspur.admin.http.HttpResponse;
import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.EventLoopClock;
import barleyspur.front.thrift.InputBudgets;
import barleyspur.transport.ByteBudget;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.internal.PlatformDependent;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import org.json.JSONObject;

/**
 * Reports where the memory of a doorman is: {@code GET /admin/memory}. All values are bytes but {@code refused}, which
 * counts refusals since the start, and the counts of what is open, by which a leak shows: once no request is open, there
 * are no attempts, no requests in the routing policy, and only the timers that connections and subsystems need.
 */
final class MemoryReport {

    private static final int OK = 200;

    private final InputBudgets inputBudgets;
    private final Doorman doorman;
    private final LeastRecentlyLostPolicy policy;
    private final Clock clock;

    MemoryReport(InputBudgets inputBudgets, Doorman doorman, LeastRecentlyLostPolicy policy, Clock clock) {
        this.inputBudgets = inputBudgets;
        this.doorman = doorman;
        this.policy = policy;
        this.clock = clock;
    }

    /** Adds the route to {@code routes}. */
    Routes.Builder addTo(Routes.Builder routes) {
        return routes.add("GET", "/admin/memory", request -> HttpResponse.json(OK, toJson().toString()));
    }

    private JSONObject toJson() {
        return new JSONObject()
                .put("heap", heap())
                .put("direct", direct())
                .put("partial_frames", budget(inputBudgets.partialFrames()))
                .put("request_bodies", budget(inputBudgets.bodies()))
                .put("open_requests", budget(inputBudgets.requests()))
                .put("open", open());
    }

    private JSONObject open() {
        int timers = clock.pendingTimers();
        return new JSONObject()
                .put("requests", doorman.openRequests())
                .put("attempts", doorman.openAttempts())
                .put("policy_requests", policy.openRequestCount())
                .put("timers", timers)
                .put("timer_bytes", (long) timers * EventLoopClock.TIMER_BYTES);
    }

    private static JSONObject heap() {
        long peakBytes = ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP)
                .map(MemoryPoolMXBean::getPeakUsage)
                .mapToLong(usage -> usage.getUsed())
                .sum();
        Runtime runtime = Runtime.getRuntime();
        return new JSONObject()
                .put("used", runtime.totalMemory() - runtime.freeMemory())
                .put("peak_of_pools", peakBytes)
                .put("max", runtime.maxMemory());
    }

    private static JSONObject direct() {
        PooledByteBufAllocator allocator = PooledByteBufAllocator.DEFAULT;
        return new JSONObject()
                .put("in_use", allocator.pinnedDirectMemory())
                .put("allocated", allocator.metric().usedDirectMemory())
                .put("max", PlatformDependent.maxDirectMemory());
    }

    private static JSONObject budget(ByteBudget budget) {
        return new JSONObject()
                .put("held", budget.heldBytes())
                .put("peak", budget.peakBytes())
                .put("max", budget.maxBytes())
                .put("refused", budget.refusals());
    }
}
