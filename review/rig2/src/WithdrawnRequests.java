import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** Bad clients send requests with sizes out of range and withdraw them at once, again and again. */
final class WithdrawnRequests extends Case {
    private static final int BAD_CLIENTS = 60;
    /** Within the limit of 32 open requests on one connection. */
    private static final int WITHDRAWN_AT_ONCE = 30;
    private static final String SIZE_KB = System.getProperty("size", "1000000.0");
    private static final int WAIT_MS = 2_500;
    private static final double PLAY_MS = 95_000;

    public static void main(String[] arguments) throws Exception {
        run(new WithdrawnRequests(), arguments);
    }

    @Override
    boolean play() throws Exception {
        AtomicLong attempts = new AtomicLong();
        List<Depot> depots = startDepots(3, attempt -> {
            attempts.incrementAndGet();
            if (attempt.field("key").startsWith("00")) {
                record.line("%s is asked for %s", attempt.depot().uid, attempt.id());
                attempt.answer(20, "DONE", done("h"), body(attempt.field("key"), attempt.field("part"), 2_000));
            } else {
                // No depot knows the object.
                attempt.answer(20, "BROKE", "-", new byte[0]);
            }
        });
        depots.forEach(depot -> depot.recordsCancels = false);
        DoormanProcess doorman = startDoorman(1, 256);
        AtomicLong withdrawn = new AtomicLong();
        for (int i = 0; trouble && i < BAD_CLIENTS; i++) {
            Rig.thread("bad-client", () -> sendAndWithdraw(doorman, withdrawn));
        }
        double end = record.ms() + (trouble ? PLAY_MS : 20_000);
        double nextReportMs = 0;
        int sent = 0;
        int lost = 0;
        Client client = new Client(doorman.port, record);
        while (record.ms() < end && doorman.isAlive()) {
            if (record.ms() > nextReportMs) {
                nextReportMs = record.ms() + 5_000;
                record.say("withdrawn %d, attempts at depots %d, usual requests %d", withdrawn.get(), attempts.get(), sent);
            }
            var request = Client.request("small-files", String.format("00%014x", sent++), 0, 1, WAIT_MS, "300.0");
            record.line("the usual client sends %s", request.get("i"));
            double sentMs = record.ms();
            Client.Answer answer = await(client, client.dispatch(request, new byte[0]));
            record.line("request %s: %s after %.0f ms", request.get("i"), answer == null ? "no answer" : answer.kind(), record.ms() - sentMs);
            if (answer == null || !answer.isWhole() || answer.atMs() - sentMs > WAIT_MS + LOST_AFTER_MS) {
                lost++;
                record.say("a usual request got no final answer in time");
                client.close();
                client = reconnect(doorman);
            }
            Rig.sleep(50);
        }
        record.say("withdrawn %d, attempts at depots %d, usual requests %d, lost %d", withdrawn.get(), attempts.get(), sent, lost);
        if (!doorman.isAlive()) {
            record.say("the doorman has ended with code %d; its last line: %s", doorman.exitCode(), doorman.logEnd(1));
        }
        return doorman.isAlive() && lost == 0;
    }

    private static Client.Answer await(Client client, CompletableFuture<Client.Answer> answer)
            throws InterruptedException, ExecutionException {
        try {
            return answer.get((long) (WAIT_MS + 2 * LOST_AFTER_MS), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return null;
        }
    }

    private Client reconnect(DoormanProcess doorman) throws Exception {
        while (doorman.isAlive()) {
            try {
                return new Client(doorman.port, record);
            } catch (IOException e) {
                Rig.sleep(200);
            }
        }
        return null;
    }

    /** Sends requests at full speed, reads all that comes and withdraws each of them. */
    private void sendAndWithdraw(DoormanProcess doorman, AtomicLong withdrawn) throws Exception {
        while (doorman.isAlive()) {
            try (Client client = new Client(doorman.port, record)) {
                while (client.ended() == null) {
                    byte[][] requests = new byte[WITHDRAWN_AT_ONCE][];
                    byte[][] withdrawals = new byte[WITHDRAWN_AT_ONCE][];
                    for (int i = 0; i < WITHDRAWN_AT_ONCE; i++) {
                        int seqid = client.nextSeqid();
                        String object = String.format("ff%014x", ThreadLocalRandom.current().nextLong() >>> 8);
                        requests[i] = Client.encodeDispatch(
                                seqid, Client.request("video-parts", object, 0, 1, 6000, SIZE_KB), new byte[0]);
                        withdrawals[i] = Client.encodeCancel(client.nextSeqid(), seqid);
                    }
                    client.send(requests);
                    // Its answer shows that the requests have been read.
                    client.alive().get();
                    client.send(withdrawals);
                    withdrawn.addAndGet(WITHDRAWN_AT_ONCE);
                }
            } catch (IOException e) {
                Rig.sleep(200);
            }
        }
    }
}
