package petrelplank.wire;

import java.nio.ByteBuffer;
import java.util.Random;
import java.util.function.Consumer;

/** Feeds bytes to a parser in random fragments, and corrupts them, for the tests of all parsers. */
public final class ParserFuzzer {
    /** One fragment in this many has a single byte. */
    private static final int SINGLE_BYTE_ONE_IN = 3;

    private static final int MAX_CORRUPTED_BYTES = 4;
    private static final int BYTE_VALUES = 256;

    private ParserFuzzer() {}

    /** Hands the bytes on in fragments drawn from a seed; some are of one byte. The parser has to take all of each. */
    public static void feed(byte[] bytes, long seed, Consumer<ByteBuffer> parser) {
        Random random = new Random(seed);
        for (int at = 0; at < bytes.length; ) {
            int length = random.nextInt(SINGLE_BYTE_ONE_IN) == 0 ? 1 : 1 + random.nextInt(bytes.length - at);
            ByteBuffer fragment = ByteBuffer.wrap(bytes, at, length).slice();
            at += length;
            parser.accept(fragment);
            if (fragment.hasRemaining()) {
                throw new AssertionError("the parser left " + fragment.remaining() + " bytes");
            }
        }
    }

    /** A copy in which a few bytes are changed, so that it often gets past the checks of the first bytes. */
    public static byte[] corrupt(byte[] message, long seed) {
        Random random = new Random(seed);
        byte[] corrupted = message.clone();
        for (int i = random.nextInt(MAX_CORRUPTED_BYTES); i >= 0; i--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(BYTE_VALUES);
        }
        return corrupted;
    }

    /** Whether a parser accepted the bytes, or rejected them with the exception that ends a connection. */
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
