package petrelplank.upstream;

import java.util.List;
import petrelplank.routing.CacheStatus;
import petrelplank.upstream.MalformedResponseException.Reason;

/** The optional fields of a response header, as comma-separated {@code name=value} pairs. Unknown names are ignored. */
final class ResponseFields {
    private static final String NO_FIELDS = "-";
    private static final int US_PER_MS = 1000;
    private static final int MAX_BORN_MS_DIGITS = 15;

    private final List<String> loadFieldNames;
    private CacheStatus cacheStatus = CacheStatus.NONE;
    private String tag;
    private long sourceWaitUs;
    private long bornMs;
    private double[] load;

    private ResponseFields(List<String> loadFieldNames) {
        this.loadFieldNames = loadFieldNames;
    }

    /**
     * Decodes the fields of a header.
     *
     * @param text the fields, or {@code -} if there are none
     * @param loadFieldNames names of the values in a load report, in the order in which {@link #load} returns them
     * @return the decoded fields
     * @throws MalformedResponseException if a field has no value, or a numeric field is not a finite number
     */
    static ResponseFields decode(String text, List<String> loadFieldNames) {
        ResponseFields fields = new ResponseFields(loadFieldNames);
        if (!text.equals(NO_FIELDS)) {
            for (String field : text.split(",", -1)) {
                int separator = field.indexOf('=');
                if (separator < 0) {
                    throw new MalformedResponseException(Reason.FIELD_WITHOUT_VALUE);
                }
                fields.setField(field.substring(0, separator), field.substring(separator + 1));
            }
        }
        return fields;
    }

    private void setField(String name, String value) {
        switch (name) {
            case "tell" -> cacheStatus = parseCacheStatus(value);
            case "ver" -> tag = value;
            case "waited" -> sourceWaitUs = (long) (parseDecimal("waited", value) * US_PER_MS);
            case "born" -> bornMs = parseBornMs(value);
            case "meter" -> load = parseLoad(value);
            default -> {}
        }
    }

    /** Returns how the cache served the copy or why its fill failed; {@link CacheStatus#NONE} if not given. */
    CacheStatus cacheStatus() {
        return cacheStatus;
    }

    /** Returns the entity tag of the copy; null if not given. */
    String tag() {
        return tag;
    }

    /** Returns how long the cache waited for its fill source, in microseconds; 0 if not given. */
    long sourceWaitUs() {
        return sourceWaitUs;
    }

    /** Returns the Unix time in milliseconds at which the origin issued the copy; 0 if not given. */
    long bornMs() {
        return bornMs;
    }

    /** Returns the values of the load report, in the order of the load field names; null if there is no report. */
    double[] load() {
        return load;
    }

    /** Maps a cache status word of the protocol; a word that only newer servers know maps to {@code NONE}. */
    private static CacheStatus parseCacheStatus(String word) {
        return switch (word) {
            case "HIT" -> CacheStatus.HIT;
            case "MISS" -> CacheStatus.FILLED;
            case "MISS_ORIGIN" -> CacheStatus.FILLED_FROM_ORIGIN;
            case "COLLAPSED" -> CacheStatus.COALESCED;
            case "STALE" -> CacheStatus.STALE;
            case "UP_BUSY" -> CacheStatus.SOURCE_REJECTED;
            case "UP_DOWN" -> CacheStatus.SOURCE_UNREACHABLE;
            case "UP_MISS" -> CacheStatus.SOURCE_MISS;
            case "NO_FILL" -> CacheStatus.FILL_LIMIT_REACHED;
            case "ORIGIN_ERR" -> CacheStatus.ORIGIN_FAILED;
            default -> CacheStatus.NONE;
        };
    }

    private double[] parseLoad(String report) {
        double[] values = new double[loadFieldNames.size()];
        for (String pair : report.split(";")) {
            int colon = pair.indexOf(':');
            int index = colon < 0 ? -1 : loadFieldNames.indexOf(pair.substring(0, colon));
            if (index >= 0) {
                values[index] = parseDecimal("meter", pair.substring(colon + 1));
            }
        }
        return values;
    }

    /**
     * Parses the issue time. It is only used in records, so an invalid time counts as not given instead of failing the
     * connection.
     */
    private static long parseBornMs(String text) {
        return isDigits(text, MAX_BORN_MS_DIGITS) ? Long.parseLong(text) : 0;
    }

    private static double parseDecimal(String field, String text) {
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new MalformedResponseException(Reason.NOT_A_FINITE_NUMBER, field);
        }
        if (!Double.isFinite(value)) {
            throw new MalformedResponseException(Reason.NOT_A_FINITE_NUMBER, field);
        }
        return value;
    }

    /** Returns whether a text is an unsigned decimal integer of at most {@code maxDigits} digits. */
    static boolean isDigits(String text, int maxDigits) {
        return !text.isEmpty()
                && text.length() <= maxDigits
                && text.chars().allMatch(character -> character >= '0' && character <= '9');
    }
}
