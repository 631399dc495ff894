package petrelplank.discovery;

import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One attempt to connect to the discovery service, and the connection that it opened. Confined to the event thread,
 * except for the line splitter, which the I/O thread uses.
 */
final class DiscoveryConnection {
    /** Confined to the I/O thread. */
    private final LineSplitter splitter = new LineSplitter();

    private ConnectFuture connectFuture;
    /** Null until the connection is open. */
    private IoSession session;

    private long connectedAtUs;
    private long lastReceivedAtUs;

    /** Returns the connection to which a session belongs. */
    static DiscoveryConnection of(IoSession session) {
        return (DiscoveryConnection) session.getAttribute(DiscoveryConnection.class);
    }

    /** Stores this connection in its new session, where {@link #of} finds it. */
    void attachTo(IoSession newSession) {
        newSession.setAttribute(DiscoveryConnection.class, this);
    }

    void setConnectFuture(ConnectFuture future) {
        connectFuture = future;
    }

    void onConnected(IoSession openSession, long nowUs) {
        session = openSession;
        connectedAtUs = nowUs;
    }

    void onReceived(long nowUs) {
        lastReceivedAtUs = nowUs;
    }

    void close() {
        connectFuture.cancel();
        if (session != null) {
            session.closeNow();
        }
    }

    LineSplitter splitter() {
        return splitter;
    }

    long connectedAtUs() {
        return connectedAtUs;
    }

    /** When the last event was received; before the first one, when the connection attempt started. */
    long lastReceivedAtUs() {
        return lastReceivedAtUs;
    }
}
