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
import petrelplank.fastcgi.FastCgiClient;

/**
 * Counts the requests that are lost with their connection, at a real proxy that gets no processor time now and then:
 * clients send requests on connections that they keep, others send one and keep theirs idle, so that the proxy closes
 * idle ones to make room, while its process is stopped again and again (SIGSTOP, SIGCONT). Arguments: seconds,
 * milliseconds of a stop, milliseconds between two, idle connections opened each second. See docs/churn.md.
 */
final class CloseUnderRequest {
    private static final int POOLED_CLIENTS = 80;
    private static final int MAX_IDLE = 400;
    /** A request that crosses a close by no more than this is retried by its client. */
    private static final long CROSSING_NS = 50_000_000;

    private final AtomicLong asked = new AtomicLong();
    private final AtomicInteger crossed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger reopened = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong();
    private final InetSocketAddress proxy;
    private final long untilNs;

    private CloseUnderRequest(InetSocketAddress proxy, long untilNs) {
        this.proxy = proxy;
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
            try (FakeDiscoveryService discovery = new FakeDiscoveryService(instances);
                    FaultRelay relay = new FaultRelay(discovery.address(), List.of(), 11);
                    ProxyProcesses processes = new ProxyProcesses(folder, 1, relay.address(), instances)) {
                InetSocketAddress address = processes.ready(60_000).get(0);
                long untilNs = System.nanoTime() + Long.parseLong(args[0]) * 1_000_000_000L;
                CloseUnderRequest load = new CloseUnderRequest(address, untilNs);
                load.play(
                        processes.pid(0), Long.parseLong(args[1]), Long.parseLong(args[2]), Integer.parseInt(args[3]));
                System.out.printf(
                        "asked %d, connections closed while quiet %d, closed under a request: "
                                + "within 50 ms %d, later (lost) %d%n",
                        load.asked.get(), load.reopened.get(), load.crossed.get(), load.lost.get());
            }
        }
    }

    private void play(long pid, long stopMs, long betweenMs, int idlePerSecond)
            throws InterruptedException, IOException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < POOLED_CLIENTS; i++) {
            SplittableRandom random = new SplittableRandom(i);
            threads.add(new Thread(() -> pooled(random)));
        }
        threads.add(new Thread(() -> keepIdle(idlePerSecond)));
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

    /** Sends a request every 1.5 s at most on the same connection; a client looks for a close before it sends. */
    private void pooled(SplittableRandom random) {
        FastCgiClient client = null;
        try {
            while (System.nanoTime() < untilNs) {
                Thread.sleep(random.nextInt(100, 1_500));
                if (client == null || client.isClosedByProxy()) {
                    reopened.addAndGet(client == null ? 0 : 1);
                    client = new FastCgiClient(proxy);
                }
                asked.incrementAndGet();
                long sentNs = System.nanoTime();
                boolean ended;
                try {
                    client.sendRequest(
                            1,
                            "/invoke/media",
                            new byte[0],
                            RequestHeaders.withTimeout(String.format("%016x", ids.incrementAndGet()), 10_000));
                    ended = client.readResponse().equals("closed");
                } catch (IOException e) {
                    ended = true;
                }
                if (ended) {
                    (System.nanoTime() - sentNs > CROSSING_NS ? lost : crossed).incrementAndGet();
                    client = null;
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Opens connections that carry one request and stay open, idle. */
    private void keepIdle(int perSecond) {
        ArrayDeque<FastCgiClient> idle = new ArrayDeque<>();
        try {
            while (System.nanoTime() < untilNs) {
                FastCgiClient client = new FastCgiClient(proxy);
                client.sendRequest(1, "/_health", new byte[0]);
                idle.add(client);
                if (idle.size() > MAX_IDLE) {
                    idle.poll().close();
                }
                Thread.sleep(1000 / perSecond);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
