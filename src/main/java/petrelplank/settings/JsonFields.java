package petrelplank.settings;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * The fields of a JSON object, read by name and type. A field that is missing or of the wrong type ends in a
 * {@link FormatException} with the object's path. A field that is null counts as absent.
 */
public final class JsonFields {
    private final Map<String, Object> values;
    private final String path;

    JsonFields(Map<String, Object> values, String path) {
        this.values = values;
        this.path = path;
    }

    /** An object without fields. */
    static JsonFields empty(String path) {
        return new JsonFields(Map.of(), path);
    }

    /** Names the object in messages. */
    public String path() {
        return path;
    }

    /** Whether a field is there and not null. */
    public boolean has(String name) {
        return values.get(name) != null;
    }

    /**
     * Whether a field is the only one.
     *
     * @param name the field
     * @return whether there is no other
     */
    public boolean only(String name) {
        return values.size() == 1 && has(name);
    }

    private Object value(String name) {
        Object value = values.get(name);
        if (value == null) {
            throw new FormatException(path, quoted(name) + " is missing");
        }
        return value;
    }

    private static String quoted(String name) {
        return '"' + name + '"';
    }

    private FormatException wrong(String name, String wanted) {
        return new FormatException(path, quoted(name) + " should be " + wanted + ", found " + values.get(name));
    }

    /** A string that must be there. */
    public String text(String name) {
        if (value(name) instanceof String text) {
            return text;
        }
        throw wrong(name, "a string");
    }

    /** A string, or the other value where it is absent. */
    public String text(String name, String otherwise) {
        return has(name) ? text(name) : otherwise;
    }

    /** A whole number that must be there; one beyond 64 bits is cut to its low ones. */
    public long integer(String name) {
        Object value = value(name);
        if (value instanceof Long number) {
            return number;
        }
        if (value instanceof BigInteger number) {
            return number.longValue();
        }
        if (value instanceof Double number && number == Math.rint(number)) {
            return number.longValue();
        }
        throw wrong(name, "a whole number");
    }

    /** Whether a field is this number. */
    public boolean is(String name, long number) {
        return values.get(name) instanceof Number found && found.doubleValue() == number;
    }

    /** A whole number, or the other value where it is absent. */
    public long integer(String name, long otherwise) {
        return has(name) ? integer(name) : otherwise;
    }

    /** A number, or the other value where it is absent. */
    public double number(String name, double otherwise) {
        if (!has(name)) {
            return otherwise;
        }
        if (values.get(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrong(name, "a number");
    }

    /** True or false; false where it is absent. */
    public boolean flag(String name) {
        if (!has(name)) {
            return false;
        }
        if (values.get(name) instanceof Boolean flag) {
            return flag;
        }
        throw wrong(name, "true or false");
    }

    /** A number of up to 64 bits in hex digits. */
    public long hex(String name) {
        try {
            return Long.parseUnsignedLong(text(name), 16);
        } catch (NumberFormatException e) {
            throw wrong(name, "hex digits");
        }
    }

    /** Bytes in hex digits. */
    public byte[] bytes(String name) {
        try {
            return HexFormat.of().parseHex(text(name));
        } catch (IllegalArgumentException e) {
            throw wrong(name, "hex digits");
        }
    }

    /** An object that must be there; its path is that of this object and the field's name. */
    public JsonFields object(String name) {
        return object(name, path + " " + name);
    }

    /**
     * An object that must be there.
     *
     * @param name the field
     * @param objectPath names the object in messages
     * @return its fields
     */
    public JsonFields object(String name, String objectPath) {
        return new JsonFields(JsonValue.toMap(value(name), fieldPath(name)), objectPath);
    }

    /**
     * An array of objects that must be there.
     *
     * @param name the field
     * @param elementPath names each object in messages
     * @return the fields of each
     */
    public List<JsonFields> objects(String name, String elementPath) {
        List<?> array = array(name);
        List<JsonFields> objects = new ArrayList<>(array.size());
        for (Object element : array) {
            objects.add(new JsonFields(JsonValue.toMap(element, fieldPath(name)), elementPath));
        }
        return objects;
    }

    /**
     * An array of objects that must be there, told apart in messages by their index.
     *
     * @param name the field
     * @param elementPath names each object in messages, before its index
     * @return the fields of each
     */
    public List<JsonFields> indexedObjects(String name, String elementPath) {
        List<?> array = array(name);
        List<JsonFields> objects = new ArrayList<>(array.size());
        for (Object element : array) {
            String indexedPath = elementPath + " " + objects.size();
            objects.add(new JsonFields(JsonValue.toMap(element, fieldPath(name)), indexedPath));
        }
        return objects;
    }

    private String fieldPath(String name) {
        return path + ": " + quoted(name);
    }

    private List<?> array(String name) {
        if (value(name) instanceof List<?> array) {
            return array;
        }
        throw wrong(name, "an array");
    }

    /** An array of strings that must be there. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object element : array(name)) {
            if (!(element instanceof String text)) {
                throw wrong(name, "an array of strings");
            }
            texts.add(text);
        }
        return texts;
    }

    /** An array of numbers; null where it is absent. */
    public double[] numbers(String name) {
        if (!has(name)) {
            return null;
        }
        List<?> array = array(name);
        double[] numbers = new double[array.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!(array.get(i) instanceof Number number)) {
                throw wrong(name, "an array of numbers");
            }
            numbers[i] = number.doubleValue();
        }
        return numbers;
    }

    /** An array of booleans that must be there; an element of another type counts as false. */
    public boolean[] flags(String name) {
        List<?> array = array(name);
        boolean[] flags = new boolean[array.size()];
        for (int i = 0; i < flags.length; i++) {
            flags[i] = Boolean.TRUE.equals(array.get(i));
        }
        return flags;
    }
}
