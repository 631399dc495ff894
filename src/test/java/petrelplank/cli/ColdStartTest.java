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
import petrelplank.fastcgi.FcgiClient;

/**
 * Fronts started at once as real processes, with the coordinator behind a relay that resets every stream: they serve
 * from the list they were started with, call the coordinator less and less often, follow it again soon after it
 * heals, and every request gets one whole answer. {@code -Dfronts=20} or more for the long form.
 */
@Tag("processes")
class ColdStartTest {
    /** A value that is no number gives 0, and the test says so. */
    private static final int FRONTS = Integer.getInteger("fronts", System.getProperty("fronts") == null ? 8 : 0);

    static String entry(String id, FakeCacheServer at, String zone, String kind) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + at.address() + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind
                + "\",\"cell\":0,\"lifecycle\":\"active\",\"weight\":10,\"startedAtMs\":0}";
    }

    /** A front started by nohup never hears SIGHUP, and went on with a coordinator that had moved, silently. */
    @Test
    void frontStartedWithHangupsIgnoredSaysSo(@TempDir Path folder) throws IOException, InterruptedException {
        Path plain = Files.createDirectory(folder.resolve("plain"));
        Path deaf = Files.createDirectory(folder.resolve("deaf"));
        try (FakeDiscoveryService service = new FakeDiscoveryService("[]");
                FaultRelay relay = new FaultRelay(service.address(), List.of(), 11);
                FrontProcesses one = new FrontProcesses(plain, 1, relay.address(), "[]");
                FrontProcesses other = new FrontProcesses(
                        deaf, 1, relay.address(), "[]", List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"))) {
            one.ready(60_000);
            other.ready(60_000);
            // The test's own process hands on what it was started with.
            String mask = Files.readAllLines(Path.of("/proc/self/status")).stream()
                    .filter(line -> line.startsWith("SigIgn:"))
                    .findFirst()
                    .orElseThrow()
                    .substring(7)
                    .trim();
            assertEquals((Long.parseUnsignedLong(mask, 16) & 1) == 1, one.log(0).contains("SIGHUP ignored"));
            assertTrue(other.log(0).contains("started with SIGHUP ignored"), other.log(0));
        }
    }

    @Test
    void frontsStartedAtOnceSpareACoordinatorThatResetsAndFollowItOnceItHeals(@TempDir Path folder)
            throws IOException, InterruptedException {
        assertTrue(FRONTS >= 1 && FRONTS <= 100, "-Dfronts wants 1 to 100, not " + System.getProperty("fronts"));
        try (FakeCacheServer cache = new FakeCacheServer();
                FakeCacheServer parent = new FakeCacheServer();
                FakeCacheServer origin = new FakeCacheServer()) {
            String instances = "[" + entry("c-1", cache, "edge-1", "box") + ","
                    + entry("p-1", parent, "north", "parent") + "," + entry("o-1", origin, "north", "origin") + "]";
            try (FakeDiscoveryService service = new FakeDiscoveryService(instances);
                    FaultRelay relay = new FaultRelay(
                            service.address(),
                            List.of(new FaultRelay.Span(0, Long.MAX_VALUE, FaultRelay.Fault.RESET, 0)),
                            11);
                    FrontProcesses fronts = new FrontProcesses(folder, FRONTS, relay.address(), instances)) {
                List<InetSocketAddress> at = fronts.ready(120_000);
                Thread.sleep(2_000);
                int before = relay.accepted();
                Thread.sleep(4_000);
                int calls = relay.accepted() - before;
                // Every 200 ms: 20 calls a front in 4 s. Waits of 0.8 s and more: 6 at most.
                assertTrue(calls <= 6 * FRONTS, calls + " calls in 4 s from " + FRONTS + " fronts");
                assertEquals(0, service.calls());

                relay.play(List.of());
                long until = System.nanoTime() + 8_000_000_000L;
                while (service.open() < FRONTS && System.nanoTime() < until) {
                    Thread.sleep(50);
                }
                assertEquals(FRONTS, service.open(), "fronts that follow the coordinator again within 8 s");

                for (int i = 0; i < at.size(); i++) {
                    try (FcgiClient client = new FcgiClient(at.get(i))) {
                        client.ask(
                                1,
                                "/invoke/media",
                                new byte[0],
                                RequestHeaders.withTimeout(String.format("%016x", i + 1), 10_000));
                        String answer = client.answer();
                        assertTrue(
                                answer.startsWith("1 Status: 200") && answer.endsWith(FakeCacheServer.BODY),
                                "front " + i + ": " + answer);
                    }
                }
                assertTrue(fronts.allAlive());
                for (int i = 0; i < at.size(); i++) {
                    assertFalse(fronts.log(i).contains("task failed"), fronts.log(i));
                }
                System.out.printf(
                        "cold start of %d fronts: %d calls in 4 s of resets, then %d at the service%n",
                        FRONTS, calls, service.calls());
            }
        }
    }
}
