package barleyspur.fleet.net;

import barleyspur.admin.Routes;
import barleyspur.admin.http.HttpResponse;
import barleyspur.doorman.Clock;
import barleyspur.fleet.Membership;
import barleyspur.fleet.MembershipRecord;
import barleyspur.fleet.View;
import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/** The read-only administration routes of the fleet view: {@code GET /admin/fleet} and {@code GET /admin/metrics}. */
final class FleetAdminEndpoints {

    private static final int OK = 200;

    private final Membership membership;
    private final Clock clock;
    private final String fleet;
    private final FleetMetrics metrics;

    FleetAdminEndpoints(Membership membership, Clock clock, String fleet, FleetMetrics metrics) {
        this.membership = membership;
        this.clock = clock;
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void addTo(Routes.Builder routes) {
        routes.add(
                "GET", "/admin/fleet", call -> HttpResponse.json(OK, viewJson().toString()));
        routes.add(
                "GET",
                "/admin/metrics",
                call -> new HttpResponse(OK, Map.of(), "text/plain; version=0.0.4", metrics.scrape()));
    }

    private JSONObject viewJson() {
        double nowMs = clock.nowMs();
        View view = membership.view(nowMs);
        JSONArray members = new JSONArray();
        for (View.Member member : view.members()) {
            members.put(memberJson(member, nowMs));
        }
        return new JSONObject()
                .put("fleet", fleet)
                .put("self", view.self().name())
                .put("version", view.version())
                .put("digest", Long.toHexString(view.digest()))
                .put("in_doubt", view.inDoubt())
                .put("name_given_up", view.nameGivenUp())
                .put("size", view.memberCount())
                .put("members", members);
    }

    private static JSONObject memberJson(View.Member member, double nowMs) {
        MembershipRecord record = member.record();
        JSONObject json = new JSONObject()
                .put("name", record.name())
                .put("listed", member.listed())
                .put("standing", record.state().name().toLowerCase(Locale.ROOT))
                .put("life", record.generation())
                .put("nonce", Long.toHexString(record.nonce()))
                .put("incarnation", record.incarnation())
                .put("address", record.metadata().address())
                .put("zone", record.metadata().zone())
                .put("phase", record.metadata().phase())
                .put("program", record.metadata().programVersion())
                .put("settings", Long.toHexString(record.metadata().settingsDigest()))
                .put("format", record.metadata().newestFormat())
                .put("since_ms", Math.round(nowMs - member.stateSinceMs()))
                .put("why", member.reason().name().toLowerCase(Locale.ROOT))
                .put("from", member.source());
        if (member.lastHeardMs() > Double.NEGATIVE_INFINITY) {
            json.put("heard_ms", Math.round(nowMs - member.lastHeardMs()));
        }
        if (!record.accuser().isEmpty()) {
            json.put("by", record.accuser());
        }
        MemberCounters counters = MemberCounters.decode(record.metadata().extensions());
        if (counters != null) {
            json.put("stood_still", counters.pauses()).put("raised", counters.generationRaises());
        }
        return json;
    }
}
