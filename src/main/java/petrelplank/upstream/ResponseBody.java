package petrelplank.upstream;

import java.nio.ByteBuffer;
import java.util.Arrays;
import petrelplank.transport.MemoryBudget;

/**
 * The body of a response while it is received. Its memory is set aside as the bytes arrive, not as the header announces
 * them. After a discard its remaining bytes are skipped. I/O thread only.
 */
final class ResponseBody implements MemoryBudget.Holder {
    private static final int INITIAL_BYTES = 4_096;
    private static final byte[] NO_BYTES = new byte[0];

    private final int length;
    private final ResponseMemory memory;
    private byte[] bytes = NO_BYTES;
    private int receivedBytes;
    private boolean discarded;

    /** Begins a body of {@code length} bytes. */
    ResponseBody(int length, ResponseMemory memory) {
        this.length = length;
        this.memory = memory;
        if (length > 0) {
            memory.bodyBegun(this);
        }
    }

    int length() {
        return length;
    }

    boolean isComplete() {
        return receivedBytes == length;
    }

    /** Reads what is available of the body, as far as it belongs to it. */
    void read(ByteBuffer input) {
        int count = Math.min(input.remaining(), length - receivedBytes);
        reserveFor(receivedBytes + count);
        if (discarded) {
            input.position(input.position() + count);
        } else {
            input.get(bytes, receivedBytes, count);
        }
        receivedBytes += count;
        if (isComplete()) {
            memory.bodyEnded(this);
        }
    }

    private void reserveFor(int neededBytes) {
        if (discarded || neededBytes <= bytes.length) {
            return;
        }
        int newLength = Math.min(length, Math.max(INITIAL_BYTES, Math.max(neededBytes, 2 * bytes.length)));
        if (memory.reserve(this, newLength - bytes.length)) {
            bytes = Arrays.copyOf(bytes, newLength);
        }
    }

    /** Returns the received bytes of a complete body; none if it was discarded. */
    byte[] bytes() {
        return bytes;
    }

    /** Whether the body was discarded for want of memory. */
    boolean isDiscarded() {
        return discarded;
    }

    @Override
    public long heldBytes() {
        return bytes.length;
    }

    /** Discards what has been received and is still to come. */
    @Override
    public void giveUp() {
        memory.bodyEnded(this);
        memory.release(bytes.length);
        discarded = true;
        bytes = NO_BYTES;
    }
}
