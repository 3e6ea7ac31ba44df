package barleyspur.cli;

/**
 * Handles SIGHUP, which reloads the configuration. The handler has to be installed first of all, because an unhandled
 * SIGHUP ends the JVM; a signal that arrives before the doorman exists is kept and runs once a task is set.
 */
final class ReloadSignal {

    private static final String NAME = "HUP";

    /** The task that a signal runs; null until there is a doorman to reload. */
    private Runnable task;

    private boolean pending;

    /**
     * Installs the handler, also where the parent process has set the signal to be ignored; returns false if the
     * platform does not allow that. The deployment starts the process with the signal ignored, so that none can end
     * the JVM before this call. One that is ignored until then asks for a file that has not been read yet.
     */
    boolean install() {
        return Signals.handle(NAME, this::onSignal)
                || IgnoredSignals.makeDeliverable(Signals.numberOf(NAME)) && Signals.handle(NAME, this::onSignal);
    }

    /** Loads all that {@link #install} may need, for the archive of classes that the build records. */
    static void load() {
        IgnoredSignals.makeDeliverable(Signals.numberOf(NAME));
        Signals.handle(NAME, () -> {});
    }

    /** Called when the signal arrives. */
    synchronized void onSignal() {
        if (task == null) {
            pending = true;
        } else {
            task.run();
        }
    }

    /** Sets the task that each signal runs, and runs it now if a signal has already arrived. */
    synchronized void setTask(Runnable reload) {
        task = reload;
        if (pending) {
            pending = false;
            reload.run();
        }
    }
}
