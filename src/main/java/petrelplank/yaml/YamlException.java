package petrelplank.yaml;

/** Thrown for an invalid YAML file; the message names the file, the position where known, and what is wrong. */
public final class YamlException extends RuntimeException {
    private static final long serialVersionUID = 1;

    YamlException(String message) {
        super(message);
    }
}
