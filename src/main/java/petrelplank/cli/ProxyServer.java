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

/** One proxy with all its components: one I/O thread for all sockets, and one event thread. */
final class ProxyServer {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());
    private static final long MIN_CONNECT_TIMEOUT_US = 50_000;
    /** Bounds the memory that open requests take under overload: 2,048 of them at 128 MB. */
    private static final int MAX_OPEN_REQUESTS_PER_MB = 16;

    private static final int BYTES_PER_MB_SHIFT = 20;
    /** Responses of servers that are not complete or not handled yet may hold the memory divided by this. */
    private static final int RESPONSE_MEMORY_DIVISOR = 6;
    /** Lines of the discovery service that are not handled yet may hold the memory divided by this. */
    private static final int DISCOVERY_MEMORY_DIVISOR = 24;

    private final EventLoop loop;
    private final ProxyTransport transport;
    private final EventSink sink;
    private final EdgeProxy proxy;
    private final DiscoveryClient discovery;
    private final FastCgiListener clientListener;
    private final Readiness readiness;
    private final Warmup warmup;
    private final Shutdown shutdown;

    /**
     * Creates the components and applies the discovery events listed in the configuration; opens no socket yet.
     *
     * @param configuration the configuration
     * @param clock the Unix time in microseconds
     * @param sink receives the events to record; {@link EventSink#NONE} if records are off
     */
    ProxyServer(Configuration configuration, LongSupplier clock, EventSink sink) {
        RouterSettings settings = configuration.settings();
        this.sink = sink;
        loop = new EventLoop(clock);
        transport = new ProxyTransport(configuration.maxDescriptors(), clock);
        proxy = createProxy(configuration);
        List<EndpointInfo> endpoints = applyKnownEvents(configuration.knownEvents());
        discovery = new DiscoveryClient(
                loop,
                proxy,
                transport.discoveryConnector(),
                configuration.discoveryAddress(),
                objectMemoryBytes(configuration) / DISCOVERY_MEMORY_DIVISOR,
                configuration.seed());
        clientListener = new FastCgiListener(
                loop,
                proxy,
                transport.acceptor(),
                transport.clientBudget(),
                objectMemoryBytes(configuration),
                configuration.sizeScale());
        readiness = new Readiness(loop, proxy, discovery, clientListener, transport.acceptor());
        warmup = new Warmup(settings, endpoints, transport.acceptor());
        shutdown = new Shutdown(loop, proxy, clientListener, transport, readiness, settings);
    }

    /** Memory for live objects: the limit of the process, or the heap of the Java runtime where that is smaller. */
    private static long objectMemoryBytes(Configuration configuration) {
        return Math.min(
                (long) configuration.memoryMb() << BYTES_PER_MB_SHIFT,
                Runtime.getRuntime().maxMemory());
    }

    private EdgeProxy createProxy(Configuration configuration) {
        RouterSettings settings = configuration.settings();
        ConnectionLimits limits = new ConnectionLimits(
                transport.upstreamBudget(),
                configuration.maxStreamsPerConnection(),
                Math.max(MIN_CONNECT_TIMEOUT_US, settings.connectTimeoutUs()),
                configuration.idleTimeoutUs(),
                ConnectionLimits.maxPerServer(settings.zoneProxyCount()),
                objectMemoryBytes(configuration) / RESPONSE_MEMORY_DIVISOR,
                settings.permissions().hedging());
        return new EdgeProxy(
                loop,
                settings,
                configuration.seed(),
                MAX_OPEN_REQUESTS_PER_MB * configuration.memoryMb(),
                sink,
                (events, forwarder) -> new UpstreamConnectionPool(
                        events, forwarder, transport.upstreamConnector(), limits, settings.reportFields()));
    }

    /** Applies the events, and returns the endpoints of the complete lists among them. */
    private List<EndpointInfo> applyKnownEvents(List<JsonFields> knownEvents) {
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (JsonFields fields : knownEvents) {
            DiscoveryEvent event = DiscoveryEventDecoder.decode(fields);
            proxy.onDiscoveryEvent(event);
            if (event instanceof DiscoveryEvent.EndpointChange change && change.complete()) {
                change.entries().forEach(entry -> endpoints.add(entry.endpoint()));
            }
        }
        return endpoints;
    }

    /** Starts to listen and to follow the discovery service. The proxy becomes ready some time after {@link #run}. */
    void open(InetSocketAddress address) throws IOException {
        proxy.pauseRouting();
        clientListener.listen(address);
        loop.post(discovery::start);
        loop.post(readiness::resumeAfterFirstDiscoveryEvent);
        warmup.start(() -> loop.post(readiness::becomeReadyOnceCaughtUp));
    }

    /**
     * Switches to a discovery service at another address, starting after the last known event. May be called from any
     * thread.
     *
     * @param address the address of the discovery service
     * @param knownEvents the events listed in the new configuration; those applied already are ignored
     */
    void followDiscovery(InetSocketAddress address, List<JsonFields> knownEvents) {
        List<DiscoveryEvent> events =
                knownEvents.stream().map(DiscoveryEventDecoder::decode).toList();
        loop.postUrgent(() -> {
            events.forEach(proxy::onDiscoveryEvent);
            LOG.info("SIGHUP: now following the discovery service at " + address + " from event "
                    + proxy.lastDiscoveryIndex());
            discovery.follow(address);
        });
    }

    /** Returns the address at which clients connect. */
    InetSocketAddress address() {
        return transport.acceptor().getLocalAddress();
    }

    /** Runs the event loop in the calling thread; returns after {@link #close}. */
    void run() {
        loop.run();
    }

    /** Stops the event loop and closes all sockets, without a drain. */
    void close() {
        loop.stop();
        clientListener.close();
        transport.close();
    }

    /**
     * Starts to drain: answers open requests and those that still arrive, then runs a task. May be called from any
     * thread.
     *
     * @param onStopped the task, run last in the event thread
     * @return the longest time until the task runs, in milliseconds
     */
    long drain(Runnable onStopped) {
        return shutdown.start(() -> {
            sink.close();
            onStopped.run();
        });
    }
}
