package petrelplank.upstream;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.DefaultWriteRequest;

/**
 * One command between being queued for its connection and being written. The I/O thread takes it when its turn to be
 * written has come, the event thread may withdraw it before; whoever is first has decided.
 */
final class EncodedCommand extends DefaultWriteRequest {
    private enum State {
        QUEUED,
        TAKEN,
        WITHDRAWN
    }

    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
    private final int length;
    private final BooleanSupplier wanted;
    /** Bytes written on its connection before it; set as it is taken, when all before it has been written. */
    private volatile long startsAt = Long.MAX_VALUE;

    /**
     * A command that waits to be written.
     *
     * @param bytes the command
     * @param written told of its end; null where nobody asks
     * @param wanted whether it is to be written still, asked in the I/O thread as its turn comes
     */
    EncodedCommand(byte[] bytes, WriteFuture written, BooleanSupplier wanted) {
        super(IoBuffer.wrap(bytes), written);
        this.length = bytes.length;
        this.wanted = wanted;
    }

    /** The I/O thread is about to write it; false where it was withdrawn, or is not wanted any more. */
    boolean take(IoSession session) {
        if (!wanted.getAsBoolean()) {
            withdraw();
            return false;
        }
        startsAt = session.getWrittenBytes();
        return state.compareAndSet(State.QUEUED, State.TAKEN);
    }

    /** It shall not be written; false where its writing may have begun. */
    boolean withdraw() {
        return state.compareAndSet(State.QUEUED, State.WITHDRAWN) || state.get() == State.WITHDRAWN;
    }

    /** Whether any byte of it may have gone out. */
    boolean begun(IoSession session) {
        return state.get() == State.TAKEN && session.getWrittenBytes() > startsAt;
    }

    /** Whether all of it is known to have gone out. */
    boolean whole(IoSession session) {
        return state.get() == State.TAKEN && session.getWrittenBytes() >= startsAt + length;
    }
}
