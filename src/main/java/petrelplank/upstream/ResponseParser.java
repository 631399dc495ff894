package petrelplank.upstream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.upstream.MalformedResponseException.Reason;

/**
 * Parses the bytes received on one connection into responses. A response is a header line, a body of the length given
 * in the header, and CR LF. The bytes may be fragmented at any position, and the lengths of the header line and of the
 * body are limited. Not thread-safe.
 */
final class ResponseParser {
    static final int MAX_HEADER_LINE_BYTES = 4096;
    static final int MAX_BODY_BYTES = 240_000;
    private static final byte[] BODY_TERMINATOR = {'\r', '\n'};

    /** The part of a response that the next byte belongs to. */
    private enum Part {
        HEADER,
        BODY,
        BODY_TERMINATOR
    }

    private final List<String> loadFieldNames;
    private final ResponseMemory memory;
    private Part part = Part.HEADER;
    private final byte[] headerLine = new byte[MAX_HEADER_LINE_BYTES];
    private int headerLineLength;
    private ResponseHeader header;
    /** Null while the header is read. */
    private ResponseBody body;

    private int terminatorBytesRead;

    /**
     * Creates a parser for a new connection.
     *
     * @param loadFieldNames names of the values in a load report, in the order in which responses return them
     * @param memory bounds the memory of the responses on all connections
     */
    ResponseParser(List<String> loadFieldNames, ResponseMemory memory) {
        this.loadFieldNames = loadFieldNames;
        this.memory = memory;
    }

    /**
     * Parses received bytes and passes on every response that they complete.
     *
     * @param input the received bytes; all of them are consumed
     * @param responses called with each complete response
     * @throws MalformedResponseException if the bytes are not a valid response; the connection can't be used any more
     */
    void feed(ByteBuffer input, Consumer<UpstreamResponse> responses) {
        while (input.hasRemaining()) {
            switch (part) {
                case HEADER -> readHeader(input);
                case BODY -> readBody(input);
                case BODY_TERMINATOR -> readTerminator(input.get(), responses);
            }
        }
    }

    /** Returns whether a response was received in part. */
    boolean isInsideResponse() {
        return part != Part.HEADER || headerLineLength > 0;
    }

    /** Gives up a partly received response, after the connection was closed. */
    void close() {
        if (body != null) {
            body.giveUp();
            body = null;
        }
    }

    private void readHeader(ByteBuffer input) {
        while (input.hasRemaining()) {
            byte next = input.get();
            if (next == '\n') {
                endHeader();
                return;
            }
            if (headerLineLength == MAX_HEADER_LINE_BYTES) {
                throw new MalformedResponseException(Reason.LINE_TOO_LONG);
            }
            headerLine[headerLineLength++] = next;
        }
    }

    private void endHeader() {
        if (headerLineLength == 0 || headerLine[headerLineLength - 1] != '\r') {
            throw new MalformedResponseException(Reason.LINE_WITHOUT_CR);
        }
        String text = new String(headerLine, 0, headerLineLength - 1, StandardCharsets.ISO_8859_1);
        headerLineLength = 0;
        header = ResponseHeader.decode(text, loadFieldNames);
        body = new ResponseBody(header.bodyLength(), memory);
        terminatorBytesRead = 0;
        part = body.isComplete() ? Part.BODY_TERMINATOR : Part.BODY;
    }

    private void readBody(ByteBuffer input) {
        body.read(input);
        if (body.isComplete()) {
            part = Part.BODY_TERMINATOR;
        }
    }

    private void readTerminator(byte next, Consumer<UpstreamResponse> responses) {
        if (next != BODY_TERMINATOR[terminatorBytesRead]) {
            throw new MalformedResponseException(Reason.BODY_NOT_TERMINATED);
        }
        terminatorBytesRead++;
        if (terminatorBytesRead == BODY_TERMINATOR.length) {
            UpstreamResponse response = header.withBody(body.bytes());
            header = null;
            body = null;
            part = Part.HEADER;
            responses.accept(response);
        }
    }
}
