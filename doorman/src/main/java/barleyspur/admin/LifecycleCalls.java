package barleyspur.admin;

import barleyspur.admin.http.HttpAnswer;
import barleyspur.doorman.Clock;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' calls on a doorman's lifecycle: {@code GET /admin/health} says yes (200) while it takes clients and no
 * (503) otherwise; {@code PUT /admin/quiesce} sends clients away, {@code PUT /admin/resume} takes them again. Each
 * answer holds the phase, as in {@code {"ready":false,"phase":"quiesced"}}.
 */
public final class LifecycleCalls {

    private static final Logger LOG = LoggerFactory.getLogger("admin");
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final Lifecycle lifecycle;
    private final Clock clock;
    private final Runnable quiesced;

    /** {@code quiesced} runs once a quiesce is new: it closes the idle connections. */
    public LifecycleCalls(Lifecycle lifecycle, Clock clock, Runnable quiesced) {
        this.lifecycle = lifecycle;
        this.clock = clock;
        this.quiesced = quiesced;
    }

    /** Adds the calls to {@code routes}. */
    public Routes.Builder addTo(Routes.Builder routes) {
        return routes.add("GET", "/admin/health", call -> state(lifecycle.isReady() ? OK : UNAVAILABLE))
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
                "{\"ready\":" + lifecycle.isReady() + ",\"phase\":\""
                        + lifecycle.phase().label() + "\"}");
    }
}
