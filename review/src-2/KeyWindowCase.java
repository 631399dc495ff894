import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Keyed writes at the origin, one each 600 ms. One of them runs, and the origin answers it with an error after a while.
 * The connection for the next attempt comes up about a second late, which is later than the connect time-out.
 */
final class KeyWindowCase {
    private static final int WINDOW_MS = 2_000;
    private static final int SLACK_MS = 50;
    private static final int CONNECT_TIMEOUT_MS = 650;
    private static final int INTERVAL_MS = 600;
    /** The write with the error, and when the origin answers it. */
    private static final int ERROR_AFTER_MS = 1_250;

    private static final int ROUNDS = 5;
    private static final int ROUND_MS = 8 * INTERVAL_MS;

    public static void main(String[] args) {
        Lab.main(args, KeyWindowCase::run);
    }

    private static final class Key {
        final List<Long> runsMs = new ArrayList<>();
        final List<Long> arrivalsMs = new ArrayList<>();
        boolean error;
    }

    private static boolean run(Lab lab) throws Exception {
        Map<String, Key> keys = new ConcurrentHashMap<>();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        Lab.CacheNode[] nodes = new Lab.CacheNode[2];
        Lab.Handler atOrigin = command -> {
            String name = command.fields().get("nonce");
            Key key = keys.computeIfAbsent(name, text -> new Key());
            boolean repeat;
            boolean firstError;
            synchronized (key) {
                // The origin drops a repeat for as long as the settings say, and a little longer.
                repeat = !key.runsMs.isEmpty()
                        && command.wholeMs() - key.runsMs.get(key.runsMs.size() - 1) <= WINDOW_MS + SLACK_MS;
                key.arrivalsMs.add(command.firstByteMs());
                if (!repeat) {
                    key.runsMs.add(command.wholeMs());
                }
                firstError = key.error && key.arrivalsMs.size() == 1;
            }
            if (!firstError) {
                command.answer("ACK", "tell=MISS_ORIGIN,ver=01,born=" + Lab.now(), "done".getBytes());
                return;
            }
            timer.schedule(() -> {
                try {
                    if (Lab.TROUBLE) {
                        nodes[0].connectionsComeUpLate();
                        timer.schedule(() -> {
                            try {
                                nodes[0].connectionsComeUpAtOnce();
                            } catch (java.io.IOException e) {
                                lab.note(e.toString());
                            }
                        }, 200, TimeUnit.MILLISECONDS);
                    }
                    command.answer("EIO", "-", new byte[0]);
                } catch (Exception e) {
                    lab.note(e.toString());
                }
            }, ERROR_AFTER_MS - (Lab.TROUBLE ? 65 : 0), TimeUnit.MILLISECONDS);
        };
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, atOrigin);
        // The parent passes writes on to the origin, which drops repeats whichever way they come.
        Lab.CacheNode parent = new Lab.CacheNode("p-1", 1, atOrigin);
        nodes[0] = parent;
        Lab.CacheNode cache = new Lab.CacheNode("c-1", 50, command -> command.answer("AGAIN", "-", new byte[0]));
        String known = Lab.listEvent(1, true, List.of(
                Lab.instance("c-1", cache.address(), "edge-1", "small-box", "active"),
                Lab.instance("p-1", parent.address(), "north", "parent", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        String settings = Lab.replace(
                Lab.SETTINGS, "\"connect-timeout-us\":400000", "\"connect-timeout-us\":" + CONNECT_TIMEOUT_MS + "000");
        settings = Lab.replace(
                settings,
                "\"deadline-us\":3000000,\"group\":\"all\",\"key-ttl-us\":5000000,\"late-worth\":0.0,\n\"name\":\"stock-move\",\"repeat\":\"single_shot\"",
                "\"deadline-us\":5000000,\"group\":\"all\",\"key-ttl-us\":" + WINDOW_MS
                        + "000,\"late-worth\":0.0,\n\"name\":\"stock-move\",\"repeat\":\"guarded\"");
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, settings, Lab.LIMITS);
        proxy.awaitReady();

        Lab.Client client = new Lab.Client(proxy.address);
        List<String> names = new ArrayList<>();
        List<CompletableFuture<Lab.Answer>> answers = new ArrayList<>();
        long startMs = Lab.now() + 100;
        int perRound = ROUND_MS / INTERVAL_MS;
        for (int i = 0; i < ROUNDS * perRound; i++) {
            Lab.sleep(startMs + (long) i * INTERVAL_MS - Lab.now());
            String name = String.format("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", i);
            Key key = keys.computeIfAbsent(name, text -> new Key());
            key.error = i % perRound == 1;
            Map<String, String> params =
                    Lab.Client.params("stock-move", Lab.newRequestId(), String.format("%016x", i), 0, 3, 5000);
            params.put("HTTP_IDEMPOTENCY_KEY", name);
            names.add(name);
            answers.add(client.send(params, "move 3 crates".getBytes()));
        }
        int broken = 0;
        for (int i = 0; i < names.size(); i++) {
            Lab.Answer answer = Lab.await(answers.get(i), 7000);
            Key key = keys.get(names.get(i));
            StringBuilder text = new StringBuilder();
            for (long arrival : key.arrivalsMs) {
                text.append(" +").append(arrival - key.arrivalsMs.get(0)).append(" ms");
            }
            broken += key.runsMs.size() > 1 ? 1 : 0;
            lab.note("write " + i + (key.error ? " (EIO for the first attempt)" : "") + ": "
                    + (answer == null ? "no answer" : answer.text()) + "; arrived " + key.arrivalsMs.size() + " times:"
                    + text + "; run " + key.runsMs.size() + " times");
        }
        // Connections to the parent are made for second attempts alone; all of them count as late here.
        int lateConnections = Lab.TROUBLE ? parent.connections.get() : 0;
        int allConnections = parent.connections.get() + origin.connections.get();
        lab.note("connections to cache nodes: " + allConnections + ", of which came up late: " + lateConnections
                + " at most");
        if (lateConnections * 3 > allConnections) {
            throw new Lab.CannotRun("more than a third of the connections came up late");
        }
        lab.note(names.size() + " writes, run more than once: " + broken);
        proxy.noteLog();
        return broken == 0;
    }
}
