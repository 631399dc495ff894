package petrelplank.fastcgi;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import petrelplank.proxy.ClientRequest;
import petrelplank.proxy.ClientResponse;
import petrelplank.proxy.EventLoop;

/** One connection; records are read in its I/O thread, answers are written from the event thread. */
final class FastCgiConnection implements RequestAssembler.Listener {
    enum State {
        OPEN,
        LEAVING,
        CLOSED
    }

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
    /** How long the client may take to close a connection whose sending side was shut down. */
    private static final long LINGER_US = 1_000_000;
    /** Bytes of a request at its limits; a body in small records takes up to as many again for their headers. */
    private static final long LONGEST_REQUEST = 2L * (RequestAssembler.LONGEST_PARAMS + RequestAssembler.LONGEST_BODY);

    private static final String HEALTH = "/_health";

    private final FastCgiAcceptor owner;
    private final EventLoop loop;
    private final IoSession session;
    private final RecordParser parser = new RecordParser();
    private final RequestAssembler assembler;
    final Map<Integer, FastCgiResponseChannel> open = new ConcurrentHashMap<>();
    /** Answers between being taken off {@link #open} and standing among the bytes to write. */
    final AtomicInteger writing = new AtomicInteger();
    /** When it last brought a request whole, or took the last answer it was owed; its start before that. */
    volatile long quietUs;
    /** Whether anything came in whole yet. */
    private volatile boolean used;
    /** Since when a request is coming in; 0 while none is. */
    private volatile long halfSinceUs;

    private final long madeInTurn;
    final AtomicReference<State> state = new AtomicReference<>(State.OPEN);
    /** Why it was last asked to leave; since when it was quiet when first asked, and the bytes read in all then. */
    volatile boolean forRoom;

    private volatile long askedQuietUs;
    private volatile long askedReadBytes;

    /** Nothing that still comes is read as a request: what came before it made no record. Of the I/O thread. */
    private boolean unreadable;
    /** When the sending side was shut down; 0 before. Written by the I/O thread. */
    private volatile long shutdownUs;

    FastCgiConnection(FastCgiAcceptor owner, IoSession session) {
        this.owner = owner;
        this.session = session;
        this.loop = owner.loop;
        this.assembler = new RequestAssembler(this, owner.held, owner.memory / HELD_PART);
        this.quietUs = loop.clock();
        this.madeInTurn = owner.acceptor.turns();
    }

    /** Nothing is owed and nothing unsent, so that it may be closed. */
    boolean unused() {
        // In this order: an answer that is taken off and not yet written counts as being written before.
        return open.isEmpty() && writing.get() == 0 && session.getScheduledWriteBytes() == 0;
    }

    /** It may make room: it is unused, and would have brought a first request by now. */
    boolean spare(long now) {
        // In this order: a first request that comes in meanwhile is open before it counts as brought.
        return (used || now - quietUs > FIRST_US && owner.acceptor.turns() > madeInTurn + 1) && unused();
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
        owner.leaving.incrementAndGet();
        if (!state.compareAndSet(State.OPEN, State.LEAVING)) {
            owner.leaving.decrementAndGet();
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
        owner.acceptor.closeIfIdle(session, () -> unused() && quietUs == quiet && halfSinceUs == half, () -> {
            if (state.compareAndSet(State.LEAVING, State.OPEN)) {
                owner.leaving.decrementAndGet();
            }
        });
    }

    void received(IoBuffer bytes) {
        if (unreadable || shutdownUs > 0) {
            return;
        }
        try {
            parser.feed(bytes.buf(), assembler::take);
            if (!parser.inside() && !assembler.inside()) {
                halfSinceUs = 0;
            } else if (halfSinceUs == 0) {
                halfSinceUs = loop.clock();
            }
        } catch (MalformedException e) {
            unreadable = true;
            finish();
            loop.post(() -> owner.faults.malformed(e.getMessage()));
        }
    }

    /** Closes it behind the answers that are still owed on it, without a reset that would take them along. */
    void finish() {
        owner.acceptor.shutdownOutput(session, () -> {
            if (unused()) {
                shutdownUs = loop.clock();
            }
            return shutdownUs > 0;
        });
    }

    /** Whether its client has not closed it in good time after its sending side was shut down. */
    boolean lingers(long now) {
        return shutdownUs > 0 && now - shutdownUs > LINGER_US;
    }

    void closeNow() {
        session.closeNow();
    }

    void answered(int bytes) {
        owner.held.addAndGet(-bytes);
        quietUs = loop.clock();
    }

    void closed() {
        assembler.close();
        open.keySet().forEach(this::abort);
    }

    @Override
    public void request(int id, boolean keep, Map<String, String> params, byte[] body) {
        FastCgiResponseChannel channel =
                new FastCgiResponseChannel(this, id, keep, params.getOrDefault("HTTP_X_REQUEST_ID", ""), body.length);
        // Guards memory against clients that open hundreds of requests with large bodies.
        owner.held.addAndGet(body.length);
        open.put(id, channel);
        used = true;
        quietUs = loop.clock();
        String script = params.getOrDefault("SCRIPT_NAME", "");
        if (script.equals(HEALTH)) {
            channel.answer(owner.ready ? ClientResponse.of(ClientResponse.Kind.SERVED) : ClientResponse.refused(0));
            return;
        }
        ClientRequest asked = owner.decoder.decode(params, body);
        if (asked == null) {
            channel.answer(ClientResponse.of(ClientResponse.Kind.BAD_REQUEST));
            return;
        }
        long arrivedUs = owner.acceptor.unreadSinceUs();
        loop.post(() -> owner.front.handle(asked, channel, arrivedUs));
    }

    @Override
    public void abort(int id) {
        FastCgiResponseChannel channel = open.remove(id);
        if (channel != null) {
            owner.held.addAndGet(-channel.bytes);
            loop.post(() -> owner.front.clientDisconnected(channel.requestId, channel));
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
        write(RecordEncoder.end(id, status));
        if (!keep) {
            finish();
        }
    }

    @Override
    public void management(FastCgiRecord record) {
        write(ManagementRecords.reply(record, owner.share.capacity()));
    }

    void write(byte[] bytes) {
        // Guards memory against a client that asks on and does not read.
        long unread = session.getScheduledWriteBytes();
        if (unread > MOST_UNREAD
                || unread > SHARE_OF_UNREAD && owner.acceptor.getScheduledWriteBytes() > owner.memory / UNREAD_PART) {
            session.closeNow();
            loop.post(owner.faults::slow);
            return;
        }
        session.write(IoBuffer.wrap(bytes));
    }
}
