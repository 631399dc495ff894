package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
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

/** The whole front on loopback sockets, against scripted peers. Time-outs here only end a test that has failed. */
abstract class LoopbackFixture {
    static final byte[] NOTHING = new byte[0];
    static final int SOCKETS = 60;
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
    /** Run in the event thread as it records an event: holds that thread at a known place. */
    volatile Consumer<Event> onRecord = event -> {};
    /** Moves the front's clock on. */
    final AtomicLong laterUs = new AtomicLong();
    /** Looks at it that move it on by half a second each, as in a process that waits for its turn. */
    final AtomicInteger steps = new AtomicInteger();
    /** Taken away to hold the I/O thread up at its next look at the clock. */
    final Semaphore ioTurn = new Semaphore(1);

    /** The settings that the front is started with. */
    String settings() {
        return SETTINGS;
    }

    @BeforeEach
    void start(@TempDir Path folder) throws IOException, InterruptedException {
        cache = new FakeServer();
        parent = new FakeServer();
        origin = new FakeServer();
        coordinator = new FakeServer();
        file = folder.resolve("config.json");
        Files.writeString(
                file,
                "{\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":"
                        + SOCKETS + ",\"memory_mb\":1},\"coordinator\":\"" + coordinator.address()
                        + "\",\"known\":{\"index\":1,"
                        + "\"updates\":[{\"index\":1,\"endpoints\":{\"instances\":["
                        + entry("c-1", cache, "edge-1", "box", "active")
                        + "," + entry("p-1", parent, "north", "parent", "active") + ","
                        + entry("o-1", origin, "north", "origin", "active") + "]}}]},\"settings\":" + settings() + "}");
        Configuration c = Configuration.read(file.toFile());
        front = new ProxyServer(
                c,
                () -> {
                    Instant now = Instant.now();
                    if (Thread.currentThread().getName().contains("Processor")) {
                        // The time it saw is old when it goes on, as in a thread that lost the processor.
                        ioTurn.acquireUninterruptibly();
                        ioTurn.release();
                    }
                    long step = steps.getAndUpdate(n -> Math.max(0, n - 1)) > 0 ? 500_000 : 0;
                    return now.getEpochSecond() * 1_000_000 + now.getNano() / 1000 + laterUs.addAndGet(step);
                },
                (unixUs, event) -> {
                    recorded.add(event);
                    onRecord.accept(event);
                });
        front.open(new InetSocketAddress("127.0.0.1", 0));
        events = new Thread(front::run);
        events.start();
        client = new FcgiClient(front.address());
        follow = coordinator.next();
        assertEquals("follow 1", follow.text());
        follow.reply("1\n");
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
        recordsAreSound();
        for (FakeServer server : new FakeServer[] {cache, parent, origin, coordinator}) {
            server.close();
        }
    }

    /** Whatever a test did: no second final answer, no end of what was not sent, nothing sent that was not taken. */
    private void recordsAreSound() {
        Set<Long> taken = new HashSet<>();
        Set<Long> over = new HashSet<>();
        Set<String> out = new HashSet<>();
        for (Event event : recorded) {
            if (event instanceof Event.RequestAdmitted t) {
                assertTrue(taken.add(t.request()), t.toString());
            } else if (event instanceof Event.AttemptSent s) {
                assertTrue(taken.contains(s.request()) && out.add(s.request() + " " + s.attempt()), s.toString());
            } else if (event instanceof Event.AttemptEnded e) {
                assertTrue(out.remove(e.request() + " " + e.attempt()), e.toString());
            } else if (event instanceof Event.RequestCompleted a) {
                assertTrue(taken.contains(a.request()) && over.add(a.request()), a.toString());
            } else if (event instanceof Event.ClientDisconnected l) {
                assertTrue(taken.contains(l.request()) && over.add(l.request()), l.toString());
            }
        }
        assertTrue(recorded.get(0) instanceof Event.ProxyStarted);
    }

    /** What a client tells of a request for the usual object, as pairs of name and value. */
    static String[] headers(String request) {
        return new String[] {
            "X-Request-Id",
            request,
            "X-Timeout-Ms",
            "60000",
            "X-Object",
            "7f3a9c21e0b4d655",
            "X-N",
            "0",
            "X-Shard",
            "17"
        };
    }

    void ask(int id, String request, String type) throws IOException {
        client.ask(id, "/invoke/" + type, type.equals("media") ? NOTHING : "move".getBytes(), headers(request));
    }

    /** Writes an event, and waits for the break behind it to show that it was heard. */
    void coordinatorTells(String event) throws IOException, InterruptedException {
        follow.reply(event + "\n");
        follow.socket().shutdownOutput();
        assertEquals("follow 2", coordinator.next().text());
    }
}
