package barleyspur.budget.net;

import barleyspur.budget.Ledger;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/** Builds the response to {@code GET /admin/budget}. */
final class BudgetCalls {

    private BudgetCalls() {}

    /** @param ledger null if this process has no address in its fleet yet */
    static JSONObject json(String name, Ledger ledger) {
        JSONObject json = new JSONObject().put("self", name).put("ready", ledger != null);
        if (ledger == null) {
            return json;
        }
        JSONArray own = new JSONArray();
        for (Ledger.Own o : ledger.own()) {
            own.put(new JSONObject()
                    .put("budget", o.budget())
                    .put("kind", word(o.kind()))
                    .put("whole", o.whole())
                    .put("floor", o.floor())
                    .put("amount", o.amount())
                    .put("left_ms", Math.round(o.leftMs()))
                    .put("using", o.using())
                    .put("demand", Math.round(o.demand() * 10) / 10.0)
                    .put("overslept", o.overslept())
                    .put("overheld", o.overheld()));
        }
        JSONArray rows = new JSONArray();
        for (Ledger.Row r : ledger.rows()) {
            JSONArray holdings = new JSONArray();
            for (Ledger.Holding h : r.holdings()) {
                holdings.put(new JSONObject()
                        .put("doorman", h.doorman())
                        .put("address", h.address())
                        .put("committed", h.committed())
                        .put("target", h.target())
                        .put("wants", h.wants())
                        .put("using", h.using())
                        .put("weight", h.weight())
                        .put("left_ms", Math.round(h.leftMs()))
                        .put("heard_ms", Math.round(h.heardMs()))
                        .put("gone", h.gone()));
            }
            rows.put(new JSONObject()
                    .put("budget", r.budget())
                    .put("kind", word(r.kind()))
                    .put("whole", r.whole())
                    .put("limit", r.limit())
                    .put("out", r.out())
                    .put("why", r.why())
                    .put("holdings", holdings));
        }
        return json.put("divides", ledger.divides())
                .put("term", ledger.term())
                .put("term_left_ms", Math.round(ledger.termLeftMs()))
                .put("divider", ledger.divider())
                .put("lost", ledger.lost())
                .put("silent", ledger.silent())
                .put("own", own)
                .put("divided", rows);
    }

    private static String word(Enum<?> kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
