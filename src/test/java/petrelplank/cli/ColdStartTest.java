package petrelplank.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelplank.fastcgi.FastCgiClient;

/**
 * Proxies started at once as real processes, with the discovery service behind a relay that resets every stream: they
 * serve by the list of their configuration, reconnect less and less often, follow the stream again soon after it
 * heals, and every request gets one complete response. {@code -Dfronts=20} or more for the long form.
 */
@Tag("processes")
class ColdStartTest {
    /** A value that is no number gives 0, and the test says so. */
    private static final int PROXIES = Integer.getInteger("fronts", System.getProperty("fronts") == null ? 8 : 0);

    private static final int MAX_PROXIES = 100;
    private static final long READY_TIMEOUT_MS = 120_000;
    /** Until the backoff has reached its cap. */
    private static final long SETTLE_MS = 2_000;

    private static final long MEASURED_MS = 4_000;
    /** Every 200 ms, these were 20 connects a proxy in 4 s; with delays of 0.8 s and more, there are 6 at most. */
    private static final int MAX_CONNECTS_PER_PROXY = 6;

    private static final long RECOVERY_TIMEOUT_NS = 8_000_000_000L;
    private static final long POLL_MS = 50;
    private static final int RELAY_SEED = 11;
    private static final List<FaultRelay.Span> RESET_ALWAYS =
            List.of(new FaultRelay.Span(0, Long.MAX_VALUE, FaultRelay.Fault.RESET, 0));
    /** Runs its arguments with SIGHUP ignored, as nohup does. */
    private static final List<String> IGNORING_SIGHUP = List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh");

    static String entry(String id, FakeCacheServer at, String zone, String kind) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + at.address() + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind
                + "\",\"cell\":0,\"lifecycle\":\"active\",\"weight\":10,\"startedAtMs\":0}";
    }

    /** A proxy started by nohup never gets SIGHUP, and silently kept the old address of the discovery service. */
    @Test
    void startWithIgnoredHangupIsLogged(@TempDir Path folder) throws IOException, InterruptedException {
        Path plain = Files.createDirectory(folder.resolve("plain"));
        Path ignoring = Files.createDirectory(folder.resolve("ignoring"));
        try (FakeDiscoveryService service = new FakeDiscoveryService("[]");
                FaultRelay relay = new FaultRelay(service.address(), List.of(), RELAY_SEED);
                ProxyProcesses normal = new ProxyProcesses(plain, 1, relay.address(), "[]");
                ProxyProcesses deaf = new ProxyProcesses(ignoring, 1, relay.address(), "[]", IGNORING_SIGHUP)) {
            normal.ready(60_000);
            deaf.ready(60_000);
            assertEquals(testProcessIgnoresHangup(), normal.log(0).contains("SIGHUP ignored"));
            assertTrue(deaf.log(0).contains("started with SIGHUP ignored"), deaf.log(0));
        }
    }

    /** A process passes its ignored signals on to those that it starts. */
    private static boolean testProcessIgnoresHangup() throws IOException {
        String mask = Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .findFirst()
                .orElseThrow()
                .substring("SigIgn:".length())
                .trim();
        return (Long.parseUnsignedLong(mask, 16) & 1) == 1;
    }

    @Test
    void proxiesStartedTogetherBackOffWhileStreamsAreResetAndRecover(@TempDir Path folder)
            throws IOException, InterruptedException {
        assertTrue(
                PROXIES >= 1 && PROXIES <= MAX_PROXIES, "-Dfronts wants 1 to 100, not " + System.getProperty("fronts"));
        try (FakeCacheServer cache = new FakeCacheServer();
                FakeCacheServer parent = new FakeCacheServer();
                FakeCacheServer origin = new FakeCacheServer()) {
            String instances = "[" + entry("c-1", cache, "edge-1", "box") + ","
                    + entry("p-1", parent, "north", "parent") + "," + entry("o-1", origin, "north", "origin") + "]";
            try (FakeDiscoveryService service = new FakeDiscoveryService(instances);
                    FaultRelay relay = new FaultRelay(service.address(), RESET_ALWAYS, RELAY_SEED);
                    ProxyProcesses proxies = new ProxyProcesses(folder, PROXIES, relay.address(), instances)) {
                List<InetSocketAddress> addresses = proxies.ready(READY_TIMEOUT_MS);
                int connects = checkBackoff(relay, service);
                checkRecovery(relay, service);
                checkResponses(addresses);
                checkLogs(proxies);
                System.out.printf(
                        "cold start of %d proxies: %d connects in 4 s of resets, then %d at the service%n",
                        PROXIES, connects, service.calls());
            }
        }
    }

    private static int checkBackoff(FaultRelay relay, FakeDiscoveryService service) throws InterruptedException {
        Thread.sleep(SETTLE_MS);
        int before = relay.accepted();
        Thread.sleep(MEASURED_MS);
        int connects = relay.accepted() - before;
        assertTrue(
                connects <= MAX_CONNECTS_PER_PROXY * PROXIES,
                connects + " connects in 4 s from " + PROXIES + " proxies");
        assertEquals(0, service.calls());
        return connects;
    }

    private static void checkRecovery(FaultRelay relay, FakeDiscoveryService service) throws InterruptedException {
        relay.play(List.of());
        long deadlineNs = System.nanoTime() + RECOVERY_TIMEOUT_NS;
        while (service.open() < PROXIES && System.nanoTime() < deadlineNs) {
            Thread.sleep(POLL_MS);
        }
        assertEquals(PROXIES, service.open(), "proxies that follow the stream again within 8 s");
    }

    private static void checkResponses(List<InetSocketAddress> addresses) throws IOException {
        for (int i = 0; i < addresses.size(); i++) {
            try (FastCgiClient client = new FastCgiClient(addresses.get(i))) {
                client.sendRequest(1, "/invoke/media", new byte[0], requestHeaders(i + 1));
                String response = client.readResponse();
                assertTrue(
                        response.startsWith("1 Status: 200") && response.endsWith(FakeCacheServer.BODY),
                        "proxy " + i + ": " + response);
            }
        }
    }

    private static String[] requestHeaders(int number) {
        return new String[] {
            "X-Request-Id",
            String.format("%016x", number),
            "X-Timeout-Ms",
            "10000",
            "X-Object",
            "7f3a9c21e0b4d655",
            "X-N",
            "0",
            "X-Shard",
            "17"
        };
    }

    private static void checkLogs(ProxyProcesses proxies) throws IOException {
        assertTrue(proxies.allAlive());
        for (int i = 0; i < PROXIES; i++) {
            assertFalse(proxies.log(i).contains("task failed"), proxies.log(i));
        }
    }
}
