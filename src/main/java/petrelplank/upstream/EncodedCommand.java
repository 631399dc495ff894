package petrelplank.upstream;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.DefaultWriteRequest;

/**
 * An encoded command on a connection, from the time it is queued until the connection closes.
 *
 * <p>A command waits in the {@link CommandQueue} of its connection until either the I/O thread takes it to write it, or
 * the event thread withdraws it because its request was aborted. The first of the two wins, and its decision is final:
 * a command that was taken may be written partly or fully at any later time, and a command that was withdrawn is never
 * written. How much of a taken command has been written is computed from the number of bytes written on the connection.
 */
final class EncodedCommand extends DefaultWriteRequest {
    private enum State {
        QUEUED,
        TAKEN,
        WITHDRAWN
    }

    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
    private final int length;
    private final BooleanSupplier mayBeWritten;
    private final Runnable onSkipped;
    /**
     * Number of bytes written on the connection before this command. It is set just before the command is taken, when
     * all earlier commands have been written.
     */
    private volatile long startOffset = Long.MAX_VALUE;

    /**
     * Creates a command that is queued and neither taken nor withdrawn.
     *
     * @param bytes the encoded command
     * @param future completed when the command was written or dropped; null if no notification is needed
     * @param mayBeWritten whether the command may still be written; called on the I/O thread when the command reaches
     *     the head of the queue
     * @param onSkipped run on the I/O thread if the command is skipped because it may not be written
     */
    EncodedCommand(byte[] bytes, WriteFuture future, BooleanSupplier mayBeWritten, Runnable onSkipped) {
        super(IoBuffer.wrap(bytes), future);
        this.length = bytes.length;
        this.mayBeWritten = mayBeWritten;
        this.onSkipped = onSkipped;
    }

    /**
     * Takes the command for writing. Called on the I/O thread.
     *
     * @return false if the command was withdrawn or may no longer be written
     */
    boolean take(IoSession session) {
        if (!mayBeWritten.getAsBoolean()) {
            if (state.compareAndSet(State.QUEUED, State.WITHDRAWN)) {
                onSkipped.run();
            }
            return false;
        }
        startOffset = session.getWrittenBytes();
        return state.compareAndSet(State.QUEUED, State.TAKEN);
    }

    /**
     * Withdraws the command so that it is never written.
     *
     * @return false if it was already taken, so that part of it may have been written
     */
    boolean withdraw() {
        return state.compareAndSet(State.QUEUED, State.WITHDRAWN) || state.get() == State.WITHDRAWN;
    }

    /** Returns whether at least one byte of the command may have been written. */
    boolean isPartlyWritten(IoSession session) {
        return state.get() == State.TAKEN && session.getWrittenBytes() > startOffset;
    }

    /** Returns whether the whole command is known to have been written. */
    boolean isFullyWritten(IoSession session) {
        return state.get() == State.TAKEN && session.getWrittenBytes() >= startOffset + length;
    }
}
