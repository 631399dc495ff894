import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One proxy, started as the platform does: the run line of the deploy file, by /bin/sh -c, from the root. */
final class Proxy implements AutoCloseable {
    /** The limits on the scored days, as DEPLOY states them. */
    static final int MEMORY_MB = 192;
    static final int SOCKETS = 1024;
    /** The rate of one transfer: that of the settings (flow-kb-per-s), so that sizes need no conversion. */
    static final long FLOW_BYTES_PER_S = 8_200 * 1024;

    final InetSocketAddress listen;
    final Path config;
    final Path log;
    private final Path root;
    private final Path folder;
    private final String name;
    private Process process;

    Proxy(Path root, Path folder, String name) throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = name;
        this.listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        this.config = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
    }

    /** A port of the loopback address that nobody listens on now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Replaces the configuration file in one step. */
    void configure(InetSocketAddress coordinator, List<String> known, String settings) throws IOException {
        String json = "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen) + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + MEMORY_MB + ",\"sockets\":" + SOCKETS + "},"
                + "\"coordinator\":\"" + text(coordinator) + "\",\"flow_bytes_per_s\":" + FLOW_BYTES_PER_S
                + ",\"link_bytes_per_s\":" + 10 * FLOW_BYTES_PER_S + ",\"known\":{\"index\":" + known.size()
                + ",\"updates\":[" + String.join(",", known) + "]},\"settings\":" + settings + "}";
        Path next = folder.resolve(name + ".json.next");
        Files.writeString(next, json);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    void start() throws IOException {
        Path tmp = Files.createDirectories(folder.resolve(name + ".tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
        builder.directory(root.toFile());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", text(listen));
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    private static String runLine(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        return run.group(1);
    }

    /** Waits until the proxy answers its health question with yes. */
    void awaitReady(long timeoutMs) throws Exception {
        long until = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            try (Client client = new Client(listen, 0, 0)) {
                Client.Call call = client.send("/_health", Client.params("0000000000000000", 1000, 0, 0, 0));
                if (call.await(500) && call.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(50);
        }
        throw new IllegalStateException("the proxy is not ready: " + Files.readString(log));
    }

    void signal(String signalName) throws Exception {
        new ProcessBuilder("/bin/kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        if (process == null) {
            return;
        }
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
