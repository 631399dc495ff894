package petrelplank.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.session.IoSession;

/** Requests of other threads to close connections, or only their sending side; the I/O thread carries them out. */
final class PendingCloses {
    private record IdleClose(IoSession session, BooleanSupplier stillIdle, Runnable onKeptOpen) {}

    private record OutputShutdown(IoSession session, BooleanSupplier allWritten) {}

    private final Queue<IdleClose> idleCloses = new ConcurrentLinkedQueue<>();
    private final Queue<OutputShutdown> outputShutdowns = new ConcurrentLinkedQueue<>();

    /** See {@link SharedProcessor#closeIfIdle}. */
    void addIdleClose(IoSession session, BooleanSupplier stillIdle, Runnable onKeptOpen) {
        idleCloses.add(new IdleClose(session, stillIdle, onKeptOpen));
    }

    /** See {@link SharedProcessor#shutdownOutput}. */
    void addOutputShutdown(IoSession session, BooleanSupplier allWritten) {
        outputShutdowns.add(new OutputShutdown(session, allWritten));
    }

    boolean hasIdleCloses() {
        return !idleCloses.isEmpty();
    }

    int idleCloseCount() {
        return idleCloses.size();
    }

    /** Shuts down the sending side of each connection on which all is written; the others stay pending. */
    void shutDownFinishedOutputs(Selector selector) {
        for (OutputShutdown request : outputShutdowns) {
            SelectionKey key = findValidKey(selector, request.session);
            if (key == null) {
                outputShutdowns.remove(request);
            } else if (request.allWritten.getAsBoolean()) {
                outputShutdowns.remove(request);
                shutdownOutput(key);
            }
        }
    }

    /**
     * Closes idle connections. Called right after a selection, so that the client notices the close before it can have
     * sent much.
     *
     * @param requestCount number of requests that were pending before the selection; only for these connections does the
     *     selection tell whether bytes are unread
     */
    void closeIdleConnections(Selector selector, int requestCount) {
        for (int i = 0; i < requestCount; i++) {
            closeIfNothingUnread(selector, idleCloses.poll());
        }
    }

    private static void closeIfNothingUnread(Selector selector, IdleClose request) {
        SelectionKey key = findValidKey(selector, request.session);
        if (key == null || selector.selectedKeys().contains(key) || !request.stillIdle.getAsBoolean()) {
            request.onKeptOpen.run();
            return;
        }
        shutdownOutput(key);
        request.session.closeNow();
    }

    private static void shutdownOutput(SelectionKey key) {
        try {
            ((SocketChannel) key.channel()).shutdownOutput();
        } catch (IOException e) {
            // The connection is broken, and is closed for that reason.
        }
    }

    private static SelectionKey findValidKey(Selector selector, IoSession session) {
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() == session) {
                return key.isValid() ? key : null;
            }
        }
        return null;
    }
}
