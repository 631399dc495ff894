package petrelplank.fastcgi;

import java.util.Map;
import java.util.regex.Pattern;
import petrelplank.proxy.ClientRequest;

/** Decodes client requests from the FastCGI parameters that a web server sends. Thread-safe. */
final class RequestDecoder {
    /** Name of the parameter with the requested path. */
    static final String SCRIPT_NAME = "SCRIPT_NAME";
    /** Name of the parameter with the client's request id. */
    static final String REQUEST_ID = "HTTP_X_REQUEST_ID";

    private static final String CONTENT_LENGTH = "CONTENT_LENGTH";
    private static final String TIMEOUT_MS = "HTTP_X_TIMEOUT_MS";
    private static final String OBJECT = "HTTP_X_OBJECT";
    private static final String PART = "HTTP_X_N";
    private static final String GROUP = "HTTP_X_SHARD";
    private static final String SIZE_KB = "HTTP_X_MEMORY_KB";
    private static final String CLIENT_TAG = "HTTP_X_MINE";
    private static final String IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY";
    private static final String TENANT = "HTTP_X_TENANT";

    /** Path prefix that is followed by the name of the service class. */
    private static final String SCRIPT_PREFIX = "/invoke/";
    /** Numbers with up to nine digits fit into 32 bits, so that calculations with them do not overflow. */
    private static final int MAX_DIGITS = 9;
    /** Upper limit of sizes, in KB as the client sends them; no part of an object is this large. */
    private static final double MAX_SIZE_KB = 1e9;
    /** A decimal number without sign or exponent. */
    private static final Pattern SIZE_PATTERN = Pattern.compile("[0-9]{1,10}(\\.[0-9]{0,10})?");

    private static final String WEAK_TAG_PREFIX = "W/";
    private static final long US_PER_MS = 1000;

    private final double sizeScale;

    /**
     * Creates a decoder.
     *
     * @param sizeScale factor from sizes as the client sends them to bytes on the sockets; greater than 0
     */
    RequestDecoder(double sizeScale) {
        if (!(sizeScale > 0)) {
            throw new IllegalArgumentException("size scale: should be greater than 0, found " + sizeScale);
        }
        this.sizeScale = sizeScale;
    }

    /**
     * Decodes a request from its parameters and body.
     *
     * @throws InvalidRequestException if a parameter is missing or invalid
     */
    ClientRequest decode(Map<String, String> params, byte[] body) {
        String script = params.getOrDefault(SCRIPT_NAME, "");
        if (!script.startsWith(SCRIPT_PREFIX)) {
            throw new InvalidRequestException(SCRIPT_NAME, script, "a path that starts with " + SCRIPT_PREFIX);
        }
        checkContentLength(params, body.length);
        return new ClientRequest(
                params.getOrDefault(REQUEST_ID, ""),
                parseNumber(params, TIMEOUT_MS) * US_PER_MS,
                script.substring(SCRIPT_PREFIX.length()),
                params.getOrDefault(OBJECT, ""),
                parseNumber(params, PART),
                parseNumber(params, GROUP),
                parseSizeKb(params),
                unquoteTag(params.get(CLIENT_TAG)),
                params.get(IDEMPOTENCY_KEY),
                params.get(TENANT),
                body);
    }

    private static void checkContentLength(Map<String, String> params, int bodyLength) {
        String text = params.getOrDefault(CONTENT_LENGTH, "");
        if (!text.isEmpty() && parseNumber(params, CONTENT_LENGTH) != bodyLength) {
            throw new InvalidRequestException(CONTENT_LENGTH, text, "the length of the body in bytes, " + bodyLength);
        }
    }

    private static int parseNumber(Map<String, String> params, String name) {
        String text = params.getOrDefault(name, "");
        if (text.isEmpty() || text.length() > MAX_DIGITS || !text.chars().allMatch(RequestDecoder::isDigit)) {
            throw new InvalidRequestException(name, text, "a whole number of 1 to " + MAX_DIGITS + " digits");
        }
        return Integer.parseInt(text);
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    /** Returns the size in KB on the sockets; 0 if the client sent none. */
    private double parseSizeKb(Map<String, String> params) {
        String text = params.getOrDefault(SIZE_KB, "");
        if (text.isEmpty()) {
            return 0;
        }
        if (!SIZE_PATTERN.matcher(text).matches() || Double.parseDouble(text) > MAX_SIZE_KB) {
            throw new InvalidRequestException(SIZE_KB, text, "a decimal number of KB, at most " + MAX_SIZE_KB);
        }
        return Double.parseDouble(text) * sizeScale;
    }

    /** Removes the weak prefix and the quotes from an HTTP entity tag; returns null if there is no tag. */
    private static String unquoteTag(String tag) {
        if (tag == null || tag.isEmpty()) {
            return null;
        }
        String withoutPrefix = tag.startsWith(WEAK_TAG_PREFIX) ? tag.substring(WEAK_TAG_PREFIX.length()) : tag;
        return withoutPrefix.length() > 2 && withoutPrefix.startsWith("\"") && withoutPrefix.endsWith("\"")
                ? withoutPrefix.substring(1, withoutPrefix.length() - 1)
                : withoutPrefix;
    }
}
