package petrelplank.fastcgi;

/** A client's bytes that make no FastCGI; the connection can't be used further. */
final class MalformedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
        super(message);
    }
}
