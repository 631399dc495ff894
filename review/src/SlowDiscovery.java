import java.util.ArrayList;
import java.util.List;

/** Case: the discovery service is slow to take a call, and a cache drains. */
final class SlowDiscovery {
    /** How long a call waits in turn at the coordinator; under the 7 s after which all counts as told. */
    private static final long WAIT_MS = 3_000;
    /** "Whatever the coordinator has to tell counts as told no later than 7 s afterwards." */
    private static final long TOLD_WITHIN_MS = 7_000;
    /** rules.stop-sending-within-us, and the 50 ms by which every limit is longer on sockets. */
    private static final long STOP_WITHIN_MS = 1_000 + 50;

    private static final long DRAIN_AFTER_MS = 2_000;
    private static final long RUN_MS = 25_000;
    private static final long REQUEST_EVERY_MS = 20;

    private SlowDiscovery() {}

    public static void main(String[] args) {
        Surroundings.main(args, 3, 4_000, SlowDiscovery::run);
    }

    static boolean run(Surroundings site, Record record, boolean trouble) throws Exception {
        site.coordinator.waitMs = trouble ? WAIT_MS : 0;
        site.start();
        record.line("the proxy is ready");
        Node draining = site.caches.get(0);
        long startMs = System.currentTimeMillis();
        long drainMs = Long.MAX_VALUE;
        List<Client.Call> calls = new ArrayList<>();
        try (Client client = new Client(site.proxy.listen, 0, 0)) {
            for (int i = 0; System.currentTimeMillis() - startMs < RUN_MS; i++) {
                if (drainMs == Long.MAX_VALUE && System.currentTimeMillis() - startMs > DRAIN_AFTER_MS) {
                    drainMs = Coordinator.add(
                            site.events,
                            "\"endpoints\":{\"generation\":2,\"reset\":false,\"instances\":["
                                    + draining.entry("leaving") + "]}");
                    record.line("event 2 is in the coordinator: " + draining.id + " is leaving");
                }
                calls.add(client.send(
                        "/invoke/pages",
                        Client.params(Surroundings.requestId(i), 3_000, Surroundings.object(i), 0, i % 32)));
                Thread.sleep(REQUEST_EVERY_MS);
            }
            Thread.sleep(500);
        }
        long limitMs = drainMs + TOLD_WITHIN_MS + STOP_WITHIN_MS;
        record.line("told at the latest at " + record.since(drainMs + TOLD_WITHIN_MS) + ", nothing new to "
                + draining.id + " after " + record.since(limitMs));
        int late = 0;
        long lastMs = 0;
        for (Node node : site.nodes()) {
            for (Node.Fetch fetch : node.fetches) {
                boolean isLate = node == draining && fetch.arrivedMs > limitMs;
                record.line(record.since(fetch.arrivedMs) + ": " + node.id + " was sent " + fetch.id
                        + (isLate ? " TOO LATE" : ""));
                late += isLate ? 1 : 0;
                lastMs = isLate ? fetch.arrivedMs : lastMs;
            }
        }
        long served = calls.stream().filter(call -> call.kind().equals("served")).count();
        record.say(calls.size() + " requests, " + served + " served; sent to the draining cache after the limit: "
                + late + (late > 0 ? ", the last " + (lastMs - limitMs) + " ms after it" : ""));
        return late > 0;
    }
}
