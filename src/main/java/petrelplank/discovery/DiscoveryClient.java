package petrelplank.discovery;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.discovery.backoff.ReconnectBackoff;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.Timer;

/**
 * Client of the discovery service. It keeps one connection open and reconnects when the connection breaks, when
 * nothing is received for too long, and when the service skips an event or sends an empty endpoint list. Not
 * thread-safe: all state is confined to the event thread.
 */
public final class DiscoveryClient {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    /** The service sends a line each second; after two missed lines the connection is considered dead. */
    private static final long SILENCE_TIMEOUT_US = 2_500_000;

    private static final long SILENCE_CHECK_INTERVAL_US = SILENCE_TIMEOUT_US / 5;
    /** One in this many consecutive failures is logged; a received line resets the count. */
    private static final int FAILURES_PER_LOG_LINE = 25;

    private static final long NO_GAP = -1;

    /** What has been received since the process started. The state only advances; a reconnect does not reset it. */
    private enum SyncState {
        NOTHING_RECEIVED,
        /** Something has been received, but no heartbeat has confirmed yet that nothing is missing. */
        RECEIVING,
        /** A heartbeat has confirmed that no event sent before it is missing. */
        CAUGHT_UP
    }

    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final NioSocketConnector connector;
    private final ReconnectBackoff backoff;
    private InetSocketAddress address;
    /** The connection in use; events of earlier connections are ignored. Null while a reconnect is pending. */
    private DiscoveryConnection currentConnection;
    /** Null before the first failure. */
    private Timer reconnectTimer;

    private SyncState syncState = SyncState.NOTHING_RECEIVED;
    private long totalFailures;
    private long consecutiveFailures;
    /** Index of the last event before a gap whose events have been requested again; {@link #NO_GAP} for none. */
    private long gapRequestedAfter = NO_GAP;

    /**
     * Creates a client that is not connected; see {@link #start}.
     *
     * @param loop the event thread
     * @param proxy receives the events
     * @param connector opens connections; this constructor sets its handler
     * @param address the discovery service's address
     * @param maxUnhandledBytes memory for received events that the event thread has not handled yet, in bytes
     * @param seed seeds the jitter of reconnect delays; taken from the configuration, so that proxies differ
     */
    public DiscoveryClient(
            EventLoop loop,
            EdgeProxy proxy,
            NioSocketConnector connector,
            InetSocketAddress address,
            long maxUnhandledBytes,
            long seed) {
        this.backoff = new ReconnectBackoff(seed);
        this.loop = loop;
        this.proxy = proxy;
        this.connector = connector;
        this.address = address;
        connector.setHandler(
                new DiscoveryStreamHandler(loop, maxUnhandledBytes, this::onEvent, this::scheduleReconnect));
    }

    /** Connects, after closing any previous connection. Call from the event thread. */
    public void start() {
        disconnect();
        DiscoveryConnection connection = new DiscoveryConnection();
        currentConnection = connection;
        connection.onReceived(loop.nowUs());
        ConnectFuture connectFuture = connector.connect(address, (session, future) -> connection.attachTo(session));
        connection.setConnectFuture(connectFuture);
        connectFuture.addListener(future -> loop.postUrgent(() -> onConnectCompleted(connection, connectFuture)));
        scheduleSilenceCheck(connection);
    }

    /**
     * Closes the connection, immediately connects to another address and resumes after the last event received. Call
     * from the event thread.
     *
     * @param newAddress the discovery service's new address
     */
    public void follow(InetSocketAddress newAddress) {
        address = newAddress;
        start();
    }

    /**
     * Whether a heartbeat has confirmed that this proxy has received every event that the service held at that time.
     * Until then, the {@code known} events of the configuration may lack a drain or a purge sent before this process
     * started. Call from the event thread.
     *
     * @return true from the first such heartbeat on
     */
    public boolean caughtUp() {
        return syncState == SyncState.CAUGHT_UP;
    }

    /**
     * Whether any event or heartbeat has been accepted since the process started. On a new connection, the discovery
     * service sends all missing events at once. Call from the event thread.
     *
     * @return true from the first event or heartbeat on
     */
    public boolean hasReceivedEvents() {
        return syncState != SyncState.NOTHING_RECEIVED;
    }

