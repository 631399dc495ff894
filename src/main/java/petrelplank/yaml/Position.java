package petrelplank.yaml;

import com.fasterxml.jackson.core.JsonLocation;

/**
 * A position in a YAML file.
 *
 * @param file the name of the file in error messages
 * @param line the line number, starting at 1
 * @param column the column number, starting at 1
 */
record Position(String file, int line, int column) {
    static Position startOf(String file) {
        return new Position(file, 1, 1);
    }

    static Position of(String file, JsonLocation location) {
        return new Position(file, location.getLineNr(), location.getColumnNr());
    }

    /** Returns an exception whose message starts with this position. */
    YamlException error(String message) {
        return new YamlException(file + ":" + line + ":" + column + ": " + message);
    }
}
