package petrelplank.fastcgi;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.fastcgi.FastCgiConnection.State;
import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;
import petrelplank.transport.DescriptorBudget;

/** The clients' side: FastCGI responder on MINA. Requests are posted to the event thread, answers come from it. */
public final class FastCgiAcceptor {
    private static final long SWEEP_US = 250_000;

    final EventLoop loop;
    final EdgeProxy front;
    final BoundedAcceptor acceptor;
    final DescriptorBudget share;
    final RequestDecoder decoder;
    final ClientFaultLog faults;
    /** Asked to leave, and neither closed yet nor kept since something lay unread on them. */
    final AtomicInteger leaving = new AtomicInteger();

    private final Set<FastCgiConnection> connections = ConcurrentHashMap.newKeySet();
    final long memory;
    /** Bytes of requests that are coming in or open. */
    final AtomicLong held = new AtomicLong();

    volatile boolean ready;

    /**
     * The clients' side.
     *
     * @param loop the event thread
     * @param front takes the requests
     * @param acceptor accepts connections; its handler is set here
     * @param share the descriptors that connections may hold
     * @param memory bytes that the process may hold
     * @param sizeScale bytes on the sockets over those in which clients tell sizes, above 0
     */
    public FastCgiAcceptor(
            EventLoop loop,
            EdgeProxy front,
            BoundedAcceptor acceptor,
            DescriptorBudget share,
            long memory,
            double sizeScale) {
        this.loop = loop;
        this.faults = new ClientFaultLog(share);
        this.decoder = new RequestDecoder(sizeScale);
        this.front = front;
        this.acceptor = acceptor;
        this.share = share;
        this.memory = memory;
        acceptor.setHandler(new Handler());
        acceptor.onNearlyFull(this::makeRoom);
    }

    /**
     * Starts to listen.
     *
     * @param address on this address only
     * @throws IOException where it can't be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        loop.post(this::sweep);
    }

    /** Guards descriptors and memory against clients that say nothing, stop half way or keep what they don't use. */
    private void sweep() {
        long now = loop.now();
        for (FastCgiConnection c : connections) {
            if (c.lingers(now)) {
                c.closeNow();
            } else if (c.expired(now)) {
                c.leave(false);
            }
        }
        loop.at(now + SWEEP_US, this::sweep);
    }

    /**
     * Guards good clients against those that keep connections: where places run short, those that have been quiet
     * longest make room. Where all are owed an answer, newcomers wait in the machine's queue until one has it.
     * Called in the accepting thread.
     */
    private void makeRoom() {
        long now = loop.clock();
        while (share.available() + leaving.get() <= acceptor.reserve()) {
            FastCgiConnection longest = null;
            for (FastCgiConnection c : connections) {
                if (c.state.get() == State.OPEN && c.spare(now) && (longest == null || c.quietUs < longest.quietUs)) {
                    longest = c;
                }
            }
            if (longest == null) {
                return;
            }
            longest.leave(true);
        }
    }

    /**
     * Sets the answer to health requests.
     *
     * @param now whether the front serves
     */
    public void ready(boolean now) {
        ready = now;
    }

    /**
     * Closes what is open and not in use, at the end of a drain; what a request still lies unread on is kept.
     *
     * @return connections that are not closed yet
     */
    public int closeUnused() {
        connections.stream().filter(FastCgiConnection::unused).forEach(c -> c.leave(false));
        return connections.size();
    }

    /** Takes no further connections. */
    public void stopListening() {
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind();
    }

    /**
     * What went wrong on the clients' side, in one line.
     *
     * @return the counts
     */
    public String counts() {
        return "client connections " + connections.size() + ", " + faults.counts();
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionCreated(IoSession session) {
            FastCgiConnection added = new FastCgiConnection(FastCgiAcceptor.this, session);
            session.setAttribute(FastCgiConnection.class, added);
            connections.add(added);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            ((FastCgiConnection) session.getAttribute(FastCgiConnection.class)).received((IoBuffer) message);
        }

        @Override
        public void sessionClosed(IoSession session) {
            FastCgiConnection closed = (FastCgiConnection) session.getAttribute(FastCgiConnection.class);
            connections.remove(closed);
            if (closed.state.getAndSet(State.CLOSED) == State.LEAVING) {
                leaving.decrementAndGet();
                loop.post(() -> faults.left(closed.forRoom));
            }
            closed.closed();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
