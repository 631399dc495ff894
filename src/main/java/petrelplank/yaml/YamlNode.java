package petrelplank.yaml;

import java.util.List;
import java.util.Map;

/** A value with its place and that of its key; an element's key place is its own. */
sealed interface YamlNode {
    Position position();

    Position keyPosition();

    /**
     * A scalar, not yet interpreted.
     *
     * @param position where it stands
     * @param keyPosition where its key stands
     * @param text its text; empty for null
     */
    record Scalar(Position position, Position keyPosition, String text) implements YamlNode {}

    /**
     * A mapping.
     *
     * @param position where it stands
     * @param keyPosition where its key stands
     * @param values values by key, in the file's order
     */
    record Mapping(Position position, Position keyPosition, Map<String, YamlNode> values) implements YamlNode {}

    /**
     * A sequence.
     *
     * @param position where it stands
     * @param keyPosition where its key stands
     * @param elements its elements
     */
    record Sequence(Position position, Position keyPosition, List<YamlNode> elements) implements YamlNode {}
}
