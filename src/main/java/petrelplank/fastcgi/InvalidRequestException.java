package petrelplank.fastcgi;

/**
 * Thrown when the parameters of a request are missing or invalid although the FastCGI records are correct. The client
 * gets an error response, and the connection remains usable.
 */
final class InvalidRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String parameter;

    /**
     * Creates an exception without a stack trace, which would make invalid requests cost more CPU than valid ones.
     *
     * @param parameter the name of the invalid parameter
     * @param value the value found; empty if the parameter is missing
     * @param rule what the value should be
     */
    InvalidRequestException(String parameter, String value, String rule) {
        super(parameter + ": should be " + rule + ", found \"" + value + "\"", null, false, false);
        this.parameter = parameter;
    }

    /** The name of the invalid parameter. */
    String parameter() {
        return parameter;
    }
}
