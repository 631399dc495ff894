package petrelplank.fastcgi;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** FastCGI name-value pairs. */
final class ParamsDecoder {
    private ParamsDecoder() {}

    static Map<String, String> decode(byte[] bytes) {
        Map<String, String> pairs = new LinkedHashMap<>();
        int at = 0;
        while (at < bytes.length) {
            int[] lengths = new int[2];
            for (int i = 0; i < 2; i++) {
                if (at >= bytes.length) {
                    throw new MalformedException("parameters end inside a length");
                }
                int first = bytes[at++] & 0xff;
                if (first >= 0x80) {
                    if (at + 3 > bytes.length) {
                        throw new MalformedException("parameters end inside a length");
                    }
                    first = (first & 0x7f) << 24
                            | (bytes[at] & 0xff) << 16
                            | (bytes[at + 1] & 0xff) << 8
                            | bytes[at + 2] & 0xff;
                    at += 3;
                }
                lengths[i] = first;
            }
            if ((long) lengths[0] + lengths[1] > bytes.length - at) {
                throw new MalformedException("parameters end inside a value");
            }
            String name = new String(bytes, at, lengths[0], StandardCharsets.ISO_8859_1);
            pairs.put(name, new String(bytes, at + lengths[0], lengths[1], StandardCharsets.ISO_8859_1));
            at += lengths[0] + lengths[1];
        }
        return pairs;
    }
}
