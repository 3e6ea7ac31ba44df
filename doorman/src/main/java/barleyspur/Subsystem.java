package barleyspur;

import barleyspur.admin.Routes;

/**
 * An optional component that the platform's {@code run} line doesn't enable. It is used through this interface so that
 * none of its classes are loaded without its settings. All methods but {@link #addTo} are called on the event loop.
 */
public interface Subsystem {

    /** Adds the component's routes to those of the administration address. */
    void addTo(Routes.Builder routes);

    /** Starts the component, when the doorman starts serving. */
    void start();

    /** Called when the doorman's lifecycle has changed. */
    void onLifecycleChange();

    /** Announces that the doorman is about to end, then runs {@code whenStopped}. */
    void stop(Runnable whenStopped);
}
