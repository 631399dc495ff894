import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;

/** A small deployment on loopback: some caches of one branch, a hub cache, the central stock, a coordinator, a proxy. */
final class Surroundings implements AutoCloseable {
    /** Runs a case and turns its result into the exit status of the script. */
    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Surroundings site, Record record, boolean trouble) throws Exception;
    }

    private static final long LIMIT_MS = 115_000;

    final List<Node> caches = new ArrayList<>();
    final Node parent;
    final Node origin;
    final List<String> events = new ArrayList<>();
    final Coordinator coordinator;
    final Proxy proxy;
    /** The body of every object. */
    final byte[] body;
    final long bodySum;
    private final ScheduledExecutorService transfers = Executors.newScheduledThreadPool(8);

    Surroundings(Path root, Path tmp, Record record, int cacheCount, int bodyBytes) throws Exception {
        for (int i = 1; i <= cacheCount; i++) {
            caches.add(new Node("s-cache" + i, "edge-1", "small-box"));
        }
        parent = new Node("s-hub", "north", "parent");
        origin = new Node("s-stock", "north", "origin");
        body = new byte[bodyBytes];
        new Random(1).nextBytes(body);
        CRC32 sum = new CRC32();
        sum.update(body);
        bodySum = sum.getValue();
        StringBuilder list = new StringBuilder();
        for (Node node : nodes()) {
            node.handler = this::serve;
            list.append(list.length() == 0 ? "" : ",").append(node.entry("active"));
        }
        Coordinator.add(events, "\"endpoints\":{\"generation\":1,\"reset\":true,\"instances\":[" + list + "]}");
        coordinator = new Coordinator(events, record::line);
        proxy = new Proxy(root, tmp, "n0");
        Runtime.getRuntime().addShutdownHook(new Thread(proxy::close));
    }

    List<Node> nodes() {
        List<Node> nodes = new ArrayList<>(caches);
        nodes.add(parent);
        nodes.add(origin);
        return nodes;
    }

    /** A sound node: it has the object and sends it whole, once the time of its transfer at a client's rate is over. */
    private void serve(Node.Fetch fetch) {
        transfers.schedule(() -> answer(fetch), body.length * 1_000_000L / Proxy.FLOW_BYTES_PER_S, TimeUnit.MICROSECONDS);
    }

    private void answer(Node.Fetch fetch) {
        String fields = "ver=5f0c22d1,born=" + (System.currentTimeMillis() - 100)
                + ",tell=HIT,meter=concurrent:" + fetch.peer.open.size() + ";x0:0.7;x1:0.1";
        try {
            if (!fetch.aborted) {
                fetch.peer.answer(fetch.id, "ACK", fields, body);
            }
        } catch (IOException e) {
            // the front has left
        }
    }

    /** Starts the proxy and waits until it takes clients. */
    void start() throws Exception {
        proxy.configure(coordinator.address(), Coordinator.copy(events), Site.SETTINGS);
        proxy.start();
        proxy.awaitReady(30_000);
    }

    /** Whether an answer 'served' is the object, whole and unchanged. */
    boolean isWhole(Client.Call call) {
        return call.bodyBytes == body.length && call.bodySum() == bodySum;
    }

    static String requestId(int number) {
        return String.format("%016x", 0x9b1f03aa00000000L + number);
    }

    /** An object of its own for each number. */
    static long object(int number) {
        return 0x7f3a9c21e0b4d655L + number * 0x9e3779b97f4a7c15L;
    }

    @Override
    public void close() throws Exception {
        proxy.close();
        coordinator.close();
        for (Node node : nodes()) {
            node.close();
        }
    }

    /** Arguments: the root, the file for the record, a temporary folder, and 0 for a run without the disruption. */
    static void main(String[] args, int cacheCount, int bodyBytes, Case theCase) {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("could not run: not finished in time");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status = 2;
        Path root = Path.of(args[0]);
        Path tmp = Path.of(args[2]);
        boolean trouble = !args[3].equals("0");
        try (Record record = new Record(Path.of(args[1]))) {
            record.line("milliseconds since the start; " + (trouble ? "with" : "without") + " the disruption");
            try (Surroundings site = new Surroundings(root, tmp, record, cacheCount, bodyBytes)) {
                boolean broken = theCase.run(site, record, trouble);
                record.say(broken ? "RULE BROKEN" : "rule held");
                status = broken ? 1 : 0;
            } finally {
                if (Files.exists(tmp.resolve("n0.log"))) {
                    for (String line : Files.readAllLines(tmp.resolve("n0.log"))) {
                        record.line("log of the proxy: " + line);
                    }
                }
            }
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.exit(status);
    }
}
