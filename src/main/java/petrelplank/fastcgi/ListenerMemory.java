package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicLong;

/** The memory that requests and unread responses of all client connections may take. Any thread. */
final class ListenerMemory {
    /** Unread bytes of responses at which a connection is closed: its client does not read. */
    private static final long MAX_UNREAD_BYTES = 32L * 262_144;
    /** Unread bytes of responses that every connection may have. */
    private static final long ALWAYS_ALLOWED_UNREAD_BYTES = 1 << 20;
    /** One with more is closed while all connections together have more than the process's memory over this. */
    private static final int UNREAD_DIVISOR = 6;
    /** New requests are rejected while those being received or open take more than the process's memory over this. */
    private static final int REQUEST_DIVISOR = 8;

    private final long processBytes;
    private final AtomicLong requestBytes = new AtomicLong();

    /** Limits for a process that may hold so many bytes. */
    ListenerMemory(long processBytes) {
        this.processBytes = processBytes;
    }

    /** Bytes of requests that are being received or open. */
    AtomicLong requestBytes() {
        return requestBytes;
    }

    long maxRequestBytes() {
        return processBytes / REQUEST_DIVISOR;
    }

    /** Whether a connection with so many unread bytes has to be closed, given those of all connections. */
    boolean isOverUnreadLimit(long unreadBytes, long totalUnreadBytes) {
        return unreadBytes > MAX_UNREAD_BYTES
                || unreadBytes > ALWAYS_ALLOWED_UNREAD_BYTES && totalUnreadBytes > processBytes / UNREAD_DIVISOR;
    }
}
