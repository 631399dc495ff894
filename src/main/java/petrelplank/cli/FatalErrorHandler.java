package petrelplank.cli;

import java.util.function.IntConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Ends the process when one of its threads ends by an uncaught error. A proxy that has lost its event thread or its I/O
 * thread would still listen and accept connections, and answer none of them.
 */
final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    private static final Logger LOG = Logger.getLogger(FatalErrorHandler.class.getName());
    /** Memory for the log line, in bytes. */
    private static final int RESERVE_BYTES = 1 << 17;

    private final IntConsumer exit;
    /** Given up first, so that the line can be logged when the heap is full. */
    private byte[] reserve = new byte[RESERVE_BYTES];

    /** Creates a handler that calls {@code exit} with the exit status; tests replace the end of the process. */
    FatalErrorHandler(IntConsumer exit) {
        this.exit = exit;
    }

    /** Makes this the handler of all threads of the process. */
    static void install() {
        Thread.setDefaultUncaughtExceptionHandler(
                new FatalErrorHandler(status -> Runtime.getRuntime().halt(status)));
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        try {
            reserve = null;
            LOG.log(
                    Level.SEVERE,
                    "thread " + thread.getName() + " has ended by an error; the process ends with status "
                            + ExitStatus.THREAD_FAILED,
                    failure);
        } finally {
            exit.accept(ExitStatus.THREAD_FAILED);
        }
    }
}
