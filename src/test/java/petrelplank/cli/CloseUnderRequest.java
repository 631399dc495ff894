package petrelplank.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import petrelplank.fastcgi.FcgiClient;

/**
 * How many requests end with their connection, at a real front whose processor is withheld: clients ask on
 * connections that they keep, others ask once and keep theirs for good, so that the front closes quiet ones to make
 * room, while the process is stopped for a while again and again (SIGSTOP, SIGCONT). Arguments: seconds, milliseconds
 * of a stop, milliseconds between two, connections a second that are kept for good. See docs/churn.md.
 */
final class CloseUnderRequest {
    private static final int POOLED = 80;
    private static final int MOST_KEPT = 400;
    /** A request that crosses a close by no more than this is sent again by its client. */
    private static final long CROSSES_NS = 50_000_000;

    private final AtomicLong asked = new AtomicLong();
    private final AtomicInteger crossed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger reopened = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong();
    private final InetSocketAddress front;
    private final long untilNs;

    private CloseUnderRequest(InetSocketAddress front, long untilNs) {
        this.front = front;
        this.untilNs = untilNs;
    }

    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length != 4) {
            System.err.println("wanted: seconds, ms of a stop, ms between stops, connections a second kept for good");
            System.exit(2);
        }
        Path folder = Files.createTempDirectory("close-under-request");
        try (FakeCacheServer cache = new FakeCacheServer();
                FakeCacheServer parent = new FakeCacheServer();
                FakeCacheServer origin = new FakeCacheServer()) {
            String instances = "[" + ColdStartTest.entry("c-1", cache, "edge-1", "box") + ","
                    + ColdStartTest.entry("p-1", parent, "north", "parent") + ","
                    + ColdStartTest.entry("o-1", origin, "north", "origin") + "]";
            try (FakeDiscoveryService service = new FakeDiscoveryService(instances);
                    FaultRelay relay = new FaultRelay(service.address(), List.of(), 11);
                    FrontProcesses fronts = new FrontProcesses(folder, 1, relay.address(), instances)) {
                InetSocketAddress at = fronts.ready(60_000).get(0);
                long untilNs = System.nanoTime() + Long.parseLong(args[0]) * 1_000_000_000L;
                CloseUnderRequest probe = new CloseUnderRequest(at, untilNs);
                probe.play(fronts.pid(0), Long.parseLong(args[1]), Long.parseLong(args[2]), Integer.parseInt(args[3]));
                System.out.printf(
                        "asked %d, connections closed while quiet %d, closed under a request: "
                                + "within 50 ms %d, later (lost) %d%n",
                        probe.asked.get(), probe.reopened.get(), probe.crossed.get(), probe.lost.get());
            }
        }
    }

    private void play(long pid, long stopMs, long betweenMs, int keptASecond) throws InterruptedException, IOException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < POOLED; i++) {
            SplittableRandom random = new SplittableRandom(i);
            threads.add(new Thread(() -> pooled(random)));
        }
        threads.add(new Thread(() -> kept(keptASecond)));
        threads.forEach(Thread::start);
        while (System.nanoTime() < untilNs) {
            signal("-STOP", pid);
            Thread.sleep(stopMs);
            signal("-CONT", pid);
            Thread.sleep(betweenMs);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void signal(String name, long pid) throws IOException, InterruptedException {
        new ProcessBuilder("kill", name, Long.toString(pid)).inheritIO().start().waitFor();
    }

    /** Asks, waits up to 1.5 s, asks again on the same connection; a client looks for a close before it asks. */
    private void pooled(SplittableRandom random) {
        FcgiClient client = null;
        try {
            while (System.nanoTime() < untilNs) {
                Thread.sleep(random.nextInt(100, 1_500));
                if (client == null || client.closed()) {
                    reopened.addAndGet(client == null ? 0 : 1);
                    client = new FcgiClient(front);
                }
                asked.incrementAndGet();
                long sentNs = System.nanoTime();
                boolean ended;
                try {
                    client.ask(
                            1,
                            "/invoke/media",
                            new byte[0],
                            RequestHeaders.withTimeout(String.format("%016x", ids.incrementAndGet()), 10_000));
                    ended = client.answer().equals("closed");
                } catch (IOException e) {
                    ended = true;
                }
                if (ended) {
                    (System.nanoTime() - sentNs > CROSSES_NS ? lost : crossed).incrementAndGet();
                    client = null;
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Each asks once and keeps its connection. */
    private void kept(int aSecond) {
        ArrayDeque<FcgiClient> all = new ArrayDeque<>();
        try {
            while (System.nanoTime() < untilNs) {
                FcgiClient one = new FcgiClient(front);
                one.ask(1, "/_health", new byte[0]);
                all.add(one);
                if (all.size() > MOST_KEPT) {
                    all.poll().close();
                }
                Thread.sleep(1000 / aSecond);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
