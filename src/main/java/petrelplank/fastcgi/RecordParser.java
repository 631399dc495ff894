package petrelplank.fastcgi;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import petrelplank.fastcgi.ProtocolViolationException.Violation;

/**
 * Parses FastCGI records from input that may be fragmented at any point. The content of a stream (PARAMS, STDIN and the
 * like) is passed on as it arrives, as one record for each fragment, which means the same in the protocol; an empty
 * record still ends the stream. Other records are short and passed on whole. So the parser holds little memory, however
 * long the records are.
 */
final class RecordParser {
    /** Maximum length of a record that does not belong to a stream, in bytes. */
    static final int MAX_CONTROL_CONTENT_BYTES = 4_096;

    private static final byte[] EMPTY_CONTENT = new byte[0];
    // Offsets of the fields in a header. The request id and the content length take two bytes.
    private static final int VERSION_OFFSET = 0;

    private static final int TYPE_OFFSET = 1;
    private static final int ID_OFFSET = 2;
    private static final int CONTENT_LENGTH_OFFSET = 4;
    private static final int PADDING_LENGTH_OFFSET = 6;

    private final byte[] header = new byte[FastCgiRecord.HEADER_LENGTH];
    private int headerBytesRead;
    /** The content of the current record, if it is passed on whole. */
    private byte[] content = EMPTY_CONTENT;

    private int contentBytesRead;
    private int contentLength;
    private int paddingBytesLeft;

    /**
     * Parses bytes and passes on each record, or fragment of a stream, that they complete.
     *
     * @param input the bytes; all are consumed
     * @param records receives each record
     * @throws ProtocolViolationException if a header has an unsupported version or announces too long a record; the
     *     connection must not be read any further
     */
    void feed(ByteBuffer input, Consumer<FastCgiRecord> records) {
        while (input.hasRemaining()) {
            if (headerBytesRead < header.length && !readHeader(input)) {
                return;
            }
            if (isStream()) {
                readFragment(input, records);
            } else {
                readWholeContent(input);
            }
            if (skipPadding(input)) {
                endRecord(records);
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
        contentLength = readUnsignedShort(CONTENT_LENGTH_OFFSET);
        contentBytesRead = 0;
        paddingBytesLeft = header[PADDING_LENGTH_OFFSET] & 0xff;
        if (!isStream()) {
            if (contentLength > MAX_CONTROL_CONTENT_BYTES) {
                throw new ProtocolViolationException(Violation.CONTROL_RECORD_TOO_LONG, contentLength);
            }
            content = contentLength == 0 ? EMPTY_CONTENT : new byte[contentLength];
        }
        return true;
    }

    private boolean isStream() {
        return FastCgiRecord.isStream(type()) && id() != FastCgiRecord.NULL_REQUEST_ID;
    }

    private void readFragment(ByteBuffer input, Consumer<FastCgiRecord> records) {
        int count = Math.min(input.remaining(), contentLength - contentBytesRead);
        if (count > 0) {
            byte[] fragment = new byte[count];
            input.get(fragment);
            contentBytesRead += count;
            records.accept(new FastCgiRecord(type(), id(), fragment));
        }
    }

    private void readWholeContent(ByteBuffer input) {
        int count = Math.min(input.remaining(), contentLength - contentBytesRead);
        input.get(content, contentBytesRead, count);
        contentBytesRead += count;
    }

    /** Skips the available padding; returns true once content and padding are complete. */
    private boolean skipPadding(ByteBuffer input) {
        int skipped = Math.min(input.remaining(), paddingBytesLeft);
        input.position(input.position() + skipped);
        paddingBytesLeft -= skipped;
        return contentBytesRead == contentLength && paddingBytesLeft == 0;
    }

    private void endRecord(Consumer<FastCgiRecord> records) {
        byte[] complete = content;
        content = EMPTY_CONTENT;
        headerBytesRead = 0;
        if (!isStream() || contentLength == 0) {
            records.accept(new FastCgiRecord(type(), id(), complete));
        }
    }

    private int type() {
        return header[TYPE_OFFSET] & 0xff;
    }

    private int id() {
        return readUnsignedShort(ID_OFFSET);
    }

    private int readUnsignedShort(int offset) {
        return (header[offset] & 0xff) << 8 | header[offset + 1] & 0xff;
    }
}
