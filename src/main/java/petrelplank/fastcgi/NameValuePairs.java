package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import petrelplank.fastcgi.ProtocolViolationException.Violation;

/**
 * Decodes and encodes FastCGI name-value pairs. Each pair consists of the lengths of its name and value, of one or four
 * bytes each, followed by the name and the value.
 */
final class NameValuePairs {
    /** Flag in the first byte of a length that takes four bytes. */
    private static final int LONG_LENGTH_FLAG = 0x80;

    private final byte[] bytes;
    private int position;

    private NameValuePairs(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Decodes pairs, in their order. If a name occurs more than once, its last value is returned.
     *
     * @throws ProtocolViolationException if the bytes end in the middle of a pair
     */
    static Map<String, String> decode(byte[] bytes) {
        return new NameValuePairs(bytes).decodePairs();
    }

    /** Appends one pair; name and value must be shorter than 128 bytes each. */
    static void append(ByteArrayOutputStream pairs, String name, String value) {
        pairs.write(name.length());
        pairs.write(value.length());
        pairs.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
    }

    private Map<String, String> decodePairs() {
        Map<String, String> pairs = new LinkedHashMap<>();
        while (position < bytes.length) {
            int nameLength = readLength();
            int valueLength = readLength();
            if ((long) nameLength + valueLength > bytes.length - position) {
                throw new ProtocolViolationException(Violation.TRUNCATED_VALUE);
            }
            String name = readText(nameLength);
            pairs.put(name, readText(valueLength));
        }
        return pairs;
    }

    private int readLength() {
        if (position >= bytes.length) {
            throw new ProtocolViolationException(Violation.TRUNCATED_LENGTH);
        }
        int firstByte = readUnsignedByte();
        if (firstByte < LONG_LENGTH_FLAG) {
            return firstByte;
        }
        if (position + 3 > bytes.length) {
            throw new ProtocolViolationException(Violation.TRUNCATED_LENGTH);
        }
        int highestByte = firstByte & ~LONG_LENGTH_FLAG;
        return highestByte << 24 | readUnsignedByte() << 16 | readUnsignedByte() << 8 | readUnsignedByte();
    }

    private int readUnsignedByte() {
        return bytes[position++] & 0xff;
    }

    private String readText(int length) {
        String text = new String(bytes, position, length, StandardCharsets.ISO_8859_1);
        position += length;
        return text;
    }
}
