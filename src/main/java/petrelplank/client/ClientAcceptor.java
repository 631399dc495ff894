package petrelplank.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Logger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import petrelplank.front.Answer;
import petrelplank.front.Caller;
import petrelplank.front.ClientRequest;
import petrelplank.front.EventLoop;
import petrelplank.front.Front;
import petrelplank.socket.BoundedAcceptor;
import petrelplank.socket.Share;

/** The clients' side: FastCGI responder on MINA. Requests are posted to the event thread, answers come from it. */
public final class ClientAcceptor {
    private static final Logger LOG = Logger.getLogger(ClientAcceptor.class.getName());
    /** Unread bytes of answers at which a connection is given up: its client does not read. */
    private static final long MOST_UNREAD = 32L * 262_144;
    /** Unread bytes of all clients together, above which one with a share of them is given up: part of memory. */
    private static final int UNREAD_PART = 6;
    private static final long SHARE_OF_UNREAD = 1 << 20;
    /** Bytes of requests that are coming in or open, over all connections: part of memory. */
    private static final int HELD_PART = 8;
    /** A connection that brings nothing whole in this time, or leaves a request half sent, is closed. */
    static final long SILENT_US = 2_000_000;
    /** A new connection's first request may still lie in the machine; it is not closed to make room before this. */
    private static final long FIRST_US = SILENT_US / 8;
    /** Clients close idle connections after 4 s; those that never do are closed after this. */
    static final long IDLE_US = 5_000_000;
    /** Bad clients send at full speed: a line for each would cost CPU and memory that good ones need. */
    private static final int LOGGED_ONE_IN = 250;
    private static final long SWEEP_US = 250_000;
    /** Bytes of a request at its limits; a body in small records takes up to as many again for their headers. */
    private static final long LONGEST_REQUEST = 2L * (Assembler.LONGEST_PARAMS + Assembler.LONGEST_BODY);
    private static final int MOST_DIGITS = 9;
    private static final String HEALTH = "/_health";
    private static final String INVOKE = "/invoke/";

    private final EventLoop loop;
    private final Front front;
    private final BoundedAcceptor acceptor;
    private final Share share;
    /** Asked to leave, and neither closed yet nor kept since something lay unread on them. */
    private final AtomicInteger leaving = new AtomicInteger();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final long memory;
    private final AtomicLong held = new AtomicLong();
    private volatile boolean ready;
    private long malformed;
    private long slow;
    private long crowded;
    private long silent;

    /**
     * The clients' side.
     *
     * @param loop the event thread
     * @param front takes the requests
     * @param acceptor accepts connections; its handler is set here
     * @param share the descriptors that connections may hold
     * @param memory bytes that the process may hold
     */
    public ClientAcceptor(EventLoop loop, Front front, BoundedAcceptor acceptor, Share share, long memory) {
        this.loop = loop;
        this.front = front;
        this.acceptor = acceptor;
        this.share = share;
        this.memory = memory;
        acceptor.setHandler(new Handler());
        acceptor.whenCrowded(this::makeRoom);
    }

    /**
     * Starts to listen.
     *
     * @param address on this address only
     * @throws IOException where it can't be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        acceptor.bind(address);
        loop.post(this::sweep);
    }

    /** Guards descriptors and memory against clients that say nothing, stop half way or keep what they don't use. */
    private void sweep() {
        long now = loop.now();
        for (Connection c : connections) {
            if (c.expired(now)) {
                c.leave(false);
            }
        }
        loop.at(now + SWEEP_US, this::sweep);
    }

    /**
     * Guards good clients against those that keep connections: where places run short, those that have been quiet
     * longest make room. Where all are owed an answer, newcomers wait in the machine's queue until one has it.
     * Called in the accepting thread.
     */
    private void makeRoom() {
        long now = loop.clock();
        while (share.free() + leaving.get() <= acceptor.reserve()) {
            Connection longest = null;
            for (Connection c : connections) {
                if (c.state.get() == State.OPEN && c.spare(now) && (longest == null || c.quietUs < longest.quietUs)) {
                    longest = c;
                }
            }
            if (longest == null) {
                return;
            }
            longest.leave(true);
        }
    }

    /** Event thread. */
    private void left(boolean forRoom) {
        if (!forRoom) {
            silent++;
        } else if (++crowded % LOGGED_ONE_IN == 1) {
            LOG.warning("near " + share.most() + " client connections, the quietest closed, " + crowded + " so far");
        }
    }

    /**
     * Sets the answer to health requests.
     *
     * @param now whether the front serves
     */
    public void ready(boolean now) {
        ready = now;
    }

    /** Takes no further connections. */
    public void stopListening() {
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind();
    }

    /**
     * What went wrong on the clients' side, in one line.
     *
     * @return the counts
     */
    public String counts() {
        return "client connections " + connections.size() + ", malformed " + malformed + ", slow " + slow
            + ", over the limit " + crowded + ", silent or idle " + silent;
    }

