package petrelplank.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.discovery.DiscoveryClient;
import petrelplank.discovery.DiscoveryEventDecoder;
import petrelplank.fastcgi.FastCgiAcceptor;
import petrelplank.fastcgi.ListenerWarmup;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.RouterWarmup;
import petrelplank.record.EventSink;
import petrelplank.routing.EndpointInfo;
import petrelplank.routing.RouterSettings;
import petrelplank.routing.ServiceClass;
import petrelplank.settings.Configuration;
import petrelplank.settings.JsonFields;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;
import petrelplank.transport.SharedProcessor;
import petrelplank.upstream.ConnectionLimits;
import petrelplank.upstream.UpstreamConnectionPool;

/** All parts of one front, put together: one I/O thread for all sockets, and one event thread. */
final class ProxyServer {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());
    private static final long MS = 1000;
    private static final long LEAST_CONNECT_US = 50 * MS;
    /** Requests open at once for each MB of memory: bounds what a jam holds, 2,048 of them at 128 MB. */
    private static final int OPEN_PER_MB = 16;

    private static final int BACKLOG = 1024;
    /** Descriptors of the clients and of the servers, each of five parts; the rest is the process's own. */
    private static final int SOCKET_PARTS = 2;
    /** MINA shrinks what it reads at once down to 64 bytes: a request without a body then took several turns. */
    private static final int CLIENT_READ_BUFFER = 2_048;

    private static final int READ_BUFFER = 16_384;
    private static final int MOST_READ_BUFFER = 65_536;

    private static final int DECISIONS = 1500;
    private static final int ASK_ROUNDS = 60;
    /**
     * Longest wait for the coordinator's first beat before saying ready: it beats once a second, and the follower
     * counts a connection silent for this long as dead, so a front that has heard nothing by then waits in vain.
     */
    private static final long CATCH_UP_US = 2_500 * MS;

    private static final long CATCH_UP_LOOK_US = 20 * MS;

    private final EventLoop loop;
    private final RouterSettings settings;
    private final List<EndpointInfo> list = new ArrayList<>();
    private final Shutdown shutdown;
    private final EdgeProxy front;
    private final DiscoveryClient follower;
    /** Told to end (SIGTERM); ready never again. Event thread. */
    private boolean ending;

    private final FastCgiAcceptor clients;
    private final ExecutorService ioThread = Executors.newCachedThreadPool();
    private final SharedProcessor io;
    private final NioSocketConnector toServers;
    private final NioSocketConnector toCoordinator;
    private final BoundedAcceptor acceptor;
    private final EventSink sink;
    private UpstreamConnectionPool pool;

    /**
     * Puts the parts together and knows the list, but opens nothing yet.
     *
     * @param c what the front was told
     * @param clock the Unix clock in microseconds
     * @param sink takes the front's records; null for none
     */
    ProxyServer(Configuration c, LongSupplier clock, EventSink sink) {
        this.sink = sink;
        loop = new EventLoop(clock);
        io = new SharedProcessor(ioThread, clock);
        toServers = new NioSocketConnector(io);
        toCoordinator = new NioSocketConnector(io);
        toServers.getSessionConfig().setTcpNoDelay(true);
        toServers.getSessionConfig().setReadBufferSize(READ_BUFFER);
        toServers.getSessionConfig().setMaxReadBufferSize(MOST_READ_BUFFER);
        int sockets = Math.max(1, c.maxDescriptors() * SOCKET_PARTS / 5);
        DescriptorBudget ofClients = new DescriptorBudget(sockets);
        DescriptorBudget ofServers = new DescriptorBudget(sockets);
        io.share(toServers, ofServers);
        acceptor = new BoundedAcceptor(io, ofClients);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        acceptor.getSessionConfig().setMinReadBufferSize(CLIENT_READ_BUFFER);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        ConnectionLimits limits = new ConnectionLimits(
                ofServers,
                c.maxStreamsPerConnection(),
                Math.max(LEAST_CONNECT_US, c.settings().connectTimeoutUs()),
                c.idleTimeoutUs(),
                ConnectionLimits.perServer(c.settings().zoneGatewayCount()),
                c.settings().permissions().hedging());
        front = new EdgeProxy(loop, c.settings(), c.seed(), OPEN_PER_MB * c.memoryMb(), sink, (l, relay) -> {
            pool = new UpstreamConnectionPool(
                    l, relay, toServers, limits, c.settings().reportFields());
            return pool;
        });
        settings = c.settings();
        for (JsonFields known : c.knownEvents()) {
            DiscoveryEvent event = DiscoveryEventDecoder.decode(known);
            front.onEvent(event);
            if (event instanceof DiscoveryEvent.Change change && change.complete()) {
                change.entries().forEach(e -> list.add(e.member()));
            }
        }
        follower = new DiscoveryClient(loop, front, toCoordinator, c.discoveryAddress(), c.seed());
        clients = new FastCgiAcceptor(loop, front, acceptor, ofClients, (long) c.memoryMb() << 20, c.sizeScale());
        long longest = c.settings().classes().stream()
                .mapToLong(ServiceClass::deadlineUs)
                .max()
                .orElse(0);
        shutdown = new Shutdown(loop, front, clients, acceptor, io, longest);
    }

    /** Listens and follows the coordinator; ready once the event thread runs. */
    void open(InetSocketAddress address) throws IOException {
        front.pause();
        clients.listen(address);
        loop.post(follower::start);
        loop.post(() -> routeOnceHeard(loop.now() + CATCH_UP_US));
        Thread warmUp = new Thread(this::warmUp, "warm-up");
        warmUp.setDaemon(true);
        warmUp.start();
    }

    /**
     * Guards a restarted front against clients that have not noticed its death and ask before it is ready: what they
     * ask waits for the first word of the coordinator, since a drain or a purge may have come after {@code known}.
     */
    private void routeOnceHeard(long untilUs) {
        if (follower.heard() || loop.now() >= untilUs) {
            front.resume();
        } else {
            loop.at(loop.now() + CATCH_UP_LOOK_US, () -> routeOnceHeard(untilUs));
        }
    }

    /**
     * Guards the first clients, who come all at once: under half a core they would wait for the compiler. Ready
     * afterwards, and in any case.
     */
    private void warmUp() {
        try {
            RouterWarmup.run(settings, list, DECISIONS);
            ListenerWarmup.ask(acceptor.getLocalAddress(), ASK_ROUNDS);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "warm-up broke off, ready without it", e);
        }
        loop.post(() -> readyWhenCaughtUp(loop.now() + CATCH_UP_US));
    }

    /**
     * Guards a restarted front against a drain or a purge that came after its {@code known} was written: health says
     * ready once the coordinator's beat shows that nothing is missing, or when waiting longer would not help.
     */
    private void readyWhenCaughtUp(long untilUs) {
        if (ending) {
            return;
        }
        if (!follower.caughtUp() && loop.now() < untilUs) {
            loop.at(loop.now() + CATCH_UP_LOOK_US, () -> readyWhenCaughtUp(untilUs));
            return;
        }
        clients.ready(true);
        String how = "serving at " + acceptor.getLocalAddress() + ", list at " + front.lastEventIndex();
        if (follower.caughtUp()) {
            LOG.info(how);
        } else {
            LOG.warning(how + "; the coordinator has not beaten yet, so the list may lack what it told lately");
        }
    }

    /**
     * Follows a coordinator at another address, from the last number heard; from any thread.
     *
     * @param coordinator its address
     * @param known events of a new configuration; those already heard are passed over
     */
    void follow(InetSocketAddress coordinator, List<JsonFields> known) {
        List<DiscoveryEvent> events =
                known.stream().map(DiscoveryEventDecoder::decode).toList();
        loop.postUrgent(() -> {
            events.forEach(front::onEvent);
            LOG.info("SIGHUP: following the coordinator at " + coordinator + " from " + front.lastEventIndex());
            follower.follow(coordinator);
        });
    }

    InetSocketAddress address() {
        return acceptor.getLocalAddress();
    }

    /** The event thread's work; returns after {@link #close}. */
    void run() {
        loop.run();
    }

    void close() {
        loop.stop();
        acceptor.dispose();
        toServers.dispose();
        toCoordinator.dispose();
        io.dispose();
        ioThread.shutdown();
    }

    /** Takes and answers what still comes, then runs {@code ended}; the longest that takes, in milliseconds. */
    long drain(Runnable ended) {
        return shutdown.start(
                loop.clock(),
                () -> {
                    LOG.info("SIGTERM: answering what still comes; so far " + front.counts() + "; " + clients.counts()
                            + "; " + pool.counts());
                    ending = true;
                },
                () -> {
                    if (sink != null) {
                        sink.close();
                    }
                    ended.run();
                });
    }
}
