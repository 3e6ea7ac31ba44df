package barleyspur.admin;

import barleyspur.admin.http.HttpAnswer;
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
public final class LifecycleCalls {

    private static final Logger LOG = LoggerFactory.getLogger("admin");
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Lifecycle lifecycle;
    private final Clock clock;
    private final Runnable quiesced;

    /** Creates the routes; {@code quiesced} runs when a quiesce has started and closes the idle client connections. */
    public LifecycleCalls(Lifecycle lifecycle, Clock clock, Runnable quiesced) {
        this.lifecycle = lifecycle;
        this.clock = clock;
        this.quiesced = quiesced;
    }

    /** Adds these routes to {@code routes}. */
    public Routes.Builder addTo(Routes.Builder routes) {
        return routes.add("GET", "/admin/health", call -> state(lifecycle.ready() ? OK : UNAVAILABLE))
                .add("PUT", "/admin/quiesce", call -> quiesce())
                .add("PUT", "/admin/resume", call -> resume());
    }

    private HttpAnswer quiesce() {
        if (lifecycle.quiesce(clock.nowMs())) {
            LogEvent.log(LOG.atInfo(), "quiesced: clients are sent away");
            quiesced.run();
        }
        return state(lifecycle.phase() == Lifecycle.Phase.QUIESCED ? OK : CONFLICT);
    }

    private HttpAnswer resume() {
        boolean was = lifecycle.phase() == Lifecycle.Phase.QUIESCED;
        if (!lifecycle.resume(clock.nowMs())) {
            return state(CONFLICT);
        }
        if (was) {
            LogEvent.log(LOG.atInfo(), "resumed: clients are taken again");
        }
        return state(OK);
    }

    private HttpAnswer state(int status) {
        return HttpAnswer.json(
                status,
                "{\"ready\":" + lifecycle.ready() + ",\"phase\":\""
                        + lifecycle.phase().word() + "\"}");
    }
}
