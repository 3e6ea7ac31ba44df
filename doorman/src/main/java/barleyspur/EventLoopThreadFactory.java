package barleyspur;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;

/**
 * Creates the event loop thread of a doorman and notices if it ends by an error. Without that thread no request is
 * answered, while the address would stay open and clients would wait.
 */
final class EventLoopThreadFactory implements ThreadFactory {

    private final ThreadFactory threads = new DefaultThreadFactory("event-loop");
    private final Consumer<Throwable> onFailure;
    private volatile boolean mayEnd;

    /**
     * Creates a factory.
     *
     * @param onFailure called on the thread that ends, with the cause, or with null if it ended without an exception
     */
    EventLoopThreadFactory(Consumer<Throwable> onFailure) {
        this.onFailure = onFailure;
    }

    @Override
    public Thread newThread(Runnable eventLoop) {
        return threads.newThread(() -> run(eventLoop));
    }

    /** Reports that the event loop is being shut down, so that the end of its thread is no failure. */
    void allowEnd() {
        mayEnd = true;
    }

    private void run(Runnable eventLoop) {
        Throwable cause = null;
        try {
            eventLoop.run();
        } catch (Throwable e) {
            cause = e;
        }
        if (!mayEnd) {
            onFailure.accept(cause);
        }
    }
}
