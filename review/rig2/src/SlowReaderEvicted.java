import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A client that reads 1 MB a second has its answers on the way when idle clients fill the descriptors. */
final class SlowReaderEvicted extends Case {
    private static final int SOCKETS = 256;
    private static final int REQUESTS = 24;
    private static final int BYTES = 240_000;
    private static final int READ_BYTES_PER_S = 1_000_000;
    private static final int IDLE_CLIENTS = 120;

    public static void main(String[] arguments) throws Exception {
        run(new SlowReaderEvicted(), arguments);
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
        DoormanProcess doorman = startDoorman(1, SOCKETS);
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
        List<Client> idle = new ArrayList<>();
        for (int i = 0; trouble && i < IDLE_CLIENTS; i++) {
            try {
                Client client = new Client(doorman.port, record);
                idle.add(client);
                client.dispatch(
                        Client.request("small-files", String.format("%016x", 0xdef000 + i), 0, 2, 2500, "300.0"), new byte[0]);
            } catch (IOException e) {
                record.line("an idle client was shut out: %s", e);
            }
            Rig.sleep(2);
        }
        record.say("%d clients have asked once and keep their connections", idle.size());
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
        record.say("the slow client got %d of its %d answers whole", served, REQUESTS);
        return held;
    }
}
