package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Puts the records of one connection together to requests; I/O thread only. */
final class RequestAssembler {
    static final int LONGEST_PARAMS = 16_384;
    static final int LONGEST_BODY = 262_144;
    /** Requests on one connection, coming in or owed an answer. */
    static final int MOST_OPEN = 32;

    /** Hears of what is whole. */
    interface Listener {
        /** A request came in whole. */
        void request(int id, boolean keep, Map<String, String> params, byte[] body);

        /** A client stopped waiting for an id. */
        void abort(int id);

        /** The connection's own records: GET_VALUES and unknown types. */
        void management(FastCgiRecord record);

        /** A request that is ended with a protocol status, before it was taken. */
        void declined(int id, int status, boolean keep);

        /** Whether an answer is still owed for an id. */
        boolean open(int id);

        /** How many answers are owed. */
        int owed();
    }

    private static final class Coming {
        boolean keep;
        boolean paramsDone;
        final ByteArrayOutputStream params = new ByteArrayOutputStream(512);
        final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    }

    private final Listener listener;
    private final AtomicLong together;
    private final long mostTogether;
    private long mine;
    private final Map<Integer, Coming> coming = new HashMap<>();

    /** Counts its bytes into {@code together}, and turns requests away once that is over the limit. */
    RequestAssembler(Listener listener, AtomicLong together, long mostTogether) {
        this.listener = listener;
        this.together = together;
        this.mostTogether = mostTogether;
    }

    /** The connection is gone, and what came in by it. */
    void close() {
        coming.clear();
        count(-mine);
    }

    /** Whether a request has begun and not ended. */
    boolean inside() {
        return !coming.isEmpty();
    }

    private void count(long bytes) {
        mine += bytes;
        together.addAndGet(bytes);
    }

    private Coming drop(int id) {
        Coming c = coming.remove(id);
        if (c != null) {
            count(-c.params.size() - c.body.size());
        }
        return c;
    }

    void take(FastCgiRecord r) {
        if (r.id() == 0) {
            listener.management(r);
            return;
        }
        if (r.type() == FastCgiRecord.BEGIN_REQUEST) {
            begin(r);
            return;
        }
        if (r.type() == FastCgiRecord.ABORT_REQUEST) {
            drop(r.id());
            listener.abort(r.id());
            return;
        }
        Coming c = coming.get(r.id());
        if (c == null) {
            return;
        }
        if (r.type() == FastCgiRecord.PARAMS) {
            if (c.paramsDone) {
                throw new MalformedException("parameters after their end");
            }
            c.paramsDone = r.content().length == 0;
            append(c.params, r.content(), LONGEST_PARAMS);
        } else if (r.type() == FastCgiRecord.STDIN) {
            append(c.body, r.content(), LONGEST_BODY);
            if (r.content().length == 0) {
                if (!c.paramsDone) {
                    throw new MalformedException("a body before the end of the parameters");
                }
                drop(r.id());
                listener.request(r.id(), c.keep, ParamsDecoder.decode(c.params.toByteArray()), c.body.toByteArray());
            }
        }
    }

    private void begin(FastCgiRecord r) {
        byte[] b = r.content();
        if (b.length != 8) {
            throw new MalformedException("a BEGIN_REQUEST of " + b.length + " bytes");
        }
        if (coming.containsKey(r.id()) || listener.open(r.id())) {
            throw new MalformedException("a second BEGIN_REQUEST for an open id");
        }
        boolean keep = (b[2] & FastCgiRecord.KEEP_CONN) != 0;
        if (((b[0] & 0xff) << 8 | b[1] & 0xff) != FastCgiRecord.RESPONDER) {
            listener.declined(r.id(), FastCgiRecord.UNKNOWN_ROLE, keep);
        } else if (coming.size() + listener.owed() >= MOST_OPEN || together.get() > mostTogether) {
            listener.declined(r.id(), FastCgiRecord.OVERLOADED, keep);
        } else {
            Coming c = new Coming();
            c.keep = keep;
            coming.put(r.id(), c);
        }
    }

    private void append(ByteArrayOutputStream to, byte[] bytes, int most) {
        if (to.size() + bytes.length > most) {
            throw new MalformedException("a stream over " + most + " bytes");
        }
        to.write(bytes, 0, bytes.length);
        count(bytes.length);
    }
}
