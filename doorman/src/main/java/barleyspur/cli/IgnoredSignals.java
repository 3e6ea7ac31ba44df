package barleyspur.cli;

import com.sun.jna.Function;
import com.sun.jna.NativeLibrary;
import com.sun.jna.Pointer;

/**
 * Makes signals deliverable that the parent process has set to be ignored. The JVM leaves such a signal ignored for
 * good, and only the C library can change that. Loaded only where a signal is ignored.
 */
final class IgnoredSignals {

    private static final String LIBC = "c";
    /**
     * A function of the C library that takes an int, as a signal handler does, and has no effect. It stands in until
     * the JVM has installed its own handler, so that the default action, which ends the process, never applies.
     */
    private static final String FUNCTION_WITHOUT_EFFECT = "abs";

    private IgnoredSignals() {}

    /** Makes the signal of this number deliverable; returns false if the platform does not allow that. */
    static boolean makeDeliverable(int number) {
        try {
            NativeLibrary library = NativeLibrary.getInstance(LIBC);
            Function signal = library.getFunction("signal");
            Function handler = library.getFunction(FUNCTION_WITHOUT_EFFECT);
            signal.invoke(Pointer.class, new Object[] {number, handler});
            return true;
        } catch (UnsatisfiedLinkError | RuntimeException e) {
            return false;
        }
    }
}
