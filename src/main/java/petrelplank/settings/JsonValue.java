package petrelplank.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value of any type. Read with the streaming parser alone: data binding is not on the class path of
 * {@code serve}, where it would cost start time and memory.
 */
public final class JsonValue {
    /** The value {@code null}, which also stands for no value at all. */
    public static final JsonValue NULL = new JsonValue(null);

    private final Object value;

    private JsonValue(Object value) {
        this.value = value;
    }

    /** Reads the value whose first token is the parser's current one. */
    public static JsonValue read(JsonParser parser) throws IOException {
        return new JsonValue(readTree(parser));
    }

    /** Whether the value is a whole number of up to 64 bits. */
    public boolean isLong() {
        return value instanceof Long;
    }

    /** The value as a whole number; only where {@link #isLong} says so. */
    public long asLong() {
        return (Long) value;
    }

    /**
     * The value as an object.
     *
     * @param path names the object in messages
     * @return its fields
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

    private static Object readTree(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            throw new FormatException("the line ends inside a value");
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
                throw new FormatException("unexpected " + token + " at byte "
                        + parser.currentLocation().getByteOffset());
        };
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, readTree(parser));
        }
        return object;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readTree(parser));
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
