import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The command channel: tells every event after the number that the doorman resumes with, and a line each second. */
final class CommandChannel {
    private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    private final Record record;
    private final List<Map<String, Object>> events = new ArrayList<>();
    /** At most so many bytes a second are written to one doorman; 0: no limit. */
    volatile int bytesPerS;

    CommandChannel(Record record) throws IOException {
        this.record = record;
        Rig.thread("channel", () -> {
            while (true) {
                Socket socket = server.accept();
                Rig.thread("channel-connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds an event; from now on it counts as told. */
    synchronized void tell(Map<String, Object> event) {
        event = Json.map("cursor", events.size() + 1, event.keySet().iterator().next(), event.values().iterator().next());
        events.add(event);
        record.line("channel tells %s", Json.write(event));
        notifyAll();
    }

    synchronized int size() {
        return events.size();
    }

    /** Returns the events so far, in the form of the configuration's key known. */
    synchronized Map<String, Object> known() {
        return Json.map("cursor", events.size(), "cmds", List.copyOf(events));
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = in.readLine();
            if (line == null || !line.startsWith("resume ")) {
                return;
            }
            record.line("channel gets %s", line);
            int told = Integer.parseInt(line.substring(7).strip());
            OutputStream out = socket.getOutputStream();
            long nextBeat = System.nanoTime();
            while (true) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    long waitMs = (nextBeat - System.nanoTime()) / 1_000_000;
                    if (told == events.size() && waitMs > 0) {
                        wait(waitMs);
                    }
                    while (told < events.size()) {
                        text.append(Json.write(events.get(told++))).append('\n');
                    }
                }
                if (System.nanoTime() >= nextBeat) {
                    text.append(told).append('\n');
                    nextBeat += 1_000_000_000L;
                }
                write(out, text.toString().getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    /** Writes in one piece, or in small ones at the pace of a slow channel. */
    private void write(OutputStream out, byte[] bytes) throws IOException, InterruptedException {
        for (int from = 0; from < bytes.length; ) {
            int pace = bytesPerS;
            int count = pace == 0 ? bytes.length - from : Math.min(bytes.length - from, Math.max(1, pace / 20));
            out.write(bytes, from, count);
            out.flush();
            from += count;
            if (pace > 0) {
                Rig.sleep(50);
            }
        }
    }
}
