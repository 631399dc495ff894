import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The first connections to a cache node come up about a second late. While they are coming up, the front is told that
 * the node is leaving.
 */
final class LateDrainCase {
    private static final long STOP_SENDING_WITHIN_MS = 250;
    private static final long SLACK_MS = 50;
    /** For the way of the event from the coordinator, more than it takes on loopback. */
    private static final long TOLD_WITHIN_MS = 200;

    private static final int REQUESTS = 8;
    /** Writes before, each on a connection of its own to the origin that comes up at once. */
    private static final int WRITES = 16;
    /** At most one connection in this many comes up late. */
    private static final int LATE_ONE_IN = 3;

    public static void main(String[] args) {
        Lab.main(args, LateDrainCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        AtomicLong leavingSinceMs = new AtomicLong(Long.MAX_VALUE / 2);
        AtomicInteger late = new AtomicInteger();
        Lab.Handler hit = command -> {
            long afterMs = command.firstByteMs() - leavingSinceMs.get();
            if (command.node().id.equals("c-1")) {
                boolean tooLate = afterMs > TOLD_WITHIN_MS + STOP_SENDING_WITHIN_MS + SLACK_MS;
                late.addAndGet(tooLate ? 1 : 0);
                lab.note("c-1 was sent request " + command.id()
                        + (afterMs > 0 ? " " + afterMs + " ms after the coordinator had it as leaving" : "")
                        + (tooLate ? ", too late" : ""));
            }
            command.answer("ACK", "tell=HIT,ver=01,born=" + (Lab.now() - 1_000),
                    Lab.content(command.fields().get("item"), "0", 1_000));
        };
        Lab.CacheNode leaving = new Lab.CacheNode("c-1", 1, hit);
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, hit);
        String known = Lab.listEvent(1, true, List.of(
                Lab.instance("c-1", leaving.address(), "edge-1", "small-box", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        String settings = Lab.replace(Lab.SETTINGS, "\"connect-timeout-us\":400000", "\"connect-timeout-us\":1500000");
        settings = Lab.replace(settings, "\"stop-sending-within-us\":1000000", "\"stop-sending-within-us\":250000");
        settings = Lab.replace(settings, "\"second-copies\":true", "\"second-copies\":false");
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, settings, Lab.LIMITS);
        proxy.awaitReady();

        Lab.Client client = new Lab.Client(proxy.address);
        for (int i = 0; i < WRITES; i++) {
            Lab.Answer answer = Lab.await(
                    client.send(
                            Lab.Client.params("stock-move", Lab.newRequestId(), String.format("%016x", i), 0, 3, 3000),
                            "move 3 crates".getBytes()),
                    4000);
            if (answer == null || !answer.served()) {
                throw new Lab.CannotRun("a write before the disruption was not served");
            }
        }
        lab.note(WRITES + " writes sent and served, by the origin");
        if (Lab.TROUBLE) {
            leaving.connectionsComeUpLate();
        }
        List<CompletableFuture<Lab.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String object = String.format("7f3a9c21e0b4d6%02x", i);
            answers.add(client.send(
                    Lab.Client.params("media", Lab.newRequestId(), object, 0, 17, 5000), new byte[0]));
        }
        lab.note(REQUESTS + " requests sent");
        Lab.sleep(100);
        leavingSinceMs.set(Lab.now());
        coordinator.add(Lab.listEvent(
                2, false, List.of(Lab.instance("c-1", leaving.address(), "edge-1", "small-box", "leaving"))));
        lab.note("the coordinator has event 2: c-1 is leaving");
        Lab.sleep(250);
        if (Lab.TROUBLE) {
            leaving.connectionsComeUpAtOnce();
        }
        for (CompletableFuture<Lab.Answer> future : answers) {
            Lab.Answer answer = Lab.await(future, 8000);
            lab.note("answer: " + (answer == null ? "none" : answer.text()));
        }
        int lateConnections = Lab.TROUBLE ? leaving.connections.get() : 0;
        int allConnections = leaving.connections.get() + origin.connections.get();
        lab.note("connections to cache nodes: " + allConnections + ", of which came up late: " + lateConnections);
        if (lateConnections * LATE_ONE_IN > allConnections) {
            throw new Lab.CannotRun("more than a third of the connections came up late");
        }
        lab.note("requests that c-1 was sent too late: " + late);
        proxy.noteLog();
        return late.get() == 0;
    }
}
