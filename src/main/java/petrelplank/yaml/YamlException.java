package petrelplank.yaml;

/** An unusable YAML file; the message names file, line, column and the rule that is broken. */
public final class YamlException extends RuntimeException {
    private static final long serialVersionUID = 1;

    YamlException(String message) {
        super(message);
    }
}
