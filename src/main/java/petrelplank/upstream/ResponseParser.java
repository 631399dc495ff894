package petrelplank.upstream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.routing.AttemptStatus;
import petrelplank.routing.CacheStatus;

/** Reads answers of caches, parents and the origin, cut anywhere; every length has a limit. */
final class ResponseParser {
    static final int LONGEST_LINE = 4096;
    static final int LONGEST_BODY = 240_000;
    private static final byte[] NOTHING = new byte[0];
    private static final List<String> NOTES = List.of(
            "",
            "HIT",
            "MISS",
            "MISS_ORIGIN",
            "COLLAPSED",
            "STALE",
            "UP_BUSY",
            "UP_DOWN",
            "UP_MISS",
            "NO_FILL",
            "ORIGIN_ERR");

    private final List<String> loadFields;
    private final byte[] line = new byte[LONGEST_LINE];
    private int lineLength;
    private UpstreamResponse head;
    private byte[] body;
    private int bodyLength;
    /** Bytes of the CR LF behind a body that are still to come. */
    private int endLeft;

    ResponseParser(List<String> loadFields) {
        this.loadFields = loadFields;
    }

    /** Takes what has come and hands on every answer that is whole; MalformedException ends the connection. */
    void feed(ByteBuffer in, Consumer<UpstreamResponse> answers) {
        while (in.hasRemaining()) {
            if (body == null) {
                line(in);
            } else if (bodyLength < body.length) {
                int count = Math.min(in.remaining(), body.length - bodyLength);
                in.get(body, bodyLength, count);
                bodyLength += count;
            } else {
                if (in.get() != (endLeft == 2 ? '\r' : '\n')) {
                    throw new MalformedException("no CR LF behind the body");
                }
                if (--endLeft == 0) {
                    UpstreamResponse a = head;
                    byte[] bytes = body;
                    head = null;
                    body = null;
                    answers.accept(new UpstreamResponse(
                            a.id(),
                            a.status(),
                            a.notModified(),
                            a.tag(),
                            a.cacheStatus(),
                            a.sourceWaitUs(),
                            a.bornMs(),
                            a.load(),
                            bytes));
                }
            }
        }
    }

    /** Whether an answer has begun and not ended. */
    boolean inside() {
        return body != null || lineLength > 0;
    }

    private void line(ByteBuffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                if (lineLength == 0 || line[lineLength - 1] != '\r') {
                    throw new MalformedException("a line without CR");
                }
                String text = new String(line, 0, lineLength - 1, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                decode(text);
                return;
            }
            if (lineLength == LONGEST_LINE) {
                throw new MalformedException("a line over " + LONGEST_LINE + " bytes");
            }
            line[lineLength++] = b;
        }
    }

    private void decode(String text) {
        String[] words = text.split(" ", -1);
        if (words.length != 4 || words[0].isEmpty()) {
            throw new MalformedException("an answer of " + words.length + " words");
        }
        int length = (int) number(words[3], LONGEST_BODY);
        AttemptStatus status = switch (words[1]) {
            case "ACK", "NOMOD", "READY" -> AttemptStatus.OK;
            case "NOENT" -> AttemptStatus.MISS;
            case "AGAIN" -> AttemptStatus.REJECTED;
            case "EIO", "AILING" -> AttemptStatus.ERROR;
            case "STALE" -> AttemptStatus.NOT_SENT;
            default -> throw new MalformedException("an unknown answer");
        };
        String tag = null;
        CacheStatus note = CacheStatus.NONE;
        long waitedUs = 0;
        long bornMs = 0;
        double[] load = null;
        if (!words[2].equals("-")) {
            for (String field : words[2].split(",", -1)) {
                int equals = field.indexOf('=');
                if (equals < 0) {
                    throw new MalformedException("a field without a value");
                }
                String value = field.substring(equals + 1);
                switch (field.substring(0, equals)) {
                    case "tell" -> note = CacheStatus.values()[Math.max(0, NOTES.indexOf(value))];
                    case "ver" -> tag = value;
                    case "waited" -> waitedUs = (long) (decimal(value) * 1000);
                    case "born" -> bornMs = born(value);
                    case "meter" -> load = load(value);
                    default -> {}
                }
            }
        }
        head = new UpstreamResponse(
                words[0], status, words[1].equals("NOMOD"), tag, note, waitedUs, bornMs, load, NOTHING);
        body = length == 0 ? NOTHING : new byte[length];
        bodyLength = 0;
        endLeft = 2;
    }

    private double[] load(String meter) {
        double[] load = new double[loadFields.size()];
        for (String pair : meter.split(";")) {
            int colon = pair.indexOf(':');
            int at = colon < 0 ? -1 : loadFields.indexOf(pair.substring(0, colon));
            if (at >= 0) {
                load[at] = decimal(pair.substring(colon + 1));
            }
        }
        return load;
    }

    private static long number(String text, long most) {
        if (text.isEmpty()
                || text.length() > 9
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')
                || Long.parseLong(text) > most) {
            throw new MalformedException("a length that is no number up to " + most);
        }
        return Long.parseLong(text);
    }

    /** Only records use it: what is no time is not told, and no reason to end a connection. */
    private static long born(String text) {
        return !text.isEmpty() && text.length() <= 15 && text.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Long.parseLong(text)
                : 0;
    }

    private static double decimal(String text) {
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // told below, as what is not finite
        }
        throw new MalformedException("a figure that is none");
    }
}
