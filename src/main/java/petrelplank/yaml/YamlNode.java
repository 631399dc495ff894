package petrelplank.yaml;

import java.util.List;
import java.util.Map;

/** A value with its position and that of its key; for the root and for elements of a sequence both are the same. */
sealed interface YamlNode {
    Position position();

    Position keyPosition();

    /**
     * A scalar, whose text is not yet converted to a type.
     *
     * @param position the position of the value
     * @param keyPosition the position of its key
     * @param text the text; empty for null
     */
    record Scalar(Position position, Position keyPosition, String text) implements YamlNode {}

    /**
     * A mapping.
     *
     * @param position the position of the value
     * @param keyPosition the position of its key
     * @param values the values by key, in the order of the file
     */
    record Mapping(Position position, Position keyPosition, Map<String, YamlNode> values) implements YamlNode {}

    /**
     * A sequence.
     *
     * @param position the position of the value
     * @param keyPosition the position of its key
     * @param elements the elements in order
     */
    record Sequence(Position position, Position keyPosition, List<YamlNode> elements) implements YamlNode {}
}
