import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** The coordinator: numbered events, one stream for each follower, and every second the last number. */
final class Coordinator implements AutoCloseable {
    final List<String> events;
    final ServerSocket server;
    final List<Socket> followers = new CopyOnWriteArrayList<>();
    private final Consumer<String> log;
    /** How long a follower waits in turn before it is served. */
    volatile long waitMs;

    Coordinator(List<String> events, Consumer<String> log) throws IOException {
        this.events = events;
        this.log = log;
        this.server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Adds an event, without its index. */
    static long add(List<String> events, String content) {
        synchronized (events) {
            events.add("{\"index\":" + (events.size() + 1) + "," + content + "}");
            events.notifyAll();
            return System.currentTimeMillis();
        }
    }

    static List<String> copy(List<String> events) {
        synchronized (events) {
            return new ArrayList<>(events);
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "coordinator");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            followers.add(socket);
            String line = Node.line(socket.getInputStream());
            if (line == null || !line.startsWith("follow ")) {
                return;
            }
            log.accept("coordinator: " + line + " came");
            Thread.sleep(waitMs);
            log.accept("coordinator: " + line + " is served after a wait of " + waitMs + " ms");
            start(() -> awaitClose(socket));
            stream(socket.getOutputStream(), Integer.parseInt(line.substring(7)));
        } catch (IOException e) {
            log.accept("coordinator: the follower has left (" + e.getMessage() + ")");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            followers.remove(socket);
        }
    }

    /** Notices at once that the follower has left. */
    private void awaitClose(Socket socket) {
        try {
            while (socket.getInputStream().read() >= 0) {}
        } catch (IOException e) {
            // it has left
        }
        followers.remove(socket);
    }

    private void stream(OutputStream output, int after) throws IOException, InterruptedException {
        int sent = after;
        long heartbeatAt = 0;
        while (true) {
            StringBuilder lines = new StringBuilder();
            synchronized (events) {
                long now = System.currentTimeMillis();
                if (sent >= events.size() && now < heartbeatAt) {
                    events.wait(heartbeatAt - now);
                }
                while (sent < events.size()) {
                    lines.append(events.get(sent++)).append('\n');
                }
                if (System.currentTimeMillis() >= heartbeatAt) {
                    lines.append(events.size()).append('\n');
                    heartbeatAt = System.currentTimeMillis() + 1000;
                }
            }
            output.write(lines.toString().getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : followers) {
            socket.close();
        }
    }
}
