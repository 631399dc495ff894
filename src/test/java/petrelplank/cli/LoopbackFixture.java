package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.record.Event;
import petrelplank.settings.Configuration;
import petrelplank.upstream.FakeServer;

/**
 * A complete proxy on loopback sockets, with scripted servers, a scripted discovery service and a client. Time-outs
 * only end a test that has failed.
 */
abstract class LoopbackFixture {
    static final byte[] NOTHING = new byte[0];
    static final int SOCKETS = 60;
    private static final long STEP_US = 500_000;
    static final String SETTINGS = """
        {"balancers":1,"caps":{"cancel":true,"connect-timeout-us":400000,"conn-idle-us":15000000,"max-streams":100,
        "max-retry-after-us":2000000,"peer-messages":false,"probing":true,"retry-after":true,"second-copies":true,
        "try-limit":6},"discovery":"automatic","family-info":{"class-grace-us":[0,0,0],"class-write":[false,true,true],
        "crew-by-zone":[0,1],"flow-kb-per-s":8000.0,"hub-of":[0,0],"max-age-us":[0,0,0],"merges-fills":false,
        "neighbours":"location","note-level":"all","notice-time-us":500000,"origin-kind":2,"parent-breaks-at":2.0,
        "parent-cold-from":0.08,"parent-cold-us":21000000,"pass-through-ok":true,"purge-done-us":6000000,
        "upper-kind":1},"kinds":["box","parent","origin"],"localities":["north","edge-1"],
        "report":{"fields":["concurrent"],"how":"answers"},"rules":{"ask-every-us":10000000,"cold-from":0.16,
        "fall-multiple":4,"fall-us":1500000,"stop-sending-within-us":1000000,"warm-after-us":15000000},
        "self-index":0,"services":[{"aim-stretch":2.0,"aim-us":500000,"deadline-us":60000000,"group":"all",
        "key-ttl-us":5000000,"late-worth":0.15,"name":"media","repeat":"free","stream":false,"worth":2.0},
        {"aim-us":700000,"deadline-us":60000000,"group":"all","key-ttl-us":5000000,"late-worth":0.0,
        "name":"stock-move","repeat":"single_shot","stream":false,"worth":3.0},
        {"aim-us":700000,"deadline-us":60000000,"group":"all","key-ttl-us":3000000,"late-worth":0.0,
        "name":"receipt","repeat":"guarded","stream":false,"worth":3.0}],"weights":"rough","zone":"edge-1"}""";

    FakeServer cache;
    FakeServer parent;
    FakeServer origin;
    FakeServer coordinator;
    ProxyServer front;
    Thread events;
    FcgiClient client;
    FakeServer.Line follow;
    Path file;
    final List<Event> recorded = new CopyOnWriteArrayList<>();
    /** Called in the event thread with each event that it records; can hold that thread at a known place. */
    volatile Consumer<Event> onRecord = event -> {};
    /** Moves the proxy's clock on. */
    final AtomicLong laterUs = new AtomicLong();
    /** Reads of the clock that each move it on by half a second, as in a process that waits for the processor. */
    final AtomicInteger steps = new AtomicInteger();
    /** Acquired by a test to hold the I/O thread at its next read of the clock. */
    final Semaphore ioTurn = new Semaphore(1);

    /** The settings that the proxy is started with. */
    String settings() {
        return SETTINGS;
    }

    @BeforeEach
    void start(@TempDir Path directory) throws IOException, InterruptedException {
        cache = new FakeServer();
        parent = new FakeServer();
        origin = new FakeServer();
        coordinator = new FakeServer();
        file = directory.resolve("config.json");
        Files.writeString(file, configuration());
        front = new ProxyServer(Configuration.read(file.toFile()), this::nowUs, this::record);
        front.open(new InetSocketAddress("127.0.0.1", 0));
        events = new Thread(front::run);
        events.start();
        client = new FcgiClient(front.address());
        follow = coordinator.next();
        assertEquals("follow 1", follow.text());
        follow.reply("1\n");
        awaitHealth();
    }

    private String configuration() {
        return "{\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + SOCKETS
                + ",\"memory_mb\":1},\"coordinator\":\"" + coordinator.address()
                + "\",\"known\":{\"index\":1,\"updates\":[{\"index\":1,\"endpoints\":{\"instances\":["
                + entry("c-1", cache, "edge-1", "box", "active") + ","
                + entry("p-1", parent, "north", "parent", "active") + ","
                + entry("o-1", origin, "north", "origin", "active") + "]}}]},\"settings\":" + settings() + "}";
    }

    private long nowUs() {
        Instant now = Instant.now();
        if (Thread.currentThread().getName().contains("Processor")) {
            // The time read is old when the thread goes on, as in a thread that lost the processor.
            ioTurn.acquireUninterruptibly();
            ioTurn.release();
        }
        long stepUs = steps.getAndUpdate(left -> Math.max(0, left - 1)) > 0 ? STEP_US : 0;
        return TimeUnit.SECONDS.toMicros(now.getEpochSecond())
                + TimeUnit.NANOSECONDS.toMicros(now.getNano())
                + laterUs.addAndGet(stepUs);
    }

    private void record(long unixUs, Event event) {
        recorded.add(event);
        onRecord.accept(event);
    }

    private void awaitHealth() throws IOException {
        do {
            client.ask(1, "/_health", NOTHING);
        } while (!client.answer().startsWith("1 Status: 200"));
    }

    static String entry(String id, FakeServer at, String zone, String kind, String state) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + at.address() + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + state
                + "\",\"weight\":10,\"startedAtMs\":0}";
    }

    @AfterEach
    void stop() throws IOException, InterruptedException {
        client.close();
        front.close();
        events.join();
        RecordedEventOrder.check(recorded);
        for (FakeServer server : new FakeServer[] {cache, parent, origin, coordinator}) {
            server.close();
        }
    }

    static String[] headers(String request) {
        return RequestHeaders.of(request);
    }

    void ask(int id, String request, String type) throws IOException {
        client.ask(id, "/invoke/" + type, type.equals("media") ? NOTHING : "move".getBytes(), headers(request));
    }

    /** Sends an event and breaks the stream; that the proxy follows from behind the event shows that it was read. */
    void coordinatorTells(String event) throws IOException, InterruptedException {
        follow.reply(event + "\n");
        follow.socket().shutdownOutput();
        assertEquals("follow 2", coordinator.next().text());
    }
}