    private final class Handler extends IoHandlerAdapter {
        @Override
        public void sessionCreated(IoSession session) {
            Connection added = new Connection(session);
            session.setAttribute(Connection.class, added);
            connections.add(added);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            ((Connection) session.getAttribute(Connection.class)).received((IoBuffer) message);
        }

        @Override
        public void sessionClosed(IoSession session) {
            Connection closed = (Connection) session.getAttribute(Connection.class);
            connections.remove(closed);
            if (closed.state.getAndSet(State.CLOSED) == State.LEAVING) {
                leaving.decrementAndGet();
                loop.post(() -> left(closed.forRoom));
            }
            closed.closed();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    private enum State { OPEN, LEAVING, CLOSED }

    /** One connection; records are read in its I/O thread, answers are written from the event thread. */
    private final class Connection implements Assembler.Listener {
        private final IoSession session;
        private final RecordParser parser = new RecordParser();
        private final Assembler assembler = new Assembler(this, held, memory / HELD_PART);
        private final Map<Integer, Asker> open = new ConcurrentHashMap<>();
        /** Answers between being taken off {@link #open} and standing among the bytes to write. */
        private final AtomicInteger writing = new AtomicInteger();
        /** When it last brought a request whole, or took the last answer it was owed; its start before that. */
        private volatile long quietUs = loop.clock();
        /** Whether anything came in whole yet. */
        private volatile boolean used;
        /** Since when a request is coming in; 0 while none is. */
        private volatile long halfSinceUs;
        private final long madeInTurn = acceptor.turns();
        private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
        /** Why it was last asked to leave; since when it was quiet when first asked, and the bytes read in all then. */
        private volatile boolean forRoom;
        private volatile long askedQuietUs;
        private volatile long askedReadBytes;

        Connection(IoSession session) {
            this.session = session;
        }

        /** Nothing is owed and nothing unsent, so that it may be closed. */
        boolean unused() {
            // In this order: an answer that is taken off and not yet written counts as being written before.
            return open.isEmpty() && writing.get() == 0 && session.getScheduledWriteBytes() == 0;
        }

        /** It may make room: it is unused, and would have brought a first request by now. */
        boolean spare(long now) {
            // In this order: a first request that comes in meanwhile is open before it counts as brought.
            return (used || now - quietUs > FIRST_US && acceptor.turns() > madeInTurn + 1) && unused();
        }

        boolean expired(long now) {
            long half = halfSinceUs;
            boolean idle = half > 0 && used ? now - half > SILENT_US : now - quietUs > (used ? IDLE_US : SILENT_US);
            return unused() && idle;
        }

        /**
         * Closes it, unless something lies unread on it when the I/O thread looks, or a request came. Where more was
         * read since it was first asked than a request can hold, and nothing whole came of it, it is junk: then it is
         * closed whatever lies unread. Less may be a long request, which takes several reads.
         */
        void leave(boolean toMakeRoom) {
            // Counted first: the I/O thread may be closing it for a reason of its own.
            leaving.incrementAndGet();
            if (!state.compareAndSet(State.OPEN, State.LEAVING)) {
                leaving.decrementAndGet();
                return;
            }
            forRoom = toMakeRoom;
            long quiet = quietUs;
            long half = halfSinceUs;
            long read = session.getReadBytes();
            if (quiet != askedQuietUs) {
                askedQuietUs = quiet;
                askedReadBytes = read;
            } else if (read - askedReadBytes > LONGEST_REQUEST) {
                session.closeNow();
                return;
            }
            acceptor.closeSpare(session, () -> unused() && quietUs == quiet && halfSinceUs == half, () -> {
                if (state.compareAndSet(State.LEAVING, State.OPEN)) {
                    leaving.decrementAndGet();
                }
            });
        }

        void received(IoBuffer bytes) {
            try {
                parser.feed(bytes.buf(), assembler::take);
                if (!parser.inside() && !assembler.inside()) {
                    halfSinceUs = 0;
                } else if (halfSinceUs == 0) {
                    halfSinceUs = loop.clock();
                }
            } catch (MalformedException e) {
                session.closeNow();
                loop.post(() -> {
                    malformed++;
                    if (malformed % LOGGED_ONE_IN == 1) {
                        LOG.warning("malformed record from a client, connection closed: " + e.getMessage() + ", "
                            + malformed + " so far");
                    }
                });
            }
        }

        void answered(int bytes) {
            held.addAndGet(-bytes);
            quietUs = loop.clock();
        }

        void closed() {
            assembler.close();
            open.keySet().forEach(this::abort);
        }

        @Override
        public void request(int id, boolean keep, Map<String, String> params, byte[] body) {
            Asker asker = new Asker(this, id, keep, params.getOrDefault("HTTP_X_REQUEST_ID", ""), body.length);
            // Guards memory against clients that open hundreds of requests with large bodies.
            held.addAndGet(body.length);
            open.put(id, asker);
            used = true;
            quietUs = loop.clock();
            String script = params.getOrDefault("SCRIPT_NAME", "");
            if (script.equals(HEALTH)) {
                asker.answer(ready ? Answer.of(Answer.Kind.SERVED) : Answer.refused(0));
                return;
            }
            ClientRequest asked = decode(params, body);
            if (asked == null) {
                asker.answer(Answer.of(Answer.Kind.BAD_REQUEST));
                return;
            }
            long arrivedUs = acceptor.unreadSinceUs();
            loop.post(() -> front.take(asked, asker, arrivedUs));
        }

        @Override
        public void abort(int id) {
            Asker asker = open.remove(id);
            if (asker != null) {
                held.addAndGet(-asker.bytes);
                loop.post(() -> front.left(asker.requestId, asker));
            }
        }

        @Override
        public boolean open(int id) {
            return open.containsKey(id);
        }

        @Override
        public int owed() {
            return open.size();
        }

        @Override
        public void declined(int id, int status, boolean keep) {
            write(RecordEncoder.end(id, status), keep);
        }

        @Override
        public void management(Record record) {
            if (record.type() == Record.GET_VALUES) {
                write(RecordEncoder.record(Record.GET_VALUES_RESULT, 0, values(record)), true);
            } else {
                write(RecordEncoder.record(Record.UNKNOWN_TYPE, 0,
                    new byte[] {(byte) record.type(), 0, 0, 0, 0, 0, 0, 0}), true);
            }
        }

        private byte[] values(Record record) {
            Map<String, String> known = Map.of("FCGI_MAX_CONNS", Integer.toString(share.most()), "FCGI_MAX_REQS",
                Integer.toString(share.most() * Assembler.MOST_OPEN), "FCGI_MPXS_CONNS", "1");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (String name : Params.decode(record.content()).keySet()) {
                if (known.containsKey(name)) {
                    out.write(name.length());
                    out.write(known.get(name).length());
                    out.writeBytes((name + known.get(name)).getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            return out.toByteArray();
        }

        void write(byte[] bytes, boolean keep) {
            // Guards memory against a client that asks on and does not read.
            long unread = session.getScheduledWriteBytes();
            if (unread > MOST_UNREAD
                || unread > SHARE_OF_UNREAD && acceptor.getScheduledWriteBytes() > memory / UNREAD_PART) {
                session.closeNow();
                loop.post(() -> {
                    slow++;
                    if (slow % LOGGED_ONE_IN == 1) {
                        LOG.warning("a client does not read, connection closed, " + slow + " so far");
                    }
                });
                return;
            }
            session.write(IoBuffer.wrap(bytes));
            if (!keep) {
                session.closeOnFlush();
            }
        }
    }

    /** The request that the parameters make; null where they make none. */
    static ClientRequest decode(Map<String, String> params, byte[] body) {
        String script = params.getOrDefault("SCRIPT_NAME", "");
        try {
            String length = params.getOrDefault("CONTENT_LENGTH", "");
            if (!script.startsWith(INVOKE) || !length.isEmpty() && number(length) != body.length) {
                return null;
            }
            return new ClientRequest(params.getOrDefault("HTTP_X_REQUEST_ID", ""),
                number(params.getOrDefault("HTTP_X_TIMEOUT_MS", "")) * 1000L, script.substring(INVOKE.length()),
                params.getOrDefault("HTTP_X_OBJECT", ""), number(params.getOrDefault("HTTP_X_N", "")),
                number(params.getOrDefault("HTTP_X_SHARD", "")), bare(params.get("HTTP_X_MINE")),
                params.get("HTTP_IDEMPOTENCY_KEY"), body);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** A figure that no arithmetic here overflows: digits alone, and no more than a number of 32 bits has for sure. */
    private static int number(String text) {
        if (text.isEmpty() || text.length() > MOST_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new NumberFormatException(text);
        }
        return Integer.parseInt(text);
    }

    /** A tag without the marks that HTTP puts round it; null where there is none. */
    private static String bare(String tag) {
        if (tag == null || tag.isEmpty()) {
            return null;
        }
        String strong = tag.startsWith("W/") ? tag.substring(2) : tag;
        return strong.length() > 2 && strong.startsWith("\"") && strong.endsWith("\"")
            ? strong.substring(1, strong.length() - 1) : strong;
    }

    /** One request's way back. */
    private static final class Asker implements Caller {
        private final Connection connection;
        private final int id;
        private final boolean keep;
        private final String requestId;
        private final int bytes;

        Asker(Connection connection, int id, boolean keep, String requestId, int bytes) {
            this.connection = connection;
            this.id = id;
            this.keep = keep;
            this.requestId = requestId;
            this.bytes = bytes;
        }

        /** Whoever takes the id off the connection first, an answer or an abort, has the last word. */
        @Override
        public void answer(Answer answer) {
            connection.writing.incrementAndGet();
            if (connection.open.remove(id, this)) {
                connection.answered(bytes);
                connection.write(RecordEncoder.answer(id, answer), keep);
            }
            connection.writing.decrementAndGet();
        }
    }
}
