package petrelplank.settings;

/** Thrown for invalid input from outside the process; gives the path of the invalid value and what is wrong with it. */
public final class FormatException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String problem;

    /**
     * Creates an exception for the input as a whole.
     *
     * @param problem what is wrong with the input
     */
    public FormatException(String problem) {
        super(problem);
        this.path = "";
        this.problem = problem;
    }

    /**
     * Creates an exception for one value of the input.
     *
     * @param path the path of the value, such as {@code settings caps}
     * @param problem what is wrong with the value
     */
    public FormatException(String path, String problem) {
        super(path + ": " + problem);
        this.path = path;
        this.problem = problem;
    }

    /** Returns the path of the invalid value, or an empty string if the exception is about the input as a whole. */
    public String path() {
        return path;
    }

    /** Returns what is wrong with the input or value, without the path. */
    public String problem() {
        return problem;
    }
}
