package barleyspur.budget.net;

import barleyspur.budget.BudgetSnapshot;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Builds the response to {@code GET /admin/budget}. Some of its keys differ from the names in this program: the
 * {@code divider} is the lease coordinator, {@code whole} the capacity, and {@code holdings} are the holders of leases.
 */
final class BudgetStatusJson {

    private BudgetStatusJson() {}

    /**
     * Converts a snapshot to JSON.
     *
     * @param snapshot null if this process has no address in its fleet yet
     */
    static JSONObject toJson(String name, BudgetSnapshot snapshot) {
        JSONObject json = new JSONObject().put("self", name).put("ready", snapshot != null);
        if (snapshot == null) {
            return json;
        }
        JSONArray ownLeases = new JSONArray();
        for (BudgetSnapshot.OwnLease lease : snapshot.ownLeases()) {
            ownLeases.put(new JSONObject()
                    .put("budget", lease.budget())
                    .put("kind", lowerCaseName(lease.kind()))
                    .put("whole", lease.capacity())
                    .put("floor", lease.floor())
                    .put("amount", lease.leasedAmount())
                    .put("left_ms", Math.round(lease.remainingMs()))
                    .put("using", lease.inUse())
                    .put("demand", Math.round(lease.demand() * 10) / 10.0)
                    .put("overslept", lease.lateSends())
                    .put("overheld", lease.overlongHolds()));
        }
        JSONArray allocations = new JSONArray();
        for (BudgetSnapshot.Allocation allocation : snapshot.allocations()) {
            JSONArray holders = new JSONArray();
            for (BudgetSnapshot.HolderState holder : allocation.holders()) {
                holders.put(new JSONObject()
                        .put("doorman", holder.doorman())
                        .put("address", holder.address())
                        .put("committed", holder.committed())
                        .put("target", holder.target())
                        .put("wants", holder.demand())
                        .put("using", holder.inUse())
                        .put("weight", holder.weight())
                        .put("left_ms", Math.round(holder.remainingMs()))
                        .put("heard_ms", Math.round(holder.sinceLastReportMs()))
                        .put("gone", holder.hasLeft()));
            }
            allocations.put(new JSONObject()
                    .put("budget", allocation.budget())
                    .put("kind", lowerCaseName(allocation.kind()))
                    .put("whole", allocation.capacity())
                    .put("limit", allocation.leasable())
                    .put("out", allocation.committed())
                    .put("why", allocation.reason())
                    .put("holdings", holders));
        }
        return json.put("divides", snapshot.coordinating())
                .put("term", snapshot.epoch())
                .put("term_left_ms", Math.round(snapshot.epochRemainingMs()))
                .put("divider", snapshot.coordinatorAddress())
                .put("lost", snapshot.coordinatorLost())
                .put("silent", snapshot.abstaining())
                .put("own", ownLeases)
                .put("divided", allocations);
    }

    private static String lowerCaseName(Enum<?> kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
