package petrelplank.upstream;

import java.net.ConnectException;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.proxy.EventLoop;
import petrelplank.upstream.ConnectionListener.LossCause;

/**
 * Opens connections to upstream servers and tracks all that are established or being established. Each holds a place in
 * the descriptor budget, which the I/O processor releases when the connection closes. Event thread only.
 */
final class UpstreamConnector {
    /** How long a failed connect may still hold its descriptor. */
    private static final long FAILED_CONNECT_RELEASE_DELAY_US = 100_000;

    private final EventLoop loop;
    private final NioSocketConnector socketConnector;
    private final ConnectionLimits limits;
    private final ConnectionListener listener;
    private final Set<UpstreamConnection> connections = new LinkedHashSet<>();

    /**
     * Creates a connector without connections.
     *
     * @param loop the event loop that all state is confined to
     * @param socketConnector the MINA connector; its handler, write queues and connect timeout are set here
     * @param limits limits on connections
     * @param listener receives the events of the connections
     * @param loadFieldNames names of the values in load reports, in the order in which responses return them
     */
    UpstreamConnector(
            EventLoop loop,
            NioSocketConnector socketConnector,
            ConnectionLimits limits,
            ConnectionListener listener,
            List<String> loadFieldNames) {
        this.loop = loop;
        this.socketConnector = socketConnector;
        this.limits = limits;
        this.listener = listener;
        socketConnector.setHandler(new UpstreamIoHandler(loop, listener, loadFieldNames));
        socketConnector.setSessionDataStructureFactory(new CommandQueue.Factory());
        // MINA's connector thread handles established connections before connects that timed out, so a pause of the
        // proxy does not make a healthy server look unreachable. A timer on the event thread could fire before the
        // connector thread gets to run.
        socketConnector.setConnectTimeoutMillis(Math.max(1, limits.connectTimeoutUs() / 1000));
    }

    /** Returns an unmodifiable live view of all connections, oldest first. */
    Collection<UpstreamConnection> connections() {
        return Collections.unmodifiableSet(connections);
    }

    /** Starts a connect to a server. Must only be called if the descriptor budget has a free place. */
    UpstreamConnection connect(UpstreamServer server) {
        // Always succeeds: the caller has checked for a free place, and only the event thread acquires any.
        limits.descriptors().tryAcquire();
        UpstreamConnection connection = new UpstreamConnection(server, limits.maxOpenAttempts(), loop.nowUs());
        server.add(connection);
        connections.add(connection);
        ConnectFuture future = socketConnector.connect(
                server.address(), (session, connecting) -> UpstreamIoHandler.bind(session, connection));
        future.addListener((IoFutureListener<ConnectFuture>)
                completed -> loop.post(() -> connectCompleted(connection, completed)));
        return connection;
    }

    /** Starts a connect for a single attempt: the connection is retired at once, so that no other is sent on it. */
    UpstreamConnection connectDedicated(UpstreamServer server) {
        UpstreamConnection connection = connect(server);
        connection.retire();
        return connection;
    }

    private void connectCompleted(UpstreamConnection connection, ConnectFuture future) {
        if (future.isConnected()) {
            connection.connected(future.getSession(), loop.nowUs());
            connection.closeIfDrained();
            return;
        }
        // MINA's connector thread reports the failure first, and closes the descriptor in its next iteration.
        loop.schedule(loop.nowUs() + FAILED_CONNECT_RELEASE_DELAY_US, limits.descriptors()::release);
        // MINA reports a timeout and a refusal as ConnectException; any other exception is a reset during the connect.
        boolean unreachable = future.getException() instanceof ConnectException;
        listener.connectionLost(connection, unreachable ? LossCause.UNREACHABLE : LossCause.RESET);
    }

    /**
     * Removes a lost connection.
     *
     * @return false if it was already removed
     */
    boolean remove(UpstreamConnection connection) {
        if (!connections.remove(connection)) {
            return false;
        }
        connection.server().remove(connection);
        return true;
    }
}
