package petrelplank.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A loopback relay between two processes that injects faults by a timeline, when a connection is made and while bytes
 * pass: it resets connections, cuts them (holds them open and passes nothing), delays each chunk, or drops chunks at
 * random from a seed. A test tool: two threads a connection, one for each direction.
 */
final class FaultRelay implements AutoCloseable {
    private static final int BACKLOG = 200;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int CHUNK_BYTES = 8192;

    /** What the relay does to connections for a time. */
    enum Fault {
        NONE,
        RESET,
        CUT,
        DELAY,
        LOSE
    }

    /** From {@code fromMs} until {@code toMs}, a fault; {@code amount} is the delay in ms or the fraction dropped. */
    record Span(long fromMs, long toMs, Fault fault, double amount) {
        private static final Span WITHOUT_FAULT = new Span(0, Long.MAX_VALUE, Fault.NONE, 0);

        private boolean contains(long atMs) {
            return atMs >= fromMs && atMs < toMs;
        }
    }

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile List<Span> timeline;
    private volatile long startNs = System.nanoTime();
    private volatile boolean closed;

    FaultRelay(InetSocketAddress target, List<Span> timeline, long seed) throws IOException {
        this.target = target;
        this.timeline = List.copyOf(timeline);
        this.random = new SplittableRandom(seed);
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Plays another timeline, counted from now. */
    void play(List<Span> next) {
        startNs = System.nanoTime();
        timeline = List.copyOf(next);
    }

    /** Where the processes on this side connect. */
    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Connections accepted, whatever became of them. */
    int accepted() {
        return accepted.get();
    }

    private Span activeSpan() {
        long nowMs = (System.nanoTime() - startNs) / 1_000_000;
        for (Span span : timeline) {
            if (span.contains(nowMs)) {
                return span;
            }
        }
        return Span.WITHOUT_FAULT;
    }

    private void accept() {
        try {
            while (!closed) {
                Socket client = listener.accept();
                accepted.incrementAndGet();
                if (activeSpan().fault() == Fault.RESET) {
                    reset(client);
                } else {
                    connect(client);
                }
            }
        } catch (IOException e) {
            // closed: the test is over
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        try {
            server.connect(target, CONNECT_TIMEOUT_MS);
        } catch (IOException e) {
            reset(client);
            return;
        }
        startDaemon(() -> relay(client, server));
        startDaemon(() -> relay(server, client));
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }

    private void relay(Socket from, Socket to) {
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            boolean endedByFault = relayToEnd(in, out);
            if (endedByFault) {
                // Before the streams are closed, which would end the connections in good order.
                reset(from);
                reset(to);
            }
        } catch (IOException e) {
            // one side was reset: the other follows
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        reset(from);
        reset(to);
    }

    /** Passes chunks on until the sender ends, or a fault resets the connection; whether it was the fault. */
    private boolean relayToEnd(InputStream in, OutputStream out) throws IOException, InterruptedException {
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int count = in.read(chunk); count >= 0; count = in.read(chunk)) {
            Span span = activeSpan();
            if (span.fault() == Fault.RESET) {
                return true;
            }
            if (passes(span)) {
                out.write(chunk, 0, count);
                out.flush();
            }
        }
        return false;
    }

    /** Whether a chunk is passed on under a fault; takes the time of a delay. */
    private boolean passes(Span span) throws InterruptedException {
        switch (span.fault()) {
            case CUT -> {
                return false;
            }
            case LOSE -> {
                synchronized (random) {
                    return random.nextDouble() >= span.amount();
                }
            }
            case DELAY -> {
                Thread.sleep((long) span.amount());
                return true;
            }
            default -> {
                return true;
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
