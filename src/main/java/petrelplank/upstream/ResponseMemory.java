package petrelplank.upstream;

import java.util.List;
import petrelplank.proxy.UpstreamResponse;
import petrelplank.transport.MemoryBudget;

/**
 * Bounds the memory of the responses of all servers, from their header until the event thread has handled them. It is
 * checked each time a body grows; see {@link MemoryBudget} for the bodies that are discarded then.
 */
final class ResponseMemory {
    /** Memory of a response besides its header line and body, in bytes. */
    private static final int OVERHEAD_BYTES = 512;
    /** Room for some responses of maximum length, however small the memory, in bytes. */
    private static final long MIN_BYTES = 1 << 21;

    private final MemoryBudget budget;

    /** Creates the memory of one pool; {@code maxBytes} is for all its connections together. */
    ResponseMemory(long maxBytes) {
        budget = new MemoryBudget(Math.max(MIN_BYTES, maxBytes));
    }

    /** Called when a body begins. I/O thread only. */
    void bodyBegun(ResponseBody body) {
        budget.begin(body);
    }

    /**
     * Sets memory aside by which an incomplete body may grow. I/O thread only.
     *
     * @return false if the body itself had to be discarded instead
     */
    boolean reserve(ResponseBody body, int bytes) {
        budget.add(bytes);
        budget.makeRoomFor(body);
        if (body.isDiscarded()) {
            budget.add(-bytes);
        }
        return !body.isDiscarded();
    }

    /** Called when a body is complete, or its connection has closed. Its memory stays held. I/O thread only. */
    void bodyEnded(ResponseBody body) {
        budget.end(body);
    }

    /** Adds what complete responses hold besides their bodies, which are held already. Any thread. */
    void completed(List<UpstreamResponse> responses) {
        responses.forEach(response -> budget.add(overheadBytes(response)));
    }

    /** Gives back the memory of complete responses, after they were handled. Any thread. */
    void handled(List<UpstreamResponse> responses) {
        responses.forEach(response -> release(overheadBytes(response) + response.body().length));
    }

    private static int overheadBytes(UpstreamResponse response) {
        int tagLength = response.entityTag() == null ? 0 : response.entityTag().length();
        return OVERHEAD_BYTES + response.id().length() + tagLength;
    }

    /** Whether more is held than there should be, since complete responses wait for the event thread. Any thread. */
    boolean isOverLimit() {
        return budget.isOverLimit();
    }

    /** Gives memory back. Any thread. */
    void release(long bytes) {
        budget.add(-bytes);
    }
}
