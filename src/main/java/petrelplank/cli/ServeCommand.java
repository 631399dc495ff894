package petrelplank.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.File;
import java.io.IOException;
import java.time.Instant;
import java.util.logging.Logger;
import org.kohsuke.args4j.Option;
import petrelplank.record.EventSink;
import petrelplank.record.FileSink;
import petrelplank.settings.Addresses;
import petrelplank.settings.Configuration;
import petrelplank.settings.FormatException;
import petrelplank.yaml.YamlException;

/** {@code serve}: runs one proxy. */
public final class ServeCommand extends BaseCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
    private static final long US_PER_SECOND = 1_000_000;
    private static final int NS_PER_US = 1000;

    @Option(name = "--config", metaVar = "FILE", usage = "the configuration; else $EDGE_CONFIG")
    private String config = System.getenv("EDGE_CONFIG");

    @Option(name = "--listen", metaVar = "HOST:PORT", usage = "where clients connect; else $EDGE_LISTEN")
    private String listen = System.getenv("EDGE_LISTEN");

    @Option(name = "--operator", metaVar = "FILE", usage = "the operator's YAML file; nothing of it is on without")
    private File operator;

    @Option(
            name = "--trace",
            forbids = "--operator",
            usage = "each event as a line on standard error; costs processor time, for a close look")
    private boolean trace;

    /** For args4j, which makes it by reflection. */
    public ServeCommand() {}

    @Override
    public int run() {
        if (config == null) {
            return unusable("no configuration: give --config or set EDGE_CONFIG");
        }
        ProxyServer server;
        try {
            Configuration configuration = Configuration.read(new File(config));
            if (operator != null && !operator.isFile()) {
                return unusable(operator + ": no such file");
            }
            server = start(configuration);
        } catch (JsonProcessingException e) {
            return unusable(config + ": not JSON: " + e.getOriginalMessage());
        } catch (YamlException e) {
            return unusable(e.getMessage());
        } catch (IOException | FormatException | IllegalArgumentException e) {
            return unusable(config + ": " + e.getMessage());
        }
        server.run();
        return ExitStatus.SUCCESS;
    }

    private ProxyServer start(Configuration configuration) throws IOException {
        ProxyServer server = new ProxyServer(configuration, ServeCommand::unixUs, sink(configuration.name()));
        if (!Signals.on("HUP", () -> reload(server, new File(config)))) {
            LOG.warning("started with SIGHUP ignored (nohup?): a new configuration will not be read");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(server), "drain"));
        server.open(listen == null ? configuration.listenAddress() : Addresses.parse(listen));
        return server;
    }

    private EventSink sink(String proxyName) throws IOException {
        if (trace) {
            return FileSink.trace(System.err, proxyName);
        }
        return operator == null ? EventSink.NONE : RecordSinks.sink(operator, proxyName);
    }

    /** Guards the process: whatever is wrong with the new file, the server goes on with what it has. */
    static void reload(ProxyServer server, File file) {
        try {
            Configuration next = Configuration.read(file);
            server.follow(next.discoveryAddress(), next.knownEvents());
        } catch (IOException | RuntimeException e) {
            LOG.warning("SIGHUP: " + file + " can't be used, the old configuration stays: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    /** Runs at SIGTERM, while the other threads go on; ends the process itself, with status 0. */
    private static void drain(ProxyServer server) {
        long longestMs = server.drain(() -> Runtime.getRuntime().halt(0));
        try {
            Thread.sleep(longestMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    private static long unixUs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * US_PER_SECOND + now.getNano() / NS_PER_US;
    }
}
