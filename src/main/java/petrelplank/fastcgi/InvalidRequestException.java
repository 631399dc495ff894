package petrelplank.fastcgi;

/** Parameters that FastCGI carried correctly make no request; the client is answered, the connection stays usable. */
final class InvalidRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String parameter;

    /**
     * Without a stack trace, which would let clients at fault cost more CPU than good ones.
     *
     * @param parameter the name of the parameter at fault
     * @param value its value
     * @param rule what it should be
     */
    InvalidRequestException(String parameter, String value, String rule) {
        super(parameter + ": should be " + rule + ", found \"" + value + "\"", null, false, false);
        this.parameter = parameter;
    }

    String parameter() {
        return parameter;
    }
}
