import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What all stand-ins share: threads, timers and free ports. */
final class Rig {
    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });

    private Rig() {}

    /** A task that may fail when its connection ends. */
    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection has ended.
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void after(double delayMs, Task task) {
        TIMERS.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection has ended.
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                Math.max(0, Math.round(delayMs * 1000)),
                TimeUnit.MICROSECONDS);
    }

    static void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, Math.round(ms * 1000)));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
