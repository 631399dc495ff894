package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import petrelplank.fastcgi.FastCgiRecord.ProtocolStatus;
import petrelplank.proxy.ClientResponse;

/** Encodes responses and single records in the FastCGI format. */
final class RecordEncoder {
    /** Largest multiple of 8 that a record's content length may be, so that records stay aligned. */
    private static final int MAX_CONTENT_LENGTH = 65_528;
    /** Initial space for record headers and the END_REQUEST record; the buffer grows if this is not enough. */
    private static final int INITIAL_RECORD_OVERHEAD = 64;

    private static final int INITIAL_HEADERS_LENGTH = 128;
    /** Offset in the content of END_REQUEST, after the four bytes of the application status. */
    private static final int PROTOCOL_STATUS_OFFSET = 4;

    private RecordEncoder() {}

    /** Encodes a complete response: CGI headers and body as the STDOUT stream, its end, and END_REQUEST. */
    static byte[] encodeResponse(int id, ClientResponse response) {
        byte[] headers = cgiHeaders(response).getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = response.body();
        RecordBuffer buffer = new RecordBuffer(headers.length + body.length + INITIAL_RECORD_OVERHEAD);
        int firstLength = Math.min(body.length, MAX_CONTENT_LENGTH - headers.length);
        buffer.writeHeader(FastCgiRecord.STDOUT, id, headers.length + firstLength);
        buffer.write(headers, 0, headers.length);
        buffer.write(body, 0, firstLength);
        for (int offset = firstLength; offset < body.length; offset += MAX_CONTENT_LENGTH) {
            int length = Math.min(MAX_CONTENT_LENGTH, body.length - offset);
            buffer.writeHeader(FastCgiRecord.STDOUT, id, length);
            buffer.write(body, offset, length);
        }
        buffer.writeHeader(FastCgiRecord.STDOUT, id, 0);
        buffer.writeEndRequest(id, ProtocolStatus.REQUEST_COMPLETE);
        return buffer.toByteArray();
    }

    private static String cgiHeaders(ClientResponse response) {
        StringBuilder headers = new StringBuilder(INITIAL_HEADERS_LENGTH)
                .append(
                        switch (response.kind()) {
                            case SERVED, NOT_MODIFIED -> "Status: 200 OK\r\n";
                            case REJECTED -> "Status: 503 Service Unavailable\r\n";
                            case FAILED -> "Status: 504 Gateway Timeout\r\n";
                            case BAD_REQUEST -> "Status: 400 Bad Request\r\n";
                        });
        if (response.kind() == ClientResponse.Kind.NOT_MODIFIED) {
            headers.append("X-Still: 1\r\n");
        }
        if (response.retryAfterMs() > 0) {
            headers.append("Retry-After-Ms: ").append(response.retryAfterMs()).append("\r\n");
        }
        return headers.append("Content-Type: application/octet-stream\r\nContent-Length: ")
                .append(response.body().length)
                .append("\r\n\r\n")
                .toString();
    }

    /** Encodes only an END_REQUEST record, for a request that was rejected before it was received completely. */
    static byte[] encodeEndRequest(int id, ProtocolStatus status) {
        RecordBuffer buffer = new RecordBuffer(FastCgiRecord.HEADER_LENGTH + FastCgiRecord.FIXED_BODY_LENGTH);
        buffer.writeEndRequest(id, status);
        return buffer.toByteArray();
    }

    /** Encodes one record of any type, without padding. */
    static byte[] encodeRecord(int type, int id, byte[] content) {
        RecordBuffer buffer = new RecordBuffer(FastCgiRecord.HEADER_LENGTH + content.length);
        buffer.writeHeader(type, id, content.length);
        buffer.write(content, 0, content.length);
        return buffer.toByteArray();
    }

    private static final class RecordBuffer extends ByteArrayOutputStream {
        RecordBuffer(int size) {
            super(size);
        }

        void writeHeader(int type, int id, int contentLength) {
            write(FastCgiRecord.VERSION);
            write(type);
            writeShort(id);
            writeShort(contentLength);
            write(0); // padding length
            write(0); // reserved
        }

        void writeEndRequest(int id, ProtocolStatus status) {
            writeHeader(FastCgiRecord.END_REQUEST, id, FastCgiRecord.FIXED_BODY_LENGTH);
            for (int i = 0; i < FastCgiRecord.FIXED_BODY_LENGTH; i++) {
                write(i == PROTOCOL_STATUS_OFFSET ? status.code() : 0);
            }
        }

        private void writeShort(int value) {
            write(value >> 8);
            write(value);
        }
    }
}
