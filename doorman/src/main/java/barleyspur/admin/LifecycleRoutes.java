package barleyspur.admin;

import barleyspur.admin.http.HttpResponse;
import barleyspur.doorman.Clock;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The administration routes of a doorman's lifecycle. {@code GET /admin/health} returns 200 while the doorman accepts
 * clients and 503 otherwise; {@code PUT /admin/quiesce} starts a drain of the clients and {@code PUT /admin/resume}
 * ends it. Each response contains the phase, as in {@code {"ready":false,"phase":"quiesced"}}.
 */
public final class LifecycleRoutes {

    private static final Logger LOG = LoggerFactory.getLogger("admin");
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Lifecycle lifecycle;
    private final Clock clock;
    private final Runnable onQuiesce;

    /** Creates the routes; {@code quiesced} runs when a quiesce has started and closes the idle client connections. */
    public LifecycleRoutes(Lifecycle lifecycle, Clock clock, Runnable onQuiesce) {
        this.lifecycle = lifecycle;
        this.clock = clock;
        this.onQuiesce = onQuiesce;
    }

    /** Adds these routes to {@code routes}. */
    public Routes.Builder addTo(Routes.Builder routes) {
        return routes.add("GET", "/admin/health", request -> phaseResponse(lifecycle.isReady() ? OK : UNAVAILABLE))
                .add("PUT", "/admin/quiesce", request -> quiesce())
                .add("PUT", "/admin/resume", request -> resume());
    }

    private HttpResponse quiesce() {
        if (lifecycle.quiesce(clock.nowMs())) {
            LogEvent.log(LOG.atInfo(), "quiesced: clients are sent away");
            onQuiesce.run();
        }
        return phaseResponse(lifecycle.phase() == Lifecycle.Phase.QUIESCED ? OK : CONFLICT);
    }

    private HttpResponse resume() {
        boolean wasQuiesced = lifecycle.phase() == Lifecycle.Phase.QUIESCED;
        if (!lifecycle.resume(clock.nowMs())) {
            return phaseResponse(CONFLICT);
        }
        if (wasQuiesced) {
            LogEvent.log(LOG.atInfo(), "resumed: clients are taken again");
        }
        return phaseResponse(OK);
    }

    private HttpResponse phaseResponse(int status) {
        return HttpResponse.json(
                status,
                "{\"ready\":" + lifecycle.isReady() + ",\"phase\":\""
                        + lifecycle.phase().label() + "\"}");
    }
}
