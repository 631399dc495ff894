package petrelplank.discovery;

import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** One connect to the discovery service and the connection that came of it. Event thread, but for the splitter. */
final class DiscoveryConnection {
    /** Of the I/O thread. */
    private final LineSplitter splitter = new LineSplitter();

    private ConnectFuture connecting;
    /** Null until the connect has succeeded. */
    private IoSession session;

    private long connectedUs;
    private long lastReceivedUs;

    /** The connection that a session belongs to. */
    static DiscoveryConnection of(IoSession session) {
        return (DiscoveryConnection) session.getAttribute(DiscoveryConnection.class);
    }

    /** Marks a new session as this connection's. */
    void attachTo(IoSession created) {
        created.setAttribute(DiscoveryConnection.class, this);
    }

    void connecting(ConnectFuture future) {
        connecting = future;
    }

    void connected(IoSession established, long nowUs) {
        session = established;
        connectedUs = nowUs;
    }

    void received(long nowUs) {
        lastReceivedUs = nowUs;
    }

    void close() {
        connecting.cancel();
        if (session != null) {
            session.closeNow();
        }
    }

    LineSplitter splitter() {
        return splitter;
    }

    long connectedUs() {
        return connectedUs;
    }

    /** When the last line was received; when the connect began, before the first. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }
}
