package petrelplank.fastcgi;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import petrelplank.fastcgi.ProtocolViolationException.Violation;

/**
 * Parses FastCGI records from input that may be fragmented at any point. It needs no limit on the length of a record:
 * the format allows at most 64 KB of content.
 */
final class RecordParser {
    private static final byte[] EMPTY = new byte[0];
    /** Offsets of the fields in a header. The request id and the content length take two bytes. */
    private static final int VERSION_AT = 0;

    private static final int TYPE_AT = 1;
    private static final int ID_AT = 2;
    private static final int CONTENT_LENGTH_AT = 4;
    private static final int PADDING_LENGTH_AT = 6;

    private final byte[] header = new byte[FastCgiRecord.HEADER_LENGTH];
    private int headerRead;
    /** The content of the current record; null until its header is complete. */
    private byte[] content;

    private int contentRead;
    private int paddingLeft;

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
                headerRead = 0;
                records.accept(new FastCgiRecord(header[TYPE_AT] & 0xff, unsignedShort(ID_AT), complete));
            }
        }
    }

    /** Whether the input so far ends in the middle of a record. */
    boolean isInsideRecord() {
        return headerRead > 0;
    }

    /** Reads as much of the header as is available; returns true once it is complete. */
    private boolean readHeader(ByteBuffer input) {
        int count = Math.min(input.remaining(), header.length - headerRead);
        input.get(header, headerRead, count);
        headerRead += count;
        if (headerRead < header.length) {
            return false;
        }
        if (header[VERSION_AT] != FastCgiRecord.VERSION) {
            throw new ProtocolViolationException(Violation.UNSUPPORTED_VERSION, header[VERSION_AT]);
        }
        int length = unsignedShort(CONTENT_LENGTH_AT);
        content = length == 0 ? EMPTY : new byte[length];
        contentRead = 0;
        paddingLeft = header[PADDING_LENGTH_AT] & 0xff;
        return true;
    }

    /** Reads the available content and skips padding; returns true once both are complete. */
    private boolean readContent(ByteBuffer input) {
        int count = Math.min(input.remaining(), content.length - contentRead);
        input.get(content, contentRead, count);
        contentRead += count;
        int skipped = Math.min(input.remaining(), paddingLeft);
        input.position(input.position() + skipped);
        paddingLeft -= skipped;
        return contentRead == content.length && paddingLeft == 0;
    }

    private int unsignedShort(int at) {
        return (header[at] & 0xff) << 8 | header[at + 1] & 0xff;
    }
}
