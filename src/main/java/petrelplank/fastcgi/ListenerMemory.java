package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that requests and unread responses of all client connections use. Thread-safe. */
final class ListenerMemory {
    /** A connection with more unread response bytes than this (8 MiB) is closed: its client does not read. */
    private static final long MAX_UNREAD_BYTES = 32L * 262_144;
    /** Unread response bytes that every connection may have (1 MiB), whatever the total. */
    private static final long ALWAYS_ALLOWED_UNREAD_BYTES = 1 << 20;
    /**
     * A connection above {@link #ALWAYS_ALLOWED_UNREAD_BYTES} is closed while the unread bytes of all connections
     * exceed the memory of the process divided by this.
     */
    private static final int UNREAD_DIVISOR = 6;
    /**
     * New requests are rejected while partial and open requests use more than the memory of the process divided by
     * this.
     */
    private static final int REQUEST_DIVISOR = 8;

    private final long processBytes;
    private final AtomicLong requestBytes = new AtomicLong();

    /** Creates limits for a process that may use {@code processBytes} of memory. */
    ListenerMemory(long processBytes) {
        this.processBytes = processBytes;
    }

    /** Counter of the bytes of all requests that are being received or not yet answered. */
    AtomicLong requestBytes() {
        return requestBytes;
    }

    long maxRequestBytes() {
        return processBytes / REQUEST_DIVISOR;
    }

    /** Whether a connection must be closed, given its own unread response bytes and those of all connections. */
    boolean isOverUnreadLimit(long unreadBytes, long totalUnreadBytes) {
        return unreadBytes > MAX_UNREAD_BYTES
                || unreadBytes > ALWAYS_ALLOWED_UNREAD_BYTES && totalUnreadBytes > processBytes / UNREAD_DIVISOR;
    }
}
