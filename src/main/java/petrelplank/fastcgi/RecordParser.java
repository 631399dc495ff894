package petrelplank.fastcgi;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import petrelplank.fastcgi.MalformedException.Violation;

/** Reads FastCGI records, however they were fragmented. The format itself limits each record to 64 KB. */
final class RecordParser {
    private static final byte[] EMPTY = new byte[0];
    /** Places of the fields in a header; ids and lengths are of two bytes. */
    private static final int VERSION_AT = 0;

    private static final int TYPE_AT = 1;
    private static final int ID_AT = 2;
    private static final int CONTENT_LENGTH_AT = 4;
    private static final int PADDING_LENGTH_AT = 6;

    private final byte[] header = new byte[FastCgiRecord.HEADER_LENGTH];
    private int headerRead;
    /** Null until the header is complete. */
    private byte[] content;

    private int contentRead;
    private int paddingLeft;

    /**
     * Consumes the bytes and hands on each complete record.
     *
     * @param input the bytes; all are consumed
     * @param records gets each record that ended
     * @throws MalformedException where a header is not FastCGI; the connection can't be read further
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

    /** Whether a record has begun and not ended. */
    boolean isInsideRecord() {
        return headerRead > 0;
    }

    /** Reads on in the header; true once it is complete. */
    private boolean readHeader(ByteBuffer input) {
        int count = Math.min(input.remaining(), header.length - headerRead);
        input.get(header, headerRead, count);
        headerRead += count;
        if (headerRead < header.length) {
            return false;
        }
        if (header[VERSION_AT] != FastCgiRecord.VERSION) {
            throw new MalformedException(Violation.UNSUPPORTED_VERSION, header[VERSION_AT]);
        }
        int length = unsignedShort(CONTENT_LENGTH_AT);
        content = length == 0 ? EMPTY : new byte[length];
        contentRead = 0;
        paddingLeft = header[PADDING_LENGTH_AT] & 0xff;
        return true;
    }

    /** Reads on in the content and skips padding; true once both are complete. */
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
