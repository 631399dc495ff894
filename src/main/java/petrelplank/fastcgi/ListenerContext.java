package petrelplank.fastcgi;

import petrelplank.proxy.EdgeProxy;
import petrelplank.proxy.EventLoop;
import petrelplank.transport.BoundedAcceptor;

/**
 * Objects that all connections of one listener share.
 *
 * @param loop the loop of the event thread
 * @param proxy handles the requests
 * @param acceptor accepts the connections
 * @param decoder decodes requests
 * @param requestMemory bounds the memory of requests
 * @param unreadMemory bounds the memory of unread responses
 * @param closeLog counts connections closed by the proxy, and why; used by the event thread only
 * @param status whether the listener is ready, and how many closes are pending
 * @param maxConnections the maximum number of client connections
 */
record ListenerContext(
        EventLoop loop,
        EdgeProxy proxy,
        BoundedAcceptor acceptor,
        RequestDecoder decoder,
        RequestMemory requestMemory,
        UnreadMemory unreadMemory,
        ConnectionCloseLog closeLog,
        ListenerStatus status,
        int maxConnections) {}
