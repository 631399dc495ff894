package petrelplank.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SendQueuesTest {
    @Test
    void unreadBytesAreListedUntilThePeerHasReadThem() throws IOException {
        byte[] bytes = new byte[1_000_000];
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket peer = new Socket()) {
            peer.setReceiveBufferSize(32_768);
            peer.connect(listener.getLocalSocketAddress());
            InetSocketAddress peerAddress = (InetSocketAddress) peer.getLocalSocketAddress();
            try (Socket accepted = listener.accept()) {
                accepted.getOutputStream().write(bytes);
                SendQueues queues = SendQueues.read(listener.getLocalPort());
                assertThat(queues.isPortListed()).isTrue();
                assertThat(queues.unacknowledgedBytes(peerAddress).orElse(0)).isBetween(800_000L, 1_000_000L);
                assertThat(peer.getInputStream().readNBytes(bytes.length)).hasSize(bytes.length);
                while (SendQueues.read(listener.getLocalPort())
                                .unacknowledgedBytes(peerAddress)
                                .orElse(1)
                        > 0) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    /** Guards against a table that cannot be read for a moment and is taken for a system that lists no sockets. */
    @Test
    void unreadableTableIsAFailureAndAMissingOneIsEmpty(@TempDir Path directory) throws IOException {
        assertThatThrownBy(() -> SendQueues.read(List.of(directory), 1)).isInstanceOf(IOException.class);
        assertThat(SendQueues.read(List.of(directory.resolve("missing")), 1).isPortListed())
                .isFalse();
    }
}
