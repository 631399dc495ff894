package petrelplank.fastcgi;

import java.util.Map;
import petrelplank.proxy.ClientRequest;

/** Makes requests of a web server's parameters. Any thread. */
final class RequestDecoder {
    private static final int MOST_DIGITS = 9;
    /** A size that no part has, in KB as clients tell it; digits, at most one point among them. */
    private static final double MOST_KB = 1e9;

    private static final String SIZE = "[0-9]{1,10}(\\.[0-9]{0,10})?";
    private static final String INVOKE = "/invoke/";

    private final double sizeScale;

    RequestDecoder(double sizeScale) {
        if (!(sizeScale > 0)) {
            throw new IllegalArgumentException("size scale: should be above 0, found " + sizeScale);
        }
        this.sizeScale = sizeScale;
    }

    /** The request that the parameters make; null where they make none. */
    ClientRequest decode(Map<String, String> params, byte[] body) {
        String script = params.getOrDefault("SCRIPT_NAME", "");
        try {
            String length = params.getOrDefault("CONTENT_LENGTH", "");
            if (!script.startsWith(INVOKE) || !length.isEmpty() && number(length) != body.length) {
                return null;
            }
            return new ClientRequest(
                    params.getOrDefault("HTTP_X_REQUEST_ID", ""),
                    number(params.getOrDefault("HTTP_X_TIMEOUT_MS", "")) * 1000L,
                    script.substring(INVOKE.length()),
                    params.getOrDefault("HTTP_X_OBJECT", ""),
                    number(params.getOrDefault("HTTP_X_N", "")),
                    number(params.getOrDefault("HTTP_X_SHARD", "")),
                    size(params.getOrDefault("HTTP_X_MEMORY_KB", "")),
                    bare(params.get("HTTP_X_MINE")),
                    params.get("HTTP_IDEMPOTENCY_KEY"),
                    params.get("HTTP_X_TENANT"),
                    body);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** A figure that no arithmetic here overflows: digits alone, and no more than a number of 32 bits has for sure. */
    private static int number(String text) {
        if (text.isEmpty() || text.length() > MOST_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new NumberFormatException(text);
        }
        return Integer.parseInt(text);
    }

    /** KB on the sockets; 0 where none is told. */
    private double size(String text) {
        if (text.isEmpty()) {
            return 0;
        }
        if (!text.matches(SIZE) || Double.parseDouble(text) > MOST_KB) {
            throw new NumberFormatException(text);
        }
        return Double.parseDouble(text) * sizeScale;
    }

    /** A tag without the marks that HTTP puts round it; null where there is none. */
    private static String bare(String tag) {
        if (tag == null || tag.isEmpty()) {
            return null;
        }
        String strong = tag.startsWith("W/") ? tag.substring(2) : tag;
        return strong.length() > 2 && strong.startsWith("\"") && strong.endsWith("\"")
                ? strong.substring(1, strong.length() - 1)
                : strong;
    }
}
