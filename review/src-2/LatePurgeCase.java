import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connections to one cache node come up about a second late. While the connect is under way, objects are purged that
 * requests have been routed for. The node still holds the copies from before the purge.
 */
final class LatePurgeCase {
    /** Time from when the front was told of a purge, after which no older copy may be sent for; plus the slack. */
    private static final long NOTICE_MS = 500;

    private static final long SLACK_MS = 50;
    private static final int OBJECTS = 8;

    public static void main(String[] args) {
        Lab.main(args, LatePurgeCase::run);
    }

    private record Sent(String object, long firstByteMs, String oldest, long bornMs) {}

    private static boolean run(Lab lab) throws Exception {
        long oldBornMs = Lab.now() - 60_000;
        Map<String, Sent> sent = new ConcurrentHashMap<>();
        // Both hold a copy that the origin gave out a minute ago, and drop it only seconds after the purge. A request
        // that sets an age limit is answered by it.
        Lab.Handler cache = command -> {
            String oldest = command.fields().get("oldest");
            boolean oldWillDo = oldest == null || Lab.now() - oldBornMs <= Long.parseLong(oldest);
            long bornMs = oldWillDo ? oldBornMs : Lab.now();
            sent.put(command.id(), new Sent(command.fields().get("item"), command.firstByteMs(), oldest, bornMs));
            command.answer("ACK", "tell=" + (oldWillDo ? "HIT" : "MISS") + ",ver=" + (oldWillDo ? "01" : "02") + ",born="
                    + bornMs, Lab.content(command.fields().get("item"), "0", 1_000));
        };
        Lab.CacheNode node = new Lab.CacheNode("c-1", 1, cache);
        Lab.CacheNode origin = new Lab.CacheNode("o-1", 50, cache);
        String known = Lab.listEvent(1, true, List.of(
                Lab.instance("c-1", node.address(), "edge-1", "small-box", "active"),
                Lab.instance("o-1", origin.address(), "north", "origin", "active")));
        Lab.Coordinator coordinator = new Lab.Coordinator(lab, known);
        String settings = Lab.replace(Lab.SETTINGS, "\"connect-timeout-us\":400000", "\"connect-timeout-us\":1500000");
        Lab.Proxy proxy = lab.startProxy("n1", coordinator.address(), known, 1, settings, Lab.LIMITS);
        proxy.awaitReady();

        Lab.Client client = new Lab.Client(proxy.address);
        if (Lab.TROUBLE) {
            node.connectionsComeUpLate();
        }
        List<String> ids = new ArrayList<>();
        List<CompletableFuture<Lab.Answer>> answers = new ArrayList<>();
        for (int i = 0; i < OBJECTS; i++) {
            String id = Lab.newRequestId();
            ids.add(id);
            String object = String.format("7f3a9c21e0b4d6%02x", i);
            answers.add(client.send(Lab.Client.params("media", id, object, 0, 17, 5000), new byte[0]));
        }
        lab.note(OBJECTS + " requests sent");
        Lab.sleep(100);
        long purgedMs = Lab.now();
        coordinator.add("{\"index\":2,\"evict\":{\"shard\":17,\"unix_ms\":" + purgedMs + "}}");
        lab.note("group 17 purged, and the coordinator tells so");
        Lab.sleep(250);
        if (Lab.TROUBLE) {
            node.connectionsComeUpAtOnce();
        }
        int broken = 0;
        for (int i = 0; i < OBJECTS; i++) {
            Lab.Answer answer = Lab.await(answers.get(i), 8000);
            Sent attempt = sent.get(ids.get(i));
            if (answer == null || attempt == null) {
                lab.note("request " + ids.get(i) + ": " + (answer == null ? "no answer" : answer.text()) + ", attempt "
                        + attempt);
                continue;
            }
            boolean purged = attempt.bornMs() < purgedMs;
            boolean late = attempt.firstByteMs() > purgedMs + 200 + NOTICE_MS + SLACK_MS;
            broken += purged && late && answer.served() ? 1 : 0;
            lab.note("request " + ids.get(i) + ": " + answer.text() + "; attempt sent "
                    + (attempt.firstByteMs() - purgedMs) + " ms after the purge, oldest=" + attempt.oldest()
                    + ", answered from a copy " + (purged ? "older" : "newer") + " than the purge");
        }
        proxy.noteLog();
        return broken == 0;
    }
}
