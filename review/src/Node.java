import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A cache, a parent or the origin on a loopback address, with the line protocol of the page PROTOCOL. */
final class Node implements AutoCloseable {
    /** One fetch that has arrived whole. */
    static final class Fetch {
        final String id;
        final Map<String, String> fields = new ConcurrentHashMap<>();
        final long arrivedMs = System.currentTimeMillis();
        final Peer peer;
        byte[] body;
        volatile boolean aborted;

        Fetch(String id, Peer peer) {
            this.id = id;
            this.peer = peer;
        }

        long number(String name) {
            return Long.parseLong(fields.getOrDefault(name, "0"));
        }
    }

    /** What a node does with a fetch; runs in the connection's thread. */
    interface Handler {
        void handle(Fetch fetch) throws IOException;
    }

    /** One connection. */
    final class Peer {
        final Socket socket;
        final Map<String, Fetch> open = new ConcurrentHashMap<>();

        Peer(Socket socket) {
            this.socket = socket;
        }

        void answer(String id, String word, String fields, byte[] body) throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes((id + " " + word + " " + fields + " " + body.length + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(body);
            out.writeBytes(new byte[] {13, 10});
            open.remove(id);
            synchronized (socket) {
                socket.getOutputStream().write(out.toByteArray());
            }
        }
    }

    final String id;
    final String zone;
    final String kind;
    final ServerSocket server;
    final List<Fetch> fetches = new CopyOnWriteArrayList<>();
    final Set<Peer> peers = ConcurrentHashMap.newKeySet();
    volatile Handler handler;

    Node(String id, String zone, String kind) throws IOException {
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        start("accept-" + id, this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** The entry of this node in the coordinator's list. */
    String entry(String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + Proxy.text(address()) + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":10,\"startedAtMs\":0}";
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Peer peer = new Peer(socket);
                peers.add(peer);
                start("serve-" + id, () -> serve(peer));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Peer peer) {
        try (Socket socket = peer.socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String line = line(input);
            while (line != null) {
                handle(peer, line.split(" "), input);
                line = line(input);
            }
        } catch (IOException e) {
            // the front has left
        } finally {
            peers.remove(peer);
        }
    }

    private void handle(Peer peer, String[] words, InputStream input) throws IOException {
        switch (words[0]) {
            case "fetch" -> {
                Fetch fetch = new Fetch(words[1], peer);
                for (String field : words[2].split(",")) {
                    int at = field.indexOf('=');
                    if (at > 0) {
                        fetch.fields.put(field.substring(0, at), field.substring(at + 1));
                    }
                }
                fetch.body = input.readNBytes(Integer.parseInt(words[3]));
                input.readNBytes(2);
                peer.open.put(fetch.id, fetch);
                fetches.add(fetch);
                handler.handle(fetch);
            }
            case "abort" -> {
                Fetch fetch = peer.open.remove(words[1]);
                if (fetch != null) {
                    fetch.aborted = true;
                }
            }
            case "alive", "stats" -> peer.answer(words[1], "READY", "-", new byte[0]);
            default -> throw new IOException("unreadable command");
        }
    }

    static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = input.read();
        }
        if (next < 0) {
            return null;
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Peer peer : peers) {
            peer.socket.close();
        }
    }
}
