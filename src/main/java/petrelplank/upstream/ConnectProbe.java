package petrelplank.upstream;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.polling.AbstractPollingIoConnector;

/**
 * Looks whether a connect has completed, without a wait and in the calling thread. The connecting thread may be held
 * up, and tells only what it has found. Thread-safe.
 */
final class ConnectProbe {
    private ConnectProbe() {}

    /**
     * Returns whether a connect is still in progress.
     *
     * @param future the connect; its connecting thread will tell its end all the same
     * @return false if the connection is made or has failed; also true if the system cannot tell
     */
    static boolean isInProgress(ConnectFuture future) {
        if (future.isDone() || !(future instanceof AbstractPollingIoConnector<?, ?>.ConnectionRequest request)) {
            return !future.isDone();
        }
        SocketChannel channel = (SocketChannel) request.getHandle();
        // A selector of its own leaves that of the connecting thread to find the completion. Closing it takes the
        // channel off it, so that the descriptor is free as soon as the channel is closed.
        try (Selector selector = channel.provider().openSelector()) {
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() == 0;
        } catch (ClosedChannelException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
