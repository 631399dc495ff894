package petrelplank.fastcgi;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;

/** FastCGI responder based on Apache MINA. It posts requests to the event thread, which sends the responses. */
public final class FastCgiListener {
    /** Requests may hold the memory divided by this, and the same again in commands to upstream servers. */
    private static final int REQUEST_MEMORY_DIVISOR = 6;
    /** Responses that their clients have not read yet may hold the memory divided by this. */
    private static final int UNREAD_MEMORY_DIVISOR = 4;

    private final ListenerContext context;
    private final ConnectionReaper reaper;
    private final DeliveryMonitor deliveryMonitor;
    private final Set<FastCgiConnection> connections = ConcurrentHashMap.newKeySet();

    /**
     * Creates a responder; {@link #listen} opens its socket.
     *
     * @param loop the loop of the event thread
     * @param proxy handles the requests
     * @param acceptor accepts connections; this constructor sets its handler
     * @param budget the file descriptors that client connections may hold
     * @param memoryBytes memory for live objects, in bytes
     * @param sizeScale factor from sizes as the client sends them to bytes on the sockets; greater than 0
     */
    public FastCgiListener(
            EventLoop loop,
            EdgeProxy proxy,
            BoundedAcceptor acceptor,
            DescriptorBudget budget,
            long memoryBytes,
            double sizeScale) {
        context = new ListenerContext(
                loop,
                proxy,
                acceptor,
                new RequestDecoder(sizeScale),
                new RequestMemory(memoryBytes / REQUEST_MEMORY_DIVISOR),
                new UnreadMemory(memoryBytes / UNREAD_MEMORY_DIVISOR),
                new ConnectionCloseLog(budget.capacity()),
                new ListenerStatus(),
                budget.capacity());
        deliveryMonitor = new DeliveryMonitor(loop);
        reaper = new ConnectionReaper(context, budget, connections, deliveryMonitor);
        acceptor.setHandler(new ConnectionHandler());
        acceptor.onNearlyFull(reaper::evictIdleConnections);
    }

    /**
     * Starts listening.
     *
     * @param address the only address to listen on
     * @throws IOException if the address cannot be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        context.acceptor().bind(address);
        deliveryMonitor.setListeningPort(context.acceptor().getLocalAddress().getPort());
        context.loop().post(reaper::sweep);
    }

    /**
     * Sets how health requests are answered.
     *
     * @param ready true for success (status 200), false for status 503
     */
    public void setReady(boolean ready) {
        context.status().setReady(ready);
    }

    /**
     * Closes unused connections at the end of a shutdown. A connection with an unread request is kept open.
     *
     * @return the number of connections that are still open
     */
    public int closeUnusedConnections() {
        connections.stream().filter(FastCgiConnection::isUnused).forEach(FastCgiConnection::closeForShutdown);
        return connections.size();
    }

    /**
     * Whether responses are known or assumed to lie in send buffers; also starts to check whether they still do. A
     * process that ends would leave them to the kernel, which discards them if the client sends anything more.
     *
     * @return false once all responses are known to have reached their clients' systems
     */
    public boolean hasUndeliveredResponses() {
        List<FastCgiConnection> undelivered = connections.stream()
                .filter(connection -> !connection.delivery().isComplete())
                .toList();
        deliveryMonitor.check(undelivered);
        return !undelivered.isEmpty();
    }

    /**
     * Number of connections whose client has not taken all of its responses, by the last check.
     *
     * @return the number; the responses of clients that were not checked yet count as taken
     */
    public long slowClientCount() {
        return connections.stream()
                .filter(connection -> connection.delivery().isWaiting())
                .count();
    }

    /** Stops accepting connections; those that are open stay open. */
    public void stopListening() {
        context.acceptor().setCloseOnDeactivation(false);
        context.acceptor().unbind();
    }

    /** Ends the thread that checks connections; the sockets belong to the acceptor. */
    public void close() {
        deliveryMonitor.close();
    }

    /**
     * Returns the number of open client connections, and of those that the proxy closed, by reason.
     *
     * @return the counts as one line of text
     */
    public String connectionCounts() {
        return "client connections open " + connections.size() + ", "
                + context.closeLog().counts();
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
            connectionOf(session).onBytesRead((IoBuffer) message);
        }

        @Override
        public void sessionClosed(IoSession session) {
            FastCgiConnection connection = connectionOf(session);
            connections.remove(connection);
            connection.onClosed();
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
