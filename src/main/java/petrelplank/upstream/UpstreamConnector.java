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
 * Makes connections to upstream servers and knows all that are there, made or being made. Each holds a place of the
 * descriptor budget, which the I/O processor gives back when it closes. Event thread only.
 */
final class UpstreamConnector {
    /** How long a connection that failed to be made may still hold its descriptor. */
    private static final long FAILED_CONNECT_CLOSE_US = 100_000;

    private final EventLoop loop;
    private final NioSocketConnector sockets;
    private final ConnectionLimits limits;
    private final ConnectionListener listener;
    private final Set<UpstreamConnection> connections = new LinkedHashSet<>();

    /**
     * A connector without connections.
     *
     * @param sockets makes the sockets; its handler, queues and timeout are set here
     * @param listener learns what happens on the connections
     * @param loadFieldNames names of the values in load reports
     */
    UpstreamConnector(
            EventLoop loop,
            NioSocketConnector sockets,
            ConnectionLimits limits,
            ConnectionListener listener,
            List<String> loadFieldNames) {
        this.loop = loop;
        this.sockets = sockets;
        this.limits = limits;
        this.listener = listener;
        sockets.setHandler(new UpstreamIoHandler(loop, listener, loadFieldNames));
        sockets.setSessionDataStructureFactory(new CommandQueue.Factory());
        // Guards good servers while the proxy itself is held up: MINA's connecting thread looks at connections that
        // were made before those that timed out. A timer of the event thread would fire while that thread waits for
        // its turn.
        sockets.setConnectTimeoutMillis(Math.max(1, limits.connectTimeoutUs() / 1000));
    }

    /** All connections, oldest first; a view that changes with them. */
    Collection<UpstreamConnection> connections() {
        return Collections.unmodifiableSet(connections);
    }

    /** Starts to connect to a server; to be called only where the descriptor budget has a free place. */
    UpstreamConnection connect(UpstreamServer server) {
        // Only the event thread takes places of this budget, so the caller's look at it still holds.
        limits.descriptors().tryAcquire();
        UpstreamConnection connection = new UpstreamConnection(server, limits.maxStreams(), loop.now());
        server.add(connection);
        connections.add(connection);
        ConnectFuture future =
                sockets.connect(server.address(), (session, connecting) -> UpstreamIoHandler.bind(session, connection));
        future.addListener(
                (IoFutureListener<ConnectFuture>) completed -> loop.post(() -> completed(connection, completed)));
        return connection;
    }

    /** Starts to connect to a server for one attempt alone: the connection accepts no other. */
    UpstreamConnection connectDedicated(UpstreamServer server) {
        UpstreamConnection connection = connect(server);
        connection.retire();
        return connection;
    }

    private void completed(UpstreamConnection connection, ConnectFuture future) {
        if (future.isConnected()) {
            connection.connected(future.getSession(), loop.now());
            connection.closeIfDone();
            return;
        }
        // MINA's connecting thread closes the descriptor after it has reported the failure, in its next turn.
        loop.at(loop.now() + FAILED_CONNECT_CLOSE_US, limits.descriptors()::release);
        // MINA reports a timeout in the same way as a refusal; any other exception is a reset on the way.
        boolean unreachable = future.getException() instanceof ConnectException;
        listener.connectionLost(connection, unreachable ? LossCause.UNREACHABLE : LossCause.RESET);
    }

    /**
     * Forgets a connection that is lost.
     *
     * @return false where it was forgotten before
     */
    boolean remove(UpstreamConnection connection) {
        if (!connections.remove(connection)) {
            return false;
        }
        connection.server().remove(connection);
        return true;
    }
}
