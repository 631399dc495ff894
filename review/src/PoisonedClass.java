import java.util.Map;
import java.util.TreeMap;

/** No case: shows what one request with a size out of range does to its class. See REPORT.md. */
final class PoisonedClass {
    private static final int REQUESTS = 50;

    private PoisonedClass() {}

    public static void main(String[] args) {
        Surroundings.main(args, 3, 4_000, PoisonedClass::run);
    }

    static boolean run(Surroundings site, Record record, boolean trouble) throws Exception {
        site.start();
        long before = served(site, record, 0);
        if (trouble) {
            try (Client bad = new Client(site.proxy.listen, 0, 0)) {
                Map<String, String> params =
                        Client.params(Surroundings.requestId(9_999), 3_000, Surroundings.object(9_999), 0, 1);
                params.put("HTTP_X_MEMORY_KB", "999999999");
                Client.Call call = bad.send("/invoke/pages", params);
                call.await(4_000);
                record.say("one request with X-Memory-Kb 999999999: " + call.kind());
            }
        }
        long after = served(site, record, 1);
        Thread.sleep(30_000);
        long later = served(site, record, 2);
        return before > 0 && after == 0 && later == 0;
    }

    private static long served(Surroundings site, Record record, int phase) throws Exception {
        Map<String, Integer> kinds = new TreeMap<>();
        try (Client client = new Client(site.proxy.listen, 0, 0)) {
            for (int i = 0; i < REQUESTS; i++) {
                int number = phase * REQUESTS + i;
                Client.Call call = client.send(
                        "/invoke/pages",
                        Client.params(Surroundings.requestId(number), 3_000, Surroundings.object(number), 0, 1));
                call.await(4_000);
                kinds.merge(call.kind(), 1, Integer::sum);
            }
        }
        record.say(REQUESTS + " usual requests of class pages: " + kinds);
        return kinds.getOrDefault("served", 0);
    }
}
