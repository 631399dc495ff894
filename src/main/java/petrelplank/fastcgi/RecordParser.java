package petrelplank.fastcgi;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Reads FastCGI records, cut anywhere. The format itself limits each record to 64 KB. */
final class RecordParser {
    private static final byte[] NOTHING = new byte[0];

    private final byte[] header = new byte[8];
    private int headerLength;
    private byte[] content;
    private int contentLength;
    private int padding;

    /** Takes what has come and hands on every record that is whole; MalformedException ends the connection. */
    void feed(ByteBuffer in, Consumer<FastCgiRecord> records) {
        while (in.hasRemaining()) {
            if (content == null) {
                int count = Math.min(in.remaining(), header.length - headerLength);
                in.get(header, headerLength, count);
                headerLength += count;
                if (headerLength < header.length) {
                    return;
                }
                if (header[0] != 1) {
                    throw new MalformedException("version " + header[0]);
                }
                int length = word(4);
                content = length == 0 ? NOTHING : new byte[length];
                contentLength = 0;
                padding = header[6] & 0xff;
            }
            int count = Math.min(in.remaining(), content.length - contentLength);
            in.get(content, contentLength, count);
            contentLength += count;
            int skip = Math.min(in.remaining(), padding);
            in.position(in.position() + skip);
            padding -= skip;
            if (contentLength == content.length && padding == 0) {
                byte[] whole = content;
                content = null;
                headerLength = 0;
                records.accept(new FastCgiRecord(header[1] & 0xff, word(2), whole));
            }
        }
    }

    /** Whether a record has begun and not ended. */
    boolean inside() {
        return headerLength > 0;
    }

    private int word(int at) {
        return (header[at] & 0xff) << 8 | header[at + 1] & 0xff;
    }
}
