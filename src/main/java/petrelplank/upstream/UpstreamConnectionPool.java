package petrelplank.upstream;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.ResponseForwarder;
import petrelplank.proxy.UpstreamClient;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.upstream.UpstreamConnection.OpenAttempt;

/**
 * The connections to upstream servers. Servers are identified by id, since a new server may reuse the address of a
 * removed one. The pool tracks the connection of each attempt, and ends or resends attempts when a connection is lost.
 * All state is confined to the event thread; MINA's threads only parse responses and post them to it.
 */
public final class UpstreamConnectionPool implements UpstreamClient {
    /**
     * How many connections to a server may be reset in a row, without a response in between, before unwritten attempts
     * are no longer resent. From then on, these attempts end with {@link AttemptStatus#CONNECT_FAILED}, as if the
     * server were down.
     */
    private static final int MAX_CONSECUTIVE_RESETS = 3;

    private final EventLoop loop;
    private final ResponseForwarder forwarder;
    private final ConnectionLimits limits;
    private final UpstreamConnector connector;
    private final ConnectionSelector selector;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    /** The connection of each attempt in flight. Its server may have been removed from {@link #servers} since. */
    private final Map<Attempt, UpstreamConnection> connectionsByAttempt = new LinkedHashMap<>();

    private final PendingAborts pendingAborts = new PendingAborts();
    private final AttemptWithdrawals withdrawals;
    private final UpstreamFaultLog faultLog = new UpstreamFaultLog();

    /**
     * Creates a pool without servers, and starts to check its connections for stalls.
     *
     * @param loop the event loop that all state is confined to
     * @param forwarder notified when an attempt ends
     * @param socketConnector the MINA connector; its handler, write queues and connect timeout are set here
     * @param limits limits on connections
     * @param loadFieldNames names of the values in load reports, in the order in which responses return them
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            ResponseForwarder forwarder,
            NioSocketConnector socketConnector,
            ConnectionLimits limits,
            List<String> loadFieldNames) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.limits = limits;
        withdrawals = new AttemptWithdrawals(loop, forwarder, connectionsByAttempt, pendingAborts);
        connector = new UpstreamConnector(
                loop, socketConnector, limits, new AttemptConnectionListener(), withdrawals, loadFieldNames);
        selector = new ConnectionSelector(loop, connector, limits);
        new StalledConnectionCloser(loop, connector.connections(), faultLog).start();
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, long startedUs) {
        UpstreamServer server = servers.get(id);
        if (server != null && server.address().equals(address)) {
            // A later start time means that the server has restarted: older connections lead to its previous process.
            server.retireCreatedBefore(startedUs);
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
        // Without hedging, an attempt counts as in flight until its abort is written, and the next attempt of the
        // request
        // is held back until then.
        if (limits.hedging() || !pendingAborts.holdBack(attempt)) {
            dispatch(attempt);
        }
    }

    private void dispatch(Attempt attempt) {
        if (!attempt.mayBeWritten(loop.nowUs())) {
            loop.post(() -> reportEnd(attempt, AttemptStatus.WITHDRAWN));
            return;
        }
        UpstreamServer server = servers.get(attempt.server());
        UpstreamConnection connection = server == null ? null : selector.select(server, attempt.request());
        if (connection == null) {
            AttemptStatus status = server == null ? AttemptStatus.CONNECT_FAILED : AttemptStatus.NOT_SENT;
            // Posted, since the end of an attempt must not be reported before send returns.
            loop.post(() -> reportEnd(attempt, status));
            return;
        }
        connectionsByAttempt.put(attempt, connection);
        connection.send(attempt, loop.nowUs());
    }

    private void reportEnd(Attempt attempt, AttemptStatus status) {
        forwarder.attemptEnded(attempt, UpstreamResponse.ended(attempt.request().id(), status));
    }

    @Override
    public void abort(Attempt attempt) {
        UpstreamConnection connection = connectionsByAttempt.remove(attempt);
        if (connection == null) {
            pendingAborts.remove(attempt);
            return;
        }
        String requestId = attempt.request().id();
        if (connection.abort(attempt, () -> loop.post(() -> abortWritten(requestId, connection)))) {
            pendingAborts.abortQueued(requestId, connection);
        }
        boolean silentSinceSent = connection.lastActivityUs() < attempt.sentUs();
        // A connection to a machine that has vanished stays open without any response. Retiring the connection keeps
        // further attempts off it.
        if (silentSinceSent && loop.nowUs() - attempt.sentUs() > limits.connectTimeoutUs()) {
            connection.retire();
        } else {
            connection.closeIfDrained();
        }
    }

    @Override
    public void withdrawUnwritten(Predicate<Attempt> condition) {
        withdrawals.withdrawUnwritten(condition);
    }

    @Override
    public void withdrawUnlessWritten(Attempt attempt) {
        withdrawals.withdrawUnlessWritten(attempt);
    }

    private void abortWritten(String requestId, UpstreamConnection connection) {
        connection.stallDetector().abortWritten();
        pendingAborts.abortWritten(requestId, connection).forEach(this::dispatch);
    }

    @Override
    public String counts() {
        return "upstream connections " + connector.connections().size() + ", " + faultLog.counts();
    }

    /** Ends or resends attempts according to the events of the connections that they were sent on. */
    private final class AttemptConnectionListener implements ConnectionListener {
        @Override
        public void responsesReceived(UpstreamConnection connection, List<UpstreamResponse> responses) {
            connection.responseReceived(loop.nowUs());
            responses.forEach(response -> responseReceived(connection, response));
            connection.closeIfDrained();
        }

        private void responseReceived(UpstreamConnection connection, UpstreamResponse response) {
            Attempt attempt = connection.removeAnswered(response.id());
            if (!limits.hedging() && response.status() != AttemptStatus.OK) {
                // A duplicate response to this attempt may still arrive and would be taken for the response to a retry,
                // so a retry must use another connection.
                connection.refuseRetriesOf(response.id());
            }
            if (attempt == null) {
                faultLog.unsolicitedResponse();
            } else {
                connectionsByAttempt.remove(attempt);
                forwarder.attemptEnded(attempt, response);
            }
        }

        @Override
        public void malformedResponse(UpstreamConnection connection, MalformedResponseException exception) {
            faultLog.malformedResponse(connection.server().id(), exception);
        }

        @Override
        public void connectionLost(UpstreamConnection connection, LossCause cause) {
            if (!connector.remove(connection)) {
                return;
            }
            pendingAborts.connectionClosed(connection).forEach(UpstreamConnectionPool.this::dispatch);
            List<OpenAttempt> lost = connection.removeAll();
            lost.forEach(openAttempt -> connectionsByAttempt.remove(openAttempt.attempt()));
            boolean mayResend = cause == LossCause.RESET && connection.server().countReset() <= MAX_CONSECUTIVE_RESETS;
            for (OpenAttempt openAttempt : lost) {
                if (connection.mayHaveExecuted(openAttempt)) {
                    reportEnd(openAttempt.attempt(), AttemptStatus.RESET);
                } else if (mayResend || !openAttempt.attempt().mayBeWritten(loop.nowUs())) {
                    // Nothing of the command was written, so the server has not executed it. The server reset the
                    // connection, or closed it as idle, just before. Resending on a new connection shows whether the
                    // server is down, instead of assuming so. An attempt that may not be written any more is withdrawn.
                    dispatch(openAttempt.attempt());
                } else {
                    reportEnd(openAttempt.attempt(), AttemptStatus.CONNECT_FAILED);
                }
            }
        }
    }
}
