package petrelplank.discovery;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EventLoop;
import petrelplank.settings.FormatException;

/** Decodes the discovery stream in the I/O thread, and posts its events and failures to the event thread. */
final class DiscoveryStreamHandler extends IoHandlerAdapter {
    /** Memory of an event besides the text of its line, in bytes. */
    private static final int OVERHEAD_BYTES = 256;

    private final EventLoop loop;
    private final long maxUnhandledBytes;
    /** Memory of the events that the event thread has not handled yet. */
    private final AtomicLong unhandledBytes = new AtomicLong();

    private final BiConsumer<DiscoveryConnection, DiscoveryEvent> eventHandler;
    private final BiConsumer<DiscoveryConnection, String> failureHandler;

    /**
     * Creates a handler for all sessions of a connector.
     *
     * @param loop the event thread
     * @param maxUnhandledBytes memory for events that the event thread has not handled yet, in bytes; one more event
     *     always finds room
     * @param eventHandler receives each event, in the event thread
     * @param failureHandler receives the reason why a connection is no longer usable, in the event thread
     */
    DiscoveryStreamHandler(
            EventLoop loop,
            long maxUnhandledBytes,
            BiConsumer<DiscoveryConnection, DiscoveryEvent> eventHandler,
            BiConsumer<DiscoveryConnection, String> failureHandler) {
        this.loop = loop;
        this.maxUnhandledBytes = maxUnhandledBytes;
        this.eventHandler = eventHandler;
        this.failureHandler = failureHandler;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        DiscoveryConnection connection = DiscoveryConnection.of(session);
        try {
            connection.splitter().feed(((IoBuffer) message).buf(), line -> handleLine(session, connection, line));
        } catch (FormatException e) {
            session.closeNow();
            reportFailure(connection, "sent a malformed line (" + e.getMessage() + ")");
        }
    }

    /** Posts the event of a line. If too many wait, the service has to send the rest again on another connection. */
    private void handleLine(IoSession session, DiscoveryConnection connection, String line) {
        if (line.isEmpty() || session.isClosing()) {
            return;
        }
        if (unhandledBytes.get() > maxUnhandledBytes) {
            session.closeNow();
            reportFailure(
                    connection,
                    "sent events faster than they can be handled (" + unhandledBytes.get() + " bytes wait, limit "
                            + maxUnhandledBytes + ")");
            return;
        }
        DiscoveryEvent event = DiscoveryEventDecoder.decode(line);
        long eventBytes = OVERHEAD_BYTES + line.length();
        unhandledBytes.addAndGet(eventBytes);
        loop.postUrgent(() -> handle(connection, event, eventBytes));
    }

    private void handle(DiscoveryConnection connection, DiscoveryEvent event, long eventBytes) {
        try {
            eventHandler.accept(connection, event);
        } finally {
            unhandledBytes.addAndGet(-eventBytes);
        }
    }

    @Override
    public void sessionClosed(IoSession session) {
        reportFailure(DiscoveryConnection.of(session), "closed the connection");
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        session.closeNow();
    }

    private void reportFailure(DiscoveryConnection connection, String reason) {
        loop.postUrgent(() -> failureHandler.accept(connection, reason));
    }
}
