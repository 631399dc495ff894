package petrelplank.settings;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * The fields of a JSON object, with typed access by name. Unless stated otherwise, methods throw
 * {@link FormatException} with the path of the object if a required field is missing or a field has the wrong type. A
 * field whose value is null counts as absent.
 */
public final class JsonFields {
    private final Map<String, Object> values;
    private final String path;

    JsonFields(Map<String, Object> values, String path) {
        this.values = values;
        this.path = path;
    }

    /** Returns an object without fields. */
    static JsonFields empty(String path) {
        return new JsonFields(Map.of(), path);
    }

    /** Returns the path that identifies this object in error messages. */
    public String path() {
        return path;
    }

    /** Returns whether a field is present and not null. */
    public boolean has(String name) {
        return values.get(name) != null;
    }

    /**
     * Returns whether the object has exactly one field, which is this one, and it is not null.
     *
     * @param name the name of the field
     * @return whether it is the only field
     */
    public boolean only(String name) {
        return values.size() == 1 && has(name);
    }

    private Object requiredValue(String name) {
        Object value = values.get(name);
        if (value == null) {
            throw new FormatException(path, quoted(name) + " is missing");
        }
        return value;
    }

    private static String quoted(String name) {
        return '"' + name + '"';
    }

    private FormatException invalid(String name, String expected) {
        return new FormatException(path, quoted(name) + " should be " + expected + ", found " + values.get(name));
    }

    /** Returns a required string. */
    public String text(String name) {
        if (requiredValue(name) instanceof String text) {
            return text;
        }
        throw invalid(name, "a string");
    }

    /** Returns a string, or the default if the field is absent. */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /**
     * Returns a required whole number. Of an integer that exceeds 64 bits, the low 64 bits are returned; a whole number
     * in floating-point notation is limited to the range of 64 bits.
     */
    public long integer(String name) {
        Object value = requiredValue(name);
        if (value instanceof Long number) {
            return number;
        }
        if (value instanceof BigInteger number) {
            return number.longValue();
        }
        if (value instanceof Double number && number == Math.rint(number)) {
            return number.longValue();
        }
        throw invalid(name, "a whole number");
    }

    /** Returns whether a field is present and equals this number; false if it has another type. */
    public boolean is(String name, long number) {
        return values.get(name) instanceof Number found && found.doubleValue() == number;
    }

    /** Returns a whole number, or the default if the field is absent. */
    public long integer(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Returns a number, or the default if the field is absent. */
    public double number(String name, double defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        if (values.get(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw invalid(name, "a number");
    }

    /** Returns a boolean; false if the field is absent. */
    public boolean flag(String name) {
        if (!has(name)) {
            return false;
        }
        if (values.get(name) instanceof Boolean flag) {
            return flag;
        }
        throw invalid(name, "true or false");
    }

    /** Returns a required unsigned number of up to 64 bits, written in hex digits. */
    public long hex(String name) {
        try {
            return Long.parseUnsignedLong(text(name), 16);
        } catch (NumberFormatException e) {
            throw invalid(name, "a number of up to 64 bits in hex digits");
        }
    }

    /** Returns required bytes, written as two hex digits each. */
    public byte[] bytes(String name) {
        try {
            return HexFormat.of().parseHex(text(name));
        } catch (IllegalArgumentException e) {
            throw invalid(name, "bytes of two hex digits each");
        }
    }

    /** Returns a required object; its path is the path of this object followed by the name of the field. */
    public JsonFields object(String name) {
        return object(name, path + " " + name);
    }

    /**
     * Returns a required object.
     *
     * @param name the name of the field
     * @param objectPath the path of the object in error messages
     * @return the object
     */
    public JsonFields object(String name, String objectPath) {
        return new JsonFields(JsonValue.toMap(requiredValue(name), fieldPath(name)), objectPath);
    }

    /**
     * Returns the elements of a required array of objects.
     *
     * @param name the name of the field
     * @param elementPath the path of each element in error messages
     * @return the elements
     */
    public List<JsonFields> objects(String name, String elementPath) {
        List<?> array = requiredArray(name);
        List<JsonFields> objects = new ArrayList<>(array.size());
        for (Object element : array) {
            objects.add(new JsonFields(JsonValue.toMap(element, fieldPath(name)), elementPath));
        }
        return objects;
    }

    /**
     * Returns the elements of a required array of objects, each with its index in its path.
     *
     * @param name the name of the field
     * @param elementPath the path of each element in error messages, to which the index is appended
     * @return the elements
     */
    public List<JsonFields> indexedObjects(String name, String elementPath) {
        List<?> array = requiredArray(name);
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

    private List<?> requiredArray(String name) {
        if (requiredValue(name) instanceof List<?> array) {
            return array;
        }
        throw invalid(name, "an array");
    }

    /** Returns a required array of strings. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object element : requiredArray(name)) {
            if (!(element instanceof String text)) {
                throw invalid(name, "an array of strings");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns an array of numbers, or null if the field is absent. */
    public double[] numbers(String name) {
        if (!has(name)) {
            return null;
        }
        List<?> array = requiredArray(name);
        double[] numbers = new double[array.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!(array.get(i) instanceof Number number)) {
                throw invalid(name, "an array of numbers");
            }
            numbers[i] = number.doubleValue();
        }
        return numbers;
    }

    /** Returns a required array of booleans; an element of another type counts as false. */
    public boolean[] flags(String name) {
        List<?> array = requiredArray(name);
        boolean[] flags = new boolean[array.size()];
        for (int i = 0; i < flags.length; i++) {
            flags[i] = Boolean.TRUE.equals(array.get(i));
        }
        return flags;
    }
}
