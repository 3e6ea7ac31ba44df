package barleyspur;

import barleyspur.admin.Routes;

/**
 * A part that the platform's {@code run} line doesn't switch on: reached through this, so that where its settings are
 * missing none of its classes are loaded. All calls come on the event loop but for {@link #addTo}.
 */
public interface Subsystem {

    /** Adds its calls to the second address's. */
    void addTo(Routes.Builder routes);

    /** Begins; the doorman serves from now on, or soon. */
    void start();

    /** Something that it may follow has changed: the doorman's lifecycle. */
    void refresh();

    /** The doorman is about to end: says so to whom it concerns, then runs {@code left}. */
    void leave(Runnable left);
}
