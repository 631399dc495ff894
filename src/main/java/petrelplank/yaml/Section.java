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
 * Typed and validated reading of a mapping. Each key is read once, with its type, unit, range and default; an invalid
 * value and a key that nobody read are a {@link YamlException}.
 */
public final class Section {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(us|ms|s|min|h)");
    private static final Map<String, Long> DURATION_UNITS_US =
            Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "min", 60_000_000L, "h", 3_600_000_000L);
    private static final Pattern SIZE = Pattern.compile("([0-9]{1,9})(B|KiB|MiB|GiB)");
    private static final Map<String, Long> SIZE_UNITS_BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);
    private static final double US_PER_MS = 1000.0;

    private final YamlNode.Mapping mapping;
    /** The keys that lead here; empty for the file's top level. */
    private final String path;

    private final Map<String, YamlNode> unread;

    Section(YamlNode node, String path) {
        if (!(node instanceof YamlNode.Mapping found)) {
            throw node.position().error((path.isEmpty() ? "the file" : path) + ": should be a mapping");
        }
        this.mapping = found;
        this.path = path;
        this.unread = new LinkedHashMap<>(found.values());
    }

    private String name(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private YamlException error(Position position, String key, String rule) {
        return position.error(name(key) + ": " + rule);
    }

    /**
     * Whether a key is present.
     *
     * @param key the key
     * @return whether it is
     */
    public boolean has(String key) {
        return mapping.values().containsKey(key);
    }

    /** The value of a key, which counts as read; null where it is absent. */
    private YamlNode take(String key) {
        return unread.remove(key);
    }

    /**
     * An error that the reader of this section found.
     *
     * @param key the key that is wrong
     * @param rule the rule that is broken
     * @return the exception, with the key's position
     */
    public YamlException wrong(String key, String rule) {
        YamlNode value = mapping.values().get(key);
        return error((value == null ? mapping : value).position(), key, rule);
    }

    private String scalar(YamlNode node, String key, String expected) {
        if (node instanceof YamlNode.Scalar scalar) {
            return scalar.text();
        }
        throw error(node.position(), key, "should be " + expected);
    }

    /** Text that must be present. */
    public String text(String key) {
        YamlNode node = take(key);
        if (node == null) {
            throw error(mapping.position(), key, "is missing");
        }
        return scalar(node, key, "text");
    }

    /** Text, or a default. */
    public String text(String key, String defaultValue) {
        return has(key) ? text(key) : defaultValue;
    }

    /** One of some words, or a default. */
    public String word(String key, String defaultValue, Set<String> words) {
        YamlNode node = take(key);
        if (node == null) {
            return defaultValue;
        }
        String word = scalar(node, key, "a word");
        if (!words.contains(word)) {
            String allowed = String.join(", ", words.stream().sorted().toList());
            throw error(node.position(), key, "should be one of " + allowed + ", found " + word);
        }
        return word;
    }

    /** A boolean, or a default. */
    public boolean flag(String key, boolean defaultValue) {
        return word(key, Boolean.toString(defaultValue), Set.of("true", "false"))
                .equals("true");
    }

    /**
     * A value in a range, or a default, whose range is not checked.
     *
     * @param type the type of value in error messages
     * @param parse throws IllegalArgumentException where the text is not of the type
     */
    private <T extends Comparable<T>> T ranged(
            String key, T defaultValue, T min, T max, String type, Function<String, T> parse) {
        YamlNode node = take(key);
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

    /** An integer in a range, or a default. */
    public long whole(String key, long defaultValue, long min, long max) {
        return ranged(key, defaultValue, min, max, "a whole number", Long::parseLong);
    }

    /** A finite number in a range, or a default. */
    public double number(String key, double defaultValue, double min, double max) {
        return ranged(key, defaultValue, min, max, "a number", Section::parseFinite);
    }

    private static double parseFinite(String text) {
        double value = Double.parseDouble(text);
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(text);
        }
        return value;
    }

    /** A duration with its unit (us, ms, s, min, h) in microseconds, or a default; errors give the range in ms. */
    public long durationUs(String key, long defaultUs, long minUs, long maxUs) {
        String type = "a duration such as 500ms, 2s or 10min";
        long durationUs = ranged(key, defaultUs, 0L, Long.MAX_VALUE, type, Section::parseDurationUs);
        if (durationUs < minUs || durationUs > maxUs) {
            throw wrong(
                    key,
                    "should be from " + minUs / US_PER_MS + " to " + maxUs / US_PER_MS + " ms, found "
                            + durationUs / US_PER_MS);
        }
        return durationUs;
    }

    private static long parseDurationUs(String text) {
        Matcher matcher = matching(DURATION, text);
        return Math.round(Double.parseDouble(matcher.group(1)) * DURATION_UNITS_US.get(matcher.group(2)));
    }

    /** A size with its unit (B, KiB, MiB, GiB) in bytes, or a default. */
    public long bytes(String key, long defaultValue, long min, long max) {
        return ranged(key, defaultValue, min, max, "a size such as 64KiB or 16MiB", Section::parseBytes);
    }

    private static long parseBytes(String text) {
        Matcher matcher = matching(SIZE, text);
        return Long.parseLong(matcher.group(1)) * SIZE_UNITS_BYTES.get(matcher.group(2));
    }

    private static Matcher matching(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        return matcher;
    }

    /** A nested mapping; null where it is absent. */
    public Section section(String key) {
        YamlNode node = take(key);
        return node == null ? null : new Section(node, name(key));
    }

    /** The mappings of a sequence; none where it is absent. */
    public List<Section> sections(String key) {
        List<Section> sections = new ArrayList<>();
        for (YamlNode element : elements(key)) {
            sections.add(new Section(element, name(key) + "[" + sections.size() + "]"));
        }
        return sections;
    }

    /** The words of a sequence; none where it is absent. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        for (YamlNode element : elements(key)) {
            texts.add(scalar(element, key, "a list of words"));
        }
        return texts;
    }

    private List<YamlNode> elements(String key) {
        YamlNode node = take(key);
        if (node == null) {
            return List.of();
        }
        if (node instanceof YamlNode.Sequence sequence) {
            return sequence.elements();
        }
        throw error(node.position(), key, "should be a list");
    }

    /** Ends the reading: a key that was not read is unknown, and an error at the key's position. */
    public void done() {
        for (Map.Entry<String, YamlNode> entry : unread.entrySet()) {
            throw error(entry.getValue().keyPosition(), entry.getKey(), "is not a known key");
        }
    }
}
