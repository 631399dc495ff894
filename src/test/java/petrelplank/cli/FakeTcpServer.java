package petrelplank.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server for tests: listens on loopback at a free port and serves each connection in a thread of its own. */
abstract class FakeTcpServer implements AutoCloseable {
    private final ServerSocket listener;
    /** Whether {@link #close} was called. */
    protected volatile boolean closed;

    FakeTcpServer(String name) throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept, name);
    }

    /** The port it listens at. */
    final int port() {
        return listener.getLocalPort();
    }

    /** Called with each connection that is accepted, before it is served. */
    void accepted() {}

    /** Serves one connection until it ends, in its own thread. */
    abstract void serve(Socket connection);

    private static void startDaemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket connection = listener.accept();
                accepted();
                startDaemon(() -> serve(connection), "fake-server-connection");
            } catch (IOException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
