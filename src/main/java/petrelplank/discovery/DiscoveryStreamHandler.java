package petrelplank.discovery;

import java.util.function.BiConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EventLoop;
import petrelplank.settings.FormatException;

/** Decodes the discovery stream in the I/O thread, and posts its events and failures to the event thread. */
final class DiscoveryStreamHandler extends IoHandlerAdapter {
    private final EventLoop loop;
    private final BiConsumer<DiscoveryConnection, DiscoveryEvent> eventHandler;
    private final BiConsumer<DiscoveryConnection, String> failureHandler;

    /**
     * Creates a handler for all sessions of a connector.
     *
     * @param loop the event thread
     * @param eventHandler receives each event, in the event thread
     * @param failureHandler receives the reason why a connection is no longer usable, in the event thread
     */
    DiscoveryStreamHandler(
            EventLoop loop,
            BiConsumer<DiscoveryConnection, DiscoveryEvent> eventHandler,
            BiConsumer<DiscoveryConnection, String> failureHandler) {
        this.loop = loop;
        this.eventHandler = eventHandler;
        this.failureHandler = failureHandler;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        DiscoveryConnection connection = DiscoveryConnection.of(session);
        try {
            connection.splitter().feed(((IoBuffer) message).buf(), line -> handleLine(connection, line));
        } catch (FormatException e) {
            session.closeNow();
            reportFailure(connection, "sent a malformed line (" + e.getMessage() + ")");
        }
    }

    private void handleLine(DiscoveryConnection connection, String line) {
        if (!line.isEmpty()) {
            DiscoveryEvent event = DiscoveryEventDecoder.decode(line);
            loop.postUrgent(() -> eventHandler.accept(connection, event));
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
