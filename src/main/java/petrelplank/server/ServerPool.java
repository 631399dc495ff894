package petrelplank.server;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.IoFutureListener;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import petrelplank.decision.Router.Status;
import petrelplank.front.Attempt;
import petrelplank.front.EventLoop;
import petrelplank.front.Fetch;
import petrelplank.front.Relay;
import petrelplank.front.ServerAnswer;
import petrelplank.front.Servers;
import petrelplank.socket.Share;

/**
 * The connections to servers, by server id: an address may pass from one that has gone to a new one. All state
 * belongs to the event thread; MINA's threads parse and post.
 */
public final class ServerPool implements Servers {
    private static final Logger LOG = Logger.getLogger(ServerPool.class.getName());
    /**
     * One spoilt answer or reset ends all that is open on its connection, so that few share one: a further one is
     * made where the least used carries this many, up to the most for a server.
     */
    private static final int FEW = 2;
    private static final int MOST_PER_SERVER = 8;
    /** Connections that all fronts of a branch keep at one server, as long as they are no more than that themselves. */
    private static final int MOST_OF_BRANCH = 32;
    /** An answer of which nothing more comes over so many sweeps has stopped short; 36 ms were seen on good days. */
    private static final int STUCK_SWEEPS = 4;
    private static final long SWEEP_US = 75_000;
    /** Connections lost in a row before a command was written: so many are made anew, then the server is at fault. */
    private static final int MOST_RENEWED = 3;
    private static final int LOGGED_ONE_IN = 25;
    /** How long a connection that failed to be made may still hold its descriptor. */
    private static final long CLOSED_US = 100_000;

    /**
     * Limits on connections.
     *
     * @param share the descriptors that connections may hold
     * @param streams attempts open on one connection
     * @param connectUs a connection not made in this time has failed
     * @param idleUs servers close idle connections after this time
     * @param perServer connections kept at one server, from 1; see {@link #perServer}
     */
    public record Limits(Share share, int streams, long connectUs, long idleUs, int perServer) { }

    /**
     * How many connections a front keeps at one server, besides those that carry one request that can't be sent
     * again. What is harmless for one front fills a server's table when every front does it: a branch's fronts keep
     * 32 together, or one each where there are more of them.
     *
     * @param fronts of the branch, that share its caches, from 1
     * @return from 1 to 8
     */
    public static int perServer(int fronts) {
        return Math.max(1, Math.min(MOST_PER_SERVER, MOST_OF_BRANCH / fronts));
    }

    private final EventLoop loop;
    private final Relay relay;
    private final NioSocketConnector connector;
    private final Limits limits;
    private final Map<String, Server> servers = new HashMap<>();
    private final Set<ServerConnection> connections = new LinkedHashSet<>();
    /** Where each attempt is that is out: its server may have left the list meanwhile. */
    private final Map<Attempt, ServerConnection> carriers = new HashMap<>();
    private long malformed;
    private long stuck;
    private long unknown;

    /**
     * A pool without servers.
     *
     * @param loop the event thread
     * @param relay hears of the ends of attempts
     * @param connector makes connections; its handler is set here
     * @param limits limits on connections
     * @param loadFields names of the values in load reports
     */
    public ServerPool(EventLoop loop, Relay relay, NioSocketConnector connector, Limits limits,
                      List<String> loadFields) {
        this.loop = loop;
        this.relay = relay;
        this.connector = connector;
        this.limits = limits;
        connector.setHandler(new Handler(loadFields));
        // Guards good servers in a front that is held up itself: MINA's connecting thread looks at what has been made
        // before what has run out of time. A timer of the event thread would fire while that thread waits for its turn.
        connector.setConnectTimeoutMillis(Math.max(1, limits.connectUs() / 1000));
        loop.post(this::sweep);
    }

    /**
     * Guards what is open on a connection against an answer on it that stops short: nothing behind it can be read
     * any more, while the connection stays open.
     */
    private void sweep() {
        for (ServerConnection c : List.copyOf(connections)) {
            if (c.stuck(STUCK_SWEEPS)) {
                stuck++;
                if (stuck % LOGGED_ONE_IN == 1) {
                    LOG.warning("an answer from " + c.server.id + " stopped short, connection closed, " + stuck
                        + " so far");
                }
                c.close();
            }
        }
        loop.at(loop.now() + SWEEP_US, this::sweep);
    }

    @Override
    public void listed(String id, InetSocketAddress address, long startedUs) {
        Server server = servers.get(id);
        if (server == null || !server.address.equals(address)) {
            gone(id);
            servers.put(id, new Server(id, address));
            return;
        }
        for (ServerConnection c : List.copyOf(server.connections)) {
            if (c.createdUs < startedUs) {
                retire(c);
            }
        }
    }

    @Override
    public void gone(String id) {
        Server server = servers.remove(id);
        if (server != null) {
            List.copyOf(server.connections).forEach(this::retire);
        }
    }

    private void retire(ServerConnection c) {
        c.retiring = true;
        if (c.idle()) {
            c.close();
        }
    }

    @Override
    public void fetch(Attempt attempt) {
        Server server = servers.get(attempt.server());
        ServerConnection best = server == null ? null : choose(server, attempt.fetch());
        if (best == null) {
            Status status = server == null ? Status.CONNECT_FAILED : Status.MOOT;
            loop.post(() -> end(attempt, status));
            return;
        }
        carriers.put(attempt, best);
        best.send(attempt, loop.now());
    }

