import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Bad clients send requests and fall silent with the connection open, without reading their answers. Beside them, two
 * sound clients read at full speed and have eight requests open on each connection.
 */
final class UnreadCase {
    private static final int BAD_CLIENTS = 12;
    private static final int BAD_REQUESTS = 32;
    private static final int SOUND_CLIENTS = 2;
    private static final int SOUND_OPEN_REQUESTS = 8;
    private static final int OBJECT_BYTES = 240_000;
    private static final int ROUNDS = 100;
    private static final int TIMEOUT_MS = 6_000;
    private static final int ANSWERED_WITHIN_MS = TIMEOUT_MS + 500;

    public static void main(String[] args) {
        Lab.main(args, UnreadCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Handler hit = command -> command.answer(
                "ACK", "tell=HIT,ver=aa01,born=" + (Lab.now() - 1000),
                Lab.content(command.fields().get("item"), command.fields().get("chunk"), OBJECT_BYTES));
        Lab.CacheNode first = new Lab.CacheNode("c-1", 50, hit);
        Lab.CacheNode second = new Lab.CacheNode("c-2", 50, hit);
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, hit);
        String known = Lab.listEvent(1, true, List.of(
                Lab.instance("c-1", first.address(), "edge-1", "small-box", "active"),
                Lab.instance("c-2", second.address(), "edge-1", "small-box", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, Lab.SETTINGS, Lab.LIMITS);
        proxy.awaitReady();

        List<Lab.Client> badClients = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Lab.Client client = new Lab.Client(proxy.address, Lab.TROUBLE ? -1 : 0, 0);
            badClients.add(client);
            for (int r = 0; r < BAD_REQUESTS; r++) {
                send(client, r * 31);
            }
            Lab.sleep(100);
        }
        lab.note(BAD_CLIENTS + (Lab.TROUBLE ? " bad clients have sent " : " further clients have sent ") + BAD_REQUESTS
                + " requests each" + (Lab.TROUBLE ? " and do not read" : " and read"));

        Lab.Client[] clients = new Lab.Client[SOUND_CLIENTS];
        int served = 0;
        int otherAnswers = 0;
        int lost = 0;
        int ended = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<CompletableFuture<Lab.Answer>> answers = new ArrayList<>();
            for (int i = 0; i < SOUND_CLIENTS; i++) {
                if (clients[i] == null || clients[i].closed) {
                    clients[i] = new Lab.Client(proxy.address);
                }
                for (int r = 0; r < SOUND_OPEN_REQUESTS; r++) {
                    try {
                        answers.add(send(clients[i], 5_000 + round * SOUND_OPEN_REQUESTS + r));
                    } catch (IOException e) {
                        // The connection ended before this request was written whole, so it was not taken.
                        break;
                    }
                }
            }
            int lostBefore = lost;
            for (CompletableFuture<Lab.Answer> answer : answers) {
                Lab.Answer result = Lab.await(answer, ANSWERED_WITHIN_MS);
                if (result == null) {
                    lost++;
                } else if (result.served()) {
                    served++;
                } else {
                    otherAnswers++;
                }
            }
            for (Lab.Client client : clients) {
                ended += client.closed ? 1 : 0;
            }
            if (lost > lostBefore && lostBefore < 60) {
                lab.note("round " + round + ": " + (lost - lostBefore) + " of " + answers.size()
                        + " requests of the sound clients got no answer, their connections were ended");
            }
            Lab.sleep(20);
        }
        lab.note("sound clients: served " + served + ", refused or failed " + otherAnswers + ", no answer " + lost
                + "; connections ended by the proxy " + ended);
        proxy.noteLog();
        for (Lab.Client client : badClients) {
            client.close();
        }
        return lost == 0;
    }

    private static CompletableFuture<Lab.Answer> send(Lab.Client client, int object) throws IOException {
        String name = String.format("%016x", object * 7919L);
        return client.send(Lab.Client.params("media", Lab.newRequestId(), name, 0, 3, TIMEOUT_MS), new byte[0]);
    }
}
