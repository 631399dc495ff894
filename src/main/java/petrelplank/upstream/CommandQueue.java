package petrelplank.upstream;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.mina.core.session.AbstractIoSession;
import org.apache.mina.core.session.DefaultIoSessionDataStructureFactory;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.WriteRequest;
import org.apache.mina.core.write.WriteRequestQueue;

/**
 * The write queue of one connection. Commands that were withdrawn, or are no longer needed, stay in the queue until
 * they are polled, and are then skipped.
 */
final class CommandQueue implements WriteRequestQueue {
    /** Makes MINA create a separate {@link CommandQueue} for each connection. */
    static final class Factory extends DefaultIoSessionDataStructureFactory {
        @Override
        public WriteRequestQueue getWriteRequestQueue(IoSession session) {
            return new CommandQueue();
        }
    }

    private final Queue<WriteRequest> commands = new ConcurrentLinkedQueue<>();

    @Override
    public WriteRequest poll(IoSession session) {
        WriteRequest next = commands.poll();
        while (next instanceof EncodedCommand command && !command.take(session)) {
            ((AbstractIoSession) session).decreaseScheduledBytesAndMessages(next);
            next = commands.poll();
        }
        return next;
    }

    @Override
    public void offer(IoSession session, WriteRequest request) {
        commands.offer(request);
    }

    @Override
    public boolean isEmpty(IoSession session) {
        return commands.isEmpty();
    }

    @Override
    public void clear(IoSession session) {
        commands.clear();
    }

    @Override
    public void dispose(IoSession session) {}

    @Override
    public int size() {
        return commands.size();
    }
}
