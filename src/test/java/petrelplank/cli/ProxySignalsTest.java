package petrelplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelplank.fastcgi.FastCgiClient;
import petrelplank.upstream.FakeServer;

/** Sends signals to a real proxy process while it drains and before it is ready. */
@Tag("processes")
class ProxySignalsTest {
    private static final long READY_TIMEOUT_MS = 60_000;
    /** A drain takes up to 3.7 s (longest deadline 3 s, plus 0.7 s); the rest is time for the process to exit. */
    private static final long DRAIN_TIMEOUT_S = 15;

    private static void sendSignal(String name, long pid) throws IOException, InterruptedException {
        assertThat(new ProcessBuilder("kill", "-" + name, Long.toString(pid))
                        .start()
                        .waitFor())
                .isZero();
    }

    private static void assertStopsGracefully(ProxyProcesses processes) throws IOException, InterruptedException {
        assertThat(processes.process(0).waitFor(DRAIN_TIMEOUT_S, TimeUnit.SECONDS))
                .isTrue();
        assertThat(processes.process(0).exitValue()).as(processes.log(0)).isZero();
        assertThat(processes.log(0)).contains("stopped: ").doesNotContain("Exception");
    }

    /** A second SIGTERM and a SIGHUP, sent while open requests are still answered, do not end the drain early. */
    @Test
    void signalsWhileDrainingDoNotInterruptTheDrain(@TempDir Path folder) throws IOException, InterruptedException {
        try (FakeServer cache = new FakeServer();
                FakeDiscoveryService discovery = new FakeDiscoveryService("[]")) {
            String instances = "[" + LoopbackFixture.endpointJson("c-1", cache, "edge-1", "box", "active") + "]";
            String discoveryAddress = "127.0.0.1:" + discovery.port();
            try (ProxyProcesses processes = new ProxyProcesses(folder, 1, discoveryAddress, instances)) {
                InetSocketAddress address = processes.ready(READY_TIMEOUT_MS).get(0);
                try (FastCgiClient client = new FastCgiClient(address)) {
                    client.sendRequest(1, "/invoke/media", new byte[0], RequestHeaders.of("aaaaaaaaaaaaaaaa"));
                    FakeServer.Line upstreamRequest = cache.awaitLine();
                    sendSignal("TERM", processes.pid(0));
                    sendSignal("HUP", processes.pid(0));
                    sendSignal("TERM", processes.pid(0));
                    client.sendRequest(2, "/_health", new byte[0]);
                    while (!client.readResponse().startsWith("2 Status: 503")) {
                        client.sendRequest(2, "/_health", new byte[0]);
                    }
                    upstreamRequest.reply("aaaaaaaaaaaaaaaa ACK tell=HIT 3\r\none\r\n");
                    assertThat(client.readResponse())
                            .startsWith("1 Status: 200")
                            .endsWith("one");
                }
                assertStopsGracefully(processes);
            }
        }
    }

    /** Sends SIGTERM to a proxy that is not ready because it waits for the first heartbeat of the discovery service. */
    @Test
    void proxyThatIsNotReadyStopsGracefully(@TempDir Path folder) throws IOException, InterruptedException {
        try (FakeServer silentDiscovery = new FakeServer();
                ProxyProcesses processes = new ProxyProcesses(folder, 1, silentDiscovery.address(), "[]")) {
            assertThat(silentDiscovery.awaitLine().text()).isEqualTo("follow 1");
            sendSignal("TERM", processes.pid(0));
            assertStopsGracefully(processes);
            assertThat(processes.log(0)).doesNotContain("serving at");
        }
    }
}
