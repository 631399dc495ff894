package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import petrelplank.fastcgi.FastCgiRecord.ProtocolStatus;
import petrelplank.fastcgi.MalformedException.Violation;

/** Assembles the records of one connection to requests; I/O thread only. */
final class RequestAssembler {
    static final int MAX_PARAMS_BYTES = 16_384;
    static final int MAX_BODY_BYTES = 262_144;
    /** Requests on one connection, being received or not yet answered. */
    static final int MAX_OPEN_REQUESTS = 32;

    /** Gets what is complete. */
    interface Listener {
        /** A request was received completely. */
        void request(int id, boolean keepConnection, Map<String, String> params, byte[] body);

        /** A client stopped waiting for a request. */
        void abort(int id);

        /** The connection's own records: GET_VALUES and unknown types. */
        void management(FastCgiRecord record);

        /** A request is ended with a protocol status, before it was read. */
        void rejected(int id, ProtocolStatus status, boolean keepConnection);

        /** Whether a request with this id has not been answered yet. */
        boolean isOpen(int id);

        /** Requests not answered yet. */
        int openRequests();
    }

    /** A request that is being received. */
    private static final class PartialRequest {
        private static final int INITIAL_PARAMS_BYTES = 512;

        private final boolean keepConnection;
        private boolean paramsComplete;
        private final ByteArrayOutputStream params = new ByteArrayOutputStream(INITIAL_PARAMS_BYTES);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

        PartialRequest(boolean keepConnection) {
            this.keepConnection = keepConnection;
        }

        int size() {
            return params.size() + body.size();
        }
    }

    private final Listener listener;
    /** Bytes of requests of all connections. */
    private final AtomicLong totalBytes;

    private final long maxTotalBytes;
    private long partialBytes;
    private final Map<Integer, PartialRequest> partialRequests = new HashMap<>();

    /**
     * An assembler for one connection.
     *
     * @param listener gets what is complete
     * @param totalBytes bytes of requests of all connections; partial requests are counted in
     * @param maxTotalBytes new requests are rejected while {@code totalBytes} is above it
     */
    RequestAssembler(Listener listener, AtomicLong totalBytes, long maxTotalBytes) {
        this.listener = listener;
        this.totalBytes = totalBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** The connection was closed: partial requests are dropped. */
    void close() {
        partialRequests.clear();
        count(-partialBytes);
    }

    /** Whether a request has begun and not ended. */
    boolean isInsideRequest() {
        return !partialRequests.isEmpty();
    }

    /**
     * Takes the connection's next record.
     *
     * @throws MalformedException where it violates the protocol; the connection can't be used further
     */
    void accept(FastCgiRecord record) {
        if (record.isManagement()) {
            listener.management(record);
            return;
        }
        switch (record.type()) {
            case FastCgiRecord.BEGIN_REQUEST -> begin(record);
            case FastCgiRecord.ABORT_REQUEST -> {
                remove(record.id());
                listener.abort(record.id());
            }
            case FastCgiRecord.PARAMS -> params(record);
            case FastCgiRecord.STDIN -> stdin(record);
            default -> {
                // Other streams have no meaning for a responder.
            }
        }
    }

    private void begin(FastCgiRecord record) {
        byte[] body = record.content();
        if (body.length != FastCgiRecord.FIXED_BODY_LENGTH) {
            throw new MalformedException(Violation.INVALID_BEGIN_REQUEST, body.length);
        }
        int id = record.id();
        if (partialRequests.containsKey(id) || listener.isOpen(id)) {
            throw new MalformedException(Violation.DUPLICATE_REQUEST_ID);
        }
        int role = (body[0] & 0xff) << 8 | body[1] & 0xff;
        boolean keepConnection = (body[2] & FastCgiRecord.FLAG_KEEP_CONNECTION) != 0;
        if (role != FastCgiRecord.ROLE_RESPONDER) {
            listener.rejected(id, ProtocolStatus.UNKNOWN_ROLE, keepConnection);
        } else if (isOverloaded()) {
            listener.rejected(id, ProtocolStatus.OVERLOADED, keepConnection);
        } else {
            partialRequests.put(id, new PartialRequest(keepConnection));
        }
    }

    private boolean isOverloaded() {
        return partialRequests.size() + listener.openRequests() >= MAX_OPEN_REQUESTS
                || totalBytes.get() > maxTotalBytes;
    }

    private void params(FastCgiRecord record) {
        PartialRequest request = partialRequests.get(record.id());
        if (request == null) {
            return;
        }
        if (request.paramsComplete) {
            throw new MalformedException(Violation.PARAMS_AFTER_END);
        }
        request.paramsComplete = record.isEmpty();
        append(request.params, record.content(), MAX_PARAMS_BYTES);
    }

    private void stdin(FastCgiRecord record) {
        PartialRequest request = partialRequests.get(record.id());
        if (request == null) {
            return;
        }
        append(request.body, record.content(), MAX_BODY_BYTES);
        if (!record.isEmpty()) {
            return;
        }
        if (!request.paramsComplete) {
            throw new MalformedException(Violation.STDIN_BEFORE_PARAMS_END);
        }
        remove(record.id());
        listener.request(
                record.id(),
                request.keepConnection,
                ParamsDecoder.decode(request.params.toByteArray()),
                request.body.toByteArray());
    }

    private void append(ByteArrayOutputStream stream, byte[] bytes, int maxBytes) {
        if (stream.size() + bytes.length > maxBytes) {
            throw new MalformedException(Violation.STREAM_TOO_LONG, maxBytes);
        }
        stream.write(bytes, 0, bytes.length);
        count(bytes.length);
    }

    private void remove(int id) {
        PartialRequest request = partialRequests.remove(id);
        if (request != null) {
            count(-request.size());
        }
    }

    private void count(long bytes) {
        partialBytes += bytes;
        totalBytes.addAndGet(bytes);
    }
}
