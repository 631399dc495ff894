package petrelplank.yaml;

import com.fasterxml.jackson.core.JsonLocation;

/**
 * A place in a YAML file.
 *
 * @param file the file's name
 * @param line from 1
 * @param column from 1
 */
record Position(String file, int line, int column) {
    static Position startOf(String file) {
        return new Position(file, 1, 1);
    }

    static Position of(String file, JsonLocation location) {
        return new Position(file, location.getLineNr(), location.getColumnNr());
    }

    /** An error at this place. */
    YamlException error(String message) {
        return new YamlException(file + ":" + line + ":" + column + ": " + message);
    }
}