    /** The least loaded connection that takes a command, else a new one; null where the limits are reached. */
    private ServerConnection choose(Server server, Fetch fetch) {
        if (fetch.alone() && limits.share().free() > 0) {
            // Guards what can't be sent again: an idle connection may be reset by the command that comes next, and
            // a shared one by another's fault. A new one carries it alone; its reset while new proves nothing ran.
            ServerConnection c = connect(server);
            c.retiring = true;
            return c;
        }
        ServerConnection best = null;
        for (ServerConnection c : List.copyOf(server.connections)) {
            if (c.idle() && !c.retiring && loop.now() - c.heardUs > limits.idleUs() * 7 / 10) {
                // Guards against a command that crosses the server's own close of an idle connection.
                retire(c);
            }
            if (c.takes(fetch.id()) && (best == null || c.load() < best.load())) {
                best = c;
            }
        }
        // One that takes nothing new must not keep a fresh one out: it closes once nothing is open on it.
        long taking = server.connections.stream().filter(c -> !c.retiring).count();
        boolean full = best == null || best.load() >= FEW && limits.share().held() < limits.share().most() / 2;
        if (full && taking < limits.perServer() && limits.share().free() > 0) {
            best = connect(server);
        }
        return best;
    }

    private ServerConnection connect(Server server) {
        // The event thread alone takes these places, and has looked before; they come back from the I/O loop.
        limits.share().take();
        ServerConnection c = new ServerConnection(server, limits.streams(), loop.now());
        server.connections.add(c);
        connections.add(c);
        ConnectFuture future = connector.connect(server.address,
            (session, f) -> session.setAttribute(ServerConnection.class, c));
        future.addListener((IoFutureListener<ConnectFuture>) f -> loop.post(() -> {
            if (f.isConnected()) {
                connected(c, f.getSession());
            } else {
                // MINA's connecting thread closes the descriptor after it has told of the failure, in its next turn.
                loop.at(loop.now() + CLOSED_US, limits.share()::release);
                // A refusal is the server's own word; a reset on the way is not.
                lost(c, !(f.getException() instanceof ConnectException));
            }
        }));
        return c;
    }

    private void connected(ServerConnection c, IoSession session) {
        c.connected(session, loop.now());
        if (c.retiring && c.idle()) {
            c.close();
        }
    }

    /**
     * A connection was not made, or has closed. Only the first word of it counts.
     *
     * @param reset whether that says nothing of the server: then what was never written goes out on a new one
     */
    private void lost(ServerConnection c, boolean reset) {
        if (!connections.remove(c)) {
            return;
        }
        c.server.connections.remove(c);
        List<ServerConnection.Open> all = c.drop();
        all.forEach(held -> carriers.remove(held.attempt()));
        boolean renew = reset && ++c.server.renewed <= MOST_RENEWED;
        for (ServerConnection.Open held : all) {
            if (c.written(held)) {
                end(held.attempt(), Status.RESET);
            } else if (renew) {
                // Guards a good server against being taken for dead: a reset or its close of an idle connection
                // crossed a command of which nothing was written, so nothing ran; a new one tells how it is.
                fetch(held.attempt());
            } else {
                end(held.attempt(), Status.CONNECT_FAILED);
            }
        }
    }

    private void answered(ServerConnection c, List<ServerAnswer> answers) {
        c.heardUs = loop.now();
        c.server.renewed = 0;
        for (ServerAnswer answer : answers) {
            Attempt attempt = c.answered(answer.id());
            if (attempt == null) {
                unknown++;
            } else {
                carriers.remove(attempt);
                relay.ended(attempt, answer);
            }
        }
        if (c.retiring && c.idle()) {
            c.close();
        }
    }

    private void end(Attempt attempt, Status status) {
        relay.ended(attempt, ServerAnswer.ended(attempt.fetch().id(), status));
    }

    @Override
    public void abort(Attempt attempt) {
        ServerConnection c = carriers.remove(attempt);
        if (c == null) {
            return;
        }
        c.abort(attempt);
        // Guards against a machine that vanished: its open connections stay silent for ever.
        if (c.heardUs < attempt.sentUs() && loop.now() - attempt.sentUs() > limits.connectUs()) {
            c.retiring = true;
        }
        if (c.retiring && c.idle()) {
            c.close();
        }
    }

    /**
     * What went wrong on the servers' side, in one line.
     *
     * @return the counts
     */
    public String counts() {
        return "server connections " + connections.size() + ", malformed " + malformed + ", stopped short " + stuck
            + ", unasked answers " + unknown;
    }

    /** MINA's side: parses, and posts typed values to the event thread. */
    private final class Handler extends IoHandlerAdapter {
        private final List<String> loadFields;

        Handler(List<String> loadFields) {
            this.loadFields = loadFields;
        }

        @Override
        public void sessionCreated(IoSession session) {
            session.setAttribute(LineParser.class, new LineParser(loadFields));
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            List<ServerAnswer> answers = new ArrayList<>();
            ServerConnection c = (ServerConnection) session.getAttribute(ServerConnection.class);
            LineParser parser = (LineParser) session.getAttribute(LineParser.class);
            try {
                parser.feed(((IoBuffer) message).buf(), answers::add);
                c.insideAt = parser.inside() ? session.getReadBytes() : 0;
            } catch (MalformedException e) {
                session.closeNow();
                loop.post(() -> {
                    malformed++;
                    if (malformed % LOGGED_ONE_IN == 1) {
                        LOG.warning("malformed answer from " + c.server.id + ", connection closed: "
                            + e.getMessage() + ", " + malformed + " so far");
                    }
                });
            }
            if (!answers.isEmpty()) {
                loop.post(() -> answered(c, answers));
            }
        }

        @Override
        public void sessionClosed(IoSession session) {
            ServerConnection c = (ServerConnection) session.getAttribute(ServerConnection.class);
            loop.post(() -> lost(c, true));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
