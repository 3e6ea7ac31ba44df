package barleyspur.cli;

/**
 * The operators' signal to read the configuration anew. It is handled from the first moment of a start on, since unhandled it
 * ends the JVM; one that comes before there is a node is kept, and carried out once there is.
 */
final class ReloadSignal {

    private static final String NAME = "HUP";

    /** What a signal does; null while there is nothing to reload yet. */
    private Runnable reload;

    private boolean pending;

    /** Handles the signal from now on; false where who started this process has it ignored, so that it never comes. */
    boolean install() {
        return Signals.on(NAME, this::raise);
    }

    /** The signal has come. */
    synchronized void raise() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }

    /** From now on each signal runs this, at once where one has come before. */
    synchronized void reloadBy(Runnable task) {
        reload = task;
        if (pending) {
            pending = false;
            task.run();
        }
    }
}
