package petrelplank.upstream;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.ResponseForwarder;
import petrelplank.proxy.UpstreamClient;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.upstream.UpstreamConnection.OpenAttempt;

/**
 * The connections to upstream servers, by server id: an address may pass from a removed server to a new one. It knows
 * which connection carries which attempt, and ends or resends attempts when their connection is lost. All state
 * belongs to the event thread; MINA's threads parse and post.
 */
public final class UpstreamConnectionPool implements UpstreamClient {
    /** After so many connections to a server lost in a row before a command was written, it counts as down. */
    private static final int MAX_RESETS_IN_A_ROW = 3;

    private final EventLoop loop;
    private final ResponseForwarder forwarder;
    private final ConnectionLimits limits;
    private final UpstreamConnector connector;
    private final ConnectionSelector selector;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    /** The connection of each attempt in flight: its server may have been removed meanwhile. */
    private final Map<Attempt, UpstreamConnection> carriers = new HashMap<>();

    private final PendingAborts pendingAborts = new PendingAborts();
    private final UpstreamFaultLog faults = new UpstreamFaultLog();

    /**
     * A pool without servers.
     *
     * @param loop the event thread
     * @param forwarder learns of the ends of attempts
     * @param sockets makes connections; its handler is set here
     * @param limits limits on connections
     * @param loadFieldNames names of the values in load reports
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            ResponseForwarder forwarder,
            NioSocketConnector sockets,
            ConnectionLimits limits,
            List<String> loadFieldNames) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.limits = limits;
        connector = new UpstreamConnector(loop, sockets, limits, new AttemptCarrier(), loadFieldNames);
        selector = new ConnectionSelector(loop, connector, limits);
        new StalledConnections(loop, connector.connections(), faults).start();
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, long startedUs) {
        UpstreamServer server = servers.get(id);
        if (server != null && server.address().equals(address)) {
            server.retireOlderThan(startedUs);
        } else {
            endpointRemoved(id);
            servers.put(id, new UpstreamServer(id, address));
        }
    }

    @Override
    public void endpointRemoved(String id) {
        UpstreamServer server = servers.remove(id);
        if (server != null) {
            server.retireAll();
        }
    }

    @Override
    public void send(Attempt attempt) {
        if (limits.hedging() || !pendingAborts.holdBack(attempt)) {
            dispatch(attempt);
        }
    }

    private void dispatch(Attempt attempt) {
        UpstreamServer server = servers.get(attempt.server());
        UpstreamConnection connection = server == null ? null : selector.select(server, attempt.request());
        if (connection == null) {
            AttemptStatus status = server == null ? AttemptStatus.CONNECT_FAILED : AttemptStatus.NOT_SENT;
            loop.post(() -> end(attempt, status));
            return;
        }
        carriers.put(attempt, connection);
        connection.send(attempt, loop.now());
    }

    private void end(Attempt attempt, AttemptStatus status) {
        forwarder.attemptEnded(attempt, UpstreamResponse.ended(attempt.request().id(), status));
    }

    @Override
    public void abort(Attempt attempt) {
        UpstreamConnection connection = carriers.remove(attempt);
        if (connection == null) {
            pendingAborts.remove(attempt);
            return;
        }
        String requestId = attempt.request().id();
        if (connection.abort(attempt, () -> loop.post(() -> abortWritten(requestId, connection)))) {
            pendingAborts.abortQueued(requestId, connection);
        }
        boolean silentSinceSent = connection.lastActivityUs() < attempt.sentUs();
        // Guards against a machine that vanished: connections to it stay open and silent for ever.
        if (silentSinceSent && loop.now() - attempt.sentUs() > limits.connectTimeoutUs()) {
            connection.retire();
        } else {
            connection.closeIfDone();
        }
    }

    private void abortWritten(String requestId, UpstreamConnection connection) {
        connection.stallDetector().abortWritten();
        pendingAborts.abortWritten(requestId, connection).forEach(this::dispatch);
    }

    @Override
    public String counts() {
        return "upstream connections " + connector.connections().size() + ", " + faults.counts();
    }

    /** Hands what happens on connections on to the attempts that they carry. */
    private final class AttemptCarrier implements ConnectionListener {
        @Override
        public void responsesReceived(UpstreamConnection connection, List<UpstreamResponse> responses) {
            connection.responseReceived(loop.now());
            responses.forEach(response -> responseReceived(connection, response));
            connection.closeIfDone();
        }

        private void responseReceived(UpstreamConnection connection, UpstreamResponse response) {
            Attempt attempt = connection.removeAnswered(response.id());
            if (!limits.hedging() && response.status() != AttemptStatus.OK) {
                connection.refuseRetriesOf(response.id());
            }
            if (attempt == null) {
                faults.unsolicitedResponse();
            } else {
                carriers.remove(attempt);
                forwarder.attemptEnded(attempt, response);
            }
        }

        @Override
        public void malformed(UpstreamConnection connection, MalformedException fault) {
            faults.malformed(connection.server().id(), fault);
        }

        @Override
        public void connectionLost(UpstreamConnection connection, LossCause cause) {
            if (!connector.remove(connection)) {
                return;
            }
            pendingAborts.connectionClosed(connection).forEach(UpstreamConnectionPool.this::dispatch);
            List<OpenAttempt> lost = connection.removeAll();
            lost.forEach(held -> carriers.remove(held.attempt()));
            boolean mayResend = cause == LossCause.RESET && connection.server().countReset() <= MAX_RESETS_IN_A_ROW;
            for (OpenAttempt held : lost) {
                if (connection.mayHaveExecuted(held)) {
                    end(held.attempt(), AttemptStatus.RESET);
                } else if (mayResend) {
                    // Guards a good server against being taken for down: a reset, or its close of an idle connection,
                    // crossed a command of which nothing was written, so nothing ran; a new connection will show.
                    dispatch(held.attempt());
                } else {
                    end(held.attempt(), AttemptStatus.CONNECT_FAILED);
                }
            }
        }
    }
}
