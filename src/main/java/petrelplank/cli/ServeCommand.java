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

/** {@code serve}: one real front. */
public final class ServeCommand extends BaseCommand {
    private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());

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
        ProxyServer front;
        try {
            Configuration c = Configuration.read(new File(config));
            if (operator != null && !operator.isFile()) {
                return unusable(operator + ": no such file");
            }
            EventSink sink = trace
                    ? FileSink.trace(System.err, c.name())
                    : operator == null ? null : RecordSinks.sink(operator, c.name());
            front = new ProxyServer(c, ServeCommand::unixUs, sink);
            if (!Signals.on("HUP", () -> reload(front, new File(config)))) {
                LOG.warning("started with SIGHUP ignored (nohup?): a new configuration will not be read");
            }
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(front), "drain"));
            front.open(listen == null ? c.listenAddress() : Addresses.parse(listen));
        } catch (JsonProcessingException e) {
            return unusable(config + ": not JSON: " + e.getOriginalMessage());
        } catch (YamlException e) {
            return unusable(e.getMessage());
        } catch (IOException | FormatException | IllegalArgumentException e) {
            return unusable(config + ": " + e.getMessage());
        }
        front.run();
        return ExitStatus.SUCCESS;
    }

    /** Guards the process: whatever is wrong with the new file, the front goes on with what it has. */
    static void reload(ProxyServer front, File file) {
        try {
            Configuration next = Configuration.read(file);
            front.follow(next.discoveryAddress(), next.knownEvents());
        } catch (IOException | RuntimeException e) {
            LOG.warning("SIGHUP: " + file + " can't be used, the old configuration stays: "
                    + String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    /** Runs at SIGTERM, while the other threads go on; ends the process itself, with status 0. */
    private static void drain(ProxyServer front) {
        long longestMs = front.drain(() -> Runtime.getRuntime().halt(0));
        try {
            Thread.sleep(longestMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }

    private static long unixUs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000 + now.getNano() / 1000;
    }
}