    /** Closes the connection and cancels a pending reconnect, so that there are never two connections at a time. */
    private void disconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
        }
        if (currentConnection != null) {
            currentConnection.close();
            currentConnection = null;
        }
    }

    private void scheduleSilenceCheck(DiscoveryConnection connection) {
        loop.schedule(loop.nowUs() + SILENCE_CHECK_INTERVAL_US, () -> checkSilence(connection));
    }

    private void checkSilence(DiscoveryConnection connection) {
        if (connection != currentConnection) {
            return;
        }
        if (loop.nowUs() - connection.lastReceivedAtUs() > SILENCE_TIMEOUT_US) {
            scheduleReconnect(connection, "sent nothing for " + SILENCE_TIMEOUT_US + " us");
        } else {
            scheduleSilenceCheck(connection);
        }
    }

    private void onConnectCompleted(DiscoveryConnection connection, ConnectFuture future) {
        if (!future.isConnected()) {
            scheduleReconnect(connection, "could not be reached");
        } else if (connection != currentConnection) {
            future.getSession().closeNow();
        } else {
            IoSession session = future.getSession();
            connection.onConnected(session, loop.nowUs());
            byte[] request = ("follow " + proxy.lastDiscoveryIndex() + "\n").getBytes(StandardCharsets.US_ASCII);
            session.write(IoBuffer.wrap(request));
        }
    }

    private void scheduleReconnect(DiscoveryConnection failedConnection, String reason) {
        if (failedConnection != currentConnection) {
            return;
        }
        disconnect();
        totalFailures++;
        consecutiveFailures++;
        if (consecutiveFailures % FAILURES_PER_LOG_LINE == 1) {
            LOG.warning("discovery service " + reason + "; reconnecting, last event received: "
                    + proxy.lastDiscoveryIndex() + ", connection failures since the start: " + totalFailures);
        }
        long delayUs = backoff.nextDelayUs(loop.nowUs());
        reconnectTimer = loop.schedule(loop.nowUs() + delayUs, this::start);
    }

    private void onEvent(DiscoveryConnection connection, DiscoveryEvent event) {
        if (connection != currentConnection) {
            return;
        }
        long nowUs = loop.nowUs();
        connection.onReceived(nowUs);
        consecutiveFailures = 0;
        backoff.onLineReceived(nowUs, connection.connectedAtUs());
        long lastIndex = proxy.lastDiscoveryIndex();
        if (isAfterGap(event, lastIndex)) {
            gapRequestedAfter = lastIndex;
            scheduleReconnect(
                    connection,
                    "skipped events: last event received was " + lastIndex + ", next line has index " + event.index());
        } else if (isEmptyCompleteList(event)) {
            scheduleReconnect(
                    connection, "sent a complete endpoint list without entries, the previous list stays in use");
        } else {
            applyEvent(event);
        }
    }

    /**
     * Whether events before this one are missing, among which may be a drain or a purge. The events of a gap are
     * requested again once: if the service skips the same indexes again, no events with them exist. A
     * heartbeat with a higher index than the last event always means that events are missing.
     */
    private boolean isAfterGap(DiscoveryEvent event, long lastIndex) {
        if (event instanceof DiscoveryEvent.Heartbeat) {
            return event.index() > lastIndex;
        }
        return event.index() > lastIndex + 1 && gapRequestedAfter != lastIndex;
    }

    /**
     * Whether the event would remove all endpoints. A service may fail by sending such a list without any error, so the
     * event is not applied and the last good endpoint list stays in use.
     */
    private static boolean isEmptyCompleteList(DiscoveryEvent event) {
        return event instanceof DiscoveryEvent.EndpointChange change
                && change.complete()
                && change.entries().isEmpty();
    }

    private void applyEvent(DiscoveryEvent event) {
        if (event instanceof DiscoveryEvent.Heartbeat) {
            syncState = SyncState.CAUGHT_UP;
            return;
        }
        if (syncState == SyncState.NOTHING_RECEIVED) {
            syncState = SyncState.RECEIVING;
        }
        proxy.onDiscoveryEvent(event);
    }
}
