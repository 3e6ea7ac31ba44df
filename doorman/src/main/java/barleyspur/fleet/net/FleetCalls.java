package barleyspur.fleet.net;

import barleyspur.admin.Routes;
import barleyspur.admin.http.HttpResponse;
import barleyspur.doorman.Clock;
import barleyspur.fleet.Membership;
import barleyspur.fleet.Saying;
import barleyspur.fleet.View;
import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/** The second address's calls on the fleet view, read-only: {@code GET /admin/fleet} and {@code GET /admin/metrics}. */
final class FleetCalls {

    private static final int OK = 200;

    private final Membership membership;
    private final Clock clock;
    private final String fleet;
    private final FleetMetrics metrics;

    FleetCalls(Membership membership, Clock clock, String fleet, FleetMetrics metrics) {
        this.membership = membership;
        this.clock = clock;
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void addTo(Routes.Builder routes) {
        routes.add("GET", "/admin/fleet", call -> HttpResponse.json(OK, view().toString()));
        routes.add(
                "GET",
                "/admin/metrics",
                call -> new HttpResponse(OK, Map.of(), "text/plain; version=0.0.4", metrics.text()));
    }

    private JSONObject view() {
        double now = clock.nowMs();
        View view = membership.view(now);
        JSONArray members = new JSONArray();
        for (View.Member m : view.members()) {
            members.put(member(m, now));
        }
        return new JSONObject()
                .put("fleet", fleet)
                .put("self", view.self().name())
                .put("version", view.version())
                .put("digest", Long.toHexString(view.digest()))
                .put("in_doubt", view.inDoubt())
                .put("name_given_up", view.nameGivenUp())
                .put("size", view.size())
                .put("members", members);
    }

    private static JSONObject member(View.Member m, double now) {
        Saying s = m.saying();
        JSONObject json = new JSONObject()
                .put("name", s.name())
                .put("listed", m.listed())
                .put("standing", s.standing().name().toLowerCase(Locale.ROOT))
                .put("life", s.life())
                .put("nonce", Long.toHexString(s.nonce()))
                .put("incarnation", s.incarnation())
                .put("address", s.about().address())
                .put("zone", s.about().zone())
                .put("phase", s.about().phase())
                .put("program", s.about().program())
                .put("settings", Long.toHexString(s.about().settings()))
                .put("format", s.about().format())
                .put("since_ms", Math.round(now - m.sinceMs()))
                .put("why", m.why().name().toLowerCase(Locale.ROOT))
                .put("from", m.from());
        if (m.heardMs() > Double.NEGATIVE_INFINITY) {
            json.put("heard_ms", Math.round(now - m.heardMs()));
        }
        if (!s.by().isEmpty()) {
            json.put("by", s.by());
        }
        Counters counters = Counters.decode(s.about().more());
        if (counters != null) {
            json.put("stood_still", counters.stills()).put("raised", counters.raises());
        }
        return json;
    }
}
