import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send much at once and go: each begins 32 writes on its connection, sends their bodies side by side once
 * all have begun, and leaves before it has ended them. After them, one sound client sends reads.
 */
final class BodiesCase {
    private static final int BAD_CLIENTS = 100;
    private static final int OPEN_REQUESTS = 32;
    private static final int BODY_BYTES = 48_000;
    private static final int RECORD_BYTES = 8_000;
    private static final int SOUND_REQUESTS = 40;
    private static final int TIMEOUT_MS = 3_000;
    /** A request may be answered up to half a second after its time. */
    private static final int ANSWERED_WITHIN_MS = TIMEOUT_MS + 500;

    public static void main(String[] args) {
        Lab.main(args, BodiesCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Lab.Handler hit = command -> command.answer(
                "ACK", "tell=HIT,ver=aa01,born=" + (Lab.now() - 1000),
                Lab.content(command.fields().get("item"), command.fields().get("chunk"), 2_000));
        Lab.CacheNode cache = new Lab.CacheNode("c-1", 50, hit);
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, hit);
        String known = Lab.listEvent(1, true, List.of(
                Lab.instance("c-1", cache.address(), "edge-1", "small-box", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, Lab.SETTINGS, Lab.LIMITS);
        proxy.awaitReady();
        int before = sendReads(lab, proxy, 5);
        if (before != 0) {
            throw new Lab.CannotRun("the proxy did not answer before the bad clients came");
        }
        if (Lab.TROUBLE) {
            sendMuchAndGo(lab, proxy);
        }
        int lost = sendReads(lab, proxy, SOUND_REQUESTS);
        lab.note("process of the proxy " + (proxy.process.isAlive() ? "alive" : "ended"));
        proxy.noteLog();
        return lost == 0 && proxy.process.isAlive();
    }

    private static void sendMuchAndGo(Lab lab, Lab.Proxy proxy) throws InterruptedException {
        AtomicInteger sentAll = new AtomicInteger();
        CountDownLatch begun = new CountDownLatch(BAD_CLIENTS);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            int number = i;
            clients.add(Lab.daemon("bad client", () -> {
                try (Socket socket = new Socket()) {
                    socket.connect(proxy.address, 2000);
                    OutputStream out = socket.getOutputStream();
                    ByteArrayOutputStream begin = new ByteArrayOutputStream();
                    for (int id = 1; id <= OPEN_REQUESTS; id++) {
                        begin(begin, id, number);
                    }
                    out.write(begin.toByteArray());
                    // The bodies follow once all have begun.
                    begun.countDown();
                    begun.await(1, TimeUnit.SECONDS);
                    for (int sent = 0; sent < BODY_BYTES; sent += RECORD_BYTES) {
                        ByteArrayOutputStream piece = new ByteArrayOutputStream();
                        for (int id = 1; id <= OPEN_REQUESTS; id++) {
                            Lab.Client.record(piece, 5, id, new byte[RECORD_BYTES]);
                        }
                        out.write(piece.toByteArray());
                    }
                    sentAll.incrementAndGet();
                    Lab.sleep(1_000);
                } catch (IOException | InterruptedException e) {
                    // closed by the proxy, which it may do
                }
            }));
        }
        for (Thread client : clients) {
            client.join(10_000);
        }
        lab.note(BAD_CLIENTS + " bad clients: " + OPEN_REQUESTS + " writes begun on each connection, " + BODY_BYTES
                + " bytes of each body; " + sentAll + " could send all of it; all have gone");
    }

    private static void begin(ByteArrayOutputStream bytes, int id, int client) {
        Map<String, String> params = Lab.Client.params(
                "stock-move", Lab.newRequestId(), String.format("%016x", client * 100L + id), 0, 3, TIMEOUT_MS);
        params.put("CONTENT_LENGTH", Integer.toString(BODY_BYTES));
        Lab.Client.record(bytes, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        Lab.Client.record(bytes, 4, id, Lab.Client.pairs(params));
        Lab.Client.record(bytes, 4, id, new byte[0]);
    }

    /** Sends reads one after the other, each new connection as the last one ended; returns how many got no answer. */
    private static int sendReads(Lab lab, Lab.Proxy proxy, int count) throws IOException {
        int served = 0;
        int refused = 0;
        int failed = 0;
        int lost = 0;
        Lab.Client client = new Lab.Client(proxy.address);
        for (int i = 0; i < count && lost < 5; i++) {
            Map<String, String> params = Lab.Client.params(
                    "media", Lab.newRequestId(), String.format("%016x", i * 7919L), 0, 3, TIMEOUT_MS);
            Lab.Answer answer = null;
            try {
                if (client.closed) {
                    client = new Lab.Client(proxy.address);
                }
                answer = Lab.await(client.send(params, new byte[0]), ANSWERED_WITHIN_MS);
            } catch (IOException e) {
                lab.note("the client's connection: " + e.getMessage());
                client = new Lab.Client(proxy.address);
            }
            if (answer == null) {
                lost++;
                lab.note("request " + params.get("HTTP_X_REQUEST_ID") + ": no answer within " + ANSWERED_WITHIN_MS
                        + " ms");
            } else if (answer.served()) {
                served++;
            } else if (answer.refused()) {
                refused++;
            } else {
                failed++;
            }
            Lab.sleep(20);
        }
        client.close();
        lab.note("sound client: served " + served + ", refused " + refused + ", failed " + failed + ", no answer "
                + lost);
        return lost;
    }
}
