package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelplank.fastcgi.FcgiClient;
import petrelplank.upstream.FakeServer;

/** Signals to a real front process at odd moments. */
@Tag("processes")
class FrontSignalsTest {
    private static final long PATIENCE_MS = 60_000;
    /** The longest that a drain may take: 3 s for the longest deadline, 0.7 s more, and time for the process to go. */
    private static final long DRAIN_S = 15;

    private static void signal(String name, long pid) throws IOException, InterruptedException {
        assertThat(new ProcessBuilder("kill", "-" + name, Long.toString(pid))
                        .start()
                        .waitFor())
                .isZero();
    }

    private static void endsInOrder(FrontProcesses fronts) throws IOException, InterruptedException {
        assertThat(fronts.process(0).waitFor(DRAIN_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fronts.process(0).exitValue()).as(fronts.log(0)).isZero();
        assertThat(fronts.log(0)).contains("ended: ").doesNotContain("Exception");
    }

    /** A second SIGTERM, and SIGHUP, while the drain answers what is open: neither ends it early. */
    @Test
    void signalsDuringTheDrainDoNotCutItShort(@TempDir Path folder) throws IOException, InterruptedException {
        try (FakeServer cache = new FakeServer();
                FakeDiscoveryService service = new FakeDiscoveryService("[]")) {
            String instances = "[" + LoopbackFixture.endpointJson("c-1", cache, "edge-1", "box", "active") + "]";
            String at = "127.0.0.1:" + service.port();
            try (FrontProcesses fronts = new FrontProcesses(folder, 1, at, instances)) {
                InetSocketAddress address = fronts.ready(PATIENCE_MS).get(0);
                try (FcgiClient client = new FcgiClient(address)) {
                    client.ask(1, "/invoke/media", new byte[0], RequestHeaders.of("aaaaaaaaaaaaaaaa"));
                    FakeServer.Line fetch = cache.next();
                    signal("TERM", fronts.pid(0));
                    signal("HUP", fronts.pid(0));
                    signal("TERM", fronts.pid(0));
                    client.ask(2, "/_health", new byte[0]);
                    while (!client.answer().startsWith("2 Status: 503")) {
                        client.ask(2, "/_health", new byte[0]);
                    }
                    fetch.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
                    assertThat(client.answer()).startsWith("1 Status: 200").endsWith("one");
                }
                endsInOrder(fronts);
            }
        }
    }

    /** SIGTERM to a front that is not ready, as it waits for the coordinator's first beat. */
    @Test
    void frontThatIsNotReadyEndsInOrder(@TempDir Path folder) throws IOException, InterruptedException {
        try (FakeServer silent = new FakeServer();
                FrontProcesses fronts = new FrontProcesses(folder, 1, silent.address(), "[]")) {
            assertThat(silent.next().text()).isEqualTo("follow 1");
            signal("TERM", fronts.pid(0));
            endsInOrder(fronts);
            assertThat(fronts.log(0)).doesNotContain("serving at");
        }
    }
}
