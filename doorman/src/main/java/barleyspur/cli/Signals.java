package barleyspur.cli;

import java.lang.reflect.Proxy;

/**
 * Handles a signal of the operating system. The JDK has no public interface for that; its {@code sun.misc} one is
 * supported, but the compiler warns of each use, and warnings are errors here.
 */
final class Signals {

    private Signals() {}

    /**
     * Runs {@code task}, on a thread of the JVM's, each time the signal comes; false where it never will, since whoever
     * started this process has it ignored, which the JVM leaves so.
     */
    static boolean on(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object run = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            task.run();
                        }
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), run);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM can't handle SIG" + name, e);
        }
    }
}
