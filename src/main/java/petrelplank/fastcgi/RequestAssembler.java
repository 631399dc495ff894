package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
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
        /**
         * Called when a request has been received completely.
         *
         * @param heldBytes memory that the request holds until it is forgotten; the assembler counts it no longer
         */
        void onRequest(int id, boolean keepConnection, Map<String, String> params, byte[] body, int heldBytes);

        /** Called when the client aborts a request. */
        void onAbort(int id);

        /** Called for a management record (request id 0): GET_VALUES or an unknown type. */
        void onManagementRecord(FastCgiRecord record);

        /** Called when a request is rejected before it is complete, with the protocol status to send. */
        void onRejected(int id, ProtocolStatus status, boolean keepConnection);

        /** Whether a request with this id has not been answered yet. */
        boolean isRequestOpen(int id);

        /** Returns the number of requests that have not been answered yet. */
        int openRequestCount();
    }

    private final Listener listener;
    private final RequestMemory memory;
    private final Map<Integer, PartialRequest> partialRequests = new HashMap<>();

    /**
     * Creates an assembler for one connection; {@link #close} must be called when the connection is closed.
     *
     * @param listener receives complete requests and the other events
     * @param memory bounds the memory of the requests of all connections
     */
    RequestAssembler(Listener listener, RequestMemory memory) {
        this.listener = listener;
        this.memory = memory;
    }

    /** Discards partial requests, after the connection was closed or its input has become unusable. */
    void close() {
        partialRequests.values().forEach(memory::ended);
        partialRequests.clear();
    }

    /** Rejects a partial request, with a status that lets the client repeat it. */
    private void reject(int id, PartialRequest request) {
        if (partialRequests.get(id) == request) {
            removePartialRequest(id);
            listener.onRejected(id, ProtocolStatus.OVERLOADED, request.keepsConnection());
        }
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
        } else if (hasTooManyRequests()) {
            listener.onRejected(id, ProtocolStatus.OVERLOADED, keepConnection);
        } else {
            PartialRequest request = new PartialRequest(keepConnection, rejected -> reject(id, rejected));
            partialRequests.put(id, request);
            memory.begun(request);
        }
    }

    private boolean hasTooManyRequests() {
        return partialRequests.size() + listener.openRequestCount() >= MAX_OPEN_REQUESTS;
    }

    private void appendParams(FastCgiRecord record) {
        PartialRequest request = partialRequests.get(record.id());
        if (request == null) {
            return;
        }
        if (request.isParamsComplete()) {
            throw new ProtocolViolationException(Violation.PARAMS_AFTER_END);
        }
        if (record.isEmpty()) {
            request.endParams();
            return;
        }
        append(request, request.params(), record.content(), MAX_PARAMS_BYTES);
    }

    private void appendStdin(FastCgiRecord record) {
        PartialRequest request = partialRequests.get(record.id());
        if (request == null) {
            return;
        }
        if (!record.isEmpty()) {
            append(request, request.body(), record.content(), MAX_BODY_BYTES);
        } else if (request.isParamsComplete()) {
            complete(record.id(), request);
        } else {
            throw new ProtocolViolationException(Violation.STDIN_BEFORE_PARAMS_END);
        }
    }

    private void complete(int id, PartialRequest request) {
        removePartialRequest(id);
        listener.onRequest(
                id,
                request.keepsConnection(),
                request.decodeParams(),
                request.body().toByteArray(),
                request.heldBytesWhenComplete());
    }

    private void append(PartialRequest request, ByteArrayOutputStream stream, byte[] bytes, int maxBytes) {
        if (stream.size() + bytes.length > maxBytes) {
            throw new ProtocolViolationException(Violation.STREAM_TOO_LONG, maxBytes);
        }
        long heldBefore = request.heldBytes();
        long bodyBefore = request.bodyHolder().heldBytes();
        stream.write(bytes, 0, bytes.length);
        memory.grown(
                request, request.heldBytes() - heldBefore, request.bodyHolder().heldBytes() - bodyBefore);
    }

    private void removePartialRequest(int id) {
        PartialRequest request = partialRequests.remove(id);
        if (request != null) {
            memory.ended(request);
        }
    }
}
