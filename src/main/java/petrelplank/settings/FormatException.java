package petrelplank.settings;

/** Input from outside the process that breaks a rule; carries the place of the fault and the rule apart. */
public final class FormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String rule;

    /**
     * A fault in input as a whole.
     *
     * @param rule what is wrong with it
     */
    public FormatException(String rule) {
        super(rule);
        this.path = "";
        this.rule = rule;
    }

    /**
     * A fault at one place of the input.
     *
     * @param path names the place, such as {@code settings caps}
     * @param rule what is wrong there
     */
    public FormatException(String path, String rule) {
        super(path + ": " + rule);
        this.path = path;
        this.rule = rule;
    }

    /** The place of the fault; empty where it is the input as a whole. */
    public String path() {
        return path;
    }

    /** What is wrong at that place. */
    public String rule() {
        return rule;
    }
}
