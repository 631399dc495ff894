package petrelplank.upstream;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.DefaultWriteRequest;

/**
 * One encoded command, from the time it is queued on its connection until that connection closes.
 *
 * <p>It waits in the connection's {@link CommandQueue}. Two threads may end the wait: the I/O thread takes it when its
 * turn to be written has come, and the event thread withdraws it when its request is given up. Whichever is first
 * decides, and the decision is final: what was taken may be written in part or completely at any later time, what was
 * withdrawn never is. How much of a taken command has been written follows from the connection's count of bytes.
 */
final class EncodedCommand extends DefaultWriteRequest {
    private enum State {
        QUEUED,
        TAKEN,
        WITHDRAWN
    }

    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
    private final int length;
    private final BooleanSupplier stillWanted;
    /** Bytes written on the connection before this command; set as it is taken, when all before it is written. */
    private volatile long startOffset = Long.MAX_VALUE;

    /**
     * A command that waits to be written.
     *
     * @param bytes the encoded command
     * @param future completed when it is written or dropped; null where nobody waits for that
     * @param stillWanted whether it is to be written; asked in the I/O thread when its turn has come
     */
    EncodedCommand(byte[] bytes, WriteFuture future, BooleanSupplier stillWanted) {
        super(IoBuffer.wrap(bytes), future);
        this.length = bytes.length;
        this.stillWanted = stillWanted;
    }

    /**
     * Claims it for writing; by the I/O thread.
     *
     * @return false where it was withdrawn or is not wanted any more, and must not be written
     */
    boolean take(IoSession session) {
        if (!stillWanted.getAsBoolean()) {
            withdraw();
            return false;
        }
        startOffset = session.getWrittenBytes();
        return state.compareAndSet(State.QUEUED, State.TAKEN);
    }

    /**
     * Prevents that it is written.
     *
     * @return false where its writing may have begun
     */
    boolean withdraw() {
        return state.compareAndSet(State.QUEUED, State.WITHDRAWN) || state.get() == State.WITHDRAWN;
    }

    /** Whether any byte of it may have been written. */
    boolean isPartlyWritten(IoSession session) {
        return state.get() == State.TAKEN && session.getWrittenBytes() > startOffset;
    }

    /** Whether all of it is known to have been written. */
    boolean isFullyWritten(IoSession session) {
        return state.get() == State.TAKEN && session.getWrittenBytes() >= startOffset + length;
    }
}
