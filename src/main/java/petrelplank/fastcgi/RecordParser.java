package petrelplank.fastcgi;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import petrelplank.fastcgi.ProtocolViolationException.Violation;

/**
 * Parses FastCGI records from input that may be fragmented at any point. It needs no limit on the length of a record:
 * the format allows at most 64 KB of content.
 */
final class RecordParser {
    private static final byte[] EMPTY_CONTENT = new byte[0];
    // Offsets of the fields in a header. The request id and the content length take two bytes.
    private static final int VERSION_OFFSET = 0;

    private static final int TYPE_OFFSET = 1;
    private static final int ID_OFFSET = 2;
    private static final int CONTENT_LENGTH_OFFSET = 4;
    private static final int PADDING_LENGTH_OFFSET = 6;

    private final byte[] header = new byte[FastCgiRecord.HEADER_LENGTH];
    private int headerBytesRead;
    /** The content of the current record; null until its header is complete. */
    private byte[] content;

    private int contentBytesRead;
    private int paddingBytesLeft;

    /**
     * Parses bytes and passes on each record that they complete.
     *
     * @param input the bytes; all are consumed
     * @param records receives each complete record
     * @throws ProtocolViolationException if a header has an unsupported version; the connection must not be read
     *     any further
     */
    void feed(ByteBuffer input, Consumer<FastCgiRecord> records) {
        while (input.hasRemaining()) {
            if (content == null && !readHeader(input)) {
                return;
            }
            if (readContent(input)) {
                byte[] complete = content;
                content = null;
                headerBytesRead = 0;
                records.accept(new FastCgiRecord(header[TYPE_OFFSET] & 0xff, readUnsignedShort(ID_OFFSET), complete));
            }
        }
    }

    /** Whether the input so far ends in the middle of a record. */
    boolean isInsideRecord() {
        return headerBytesRead > 0;
    }

    /** Reads as much of the header as is available; returns true once it is complete. */
    private boolean readHeader(ByteBuffer input) {
        int count = Math.min(input.remaining(), header.length - headerBytesRead);
        input.get(header, headerBytesRead, count);
        headerBytesRead += count;
        if (headerBytesRead < header.length) {
            return false;
        }
        if (header[VERSION_OFFSET] != FastCgiRecord.VERSION) {
            throw new ProtocolViolationException(Violation.UNSUPPORTED_VERSION, header[VERSION_OFFSET]);
        }
        int length = readUnsignedShort(CONTENT_LENGTH_OFFSET);
        content = length == 0 ? EMPTY_CONTENT : new byte[length];
        contentBytesRead = 0;
        paddingBytesLeft = header[PADDING_LENGTH_OFFSET] & 0xff;
        return true;
    }

    /** Reads the available content and skips padding; returns true once both are complete. */
    private boolean readContent(ByteBuffer input) {
        int count = Math.min(input.remaining(), content.length - contentBytesRead);
        input.get(content, contentBytesRead, count);
        contentBytesRead += count;
        int skipped = Math.min(input.remaining(), paddingBytesLeft);
        input.position(input.position() + skipped);
        paddingBytesLeft -= skipped;
        return contentBytesRead == content.length && paddingBytesLeft == 0;
    }

    private int readUnsignedShort(int offset) {
        return (header[offset] & 0xff) << 8 | header[offset + 1] & 0xff;
    }
}
