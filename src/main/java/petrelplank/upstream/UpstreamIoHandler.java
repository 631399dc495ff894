package petrelplank.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.upstream.ConnectionListener.LossCause;
import petrelplank.upstream.MalformedResponseException.Reason;

/**
 * Handles the I/O events of upstream connections on the I/O threads: parses responses, and posts them and the loss of
 * connections to the event thread.
 */
final class UpstreamIoHandler extends IoHandlerAdapter {
    private final EventLoop loop;
    private final ConnectionListener listener;
    private final List<String> loadFieldNames;
    private final ResponseMemory responseMemory;
    private final int maxOpenAttempts;

    /**
     * The input of one connection.
     *
     * @param parser parses the bytes; I/O thread only
     * @param unhandledResponses number of complete responses that the event thread has not handled yet
     */
    private record Input(ResponseParser parser, AtomicInteger unhandledResponses) {}

    /** Creates the handler of all connections of a pool; {@code maxOpenAttempts} is for each of them. */
    UpstreamIoHandler(
            EventLoop loop,
            ConnectionListener listener,
            List<String> loadFieldNames,
            ResponseMemory responseMemory,
            int maxOpenAttempts) {
        this.loop = loop;
        this.listener = listener;
        this.loadFieldNames = loadFieldNames;
        this.responseMemory = responseMemory;
        this.maxOpenAttempts = maxOpenAttempts;
    }

    /** Associates a MINA session that is being created with its connection. */
    static void bind(IoSession session, UpstreamConnection connection) {
        session.setAttribute(UpstreamConnection.class, connection);
    }

    private static UpstreamConnection connection(IoSession session) {
        return (UpstreamConnection) session.getAttribute(UpstreamConnection.class);
    }

    private static Input input(IoSession session) {
        return (Input) session.getAttribute(Input.class);
    }

    @Override
    public void sessionCreated(IoSession session) {
        session.setAttribute(
                Input.class, new Input(new ResponseParser(loadFieldNames, responseMemory), new AtomicInteger()));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        List<UpstreamResponse> responses = new ArrayList<>();
        UpstreamConnection connection = connection(session);
        Input input = input(session);
        try {
            checkUnhandled(input);
            input.parser.feed(((IoBuffer) message).buf(), responses::add);
            connection.stallDetector().bytesRead(session.getReadBytes(), input.parser.isInsideResponse());
        } catch (MalformedResponseException e) {
            session.closeNow();
            loop.post(() -> listener.malformedResponse(connection, e));
        }
        if (!responses.isEmpty()) {
            responseMemory.completed(responses);
            input.unhandledResponses.addAndGet(responses.size());
            loop.post(() -> handle(connection, input, responses));
        }
    }

    /** Bounds what waits for the event thread, however much a server sends that nobody has asked for. */
    private void checkUnhandled(Input input) {
        int waiting = input.unhandledResponses.get();
        if (responseMemory.isOverLimit() && waiting > maxOpenAttempts) {
            throw new MalformedResponseException(
                    Reason.TOO_MANY_RESPONSES, waiting + ", at most " + maxOpenAttempts + " can be open");
        }
    }

    private void handle(UpstreamConnection connection, Input input, List<UpstreamResponse> responses) {
        try {
            listener.responsesReceived(connection, responses);
        } finally {
            responseMemory.handled(responses);
            input.unhandledResponses.addAndGet(-responses.size());
        }
    }

    @Override
    public void sessionClosed(IoSession session) {
        input(session).parser.close();
        UpstreamConnection connection = connection(session);
        loop.post(() -> listener.connectionLost(connection, LossCause.RESET));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        session.closeNow();
    }
}
