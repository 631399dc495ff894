package petrelplank.settings;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value of any type. It is read with the streaming parser because data binding, which would cost start time and
 * memory, is not on the class path of {@code serve}.
 */
public final class JsonValue {
    /** The value {@code null}; also used where there is no value. */
    public static final JsonValue NULL = new JsonValue(null);

    /** Maximum nesting of objects and arrays. Each level takes stack, and the threads of {@code serve} have little. */
    private static final int MAX_NESTING_DEPTH = 64;

    private final Object value;

    private JsonValue(Object value) {
        this.value = value;
    }

    /**
     * Returns a builder of parser factories whose input this class can read without a stack overflow: parsers report
     * deeper nesting as an {@link IOException}.
     */
    public static JsonFactoryBuilder factoryBuilder() {
        return new JsonFactoryBuilder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_NESTING_DEPTH)
                        .build());
    }

    /** Reads the value that starts at the parser's current token. */
    public static JsonValue read(JsonParser parser) throws IOException {
        return new JsonValue(readValue(parser));
    }

    /** Returns whether the value is a whole number that fits in 64 bits. */
    public boolean isLong() {
        return value instanceof Long;
    }

    /** Returns the value as a whole number; call only if {@link #isLong} returns true. */
    public long asLong() {
        return (Long) value;
    }

    /**
     * Returns the value as an object.
     *
     * @param path the path of the object in error messages
     * @return the object
     * @throws FormatException if the value is not an object
     */
    public JsonFields asObject(String path) {
        return new JsonFields(toMap(value, path), path);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> toMap(Object value, String path) {
        if (value instanceof Map) {
            return (Map<String, Object>) value;
        }
        throw new FormatException(path, "expected an object, found " + value);
    }

    private static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new FormatException("the input ends inside a JSON value");
        }
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default ->
                throw new FormatException("unexpected JSON token " + token + " at byte "
                        + parser.currentLocation().getByteOffset());
        };
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, readValue(parser));
        }
        return object;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    private static Number readInteger(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getBigIntegerValue();
        }
        return parser.getLongValue();
    }
}
