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
    /**
     * MINA gives up a connect at this multiple of the connect timeout, up to as late again, and frees its descriptor.
     * By then the event thread has looked for its completion, unless the process itself was held up.
     */
    private static final int RELEASE_TIMEOUT_FACTOR = 2;

    /** If the connect timeout is noticed later than this, the process has been held up. */
    private static final long MAX_TIMER_DELAY_US = 50_000;

    private static final int US_PER_MS = 1000;
    /** How long a failed connect may still hold its descriptor. */
    private static final long FAILED_CONNECT_RELEASE_DELAY_US = 100_000;

    private final EventLoop loop;
    private final NioSocketConnector socketConnector;
    private final ConnectionLimits limits;
    private final ConnectionListener listener;
    private final WriteCheck writeCheck;
    private final Set<UpstreamConnection> connections = new LinkedHashSet<>();

    /**
     * Creates a connector without connections.
     *
     * @param loop the event loop that all state is confined to
     * @param socketConnector the MINA connector; its handler, write queues and connect timeout are set here
     * @param limits limits on connections
     * @param listener receives the events of the connections
     * @param writeCheck decides whether a command is written when its turn has come
     * @param loadFieldNames names of the values in load reports, in the order in which responses return them
     */
    UpstreamConnector(
            EventLoop loop,
            NioSocketConnector socketConnector,
            ConnectionLimits limits,
            ConnectionListener listener,
            WriteCheck writeCheck,
            List<String> loadFieldNames) {
        this.loop = loop;
        this.socketConnector = socketConnector;
        this.limits = limits;
        this.listener = listener;
        this.writeCheck = writeCheck;
        socketConnector.setHandler(new UpstreamIoHandler(
                loop,
                listener,
                loadFieldNames,
                new ResponseMemory(limits.maxResponseBytes()),
                limits.maxOpenAttempts()));
        socketConnector.setSessionDataStructureFactory(new CommandQueue.Factory());
        socketConnector.setConnectTimeoutMillis(
                Math.max(1, RELEASE_TIMEOUT_FACTOR * limits.connectTimeoutUs() / US_PER_MS));
    }

    /** Returns an unmodifiable live view of all connections, oldest first. */
    Collection<UpstreamConnection> connections() {
        return Collections.unmodifiableSet(connections);
    }

    /** Starts a connect to a server. Must only be called if the descriptor budget has a free place. */
    UpstreamConnection connect(UpstreamServer server) {
        // Always succeeds: the caller has checked for a free place, and only the event thread acquires any.
        limits.descriptors().tryAcquire();
        UpstreamConnection connection =
                new UpstreamConnection(server, limits.maxOpenAttempts(), loop.nowUs(), writeCheck);
        server.add(connection);
        connections.add(connection);
        ConnectFuture future = socketConnector.connect(
                server.address(), (session, connecting) -> UpstreamIoHandler.bind(session, connection));
        future.addListener((IoFutureListener<ConnectFuture>)
                completed -> loop.post(() -> connectCompleted(connection, completed)));
        loop.schedule(loop.nowUs() + limits.connectTimeoutUs(), () -> onConnectTimeout(connection, future));
        return connection;
    }

    /** Starts a connect for a single attempt: the connection is retired at once, so that no other is sent on it. */
    UpstreamConnection connectDedicated(UpstreamServer server) {
        UpstreamConnection connection = connect(server);
        connection.retire();
        return connection;
    }

    /**
     * Ends a connect that is not complete at its timeout: its connection is not used even if it comes up later. If it
     * is complete and the connecting thread has not told so yet, a pause of that thread does not make a healthy server
     * look unreachable. Neither does a pause of the whole process or machine, in which a connect may have had no time:
     * its attempts are sent again.
     */
    private void onConnectTimeout(UpstreamConnection connection, ConnectFuture future) {
        if (connections.contains(connection) && ConnectProbe.isInProgress(future)) {
            long lateUs = loop.nowUs() - connection.createdUs() - limits.connectTimeoutUs();
            listener.connectionLost(connection, lateUs > MAX_TIMER_DELAY_US ? LossCause.RESET : LossCause.UNREACHABLE);
        }
    }

    private void connectCompleted(UpstreamConnection connection, ConnectFuture future) {
        if (!connections.contains(connection)) {
            discard(future);
            return;
        }
        if (future.isConnected()) {
            connection.connected(future.getSession(), loop.nowUs());
            connection.closeIfDrained();
            return;
        }
        releaseFailedConnect();
        // MINA reports a timeout and a refusal as ConnectException; any other exception is a reset during the connect.
        // After the timeout it says nothing of the server: onConnectTimeout has found the connect complete, or the
        // process was held up before it could look.
        boolean unreachable = future.getException() instanceof ConnectException
                && loop.nowUs() - connection.createdUs() < limits.connectTimeoutUs();
        listener.connectionLost(connection, unreachable ? LossCause.UNREACHABLE : LossCause.RESET);
    }

    /** Frees the descriptor of a connect that ends after its timeout. */
    private void discard(ConnectFuture future) {
        if (future.isConnected()) {
            future.getSession().closeNow();
        } else {
            releaseFailedConnect();
        }
    }

    private void releaseFailedConnect() {
        // MINA's connector thread reports the failure first, and closes the descriptor in its next iteration.
        loop.schedule(loop.nowUs() + FAILED_CONNECT_RELEASE_DELAY_US, limits.descriptors()::release);
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
