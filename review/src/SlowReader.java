import java.util.ArrayList;
import java.util.List;

/** Case: one client reads slowly, and sends a further request while its answers are still on their way. */
final class SlowReader {
    /** "Some clients read at most 1 MB a second." */
    private static final long BYTES_PER_SECOND = 500_000;

    private static final int RECEIVE_BUFFER = 65_536;
    /** Under the 32 that may be open on one connection. */
    private static final int FIRST_REQUESTS = 16;

    private static final long NEXT_REQUEST_AFTER_MS = 6_300;
    /** Clients close connections that have been idle for this long. */
    private static final long CLIENT_IDLE_MS = 4_000;

    private static final long END_AFTER_MS = 30_000;

    private SlowReader() {}

    public static void main(String[] args) {
        Surroundings.main(args, 3, 240_000, SlowReader::run);
    }

    static boolean run(Surroundings site, Record record, boolean trouble) throws Exception {
        site.start();
        record.line("the proxy is ready");
        long rate = trouble ? BYTES_PER_SECOND : 0;
        List<Client.Call> calls = new ArrayList<>();
        Client first = new Client(site.proxy.listen, rate, RECEIVE_BUFFER);
        Client client = first;
        long startMs = System.currentTimeMillis();
        for (int i = 0; i < FIRST_REQUESTS; i++) {
            calls.add(send(client, i));
        }
        Thread.sleep(Math.max(0, startMs + NEXT_REQUEST_AFTER_MS - System.currentTimeMillis()));
        record.line("the client waits for " + client.openCount() + " answers, and has read " + client.bytesRead
                + " bytes; its connection is " + (client.ended == null ? "open" : "ended: " + client.ended));
        if (client.openCount() > 0) {
            calls.add(send(client, FIRST_REQUESTS));
        } else {
            // All answers came long ago; such a client has left its idle connection by now and takes a new one.
            record.line("idle for more than " + CLIENT_IDLE_MS + " ms: the client takes a new connection");
            client.close();
            client = new Client(site.proxy.listen, rate, RECEIVE_BUFFER);
            calls.add(send(client, FIRST_REQUESTS));
        }
        while (System.currentTimeMillis() < startMs + END_AFTER_MS && client.openCount() > 0) {
            Thread.sleep(50);
        }
        if (client.ended != null) {
            record.line(record.since(client.endedMs) + ": the connection ended for the client: " + client.ended);
        }
        int lost = 0;
        for (Client.Call call : calls) {
            boolean taken = calls.indexOf(call) < FIRST_REQUESTS ? first.wasTaken(call) : client.wasTaken(call);
            boolean whole = !taken || call.answered() && (!call.kind().equals("served") || site.isWhole(call));
            lost += whole ? 0 : 1;
            record.line(call.requestId + " written at " + record.since(call.writtenMs) + ", "
                    + (whole
                            ? call.kind() + " at " + record.since(call.endedMs) + (taken ? "" : ", crossed the end, not counted")
                            : "LOST: the connection ended after " + call.bodyBytes + " bytes of its answer"));
        }
        for (Node node : site.nodes()) {
            node.fetches.forEach(fetch -> record.line(
                    record.since(fetch.arrivedMs) + ": " + node.id + " ran " + fetch.id));
        }
        client.close();
        record.say(calls.size() + " requests, " + lost + " without a whole answer");
        return lost > 0;
    }

    private static Client.Call send(Client client, int number) throws Exception {
        return client.send(
                "/invoke/media",
                Client.params(Surroundings.requestId(number), 6_000, Surroundings.object(number), 0, number % 32));
    }
}
