package petrelplank.yaml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Typed, validated access to a mapping. The caller reads each key once, with its type, unit, range and default, and
 * then calls {@link #done}. Throws {@link YamlException} for an invalid value and for a key that was not read.
 */
public final class Section {
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(us|ms|s|min|h)");
    private static final Map<String, Long> DURATION_UNITS_US =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "min", 60_000_000L, "h", 3_600_000_000L);
    private static final Pattern SIZE_PATTERN = Pattern.compile("([0-9]{1,9})(B|KiB|MiB|GiB)");
    private static final Map<String, Long> SIZE_UNITS_BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);
    private static final double US_PER_MS = 1000.0;

    private final YamlNode.Mapping mapping;
    /** The path of keys from the top level to this mapping; empty for the top level itself. */
    private final String path;

    private final Map<String, YamlNode> unread;

    Section(YamlNode node, String path) {
        if (!(node instanceof YamlNode.Mapping foundMapping)) {
            throw node.position()
                    .error((path.isEmpty() ? "the file" : path)
                            + ": should be a mapping, found a list or a single value");
        }
        this.mapping = foundMapping;
        this.path = path;
        this.unread = new LinkedHashMap<>(foundMapping.values());
    }

    private String qualifiedName(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private YamlException error(Position position, String key, String problem) {
        return position.error(qualifiedName(key) + ": " + problem);
    }

    /**
     * Returns whether a key is present.
     *
     * @param key the key
     * @return whether it is present
     */
    public boolean has(String key) {
        return mapping.values().containsKey(key);
    }

    /** Returns the value of a key and marks the key as read; null if it is absent. */
    private YamlNode markRead(String key) {
        return unread.remove(key);
    }

    /**
     * Returns an exception for a value that the caller of this section rejects.
     *
     * @param key the key with the invalid value, or a missing key
     * @param problem what is wrong with the value
     * @return the exception, with the position of the value, or of the mapping if the key is absent
     */
    public YamlException wrong(String key, String problem) {
        YamlNode value = mapping.values().get(key);
        return error((value == null ? mapping : value).position(), key, problem);
    }

    private String scalar(YamlNode node, String key, String expected) {
        if (node instanceof YamlNode.Scalar scalar) {
            return scalar.text();
        }
        throw error(node.position(), key, "should be " + expected + ", found a nested mapping or list");
    }

    /** Returns a required string. */
    public String text(String key) {
        YamlNode node = markRead(key);
        if (node == null) {
            throw error(mapping.position(), key, "is missing");
        }
        return scalar(node, key, "text");
    }

    /** Returns a string, or the default if the key is absent. */
    public String text(String key, String defaultValue) {
        return has(key) ? text(key) : defaultValue;
    }

    /** Returns a word out of a fixed set, or the default if the key is absent. */
    public String word(String key, String defaultValue, Set<String> allowedWords) {
        YamlNode node = markRead(key);
        if (node == null) {
            return defaultValue;
        }
        String word = scalar(node, key, "a word");
        if (!allowedWords.contains(word)) {
            String allowed = String.join(", ", allowedWords.stream().sorted().toList());
            throw error(node.position(), key, "should be one of " + allowed + ", found " + word);
        }
        return word;
    }

    /** Returns a boolean, or the default if the key is absent. */
    public boolean flag(String key, boolean defaultValue) {
        return word(key, Boolean.toString(defaultValue), Set.of("true", "false"))
                .equals("true");
    }

    /**
     * Returns a value within a range, or the default if the key is absent. The default may be outside the range.
     *
     * @param type describes the type in error messages
     * @param parse converts the text; throws IllegalArgumentException if it is not of the type
     */
    private <T extends Comparable<T>> T inRange(
            String key, T defaultValue, T min, T max, String type, Function<String, T> parse) {
        YamlNode node = markRead(key);
        if (node == null) {
            return defaultValue;
        }
        String text = scalar(node, key, type);
        T value;
        try {
            value = parse.apply(text);
        } catch (IllegalArgumentException e) {
            throw error(node.position(), key, "should be " + type + ", found " + text);
        }
        if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            throw error(node.position(), key, "should be from " + min + " to " + max + ", found " + text);
        }
        return value;
    }

    /** Returns an integer within a range, or the default if the key is absent. */
    public long whole(String key, long defaultValue, long min, long max) {
        return inRange(key, defaultValue, min, max, "a whole number", Long::parseLong);
    }

    /** Returns a finite number within a range, or the default if the key is absent. */
    public double number(String key, double defaultValue, double min, double max) {
        return inRange(key, defaultValue, min, max, "a number", Section::parseFinite);
    }

    private static double parseFinite(String text) {
        double value = Double.parseDouble(text);
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(text);
        }
        return value;
    }

    /**
     * Returns a duration, written with its unit (us, ms, s, min, h), in microseconds, or the default if the key is
     * absent. Error messages give the range in milliseconds.
     */
    public long durationUs(String key, long defaultUs, long minUs, long maxUs) {
        String type = "a duration such as 500ms, 2s or 10min";
        long durationUs = inRange(key, defaultUs, 0L, Long.MAX_VALUE, type, Section::parseDurationUs);
        if (durationUs < minUs || durationUs > maxUs) {
            throw wrong(
                    key,
                    "should be from " + minUs / US_PER_MS + " to " + maxUs / US_PER_MS + " ms, found "
                            + durationUs / US_PER_MS);
        }
        return durationUs;
    }

    private static long parseDurationUs(String text) {
        Matcher matcher = match(DURATION_PATTERN, text);
        return Math.round(Double.parseDouble(matcher.group(1)) * DURATION_UNITS_US.get(matcher.group(2)));
    }

    /** Returns a size, written with its unit (B, KiB, MiB, GiB), in bytes, or the default if the key is absent. */
    public long bytes(String key, long defaultValue, long min, long max) {
        return inRange(key, defaultValue, min, max, "a size such as 64KiB or 16MiB", Section::parseBytes);
    }

    private static long parseBytes(String text) {
        Matcher matcher = match(SIZE_PATTERN, text);
        return Long.parseLong(matcher.group(1)) * SIZE_UNITS_BYTES.get(matcher.group(2));
    }

    private static Matcher match(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        return matcher;
    }

    /** Returns a nested mapping, or null if the key is absent. */
    public Section section(String key) {
        YamlNode node = markRead(key);
        return node == null ? null : new Section(node, qualifiedName(key));
    }

    /** Returns the mappings in a sequence; empty if the key is absent. */
    public List<Section> sections(String key) {
        List<Section> sections = new ArrayList<>();
        for (YamlNode element : elements(key)) {
            sections.add(new Section(element, qualifiedName(key) + "[" + sections.size() + "]"));
        }
        return sections;
    }

    /** Returns the strings in a sequence; empty if the key is absent. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        for (YamlNode element : elements(key)) {
            texts.add(scalar(element, key, "a list of words"));
        }
        return texts;
    }

    private List<YamlNode> elements(String key) {
        YamlNode node = markRead(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof YamlNode.Sequence sequence) {
            return sequence.elements();
        }
        throw error(node.position(), key, "should be a list, found a mapping or a single value");
    }

    /** Throws {@link YamlException} if the mapping has an unknown key, that is, one that was not read. */
    public void done() {
        for (Map.Entry<String, YamlNode> entry : unread.entrySet()) {
            throw error(entry.getValue().keyPosition(), entry.getKey(), "is not a known key");
        }
    }
}
