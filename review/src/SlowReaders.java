import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Case: two thirds of the clients read slowly while the front has its busiest traffic. */
final class SlowReaders {
    /** "Some clients read at most 1 MB a second." */
    private static final long BYTES_PER_SECOND = 1_000_000;

    private static final int RECEIVE_BUFFER = 65_536;
    /** With the others, under a third of the descriptor limit (341 of 1,024). */
    private static final int SLOW_CLIENTS = 130;

    private static final int FAST_CLIENTS = 50;
    /** One in this many requests comes from a client that reads at full speed. */
    private static final int FAST_ONE_IN = 20;
    /** A client with so many open requests on its connection sends no further one. */
    private static final int MAX_OPEN = 32;

    private static final int REQUESTS = 9_000;
    /** "On one day two of them receive up to 950" requests a second. */
    private static final int REQUESTS_PER_SECOND = 950;

    private static final long LATEST_ANSWER_MS = 20_000;

    private SlowReaders() {}

    public static void main(String[] args) {
        Surroundings.main(args, 8, 240_000, SlowReaders::run);
    }

    static boolean run(Surroundings site, Record record, boolean trouble) throws Exception {
        site.start();
        record.line("the proxy is ready");
        List<Client> slow = connect(site, SLOW_CLIENTS, trouble ? BYTES_PER_SECOND : 0);
        List<Client> fast = connect(site, FAST_CLIENTS, 0);
        List<Client> clients = new ArrayList<>(slow);
        clients.addAll(fast);
        List<Client> fastEver = new ArrayList<>(fast);
        long startNs = System.nanoTime();
        int mostOpen = 0;
        for (int i = 0; i < REQUESTS; i++) {
            long waitMs = (startNs + i * 1_000_000_000L / REQUESTS_PER_SECOND - System.nanoTime()) / 1_000_000;
            if (waitMs > 0) {
                Thread.sleep(waitMs);
            }
            boolean isFast = i % FAST_ONE_IN == 0;
            List<Client> group = isFast ? fast : slow;
            int place = (isFast ? i / FAST_ONE_IN : i - i / FAST_ONE_IN) % group.size();
            Client client = group.get(place);
            if (client.ended != null) {
                // A client whose connection was closed takes a new one.
                client = connect(site, 1, isFast || !trouble ? 0 : BYTES_PER_SECOND).get(0);
                group.set(place, client);
                clients.add(client);
                (isFast ? fastEver : new ArrayList<Client>()).add(client);
            }
            if (client.openCount() < MAX_OPEN) {
                send(client, i, record);
                mostOpen = Math.max(mostOpen, client.openCount());
            }
        }
        record.line("all sent; most open on one connection: " + mostOpen);
        long untilMs = System.currentTimeMillis() + LATEST_ANSWER_MS;
        while (System.currentTimeMillis() < untilMs && clients.stream().anyMatch(client -> client.openCount() > 0)) {
            Thread.sleep(100);
        }
        int sent = 0;
        int lost = 0;
        int begun = 0;
        int lostOfFast = 0;
        for (Client client : clients) {
            boolean isFast = fastEver.contains(client);
            for (Client.Call call : client.calls) {
                boolean whole = !client.wasTaken(call)
                        || call.answered() && (!call.kind().equals("served") || site.isWhole(call));
                sent++;
                lost += whole ? 0 : 1;
                begun += !whole && call.firstByteMs > 0 ? 1 : 0;
                lostOfFast += !whole && isFast ? 1 : 0;
                record.line(call.requestId + (isFast ? " of a fast client" : " of a slow client") + " written at "
                        + record.since(call.writtenMs) + ", "
                        + (whole
                                ? call.kind() + " at " + record.since(call.endedMs) + (client.wasTaken(call) ? "" : ", not taken")
                                : "NO WHOLE ANSWER, " + call.bodyBytes + " bytes of one"));
            }
        }
        for (Node node : site.nodes()) {
            node.fetches.forEach(
                    fetch -> record.line(record.since(fetch.arrivedMs) + ": " + node.id + " ran " + fetch.id));
        }
        boolean alive = site.proxy.isAlive();
        boolean answersHealth = answersHealth(site);
        record.say(sent + " requests, " + lost + " without a whole answer (" + begun + " begun, " + lostOfFast
                + " of clients that read at full speed); the process "
                + (alive ? "runs" : "HAS ENDED") + " and "
                + (answersHealth ? "answers" : "DOES NOT ANSWER") + " a health question of a new client");
        for (Client client : clients) {
            client.close();
        }
        return lost > 0;
    }

    private static List<Client> connect(Surroundings site, int count, long bytesPerSecond) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(new Client(site.proxy.listen, bytesPerSecond, RECEIVE_BUFFER));
        }
        return clients;
    }

    private static void send(Client client, int number, Record record) {
        try {
            client.send(
                    "/invoke/media",
                    Client.params(Surroundings.requestId(number), 6_000, Surroundings.object(number), 0, number % 32));
        } catch (IOException e) {
            record.line("request " + number + " could not be written: " + e.getMessage());
        }
    }

    /** Whether the proxy answers a new client that reads at full speed, within 5 s. */
    private static boolean answersHealth(Surroundings site) throws Exception {
        try (Client client = new Client(site.proxy.listen, 0, 0)) {
            Client.Call call = client.send("/_health", Client.params("0000000000000000", 1_000, 0, 0, 0));
            return call.await(5_000) && call.answered();
        } catch (IOException e) {
            return false;
        }
    }
}
