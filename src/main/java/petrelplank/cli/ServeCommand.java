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

/** {@code serve}: runs one proxy until SIGTERM. */
public final class ServeCommand extends BaseCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());
    private static final long US_PER_SECOND = 1_000_000;
    private static final int NS_PER_US = 1000;

    @Option(name = "--config", metaVar = "FILE", usage = "configuration file (default: $EDGE_CONFIG)")
    private String configPath = System.getenv("EDGE_CONFIG");

    @Option(
            name = "--listen",
            metaVar = "HOST:PORT",
            usage = "address for client connections (default: $EDGE_LISTEN, else the configuration)")
    private String listenAddress = System.getenv("EDGE_LISTEN");

    @Option(
            name = "--operator",
            metaVar = "FILE",
            usage = "YAML file with operator settings; without it, no records are written")
    private File operatorFile;

    @Option(
            name = "--trace",
            forbids = "--operator",
            usage = "print each event as a line on standard error; for debugging, as it takes processor time")
    private boolean trace;

    /** Called by args4j through reflection. */
    public ServeCommand() {}

    @Override
    public int run() {
        if (configPath == null) {
            return reportUnusableInput("no configuration file: use --config FILE or set EDGE_CONFIG");
        }
        FatalErrorHandler.install();
        ProxyServer server;
        try {
            Configuration configuration = Configuration.read(new File(configPath));
            if (operatorFile != null && !operatorFile.isFile()) {
                return reportUnusableInput(operatorFile + ": no such operator file");
            }
            server = start(configuration);
        } catch (JsonProcessingException e) {
            return reportUnusableInput(configPath + ": not JSON: " + e.getOriginalMessage());
        } catch (YamlException e) {
            return reportUnusableInput(e.getMessage());
        } catch (IOException | FormatException | IllegalArgumentException e) {
            return reportUnusableInput(configPath + ": " + e.getMessage());
        }
        server.run();
        return ExitStatus.SUCCESS;
    }

    private ProxyServer start(Configuration configuration) throws IOException {
        ProxyServer server = new ProxyServer(configuration, ServeCommand::unixTimeUs, createSink(configuration.name()));
        if (!Signals.on("HUP", () -> reload(server, new File(configPath)))) {
            LOG.warning("started with SIGHUP ignored (nohup?): SIGHUP will not reload the configuration");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(server), "drain"));
        server.open(listenAddress == null ? configuration.listenAddress() : Addresses.parse(listenAddress));
        return server;
    }

    private EventSink createSink(String proxyName) throws IOException {
        if (trace) {
            return FileSink.trace(System.err, proxyName);
        }
        return operatorFile == null ? EventSink.NONE : RecordSinks.create(operatorFile, proxyName);
    }

    /** Reloads the configuration. If the file cannot be used, the proxy continues with its current configuration. */
    static void reload(ProxyServer server, File file) {
        try {
            Configuration newConfiguration = Configuration.read(file);
            server.followDiscovery(newConfiguration.discoveryAddress(), newConfiguration.knownEvents());
        } catch (IOException | RuntimeException e) {
            LOG.warning("SIGHUP: " + file + " cannot be used, keeping the current configuration: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    /** Shutdown hook for SIGTERM: drains while the other threads still run, then halts the process with status 0. */
    private static void drain(ProxyServer server) {
        long maxDrainMs = server.drain(() -> Runtime.getRuntime().halt(0));
        try {
            Thread.sleep(maxDrainMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    private static long unixTimeUs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * US_PER_SECOND + now.getNano() / NS_PER_US;
    }
}
