import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A drain begins while a client that reads 1 MB a second has its answers on the way; its connection stays in use. */
final class SlowReaderDrained extends Case {
    private static final int REQUESTS = 16;
    private static final int BYTES = 240_000;
    private static final int READ_BYTES_PER_S = 1_000_000;

    public static void main(String[] arguments) throws Exception {
        run(new SlowReaderDrained(), arguments);
    }

    @Override
    boolean play() throws Exception {
        startDepots(4, attempt -> {
            boolean video = attempt.field("class").equals("video-parts");
            int bytes = video ? BYTES : 2_000;
            record.line("%s is asked for %s", attempt.depot().uid, attempt.id());
            // At the pace of one transfer in the configuration.
            attempt.answer(20 + bytes / 310.0, "DONE", done("h"), body(attempt.field("key"), attempt.field("part"), bytes));
        });
        DoormanProcess doorman = startDoorman(1, 256);
        Client slow = new Client(doorman.port, record, READ_BYTES_PER_S);
        List<Map<String, String>> requests = new ArrayList<>();
        List<CompletableFuture<Client.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(Client.request("video-parts", String.format("%016x", 0xabc000 + i), 0, 1, 6000, "4490.3"));
            answers.add(slow.dispatch(requests.get(i), new byte[0]));
            record.line("the slow client sends %s", requests.get(i).get("i"));
        }
        Rig.sleep(1_500);
        record.say("the slow client has %d requests open and reads %d bytes a second", slow.openCount(), READ_BYTES_PER_S);
        if (trouble) {
            HttpResponse<String> response = HttpClient.newHttpClient()
                    .send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + doorman.mgmtPort + "/admin/quiesce"))
                                    .PUT(HttpRequest.BodyPublishers.noBody())
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            record.say("PUT /admin/quiesce: %d", response.statusCode());
        }
        // Kept connections remain in use while they are open.
        for (int i = 0; i < 12 && slow.ended() == null && slow.openCount() > 0; i++) {
            try {
                slow.dispatch(Client.request("small-files", String.format("%016x", 0xdef000 + i), 0, 2, 2500, "300.0"), new byte[0]);
                record.line("the slow client sends one more request");
            } catch (IOException e) {
                record.line("the slow client can't send: %s", e);
            }
            Rig.sleep(300);
        }
        boolean held = true;
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Client.Answer answer = answers.get(i).get(30, TimeUnit.SECONDS);
            record.line("request %s: %s at %.0f ms %s", requests.get(i).get("i"), answer.kind(), answer.atMs(),
                    answer.isWhole() ? "" : new String(answer.body()));
            boolean isServed = answer.kind().equals("served");
            served += isServed ? 1 : 0;
            held &= answer.isWhole() && (!isServed || isBody(answer.body(), requests.get(i).get("o"), "0", BYTES));
        }
        record.say("of the %d requests from before the drain the slow client got %d answers whole", REQUESTS, served);
        return held;
    }
}
