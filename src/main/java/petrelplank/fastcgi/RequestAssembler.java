package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import petrelplank.fastcgi.FastCgiRecord.ProtocolStatus;
import petrelplank.fastcgi.ProtocolViolationException.Violation;

/** Assembles the FastCGI records of one connection into requests. Used by the I/O thread only. */
final class RequestAssembler {
    static final int MAX_PARAMS_BYTES = 16_384;
    static final int MAX_BODY_BYTES = 262_144;
    /** Maximum number of requests on one connection that are being received or not yet answered. */
    static final int MAX_OPEN_REQUESTS = 32;

    /** Receives complete requests and the other events of a connection. */
    interface Listener {
        /** Called when a request has been received completely. */
        void onRequest(int id, boolean keepConnection, Map<String, String> params, byte[] body);

        /** Called when the client aborts a request. */
        void onAbort(int id);

        /** Called for a management record (request id 0): GET_VALUES or an unknown type. */
        void onManagementRecord(FastCgiRecord record);

        /** Called when a request is rejected at its BEGIN_REQUEST record, with the protocol status to send. */
        void onRejected(int id, ProtocolStatus status, boolean keepConnection);

        /** Whether a request with this id has not been answered yet. */
        boolean isRequestOpen(int id);

        /** Returns the number of requests that have not been answered yet. */
        int openRequestCount();
    }

    /** A request that has not been received completely. */
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
    /** Bytes held by the requests of all connections. */
    private final AtomicLong totalBytes;

    private final long maxTotalBytes;
    /** Bytes held by the partial requests of this connection. */
    private long partialBytes;

    private final Map<Integer, PartialRequest> partialRequests = new HashMap<>();

    /**
     * Creates an assembler for one connection.
     *
     * @param listener receives complete requests and the other events
     * @param totalBytes bytes held by the requests of all connections; this assembler adds its partial requests
     * @param maxTotalBytes new requests are rejected while {@code totalBytes} exceeds this limit
     */
    RequestAssembler(Listener listener, AtomicLong totalBytes, long maxTotalBytes) {
        this.listener = listener;
        this.totalBytes = totalBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Discards partial requests after the connection was closed. */
    void close() {
        partialRequests.clear();
        addBytes(-partialBytes);
    }

    /** Whether any request has been started but not received completely. */
    boolean isInsideRequest() {
        return !partialRequests.isEmpty();
    }

    /**
     * Processes the next record of the connection.
     *
     * @throws ProtocolViolationException if the record violates the protocol; the connection must not be read any
     *     further
     */
    void accept(FastCgiRecord record) {
        if (record.isManagement()) {
            listener.onManagementRecord(record);
            return;
        }
        switch (record.type()) {
            case FastCgiRecord.BEGIN_REQUEST -> beginRequest(record);
            case FastCgiRecord.ABORT_REQUEST -> {
                removePartialRequest(record.id());
                listener.onAbort(record.id());
            }
            case FastCgiRecord.PARAMS -> appendParams(record);
            case FastCgiRecord.STDIN -> appendStdin(record);
            default -> {
                // Other record types, such as DATA, do not apply to a responder and are ignored.
            }
        }
    }

    private void beginRequest(FastCgiRecord record) {
        byte[] content = record.content();
        if (content.length != FastCgiRecord.FIXED_BODY_LENGTH) {
            throw new ProtocolViolationException(Violation.INVALID_BEGIN_REQUEST, content.length);
        }
        int id = record.id();
        if (partialRequests.containsKey(id) || listener.isRequestOpen(id)) {
            throw new ProtocolViolationException(Violation.DUPLICATE_REQUEST_ID);
        }
        int role = (content[0] & 0xff) << 8 | content[1] & 0xff;
        boolean keepConnection = (content[2] & FastCgiRecord.FLAG_KEEP_CONNECTION) != 0;
        if (role != FastCgiRecord.ROLE_RESPONDER) {
            listener.onRejected(id, ProtocolStatus.UNKNOWN_ROLE, keepConnection);
        } else if (isOverloaded()) {
            listener.onRejected(id, ProtocolStatus.OVERLOADED, keepConnection);
        } else {
            partialRequests.put(id, new PartialRequest(keepConnection));
        }
    }

    private boolean isOverloaded() {
        return partialRequests.size() + listener.openRequestCount() >= MAX_OPEN_REQUESTS
                || totalBytes.get() > maxTotalBytes;
    }

    private void appendParams(FastCgiRecord record) {
        PartialRequest request = partialRequests.get(record.id());
        if (request == null) {
            return;
        }
        if (request.paramsComplete) {
            throw new ProtocolViolationException(Violation.PARAMS_AFTER_END);
        }
        request.paramsComplete = record.isEmpty();
        append(request.params, record.content(), MAX_PARAMS_BYTES);
    }

    private void appendStdin(FastCgiRecord record) {
        PartialRequest request = partialRequests.get(record.id());
        if (request == null) {
            return;
        }
        append(request.body, record.content(), MAX_BODY_BYTES);
        if (!record.isEmpty()) {
            return;
        }
        if (!request.paramsComplete) {
            throw new ProtocolViolationException(Violation.STDIN_BEFORE_PARAMS_END);
        }
        removePartialRequest(record.id());
        listener.onRequest(
                record.id(),
                request.keepConnection,
                NameValuePairs.decode(request.params.toByteArray()),
                request.body.toByteArray());
    }

    private void append(ByteArrayOutputStream stream, byte[] bytes, int maxBytes) {
        if (stream.size() + bytes.length > maxBytes) {
            throw new ProtocolViolationException(Violation.STREAM_TOO_LONG, maxBytes);
        }
        stream.write(bytes, 0, bytes.length);
        addBytes(bytes.length);
    }

    private void removePartialRequest(int id) {
        PartialRequest request = partialRequests.remove(id);
        if (request != null) {
            addBytes(-request.size());
        }
    }

    private void addBytes(long bytes) {
        partialBytes += bytes;
        totalBytes.addAndGet(bytes);
    }
}
