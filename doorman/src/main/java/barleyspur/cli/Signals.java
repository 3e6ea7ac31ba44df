package barleyspur.cli;

import java.lang.reflect.Proxy;

/**
 * Handles operating system signals. The JDK has no public API for that; {@code sun.misc.Signal} is supported, but the
 * compiler warns about each direct use, and warnings are errors in this build, so it is called by reflection.
 */
final class Signals {

    private Signals() {}

    /** Returns the number of a signal on this platform. */
    static int numberOf(String name) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            return (int) signal.getMethod("getNumber")
                    .invoke(signal.getConstructor(String.class).newInstance(name));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not know SIG" + name, e);
        }
    }

    /**
     * Runs {@code task} on a JVM thread each time the signal arrives. Returns false if the parent process has set the
     * signal to be ignored: the JVM keeps that, so the signal never arrives.
     */
    static boolean handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), handlerProxy);
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM can't handle SIG" + name, e);
        }
    }
}
