package petrelplank.discovery;

import java.util.function.BiConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.DiscoveryEvent;
import petrelplank.proxy.EventLoop;
import petrelplank.settings.FormatException;

/** The I/O thread's side of the stream: decodes lines there and posts events and failures to the event thread. */
final class DiscoveryStreamHandler extends IoHandlerAdapter {
    private final EventLoop loop;
    private final BiConsumer<DiscoveryConnection, DiscoveryEvent> events;
    private final BiConsumer<DiscoveryConnection, String> failures;

    /**
     * A handler for all sessions of a connector.
     *
     * @param loop the event thread
     * @param events gets each event, in the event thread
     * @param failures gets the reason why a connection can't be used further, in the event thread
     */
    DiscoveryStreamHandler(
            EventLoop loop,
            BiConsumer<DiscoveryConnection, DiscoveryEvent> events,
            BiConsumer<DiscoveryConnection, String> failures) {
        this.loop = loop;
        this.events = events;
        this.failures = failures;
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        DiscoveryConnection connection = DiscoveryConnection.of(session);
        try {
            connection.splitter().feed(((IoBuffer) message).buf(), line -> lineReceived(connection, line));
        } catch (FormatException e) {
            session.closeNow();
            failed(connection, "sent a malformed line (" + e.getMessage() + ")");
        }
    }

    private void lineReceived(DiscoveryConnection connection, String line) {
        if (!line.isEmpty()) {
            DiscoveryEvent event = DiscoveryEventDecoder.decode(line);
            loop.postUrgent(() -> events.accept(connection, event));
        }
    }

    @Override
    public void sessionClosed(IoSession session) {
        failed(DiscoveryConnection.of(session), "closed the connection");
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        session.closeNow();
    }

    private void failed(DiscoveryConnection connection, String reason) {
        loop.postUrgent(() -> failures.accept(connection, reason));
    }
}
