import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Clients send a request a second each for large objects and do not read the answers. Beside them, and after they have
 * gone, one sound client sends reads.
 */
final class SilentReadersCase {
    private static final int SILENT_CLIENTS = 120;
    private static final int ROUNDS = 18;
    private static final int ROUND_MS = 1_000;
    private static final int AFTERWARDS = 5;
    private static final int OBJECT_BYTES = 240_000;
    private static final int TIMEOUT_MS = 6_000;
    private static final int ANSWERED_WITHIN_MS = TIMEOUT_MS + 500;

    public static void main(String[] args) {
        Lab.main(args, SilentReadersCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Handler hit = command -> command.answer(
                "ACK", "tell=HIT,ver=aa01,born=" + (Lab.now() - 1000),
                Lab.content(command.fields().get("item"), command.fields().get("chunk"), OBJECT_BYTES));
        List<String> instances = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            Lab.CacheNode cache = new Lab.CacheNode("c-" + i, 50, hit);
            instances.add(Lab.instance(cache.id, cache.address(), "edge-1", "small-box", "active"));
        }
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, hit);
        instances.add(Lab.instance("o-1", origin.address(), "north", "origin", "active"));
        String known = Lab.listEvent(1, true, instances);
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, Lab.SETTINGS, Lab.LIMITS);
        proxy.awaitReady();

        Lab.Client[] sound = {new Lab.Client(proxy.address)};
        List<Lab.Client> others = new ArrayList<>();
        for (int i = 0; i < SILENT_CLIENTS; i++) {
            others.add(new Lab.Client(proxy.address, Lab.TROUBLE ? -1 : 0, 0));
        }
        lab.note(SILENT_CLIENTS + " further clients are connected" + (Lab.TROUBLE ? "; they will not read" : ""));
        int served = 0;
        int otherAnswers = 0;
        int lost = 0;
        int sent = 0;
        int ended = 0;
        for (int round = 0; round < ROUNDS + AFTERWARDS && lost < 3; round++) {
            long roundMs = Lab.now();
            if (round == ROUNDS) {
                for (Lab.Client client : others) {
                    client.close();
                }
                lab.note("the further clients have gone: " + sent + " requests sent, " + ended
                        + " times their connection had been ended by the proxy");
            }
            for (int i = 0; i < others.size() && round < ROUNDS; i++) {
                try {
                    send(others.get(i), round * 31);
                    sent++;
                } catch (IOException e) {
                    ended++;
                }
                Lab.sleep(i % 2 == 0 ? 5 : 0);
            }
            Lab.Answer answer = null;
            try {
                if (sound[0].closed) {
                    sound[0] = new Lab.Client(proxy.address);
                }
                answer = Lab.await(send(sound[0], 5_000 + round), ANSWERED_WITHIN_MS);
            } catch (IOException e) {
                lab.note("the sound client's connection: " + e.getMessage());
            }
            if (answer == null) {
                lost++;
                lab.note("round " + round + ": the sound client got no answer within " + ANSWERED_WITHIN_MS + " ms");
            } else if (answer.served()) {
                served++;
            } else {
                otherAnswers++;
            }
            Lab.sleep(roundMs + ROUND_MS - Lab.now());
        }
        lab.note("sound client: served " + served + ", refused or failed " + otherAnswers + ", no answer " + lost
                + "; process of the proxy " + (proxy.process.isAlive() ? "alive" : "ended"));
        proxy.noteLog();
        return lost == 0 && proxy.process.isAlive();
    }

    private static CompletableFuture<Lab.Answer> send(Lab.Client client, int object) throws IOException {
        String name = String.format("%016x", object * 7919L);
        Map<String, String> params = Lab.Client.params("media", Lab.newRequestId(), name, 0, 3, TIMEOUT_MS);
        return client.send(params, new byte[0]);
    }
}
