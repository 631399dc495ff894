package petrelplank.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import petrelplank.discovery.DiscoveryClient;
import petrelplank.discovery.DiscoveryEventDecoder;
import petrelplank.fastcgi.FastCgiListener;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.record.EventSink;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RouterSettings;
import petrelplank.settings.Configuration;
import petrelplank.settings.JsonFields;
import petrelplank.upstream.ConnectionLimits;
import petrelplank.upstream.UpstreamConnectionPool;

/** One proxy, with all its parts wired: one I/O thread for all sockets, and one event thread. */
final class ProxyServer {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());
    private static final long MIN_CONNECT_TIMEOUT_US = 50_000;
    /** Bounds what an overload holds in memory: 2,048 open requests at 128 MB. */
    private static final int OPEN_REQUESTS_PER_MB = 16;

    private static final int BYTES_PER_MB_SHIFT = 20;

    private final EventLoop loop;
    private final ProxyTransport transport;
    private final EventSink sink;
    private final EdgeProxy proxy;
    private final DiscoveryClient discovery;
    private final FastCgiListener clients;
    private final Readiness readiness;
    private final Warmup warmup;
    private final Shutdown shutdown;

    /**
     * Wires the parts and applies the events that the configuration knows, but opens nothing yet.
     *
     * @param configuration the configuration
     * @param clock the Unix clock in microseconds
     * @param sink takes the proxy's events; {@link EventSink#NONE} where records are off
     */
    ProxyServer(Configuration configuration, LongSupplier clock, EventSink sink) {
        RouterSettings settings = configuration.settings();
        this.sink = sink;
        loop = new EventLoop(clock);
        transport = new ProxyTransport(configuration.maxDescriptors(), clock);
        proxy = proxy(configuration);
        List<EndpointInfo> endpoints = applyKnownEvents(configuration.knownEvents());
        discovery = new DiscoveryClient(
                loop, proxy, transport.discoveryConnector(), configuration.discoveryAddress(), configuration.seed());
        clients = new FastCgiListener(
                loop,
                proxy,
                transport.acceptor(),
                transport.clientBudget(),
                (long) configuration.memoryMb() << BYTES_PER_MB_SHIFT,
                configuration.sizeScale());
        readiness = new Readiness(loop, proxy, discovery, clients, transport.acceptor());
        warmup = new Warmup(settings, endpoints, transport.acceptor());
        shutdown = new Shutdown(loop, proxy, clients, transport, readiness, settings);
    }

    private EdgeProxy proxy(Configuration configuration) {
        RouterSettings settings = configuration.settings();
        ConnectionLimits limits = new ConnectionLimits(
                transport.upstreamBudget(),
                configuration.maxStreamsPerConnection(),
                Math.max(MIN_CONNECT_TIMEOUT_US, settings.connectTimeoutUs()),
                configuration.idleTimeoutUs(),
                ConnectionLimits.maxPerServer(settings.zoneProxyCount()),
                settings.permissions().hedging());
        return new EdgeProxy(
                loop,
                settings,
                configuration.seed(),
                OPEN_REQUESTS_PER_MB * configuration.memoryMb(),
                sink,
                (events, forwarder) -> new UpstreamConnectionPool(
                        events, forwarder, transport.upstreamConnector(), limits, settings.reportFields()));
    }

    /** Returns the endpoints of the complete lists among the events. */
    private List<EndpointInfo> applyKnownEvents(List<JsonFields> known) {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (JsonFields fields : known) {
            DiscoveryEvent event = DiscoveryEventDecoder.decode(fields);
            proxy.onDiscoveryEvent(event);
            if (event instanceof DiscoveryEvent.EndpointChange change && change.complete()) {
                change.entries().forEach(entry -> endpoints.add(entry.endpoint()));
            }
        }
        return endpoints;
    }

    /** Listens, and follows the discovery service; ready some time after the event thread runs. */
    void open(InetSocketAddress address) throws IOException {
        proxy.pauseRouting();
        clients.listen(address);
        loop.post(discovery::start);
        loop.post(readiness::resumeOnceDiscoveryHeard);
        warmup.start(() -> loop.post(readiness::readyOnceCaughtUp));
    }

    /**
     * Follows a discovery service at another address, from the last event known; from any thread.
     *
     * @param address its address
     * @param known events of a new configuration; those known already are ignored
     */
    void follow(InetSocketAddress address, List<JsonFields> known) {
        List<DiscoveryEvent> events =
                known.stream().map(DiscoveryEventDecoder::decode).toList();
        loop.postUrgent(() -> {
            events.forEach(proxy::onDiscoveryEvent);
            LOG.info("SIGHUP: following the discovery service at " + address + " from " + proxy.lastDiscoveryIndex());
            discovery.follow(address);
        });
    }

    InetSocketAddress address() {
        return transport.acceptor().getLocalAddress();
    }

    /** The event thread's work; returns after {@link #close}. */
    void run() {
        loop.run();
    }

    void close() {
        loop.stop();
        transport.close();
    }

    /**
     * Drains: handles and answers what still comes, then runs a task. From any thread.
     *
     * @param onStopped run last, in the event thread
     * @return the longest that this takes, in milliseconds
     */
    long drain(Runnable onStopped) {
        return shutdown.start(() -> {
            sink.close();
            onStopped.run();
        });
    }
}
