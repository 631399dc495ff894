package petrelplank.fastcgi;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/** Writes on one connection, as far as the memory for unread responses allows. Thread-safe. */
final class ConnectionOutput {
    private final ListenerContext context;
    private final IoSession session;
    private final ResponseDelivery delivery;

    ConnectionOutput(ListenerContext context, IoSession session, ResponseDelivery delivery) {
        this.context = context;
        this.session = session;
        this.delivery = delivery;
    }

    /** Whether a response of this length may wait for its client to read it. */
    boolean hasRoomFor(int responseBytes) {
        boolean mayBeStalled = delivery.mayBeStalled(context.acceptor());
        return context.unreadMemory()
                .hasRoomFor(responseBytes, mayBeStalled, session.getScheduledWriteBytes(), totalUnreadBytes());
    }

    /** Writes records, or closes the connection if its client has sent far more requests than it has read responses. */
    void write(byte[] bytes) {
        if (context.unreadMemory().isOverLimit(session.getScheduledWriteMessages(), totalUnreadBytes())) {
            session.closeNow();
            context.loop().post(() -> context.closeLog().countOverUnreadLimit(delivery));
            return;
        }
        session.write(IoBuffer.wrap(bytes));
    }

    private long totalUnreadBytes() {
        return context.acceptor().getScheduledWriteBytes();
    }
}
