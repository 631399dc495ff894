package petrelplank.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.session.IoSession;

/** Connections that other threads asked to be closed, wholly or for sending; the I/O thread closes them. */
final class PendingCloses {
    private record IdleClose(IoSession session, BooleanSupplier stillIdle, Runnable onKept) {}

    private record OutputShutdown(IoSession session, BooleanSupplier isDone) {}

    private final Queue<IdleClose> idleCloses = new ConcurrentLinkedQueue<>();
    private final Queue<OutputShutdown> outputShutdowns = new ConcurrentLinkedQueue<>();

    /** See {@link SharedProcessor#closeIfIdle}. */
    void addIdleClose(IoSession session, BooleanSupplier stillIdle, Runnable onKept) {
        idleCloses.add(new IdleClose(session, stillIdle, onKept));
    }

    /** See {@link SharedProcessor#shutdownOutput}. */
    void addOutputShutdown(IoSession session, BooleanSupplier isDone) {
        outputShutdowns.add(new OutputShutdown(session, isDone));
    }

    boolean hasIdleCloses() {
        return !idleCloses.isEmpty();
    }

    int idleCloseCount() {
        return idleCloses.size();
    }

    /** Shuts down the output of connections on which nothing more is to be written; the others stay pending. */
    void shutDownFinishedOutputs(Selector selector) {
        for (OutputShutdown shutdown : outputShutdowns) {
            SelectionKey key = validKey(selector, shutdown.session);
            if (key == null) {
                outputShutdowns.remove(shutdown);
            } else if (shutdown.isDone.getAsBoolean()) {
                outputShutdowns.remove(shutdown);
                shutdownOutput(key);
            }
        }
    }

    /**
     * Closes idle connections. Called right after a selection, so that the client learns of the close before it can
     * have sent much.
     *
     * @param count how many were pending before the selection: the selector has looked at these only
     */
    void closeIdle(Selector selector, int count) {
        for (int i = 0; i < count; i++) {
            closeOrKeep(selector, idleCloses.poll());
        }
    }

    private static void closeOrKeep(Selector selector, IdleClose close) {
        SelectionKey key = validKey(selector, close.session);
        if (key == null || selector.selectedKeys().contains(key) || !close.stillIdle.getAsBoolean()) {
            close.onKept.run();
            return;
        }
        shutdownOutput(key);
        close.session.closeNow();
    }

    private static void shutdownOutput(SelectionKey key) {
        try {
            ((SocketChannel) key.channel()).shutdownOutput();
        } catch (IOException e) {
            // The connection is broken, and will be closed for that.
        }
    }

    private static SelectionKey validKey(Selector selector, IoSession session) {
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() == session) {
                return key.isValid() ? key : null;
            }
        }
        return null;
    }
}
