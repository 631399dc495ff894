package petrelplank.fastcgi;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that requests and unread responses of all client connections use. Thread-safe. */
final class ListenerMemory {
    /** A connection with more unread response bytes than this (8 MiB) is closed: its client does not read. */
    private static final long MAX_UNREAD_BYTES = 32L * 262_144;
    /** Unread response bytes that every connection may have (1 MiB), whatever the total. */
    private static final long GUARANTEED_UNREAD_BYTES = 1 << 20;
    /**
     * A connection above {@link #GUARANTEED_UNREAD_BYTES} is closed while the unread bytes of all connections
     * exceed the memory of the process divided by this.
     */
    private static final int UNREAD_MEMORY_DIVISOR = 6;
    /**
     * New requests are rejected while partial and open requests use more than the memory of the process divided by
     * this.
     */
    private static final int REQUEST_MEMORY_DIVISOR = 8;

    private final long processMemoryBytes;
    private final AtomicLong requestBytes = new AtomicLong();

    /** Creates limits for a process that may use {@code processMemoryBytes} of memory. */
    ListenerMemory(long processMemoryBytes) {
        this.processMemoryBytes = processMemoryBytes;
    }

    /** Counter of the bytes of all requests that are being received or not yet answered. */
    AtomicLong requestBytes() {
        return requestBytes;
    }

    long maxRequestBytes() {
        return processMemoryBytes / REQUEST_MEMORY_DIVISOR;
    }

    /** Whether a connection must be closed, given its own unread response bytes and those of all connections. */
    boolean isOverUnreadLimit(long unreadBytes, long totalUnreadBytes) {
        return unreadBytes > MAX_UNREAD_BYTES
                || unreadBytes > GUARANTEED_UNREAD_BYTES
                        && totalUnreadBytes > processMemoryBytes / UNREAD_MEMORY_DIVISOR;
    }
}
