package petrelplank.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of messages while they are received and until they are handled. If a message grows past the limit,
 * as many of the oldest incomplete ones are given up as make room for it: a peer that goes on as it should has its
 * message complete before long. If those that are older hold too little, the growing one is given up alone.
 */
public final class MemoryBudget {
    /** An incomplete message. Its methods are called by the I/O thread. */
    public interface Holder {
        /**
         * The memory that is freed if the message is given up.
         *
         * @return bytes of this budget
         */
        long heldBytes();

        /** Gives the message up: removes it from the budget and gives its memory back. */
        void giveUp();
    }

    private final long maxBytes;
    /** Changed by any thread. */
    private final AtomicLong heldBytes = new AtomicLong();
    /** The incomplete messages, in the order in which they began. I/O thread only. */
    private final Set<Holder> incomplete = new LinkedHashSet<>();

    /**
     * Creates a budget of which nothing is held.
     *
     * @param maxBytes the limit, in bytes
     */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds memory without a look at the limit. May be called from any thread.
     *
     * @param bytes bytes that are held from now on; negative if they are given back
     */
    public void add(long bytes) {
        heldBytes.addAndGet(bytes);
    }

    /**
     * The memory that is held. May be called from any thread.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes.get();
    }

    /**
     * Whether more is held than the limit. May be called from any thread.
     *
     * @return true if it is
     */
    public boolean isOverLimit() {
        return heldBytes.get() > maxBytes;
    }

    /**
     * The limit.
     *
     * @return bytes
     */
    public long maxBytes() {
        return maxBytes;
    }

    /**
     * Adds a message that begins. I/O thread only.
     *
     * @param holder the message
     */
    public void begin(Holder holder) {
        incomplete.add(holder);
    }

    /**
     * Removes a message that is complete or given up; its memory stays held until it is given back. I/O thread only.
     *
     * @param holder the message
     */
    public void end(Holder holder) {
        incomplete.remove(holder);
    }

    /**
     * Makes room after a message has grown. I/O thread only.
     *
     * @param growing the message, which may be given up itself
     * @return the number of messages that were given up
     */
    public int makeRoomFor(Holder growing) {
        long excessBytes = heldBytes.get() - maxBytes;
        if (excessBytes <= 0) {
            return 0;
        }
        List<Holder> givenUp = olderHoldersOf(excessBytes, growing);
        givenUp.forEach(Holder::giveUp);
        return givenUp.size();
    }

    private List<Holder> olderHoldersOf(long bytes, Holder growing) {
        List<Holder> older = new ArrayList<>();
        long missingBytes = bytes;
        for (Holder holder : incomplete) {
            if (holder == growing) {
                break;
            }
            if (holder.heldBytes() > 0) {
                older.add(holder);
                missingBytes -= holder.heldBytes();
            }
            if (missingBytes <= 0) {
                return older;
            }
        }
        return List.of(growing);
    }
}
