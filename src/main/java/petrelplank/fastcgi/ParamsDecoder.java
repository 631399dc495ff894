package petrelplank.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import petrelplank.fastcgi.MalformedException.Violation;

/** Decodes FastCGI name-value pairs: two lengths of one or four bytes each, the name, the value. */
final class ParamsDecoder {
    /** Set in the first byte of a length of four bytes. */
    private static final int LONG_LENGTH_FLAG = 0x80;

    private final byte[] bytes;
    private int position;

    private ParamsDecoder(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * The pairs in their order; of pairs with one name, the last value.
     *
     * @throws MalformedException where the bytes end inside a pair
     */
    static Map<String, String> decode(byte[] bytes) {
        return new ParamsDecoder(bytes).pairs();
    }

    /** Appends one pair whose name and value are shorter than 128 bytes. */
    static void append(ByteArrayOutputStream pairs, String name, String value) {
        pairs.write(name.length());
        pairs.write(value.length());
        pairs.writeBytes((name + value).getBytes(StandardCharsets.ISO_8859_1));
    }

    private Map<String, String> pairs() {
        Map<String, String> pairs = new LinkedHashMap<>();
        while (position < bytes.length) {
            int nameLength = length();
            int valueLength = length();
            if ((long) nameLength + valueLength > bytes.length - position) {
                throw new MalformedException(Violation.TRUNCATED_VALUE);
            }
            String name = text(nameLength);
            pairs.put(name, text(valueLength));
        }
        return pairs;
    }

    private int length() {
        if (position >= bytes.length) {
            throw new MalformedException(Violation.TRUNCATED_LENGTH);
        }
        int first = unsignedByte();
        if (first < LONG_LENGTH_FLAG) {
            return first;
        }
        if (position + 3 > bytes.length) {
            throw new MalformedException(Violation.TRUNCATED_LENGTH);
        }
        int highest = first & ~LONG_LENGTH_FLAG;
        return highest << 24 | unsignedByte() << 16 | unsignedByte() << 8 | unsignedByte();
    }

    private int unsignedByte() {
        return bytes[position++] & 0xff;
    }

    private String text(int length) {
        String text = new String(bytes, position, length, StandardCharsets.ISO_8859_1);
        position += length;
        return text;
    }
}
