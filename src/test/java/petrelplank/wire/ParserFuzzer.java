package petrelplank.wire;

import java.nio.ByteBuffer;
import java.util.Random;
import java.util.function.Consumer;

/** Splits input into random fragments and corrupts it, for the tests of all protocol parsers. */
public final class ParserFuzzer {
    /** On average, one in this many fragments is forced to a single byte. */
    private static final int SINGLE_BYTE_ONE_IN = 3;

    private static final int MAX_CORRUPTED_BYTES = 4;
    private static final int BYTE_VALUES = 256;

    private ParserFuzzer() {}

    /** Feeds bytes to a parser in pseudo-random fragments, some of a single byte; it must consume each fully. */
    public static void feed(byte[] bytes, long seed, Consumer<ByteBuffer> parser) {
        Random random = new Random(seed);
        for (int position = 0; position < bytes.length; ) {
            int length = random.nextInt(SINGLE_BYTE_ONE_IN) == 0 ? 1 : 1 + random.nextInt(bytes.length - position);
            ByteBuffer fragment = ByteBuffer.wrap(bytes, position, length).slice();
            position += length;
            parser.accept(fragment);
            if (fragment.hasRemaining()) {
                throw new AssertionError("parser left unread bytes in a fragment: " + fragment.remaining());
            }
        }
    }

    /** Returns a copy with at most 4 corrupted bytes; so few that it often passes the first checks of a parser. */
    public static byte[] corrupt(byte[] message, long seed) {
        Random random = new Random(seed);
        byte[] corrupted = message.clone();
        for (int i = random.nextInt(MAX_CORRUPTED_BYTES); i >= 0; i--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(BYTE_VALUES);
        }
        return corrupted;
    }

    /** Returns whether a parser accepts the bytes, or rejects them with the exception that closes a connection. */
    public static boolean acceptsOrRejects(
            byte[] bytes, long seed, Class<? extends RuntimeException> rejection, Consumer<ByteBuffer> parser) {
        try {
            feed(bytes, seed, parser);
            return true;
        } catch (RuntimeException e) {
            return rejection.isInstance(e);
        }
    }
}
