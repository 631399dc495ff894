package petrelplank.upstream;

import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.EventLoop;
import petrelplank.proxy.UpstreamResponse;

/** MINA's side of the connections to servers: parses, and posts typed values to the event thread. */
final class UpstreamIoHandler extends IoHandlerAdapter {
    private final EventLoop loop;
    private final UpstreamConnectionPool pool;
    private final List<String> loadFields;

    UpstreamIoHandler(EventLoop loop, UpstreamConnectionPool pool, List<String> loadFields) {
        this.loop = loop;
        this.pool = pool;
        this.loadFields = loadFields;
    }

    @Override
    public void sessionCreated(IoSession session) {
        session.setAttribute(ResponseParser.class, new ResponseParser(loadFields));
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        List<UpstreamResponse> answers = new ArrayList<>();
        UpstreamConnection c = connection(session);
        ResponseParser parser = (ResponseParser) session.getAttribute(ResponseParser.class);
        try {
            parser.feed(((IoBuffer) message).buf(), answers::add);
            c.insideAt = parser.insideResponse() ? session.getReadBytes() : 0;
        } catch (MalformedException e) {
            session.closeNow();
            loop.post(() -> pool.malformed(c, e));
        }
        if (!answers.isEmpty()) {
            loop.post(() -> pool.answered(c, answers));
        }
    }

    @Override
    public void sessionClosed(IoSession session) {
        UpstreamConnection c = connection(session);
        loop.post(() -> pool.lost(c, true));
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        session.closeNow();
    }

    private static UpstreamConnection connection(IoSession session) {
        return (UpstreamConnection) session.getAttribute(UpstreamConnection.class);
    }
}
