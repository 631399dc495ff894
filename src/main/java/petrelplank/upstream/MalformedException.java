package petrelplank.upstream;

/** A server's bytes that make no answer; the connection can't be used further. */
final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
        super(message);
    }
}
