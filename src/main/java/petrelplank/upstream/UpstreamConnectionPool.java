package petrelplank.upstream;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.proxy.Attempt;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.ResponseForwarder;
import petrelplank.proxy.UpstreamClient;
import petrelplank.proxy.UpstreamRequest;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;

/**
 * The connections to servers, by server id: an address may pass from one that has gone to a new one. All state
 * belongs to the event thread; MINA's threads parse and post.
 */
public final class UpstreamConnectionPool implements UpstreamClient {
    /**
     * One spoilt answer or reset ends all that is open on its connection, so that few share one: a further one is
     * made where the least used carries this many, up to the most for a server.
     */
    private static final int FEW = 2;
    /** Connections lost in a row before a command was written: so many are made anew, then the server is at fault. */
    private static final int MOST_RENEWED = 3;
    /** How long a connection that failed to be made may still hold its descriptor. */
    private static final long CLOSED_US = 100_000;

    private final EventLoop loop;
    private final ResponseForwarder relay;
    private final NioSocketConnector connector;
    private final ConnectionLimits limits;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    private final Set<UpstreamConnection> connections = new LinkedHashSet<>();
    /** Where each attempt is that is out: its server may have left the list meanwhile. */
    private final Map<Attempt, UpstreamConnection> carriers = new HashMap<>();
    /** Attempts that were ordered while an earlier one of their request is not given up at its server yet. */
    private final PendingAborts withdrawals = new PendingAborts();

    private final UpstreamFaultLog faults = new UpstreamFaultLog();

    /**
     * A pool without servers.
     *
     * @param loop the event thread
     * @param relay hears of the ends of attempts
     * @param connector makes connections; its handler is set here
     * @param limits limits on connections
     * @param loadFields names of the values in load reports
     */
    public UpstreamConnectionPool(
            EventLoop loop,
            ResponseForwarder relay,
            NioSocketConnector connector,
            ConnectionLimits limits,
            List<String> loadFields) {
        this.loop = loop;
        this.relay = relay;
        this.connector = connector;
        this.limits = limits;
        connector.setHandler(new UpstreamIoHandler(loop, this, loadFields));
        connector.setSessionDataStructureFactory(new CommandQueue.Factory());
        // Guards good servers in a front that is held up itself: MINA's connecting thread looks at what has been made
        // before what has run out of time. A timer of the event thread would fire while that thread waits for its turn.
        connector.setConnectTimeoutMillis(Math.max(1, limits.connectUs() / 1000));
        new StalledConnections(loop, connections, faults).start();
    }

    @Override
    public void endpointListed(String id, InetSocketAddress address, long startedUs) {
        UpstreamServer server = servers.get(id);
        if (server == null || !server.address.equals(address)) {
            endpointRemoved(id);
            servers.put(id, new UpstreamServer(id, address));
            return;
        }
        server.retireOlderThan(startedUs);
    }

    @Override
    public void endpointRemoved(String id) {
        UpstreamServer server = servers.remove(id);
        if (server != null) {
            server.retireOlderThan(Long.MAX_VALUE);
        }
    }

    @Override
    public void send(Attempt attempt) {
        if (limits.copies() || !withdrawals.hold(attempt)) {
            dispatch(attempt);
        }
    }

    private void dispatch(Attempt attempt) {
        UpstreamServer server = servers.get(attempt.server());
        UpstreamConnection best = server == null ? null : choose(server, attempt.request());
        if (best == null) {
            AttemptStatus status = server == null ? AttemptStatus.CONNECT_FAILED : AttemptStatus.NOT_SENT;
            loop.post(() -> end(attempt, status));
            return;
        }
        carriers.put(attempt, best);
        best.send(attempt, loop.now());
    }

