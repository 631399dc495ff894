package petrelplank.yaml;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses YAML into nodes with positions. Scalars stay text until a {@link Section} converts them. Rejects duplicate
 * keys, files that are too large or nested too deeply, and anchors and aliases, with which a short file could expand
 * without bound.
 */
public final class Yaml {
    /** Maximum size of a file; larger files are rejected before they are read. */
    static final int MAX_BYTES = 1 << 20;

    private static final int MAX_DEPTH = 32;
    private static final YAMLFactory YAML_FACTORY = YAMLFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final String file;
    private final YAMLParser parser;

    private Yaml(String file, YAMLParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return its top-level mapping
     * @throws IOException if the file can't be read
     * @throws YamlException if the YAML is not valid
     */
    public static Section read(Path path) throws IOException {
        if (Files.size(path) > MAX_BYTES) {
            throw new YamlException(path + ": longer than " + MAX_BYTES + " bytes");
        }
        return read(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
    }

    /**
     * Reads a class path resource.
     *
     * @param name the absolute name of the resource
     * @return its top-level mapping
     * @throws YamlException if the YAML is not valid
     */
    public static Section resource(String name) {
        try (InputStream in = Yaml.class.getResourceAsStream(name)) {
            return read(
                    name.substring(name.lastIndexOf('/') + 1), new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(name, e);
        }
    }

    /**
     * Parses YAML text.
     *
     * @param file the name of the file in error messages
     * @param text the YAML text
     * @return its top-level mapping
     * @throws YamlException if the YAML is not valid
     */
    public static Section read(String file, String text) {
        try (YAMLParser parser = YAML_FACTORY.createParser(text)) {
            return new Section(new Yaml(file, parser).readDocument(), "");
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            Position position = location == null ? Position.startOf(file) : Position.of(file, location);
            throw position.error(e.getOriginalMessage().lines().findFirst().orElse("invalid YAML"));
        } catch (IOException e) {
            throw Position.startOf(file).error(e.getMessage());
        }
    }

    private YamlNode readDocument() throws IOException {
        if (parser.nextToken() == null) {
            throw Position.startOf(file).error("the file is empty, expected a mapping");
        }
        YamlNode root = readNode(currentPosition(), 0);
        if (parser.nextToken() != null) {
            throw currentPosition().error("found a second document, expected one");
        }
        return root;
    }

    private Position currentPosition() {
        return Position.of(file, parser.currentTokenLocation());
    }

    /** Reads the value that starts at the parser's current token. */
    private YamlNode readNode(Position keyPosition, int depth) throws IOException {
        Position position = currentPosition();
        if (depth > MAX_DEPTH) {
            throw position.error("nested deeper than " + MAX_DEPTH + " levels");
        }
        if (parser.isCurrentAlias() || parser.getObjectId() != null) {
            throw position.error("anchors and aliases are not allowed");
        }
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return new YamlNode.Mapping(position, keyPosition, readMapping(depth));
        } else if (token == JsonToken.START_ARRAY) {
            return new YamlNode.Sequence(position, keyPosition, readSequence(depth));
        }
        String text = token == JsonToken.VALUE_NULL ? "" : parser.getText();
        return new YamlNode.Scalar(position, keyPosition, text);
    }

    private Map<String, YamlNode> readMapping(int depth) throws IOException {
        Map<String, YamlNode> values = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            Position keyPosition = currentPosition();
            parser.nextToken();
            values.put(key, readNode(keyPosition, depth + 1));
        }
        return values;
    }

    private List<YamlNode> readSequence(int depth) throws IOException {
        List<YamlNode> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(readNode(currentPosition(), depth + 1));
        }
        return elements;
    }
}
