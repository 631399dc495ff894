package petrelplank.fastcgi;

/**
 * Bounds the memory of responses that wait to be written because their clients read slowly or not at all. Nothing is
 * lost over it: a large response for which there is no room is replaced by a failure. A client that has read everything
 * finds room longest; one with much unread may add half of what is left, and one that may have stopped to read finds no
 * room as soon as half is used. Thread-safe.
 */
final class UnreadMemory {
    /** Responses up to this length, in bytes, always find room: there are few of them for each connection. */
    private static final int SMALL_RESPONSE_BYTES = 1_024;
    /** Number of unread responses on one connection that is tolerated while there is room for them. */
    private static final int MAX_UNREAD_RESPONSES = 8 * RequestAssembler.MAX_OPEN_REQUESTS;

    private static final int SHARE_DIVISOR = 2;

    private static final int FILLING_DIVISOR = 8;
    private static final int SHORT_DIVISOR = 2;
    /** Room for some responses of maximum length, however small the memory, in bytes. */
    private static final long MIN_BYTES = 1 << 22;

    private final long maxBytes;

    /** Creates the bound of one listener; {@code maxBytes} is for all connections together. */
    UnreadMemory(long maxBytes) {
        this.maxBytes = Math.max(MIN_BYTES, maxBytes);
    }

    /**
     * Whether a response may be added to those that wait to be written.
     *
     * @param responseBytes its length
     * @param mayBeStalled whether bytes wait for the socket of the client, and it is not known to read
     * @param unreadBytes what waits on its connection
     * @param totalUnreadBytes what waits on all connections
     */
    boolean hasRoomFor(long responseBytes, boolean mayBeStalled, long unreadBytes, long totalUnreadBytes) {
        if (responseBytes <= SMALL_RESPONSE_BYTES) {
            return true;
        }
        if (mayBeStalled && isShort(totalUnreadBytes)) {
            return false;
        }
        long freeBytes = maxBytes - totalUnreadBytes;
        return unreadBytes == 0 ? responseBytes <= freeBytes : unreadBytes + responseBytes <= freeBytes / SHARE_DIVISOR;
    }

    /** Whether enough waits on all connections to find out which clients read nothing. */
    boolean isFilling(long totalUnreadBytes) {
        return totalUnreadBytes > maxBytes / FILLING_DIVISOR;
    }

    /** Whether so much waits on all connections that clients which read nothing have to make room. */
    boolean isShort(long totalUnreadBytes) {
        return totalUnreadBytes > maxBytes / SHORT_DIVISOR;
    }

    /**
     * Whether a connection must be closed, because its client breaks the protocol: it has more responses to read than
     * it may have requests open, and has far too many, or there is no room for more.
     *
     * @param unreadResponses number of responses that wait on the connection
     * @param totalUnreadBytes what waits on all connections
     */
    boolean isOverLimit(int unreadResponses, long totalUnreadBytes) {
        int limit = totalUnreadBytes < maxBytes ? MAX_UNREAD_RESPONSES : RequestAssembler.MAX_OPEN_REQUESTS;
        return unreadResponses > limit;
    }
}