    /** The least loaded connection that takes a command, else a new one; null where the limits are reached. */
    private UpstreamConnection choose(UpstreamServer server, UpstreamRequest fetch) {
        if (fetch.dedicatedConnection() && limits.share().free() > 0) {
            // Guards what can't be sent again: an idle connection may be reset by the command that comes next, and
            // a shared one by another's fault. A new one carries it alone; its reset while new proves nothing ran.
            UpstreamConnection c = connect(server);
            c.retiring = true;
            return c;
        }
        UpstreamConnection best = server.leastLoaded(fetch.id(), loop.now() - limits.idleUs() * 7 / 10);
        if (best == null && server.carried(fetch.id()) && limits.share().free() > 0) {
            // Guards a retry at the same server against a late answer to its first try: on a connection of its own.
            best = connect(server);
            best.retiring = true;
            return best;
        }
        boolean full = best == null
                || best.load() >= FEW && limits.share().held() < limits.share().most() / 2;
        if (full && server.taking() < limits.perServer() && limits.share().free() > 0) {
            best = connect(server);
        }
        return best;
    }

    private UpstreamConnection connect(UpstreamServer server) {
        // The event thread alone takes these places, and has looked before; they come back from the I/O loop.
        limits.share().take();
        UpstreamConnection c = new UpstreamConnection(server, limits.streams(), loop.now());
        server.connections.add(c);
        connections.add(c);
        ConnectFuture future =
                connector.connect(server.address, (session, f) -> session.setAttribute(UpstreamConnection.class, c));
        future.addListener((IoFutureListener<ConnectFuture>) f -> loop.post(() -> {
            if (f.isConnected()) {
                c.connected(f.getSession(), loop.now());
                c.closeWhenDone();
            } else {
                // MINA's connecting thread closes the descriptor after it has told of the failure, in its next turn.
                loop.at(loop.now() + CLOSED_US, limits.share()::release);
                // A refusal is the server's own word; a reset on the way is not.
                lost(c, !(f.getException() instanceof ConnectException));
            }
        }));
        return c;
    }

    /**
     * A connection was not made, or has closed. Only the first word of it counts.
     *
     * @param reset whether that says nothing of the server: then what was never written goes out on a new one
     */
    void lost(UpstreamConnection c, boolean reset) {
        if (!connections.remove(c)) {
            return;
        }
        c.server.connections.remove(c);
        withdrawals.closed(c).forEach(this::dispatch);
        List<UpstreamConnection.Open> all = c.drop();
        all.forEach(held -> carriers.remove(held.attempt()));
        boolean renew = reset && ++c.server.renewed <= MOST_RENEWED;
        for (UpstreamConnection.Open held : all) {
            if (c.written(held)) {
                end(held.attempt(), AttemptStatus.RESET);
            } else if (renew) {
                // Guards a good server against being taken for dead: a reset or its close of an idle connection
                // crossed a command of which nothing was written, so nothing ran; a new one tells how it is.
                dispatch(held.attempt());
            } else {
                end(held.attempt(), AttemptStatus.CONNECT_FAILED);
            }
        }
    }

    void answered(UpstreamConnection c, List<UpstreamResponse> answers) {
        c.heardUs = loop.now();
        c.server.renewed = 0;
        for (UpstreamResponse answer : answers) {
            Attempt attempt = c.answered(answer.id());
            if (!limits.copies() && answer.status() != AttemptStatus.OK) {
                c.keepRetryOff(answer.id());
            }
            if (attempt == null) {
                faults.unasked();
            } else {
                carriers.remove(attempt);
                relay.ended(attempt, answer);
            }
        }
        c.closeWhenDone();
    }

    private void end(Attempt attempt, AttemptStatus status) {
        relay.ended(attempt, UpstreamResponse.ended(attempt.request().id(), status));
    }

    @Override
    public void abort(Attempt attempt) {
        UpstreamConnection c = carriers.remove(attempt);
        if (c == null) {
            withdrawals.drop(attempt);
            return;
        }
        String id = attempt.request().id();
        if (c.abort(
                attempt,
                () -> loop.post(() -> {
                    c.abortEnded();
                    withdrawals.ended(id, c).forEach(this::dispatch);
                }))) {
            withdrawals.began(id, c);
        }
        // Guards against a machine that vanished: its open connections stay silent for ever.
        if (c.heardUs < attempt.sentUs() && loop.now() - attempt.sentUs() > limits.connectUs()) {
            c.retiring = true;
        }
        c.closeWhenDone();
    }

    void malformed(UpstreamConnection c, MalformedException e) {
        faults.malformed(c.server.id, e.getMessage());
    }

    @Override
    public String counts() {
        return "server connections " + connections.size() + ", " + faults.counts();
    }
}
