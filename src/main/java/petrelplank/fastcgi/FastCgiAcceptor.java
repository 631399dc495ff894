package petrelplank.fastcgi;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;

/** A FastCGI responder on MINA. Requests are posted to the event thread, responses come from it. */
public final class FastCgiAcceptor {
    private final ListenerContext context;
    private final ConnectionReaper reaper;
    private final Set<FastCgiConnection> connections = ConcurrentHashMap.newKeySet();

    /**
     * A responder; {@link #listen} opens it.
     *
     * @param loop the event thread
     * @param proxy takes the requests
     * @param acceptor accepts connections; its handler is set here
     * @param budget the descriptors that connections may hold
     * @param memory bytes that the process may hold
     * @param sizeScale bytes on the sockets over those in which clients send sizes, above 0
     */
    public FastCgiAcceptor(
            EventLoop loop,
            EdgeProxy proxy,
            BoundedAcceptor acceptor,
            DescriptorBudget budget,
            long memory,
            double sizeScale) {
        context = new ListenerContext(
                loop,
                proxy,
                acceptor,
                new RequestDecoder(sizeScale),
                new ListenerMemory(memory),
                new ClientFaultLog(budget.capacity()),
                new ListenerStatus(),
                budget.capacity());
        reaper = new ConnectionReaper(context, budget, connections);
        acceptor.setHandler(new ConnectionHandler());
        acceptor.onNearlyFull(reaper::makeRoom);
    }

    /**
     * Starts to listen.
     *
     * @param address on this address only
     * @throws IOException where it can't be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        context.acceptor().bind(address);
        context.loop().post(reaper::sweep);
    }

    /**
     * Sets the answer to health requests.
     *
     * @param now whether the proxy serves
     */
    public void ready(boolean now) {
        context.status().ready(now);
    }

    /**
     * Closes what is open and not in use, at the end of a shutdown; a connection with an unread request is kept.
     *
     * @return connections that are not closed yet
     */
    public int closeUnused() {
        connections.stream()
                .filter(FastCgiConnection::isUnused)
                .forEach(connection -> connection.closeIfIdle(IdleClose.Reason.IDLE));
        return connections.size();
    }

    /** Accepts no further connections. */
    public void stopListening() {
        context.acceptor().setCloseOnDeactivation(false);
        context.acceptor().unbind();
    }

    /**
     * Connections and faults of clients, in one line.
     *
     * @return the counts
     */
    public String counts() {
        return "client connections " + connections.size() + ", "
                + context.faults().counts();
    }

    private final class ConnectionHandler extends IoHandlerAdapter {
        @Override
        public void sessionCreated(IoSession session) {
            FastCgiConnection connection = new FastCgiConnection(context, session);
            session.setAttribute(FastCgiConnection.class, connection);
            connections.add(connection);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            connectionOf(session).received((IoBuffer) message);
        }

        @Override
        public void sessionClosed(IoSession session) {
            FastCgiConnection connection = connectionOf(session);
            connections.remove(connection);
            connection.closed();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }

        private FastCgiConnection connectionOf(IoSession session) {
            return (FastCgiConnection) session.getAttribute(FastCgiConnection.class);
        }
    }
}
