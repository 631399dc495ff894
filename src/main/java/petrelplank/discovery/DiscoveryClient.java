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

/**
 * Client of the discovery service: one connection, made again when it breaks, falls silent or leaves out an event.
 * State belongs to the event thread.
 */
public final class DiscoveryClient {
    private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
    /** A line is due each second; two missed ones mean that the connection is dead. */
    private static final long SILENCE_TIMEOUT_US = 2_500_000;

    private static final long SILENCE_CHECK_INTERVAL_US = SILENCE_TIMEOUT_US / 5;
    /** Of consecutive failures with no line between, one in this many is logged. */
    private static final int LOG_ONE_IN = 25;

    private static final long NO_GAP = -1;

    /** What has been received since the start; it only moves forward. */
    private enum SyncState {
        NOTHING_RECEIVED,
        RECEIVING,
        /** A heartbeat has shown that no event sent before it is missing here. */
        CAUGHT_UP
    }

    private final EventLoop loop;
    private final EdgeProxy proxy;
    private final NioSocketConnector connector;
    private final ReconnectBackoff backoff;
    private InetSocketAddress address;
    /** The connection in use; lines of earlier ones are ignored. Null while a reconnect is pending. */
    private DiscoveryConnection current;
    /** Null before the first failure. */
    private EventLoop.Timer reconnectTimer;

    private SyncState syncState = SyncState.NOTHING_RECEIVED;
    private long failures;
    private long consecutiveFailures;
    /** The last number before a gap for which the events were requested again. */
    private long gapRequestedAfter = NO_GAP;

    /**
     * A client; {@link #start} connects it.
     *
     * @param loop the event thread
     * @param proxy receives the events
     * @param connector makes connections; its handler is set here
     * @param address the discovery service's address
     * @param seed of the jitter of reconnects; the configuration's, so that proxies differ
     */
    public DiscoveryClient(
            EventLoop loop, EdgeProxy proxy, NioSocketConnector connector, InetSocketAddress address, long seed) {
        this.backoff = new ReconnectBackoff(seed);
        this.loop = loop;
        this.proxy = proxy;
        this.connector = connector;
        this.address = address;
        connector.setHandler(new DiscoveryStreamHandler(loop, this::received, this::reconnect));
    }

    /** Connects, and closes what was open before; from the event thread. */
    public void start() {
        disconnect();
        DiscoveryConnection connection = new DiscoveryConnection();
        current = connection;
        connection.received(loop.nowUs());
        ConnectFuture connecting = connector.connect(address, (session, future) -> connection.attachTo(session));
        connection.connecting(connecting);
        connecting.addListener(future -> loop.postUrgent(() -> connectEnded(connection, connecting)));
        scheduleSilenceCheck(connection);
    }

    /**
     * Connects to another address at once and continues after the last event received; from the event thread.
     *
     * @param next the discovery service's new address
     */
    public void follow(InetSocketAddress next) {
        address = next;
        start();
    }

    /**
     * Whether the discovery service has shown, by a heartbeat, that this proxy has every event that it held then; from
     * the event thread. Until then, the list of {@code known} may lack a drain or a purge sent before this start.
     *
     * @return true from the first such heartbeat on
     */
    public boolean caughtUp() {
        return syncState == SyncState.CAUGHT_UP;
    }

    /**
     * Whether anything was received at all; on a new connection, the discovery service sends all missing events at
     * once. From the event thread.
     *
     * @return true from the first line on
     */
    public boolean hasReceivedEvents() {
        return syncState != SyncState.NOTHING_RECEIVED;
    }

    /** Guards against a second connection beside the next one: whatever is open or scheduled ends. */
    private void disconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
        }
        if (current != null) {
            current.close();
            current = null;
        }
    }

    private void scheduleSilenceCheck(DiscoveryConnection connection) {
        loop.schedule(loop.nowUs() + SILENCE_CHECK_INTERVAL_US, () -> checkSilence(connection));
    }

    private void checkSilence(DiscoveryConnection connection) {
        if (connection != current) {
            return;
        }
        if (loop.nowUs() - connection.lastReceivedUs() > SILENCE_TIMEOUT_US) {
            reconnect(connection, "silent");
        } else {
            scheduleSilenceCheck(connection);
        }
    }

    private void connectEnded(DiscoveryConnection connection, ConnectFuture future) {
        if (!future.isConnected()) {
            reconnect(connection, "unreachable");
        } else if (connection != current) {
            future.getSession().closeNow();
        } else {
            IoSession session = future.getSession();
            connection.connected(session, loop.nowUs());
            byte[] request = ("follow " + proxy.lastDiscoveryIndex() + "\n").getBytes(StandardCharsets.US_ASCII);
            session.write(IoBuffer.wrap(request));
        }
    }

    private void reconnect(DiscoveryConnection failed, String reason) {
        if (failed != current) {
            return;
        }
        disconnect();
        failures++;
        consecutiveFailures++;
        if (consecutiveFailures % LOG_ONE_IN == 1) {
            LOG.warning("discovery service " + reason + ", reconnecting after event " + proxy.lastDiscoveryIndex()
                    + ", failures so far: " + failures);
        }
        long delayUs = backoff.nextDelayUs(loop.nowUs());
        reconnectTimer = loop.schedule(loop.nowUs() + delayUs, this::start);
    }

    private void received(DiscoveryConnection connection, DiscoveryEvent event) {
        if (connection != current) {
            return;
        }
        long nowUs = loop.nowUs();
        connection.received(nowUs);
        consecutiveFailures = 0;
        backoff.lineReceived(nowUs, connection.connectedUs());
        long lastIndex = proxy.lastDiscoveryIndex();
        if (revealsGap(event, lastIndex)) {
            gapRequestedAfter = lastIndex;
            reconnect(connection, "left out events between " + lastIndex + " and " + event.index());
        } else if (isEmptyList(event)) {
            reconnect(connection, "sent an empty list");
        } else {
            accept(event);
        }
    }

    /** Guards against a drain or a purge that was left out. A gap that stays when requested again is no loss. */
    private boolean revealsGap(DiscoveryEvent event, long lastIndex) {
        if (event instanceof DiscoveryEvent.Heartbeat) {
            return event.index() > lastIndex;
        }
        return event.index() > lastIndex + 1 && gapRequestedAfter != lastIndex;
    }

    /** Guards against a discovery service that fails without an error: the last good endpoint list stays. */
    private static boolean isEmptyList(DiscoveryEvent event) {
        return event instanceof DiscoveryEvent.EndpointChange change
                && change.complete()
                && change.entries().isEmpty();
    }

    private void accept(DiscoveryEvent event) {
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
